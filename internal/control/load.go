package control

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"rillflow/internal/copies"
	"rillflow/internal/history"
	"rillflow/internal/ledger"
	"rillflow/internal/rebuild"
	"rillflow/internal/state"
	"rillflow/internal/wire"
)

// list reads all keys under a prefix, however long that takes.
func (r *reign) list(ctx context.Context, under string) (items []wire.KeyValue, gen uint64, err error) {
	err = r.insist(ctx, func() (bool, error) {
		items, gen, err = r.st.List(ctx, under)
		return err == nil, err
	})
	return items, gen, err
}

// insist asks until an answer settles the matter, and gives its error.
func (r *reign) insist(ctx context.Context, ask func() (settled bool, err error)) error {
	for try := 0; ; try++ {
		if settled, err := ask(); settled {
			return err
		}
		if !state.Backoff(ctx, try, r.set.Report()/32, r.set.Report()/4) {
			return ctx.Err()
		}
	}
}

// load reads the jobs and claims, and puts them together with what is remembered where
// data was lost. It returns the generation to follow the jobs from.
func (r *reign) load(ctx context.Context) (uint64, error) {
	jobs, gen, err := r.list(ctx, ledger.LivePrefix)
	if err != nil {
		return 0, err
	}
	chunks, _, err := r.list(ctx, ledger.ClaimPrefix)
	if err != nil {
		return 0, err
	}
	view := r.term.History()
	ended := make(map[string][]byte) // that this node was not told of
	if view.Phase != history.Rebuild {
		if ended, err = r.compare(ctx, jobs, chunks); err != nil {
			return 0, err
		}
	}
	var sum rebuild.Result
	if view.Phase == history.Rebuild || view.Phase == history.Ends {
		if sum, err = r.assemble(ctx, view.Phase, jobs, chunks); err != nil {
			return 0, err
		}
	}
	if view.Phase == history.Rebuild {
		jobs, chunks = items(sum.Live), items(sum.Chunks)
	}
	over, err := r.orphans(ctx, jobs, chunks, sum.Ends)
	if err != nil {
		return 0, err
	}
	maps.Copy(ended, over)
	return gen, r.fill(view, gen, jobs, chunks, sum.Ends, ended)
}

// orphans are the ends of jobs of which there are claims but no live record: each was
// done or withdrawn, and the tasks of a withdrawn one may still run and count. A job that
// has neither record nor end was lost: no claim is made before its job is stored, and
// none at all while a new leader reads.
func (r *reign) orphans(ctx context.Context, jobs, chunks []wire.KeyValue, ends map[string][]byte) (map[string][]byte, error) {
	live, over := make(map[string]bool, len(jobs)), make(map[string][]byte)
	for _, it := range jobs {
		live[it.Key[len(ledger.LivePrefix):]] = true
	}
	for _, it := range chunks {
		ref, ok := ledger.ChunkRef(it.Key)
		if _, seen := over[ref]; !ok || live[ref] || seen {
			continue
		}
		data, err := ends[ref], error(nil)
		if data == nil {
			data, err = r.ending(ctx, ref)
		}
		if errors.Is(err, state.ErrNotFound) {
			return nil, r.doubt(fmt.Errorf("claims of job %s without its record", ref))
		} else if err != nil {
			return nil, err
		}
		over[ref] = data
	}
	return over, nil
}

func items(vs []rebuild.Value) []wire.KeyValue {
	out := make([]wire.KeyValue, len(vs))
	for i, v := range vs {
		out[i] = wire.KeyValue{Key: v.Key, Value: v.Data, ModRevision: v.Stamp}
	}
	return out
}

// fill makes the ledger and this node's copy of what was read or put together.
func (r *reign) fill(view history.View, gen uint64, jobs, chunks []wire.KeyValue, ends, over map[string][]byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, it := range jobs {
		if err := r.addJob(it.Key, it.Value, it.ModRevision); err != nil {
			return r.doubt(err)
		}
	}
	for _, it := range chunks {
		ref, _ := ledger.ChunkRef(it.Key)
		if data := over[ref]; data != nil && r.led.Job(ref) == nil {
			if err := r.led.AddEnded(ref, data); err != nil {
				return r.doubt(err)
			}
		}
	}
	for _, it := range chunks {
		if ref, _ := ledger.ChunkRef(it.Key); r.led.Job(ref) == nil {
			r.log.Error("claims without a job", "key", it.Key)
			continue
		}
		if err := r.led.Load(it.Key, it.Value, it.ModRevision, r.first-1); err != nil {
			return r.doubt(err)
		}
	}
	r.led.Loaded()
	if view.Phase == history.Rebuild {
		r.led.Doubt(r.base())
	}
	for _, h := range r.led.ClaimedHosts() {
		r.host(h)
	}
	r.copies.Lead(view.ID, r.first, gen, r.tree(view, jobs, chunks, ends, over))
	if view.Phase == history.Whole {
		r.copies.Settled(view.ID)
	}
	r.log.Info("loaded", "epoch", r.first, "jobs", len(r.led.Jobs()), "claimed_hosts", len(r.hosts))
	return nil
}

