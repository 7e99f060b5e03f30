package leader

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"rillflow/internal/dataloss"
	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/recovery"
	"rillflow/internal/replica"
	"rillflow/internal/wire"
)

// listAll reads all keys under a prefix, however long that takes.
func (t *leaderTerm) listAll(ctx context.Context, prefix string) (items []wire.KeyValue, revision uint64, err error) {
	err = t.retry(ctx, func() (bool, error) {
		items, revision, err = t.store.List(ctx, prefix)
		return err == nil, err
	})
	return items, revision, err
}

// retry asks until an answer settles the matter, and gives its error.
func (t *leaderTerm) retry(ctx context.Context, ask func() (settled bool, err error)) error {
	for attempt := 0; ; attempt++ {
		if settled, err := ask(); settled {
			return err
		}
		if !kvstore.Backoff(ctx, attempt, t.settings.Report()/32, t.settings.Report()/4) {
			return ctx.Err()
		}
	}
}

// load reads the jobs and claims, and puts them together with what is remembered where
// data was lost. It returns the generation to follow the jobs from.
func (t *leaderTerm) load(ctx context.Context) (uint64, error) {
	jobs, revision, err := t.listAll(ctx, ledger.LivePrefix)
	if err != nil {
		return 0, err
	}
	chunks, _, err := t.listAll(ctx, ledger.ChunkPrefix)
	if err != nil {
		return 0, err
	}
	view := t.leadership.Incarnation()
	ended := make(map[string][]byte) // that this node was not told of
	if view.Phase != dataloss.PhaseRecovering {
		if ended, err = t.compareWithReplica(ctx, jobs, chunks); err != nil {
			return 0, err
		}
	}
	var merged recovery.Result
	if view.Phase == dataloss.PhaseRecovering || view.Phase == dataloss.PhaseRestoringResults {
		if merged, err = t.mergeSources(ctx, view.Phase, jobs, chunks); err != nil {
			return 0, err
		}
	}
	if view.Phase == dataloss.PhaseRecovering {
		jobs, chunks = toItems(merged.LiveJobs), toItems(merged.Chunks)
	}
	orphaned, err := t.endingsOfOrphanedClaims(ctx, jobs, chunks, merged.Ends)
	if err != nil {
		return 0, err
	}
	maps.Copy(ended, orphaned)
	return revision, t.populate(view, revision, jobs, chunks, merged.Ends, ended)
}

// endingsOfOrphanedClaims are the ends of jobs of which there are claims but no live record: each was
// done or withdrawn, and the tasks of a withdrawn one may still run and count. A job that
// has neither record nor end was lost: no claim is made before its job is stored, and
// none at all while a new leader reads.
func (t *leaderTerm) endingsOfOrphanedClaims(ctx context.Context, jobs, chunks []wire.KeyValue, recovered map[string][]byte) (map[string][]byte, error) {
	live, endings := make(map[string]bool, len(jobs)), make(map[string][]byte)
	for _, item := range jobs {
		live[item.Key[len(ledger.LivePrefix):]] = true
	}
	for _, item := range chunks {
		ref, ok := ledger.JobOfChunkKey(item.Key)
		if _, seen := endings[ref]; !ok || live[ref] || seen {
			continue
		}
		data, err := recovered[ref], error(nil)
		if data == nil {
			data, err = t.readEnding(ctx, ref)
		}
		if errors.Is(err, kvstore.ErrNotFound) {
			return nil, t.suspectDataLoss(fmt.Errorf("claims of job %s without its record", ref))
		} else if err != nil {
			return nil, err
		}
		endings[ref] = data
	}
	return endings, nil
}

func toItems(values []recovery.Value) []wire.KeyValue {
	items := make([]wire.KeyValue, len(values))
	for i, value := range values {
		items[i] = wire.KeyValue{Key: value.Key, Value: value.Data, ModRevision: value.ModRevision}
	}
	return items
}

// populate makes the ledger and this node's copy of what was read or put together.
func (t *leaderTerm) populate(view dataloss.IncarnationState, revision uint64, jobs, chunks []wire.KeyValue, recovered, endings map[string][]byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, item := range jobs {
		if err := t.addJob(item.Key, item.Value, item.ModRevision); err != nil {
			return t.suspectDataLoss(err)
		}
	}
	for _, item := range chunks {
		ref, _ := ledger.JobOfChunkKey(item.Key)
		if data := endings[ref]; data != nil && t.jobs.Job(ref) == nil {
			if err := t.jobs.AddEndedJob(ref, data); err != nil {
				return t.suspectDataLoss(err)
			}
		}
	}
	for _, item := range chunks {
		if ref, _ := ledger.JobOfChunkKey(item.Key); t.jobs.Job(ref) == nil {
			t.log.Error("claims without a job", "key", item.Key)
			continue
		}
		if err := t.jobs.LoadChunk(item.Key, item.Value, item.ModRevision, t.firstEpoch-1); err != nil {
			return t.suspectDataLoss(err)
		}
	}
	t.jobs.FinishLoading()
	if view.Phase == dataloss.PhaseRecovering {
		t.jobs.MarkClaimsUnconfirmed(t.baseAttempt())
	}
	for _, worker := range t.jobs.ClaimedWorkers() {
		t.worker(worker)
	}
	t.replica.StartLeading(view.ID, t.firstEpoch, revision, t.replicaTree(view, jobs, chunks, recovered, endings))
	if view.Phase == dataloss.PhaseComplete {
		t.replica.MarkComplete(view.ID)
	}
	t.log.Info("loaded", "epoch", t.firstEpoch, "jobs", len(t.jobs.Jobs()), "claimed_hosts", len(t.workers))
	return nil
}

// replicaTree is what the copies are to hold: what was read, with the ends that are known.
func (t *leaderTerm) replicaTree(view dataloss.IncarnationState, jobs, chunks []wire.KeyValue, recovered, endings map[string][]byte) *replica.Tree {
	txn := iradix.New[[]byte]().Txn()
	if known, head := t.replica.Tree(); head.History == view.ID && recovered == nil {
		known.Root().WalkPrefix([]byte(ledger.EndedPrefix), func(key, value []byte) bool { txn.Insert(key, value); return false })
	}
	for _, byJob := range []map[string][]byte{endings, recovered} {
		for ref, data := range byJob {
			if data != nil {
				txn.Insert([]byte(ledger.EndedKey(ref)), data)
			}
		}
	}
	for _, items := range [][]wire.KeyValue{jobs, chunks} {
		for _, item := range items {
			txn.Insert([]byte(item.Key), item.Value)
		}
	}
	return txn.Commit()
}

// readEnding reads how a job ended, however long that takes.
func (t *leaderTerm) readEnding(ctx context.Context, ref string) ([]byte, error) {
	var item wire.KeyValue
	err := t.retry(ctx, func() (bool, error) {
		var err error
		item, err = t.store.Get(ctx, ledger.EndedKey(ref))
		return err == nil || errors.Is(err, kvstore.ErrNotFound), err
	})
	return item.Value, err
}

// maxEndingLookups bounds the ends that one comparison looks up.
const maxEndingLookups = 64

// compareWithReplica holds what was read against what this node remembers of the same history. A
// key that nobody can have removed and that is not there is proof of a loss. It costs a
// few reads where the copy is behind, and gives the ends that it lacks.
func (t *leaderTerm) compareWithReplica(ctx context.Context, jobs, chunks []wire.KeyValue) (map[string][]byte, error) {
	ended := make(map[string][]byte)
	tree, head := t.replica.Tree()
	if head.History == "" || head.History != t.leadership.Incarnation().ID {
		return ended, nil
	}
	live, stored := make(map[string]bool, len(jobs)), make(map[string]bool, len(chunks))
	for _, item := range jobs {
		live[item.Key[len(ledger.LivePrefix):]] = true
	}
	for _, item := range chunks {
		stored[item.Key] = true
	}
	var missing []string
	var lost string
	tree.Root().WalkPrefix([]byte(ledger.LivePrefix), func(key, _ []byte) bool {
		if ref := string(key[len(ledger.LivePrefix):]); !live[ref] {
			missing = append(missing, ref)
		}
		return len(missing) >= maxEndingLookups
	})
	tree.Root().WalkPrefix([]byte(ledger.ChunkPrefix), func(key, _ []byte) bool {
		// Chunks go only once their job is over.
		if ref, ok := ledger.JobOfChunkKey(string(key)); ok && live[ref] && !stored[string(key)] {
			lost = string(key)
		}
		return lost != ""
	})
	if lost != "" {
		return nil, t.suspectDataLoss(fmt.Errorf("%s is gone though its job is not over", lost))
	}
	for _, ref := range missing {
		data, err := t.readEnding(ctx, ref)
		if errors.Is(err, kvstore.ErrNotFound) {
			return nil, t.suspectDataLoss(fmt.Errorf("job %s is gone without an end", ref))
		}
		if err != nil {
			return nil, err
		}
		ended[ref] = data
	}
	return ended, nil
}

// mergeSources puts the history together from the state service and all that is remembered.
func (t *leaderTerm) mergeSources(ctx context.Context, phase dataloss.Phase, jobs, chunks []wire.KeyValue) (recovery.Result, error) {
	ended, _, err := t.listAll(ctx, ledger.EndedPrefix)
	if err != nil {
		return recovery.Result{}, err
	}
	full := phase == dataloss.PhaseRecovering
	head := t.replica.Head()
	before := t.leadership.PreviousMap()
	exact := full && before.Leader == t.settings.Node && head.Epoch > 0 && t.replica.HoldsAllLaunches()
	collectCtx, cancel := context.WithTimeout(ctx, t.settings.Report())
	trees, missing := replica.Collect(collectCtx, t.replicaPeers, t.replicaPeers.Followers())
	cancel()
	var sources []recovery.Source
	for _, tree := range append(t.replica.Sources(), trees...) {
		var source recovery.Source
		tree.Root().Walk(func(key, value []byte) bool {
			// While ends are still to be written, all that is alive is stored.
			if full || strings.HasPrefix(string(key), ledger.EndedPrefix) {
				source.Values = append(source.Values, recovery.Value{Key: string(key), Data: value})
			}
			return false
		})
		sources = append(sources, source)
	}
	store := recovery.Source{FromStore: true}
	for _, items := range [][]wire.KeyValue{jobs, chunks, ended} {
		for _, item := range items {
			store.Values = append(store.Values, recovery.Value{Key: item.Key, Data: item.Value, ModRevision: item.ModRevision})
		}
	}
	merged, err := recovery.Merge(append(sources, store), fmt.Sprintf("%s.%d.r", t.settings.Node, t.firstEpoch), t.baseAttempt(), t.store.MaxValueBytes())
	if err != nil {
		return merged, err
	}
	t.progress = &recoveryProgress{pending: merged.Writes, recovered: merged.Recovered, exact: exact, full: full, missingPeers: missing, damagedKeys: merged.Damaged, orphanedClaims: merged.OrphanedJobs}
	t.log.Warn("rebuilding", "phase", phase, "sources", len(sources)+1, "missing", missing, "jobs", merged.Recovered.Jobs, "ends", merged.Recovered.Ends,
		"claims", merged.Recovered.Claims, "writes", len(merged.Writes), "exact", exact, "damaged", merged.Damaged, "orphans", merged.OrphanedJobs)
	return merged, nil
}