// tree is what the copies are to hold: what was read, with the ends that are known.
func (r *reign) tree(view history.View, jobs, chunks []wire.KeyValue, ends, over map[string][]byte) *copies.Tree {
	txn := iradix.New[[]byte]().Txn()
	if had, head := r.copies.Tree(); head.History == view.ID && ends == nil {
		had.Root().WalkPrefix([]byte(ledger.EndedPrefix), func(k, v []byte) bool { txn.Insert(k, v); return false })
	}
	for _, m := range []map[string][]byte{over, ends} {
		for ref, data := range m {
			if data != nil {
				txn.Insert([]byte(ledger.EndedKey(ref)), data)
			}
		}
	}
	for _, its := range [][]wire.KeyValue{jobs, chunks} {
		for _, it := range its {
			txn.Insert([]byte(it.Key), it.Value)
		}
	}
	return txn.Commit()
}

// ending reads how a job ended, however long that takes.
func (r *reign) ending(ctx context.Context, ref string) ([]byte, error) {
	var it wire.KeyValue
	err := r.insist(ctx, func() (bool, error) {
		var err error
		it, err = r.st.Get(ctx, ledger.EndedKey(ref))
		return err == nil || errors.Is(err, state.ErrNotFound), err
	})
	return it.Value, err
}

// maxLooks bounds the ends that one comparison looks up.
const maxLooks = 64

// compare holds what was read against what this node remembers of the same history. A
// key that nobody can have removed and that is not there is proof of a loss. It costs a
// few reads where the copy is behind, and gives the ends that it lacks.
func (r *reign) compare(ctx context.Context, jobs, chunks []wire.KeyValue) (map[string][]byte, error) {
	ended := make(map[string][]byte)
	tree, head := r.copies.Tree()
	if head.History == "" || head.History != r.term.History().ID {
		return ended, nil
	}
	live, have := make(map[string]bool, len(jobs)), make(map[string]bool, len(chunks))
	for _, it := range jobs {
		live[it.Key[len(ledger.LivePrefix):]] = true
	}
	for _, it := range chunks {
		have[it.Key] = true
	}
	var gone []string
	var lost string
	tree.Root().WalkPrefix([]byte(ledger.LivePrefix), func(k, _ []byte) bool {
		if ref := string(k[len(ledger.LivePrefix):]); !live[ref] {
			gone = append(gone, ref)
		}
		return len(gone) >= maxLooks
	})
	tree.Root().WalkPrefix([]byte(ledger.ClaimPrefix), func(k, _ []byte) bool {
		// Chunks go only once their job is over.
		if ref, ok := ledger.ChunkRef(string(k)); ok && live[ref] && !have[string(k)] {
			lost = string(k)
		}
		return lost != ""
	})
	if lost != "" {
		return nil, r.doubt(fmt.Errorf("%s is gone though its job is not over", lost))
	}
	for _, ref := range gone {
		data, err := r.ending(ctx, ref)
		if errors.Is(err, state.ErrNotFound) {
			return nil, r.doubt(fmt.Errorf("job %s is gone without an end", ref))
		}
		if err != nil {
			return nil, err
		}
		ended[ref] = data
	}
	return ended, nil
}

// assemble puts the history together from the state service and all that is remembered.
func (r *reign) assemble(ctx context.Context, phase history.Phase, jobs, chunks []wire.KeyValue) (rebuild.Result, error) {
	ended, _, err := r.list(ctx, ledger.EndedPrefix)
	if err != nil {
		return rebuild.Result{}, err
	}
	all := phase == history.Rebuild
	head := r.copies.Head()
	before := r.term.Before()
	exact := all && before.Leader == r.set.Node && head.Epoch > 0 && r.copies.Exact()
	cctx, cancel := context.WithTimeout(ctx, r.set.Report())
	trees, missing := copies.Collect(cctx, r.peers, r.peers.Followers())
	cancel()
	var sources []rebuild.Source
	for _, t := range append(r.copies.Sources(), trees...) {
		var s rebuild.Source
		t.Root().Walk(func(k, v []byte) bool {
			// While ends are still to be written, all that is alive is stored.
			if all || strings.HasPrefix(string(k), ledger.EndedPrefix) {
				s.Values = append(s.Values, rebuild.Value{Key: string(k), Data: v})
			}
			return false
		})
		sources = append(sources, s)
	}
	store := rebuild.Source{Store: true}
	for _, its := range [][]wire.KeyValue{jobs, chunks, ended} {
		for _, it := range its {
			store.Values = append(store.Values, rebuild.Value{Key: it.Key, Data: it.Value, Stamp: it.ModRevision})
		}
	}
	sum, err := rebuild.Merge(append(sources, store), fmt.Sprintf("%s.%d.r", r.set.Node, r.first), r.base(), r.st.MaxValueBytes())
	if err != nil {
		return sum, err
	}
	r.back = &restore{writes: sum.Writes, count: sum.Regained, exact: exact, all: all, missing: missing, damaged: sum.Damaged, orphans: sum.Orphans}
	r.log.Warn("rebuilding", "phase", phase, "sources", len(sources)+1, "missing", missing, "jobs", sum.Regained.Jobs, "ends", sum.Regained.Ends,
		"claims", sum.Regained.Claims, "writes", len(sum.Writes), "exact", exact, "damaged", sum.Damaged, "orphans", sum.Orphans)
	return sum, nil
}
