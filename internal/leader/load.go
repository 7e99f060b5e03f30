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

// storeReader reads from the store until it answers.
type storeReader struct {
	*termScope
}

// loader fills the cluster state when a term begins.
type loader struct {
	*termScope
	recovery    *dataRecovery
	registry    *workerRegistry
	storeReader *storeReader
}

// listAll reads all keys under a prefix, however long that takes.
func (r *storeReader) listAll(ctx context.Context, prefix string) (items []wire.KeyValue, revision uint64, err error) {
	err = r.retry(ctx, func() (bool, error) {
		items, revision, err = r.store.List(ctx, prefix)
		return err == nil, err
	})
	return items, revision, err
}

// retry asks until an answer settles the matter, and gives its error.
func (r *storeReader) retry(ctx context.Context, ask func() (settled bool, err error)) error {
	for attempt := 0; ; attempt++ {
		if settled, err := ask(); settled {
			return err
		}
		if !kvstore.Backoff(ctx, attempt, r.settings.Report()/32, r.settings.Report()/4) {
			return ctx.Err()
		}
	}
}

// load reads the jobs and claims, and puts them together with what is remembered where
// data was lost. It returns the generation to follow the jobs from.
func (l *loader) load(ctx context.Context) (uint64, error) {
	jobs, revision, err := l.storeReader.listAll(ctx, ledger.LivePrefix)
	if err != nil {
		return 0, err
	}
	chunks, _, err := l.storeReader.listAll(ctx, ledger.ChunkPrefix)
	if err != nil {
		return 0, err
	}
	view := l.leadership.Incarnation()
	ended := make(map[string][]byte) // that this node was not told of
	if view.Phase != dataloss.PhaseRecovering {
		if ended, err = l.compareWithReplica(ctx, jobs, chunks); err != nil {
			return 0, err
		}
	}
	var merged recovery.Result
	if view.Phase == dataloss.PhaseRecovering || view.Phase == dataloss.PhaseRestoringResults {
		if merged, err = l.mergeSources(ctx, view.Phase, jobs, chunks); err != nil {
			return 0, err
		}
	}
	if view.Phase == dataloss.PhaseRecovering {
		jobs, chunks = toItems(merged.LiveJobs), toItems(merged.Chunks)
	}
	orphaned, err := l.endingsOfOrphanedClaims(ctx, jobs, chunks, merged.Ends)
	if err != nil {
		return 0, err
	}
	maps.Copy(ended, orphaned)
	return revision, l.populate(view, revision, jobs, chunks, merged.Ends, ended)
}

// endingsOfOrphanedClaims are the ends of jobs of which there are claims but no live record: each was
// done or withdrawn, and the tasks of a withdrawn one may still run and count. A job that
// has neither record nor end was lost: no claim is made before its job is stored, and
// none at all while a new leader reads.
func (l *loader) endingsOfOrphanedClaims(ctx context.Context, jobs, chunks []wire.KeyValue, recovered map[string][]byte) (map[string][]byte, error) {
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
			data, err = l.storeReader.readEnding(ctx, ref)
		}
		if errors.Is(err, kvstore.ErrNotFound) {
			return nil, l.suspectDataLoss(fmt.Errorf("claims of job %s without its record", ref))
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
func (l *loader) populate(view dataloss.IncarnationState, revision uint64, jobs, chunks []wire.KeyValue, recovered, endings map[string][]byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, item := range jobs {
		if err := l.addJob(item.Key, item.Value, item.ModRevision); err != nil {
			return l.suspectDataLoss(err)
		}
	}
	for _, item := range chunks {
		ref, _ := ledger.JobOfChunkKey(item.Key)
		if data := endings[ref]; data != nil && l.jobs.Job(ref) == nil {
			if err := l.jobs.AddEndedJob(ref, data); err != nil {
				return l.suspectDataLoss(err)
			}
		}
	}
	for _, item := range chunks {
		if ref, _ := ledger.JobOfChunkKey(item.Key); l.jobs.Job(ref) == nil {
			l.log.Error("claims without a job", "key", item.Key)
			continue
		}
		if err := l.jobs.LoadChunk(item.Key, item.Value, item.ModRevision, l.firstEpoch-1); err != nil {
			return l.suspectDataLoss(err)
		}
	}
	l.jobs.FinishLoading()
	if view.Phase == dataloss.PhaseRecovering {
		l.jobs.MarkClaimsUnconfirmed(l.baseAttempt())
	}
	for _, worker := range l.jobs.ClaimedWorkers() {
		l.registry.worker(worker)
	}
	l.replica.StartLeading(view.ID, l.firstEpoch, revision, l.replicaTree(view, jobs, chunks, recovered, endings))
	if view.Phase == dataloss.PhaseComplete {
		l.replica.MarkComplete(view.ID)
	}
	l.log.Info("loaded", "epoch", l.firstEpoch, "jobs", len(l.jobs.Jobs()), "claimed_hosts", len(l.workers))
	return nil
}

// replicaTree is what the copies are to hold: what was read, with the ends that are known.
func (l *loader) replicaTree(view dataloss.IncarnationState, jobs, chunks []wire.KeyValue, recovered, endings map[string][]byte) *replica.Tree {
	txn := iradix.New[[]byte]().Txn()
	if known, head := l.replica.Tree(); head.Incarnation == view.ID && recovered == nil {
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
func (r *storeReader) readEnding(ctx context.Context, ref string) ([]byte, error) {
	var item wire.KeyValue
	err := r.retry(ctx, func() (bool, error) {
		var err error
		item, err = r.store.Get(ctx, ledger.EndedKey(ref))
		return err == nil || errors.Is(err, kvstore.ErrNotFound), err
	})
	return item.Value, err
}

// maxEndingLookups bounds the ends that one comparison looks up.
const maxEndingLookups = 64

// compareWithReplica holds what was read against what this node remembers of the same history. A
// key that nobody can have removed and that is not there is proof of a loss. It costs a
// few reads where the copy is behind, and gives the ends that it lacks.
func (l *loader) compareWithReplica(ctx context.Context, jobs, chunks []wire.KeyValue) (map[string][]byte, error) {
	ended := make(map[string][]byte)
	tree, head := l.replica.Tree()
	if head.Incarnation == "" || head.Incarnation != l.leadership.Incarnation().ID {
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
		return nil, l.suspectDataLoss(fmt.Errorf("%s is gone though its job is not over", lost))
	}
	for _, ref := range missing {
		data, err := l.storeReader.readEnding(ctx, ref)
		if errors.Is(err, kvstore.ErrNotFound) {
			return nil, l.suspectDataLoss(fmt.Errorf("job %s is gone without an end", ref))
		}
		if err != nil {
			return nil, err
		}
		ended[ref] = data
	}
	return ended, nil
}

// mergeSources puts the history together from the state service and all that is remembered.
func (l *loader) mergeSources(ctx context.Context, phase dataloss.Phase, jobs, chunks []wire.KeyValue) (recovery.Result, error) {
	ended, _, err := l.storeReader.listAll(ctx, ledger.EndedPrefix)
	if err != nil {
		return recovery.Result{}, err
	}
	full := phase == dataloss.PhaseRecovering
	head := l.replica.Head()
	before := l.leadership.PreviousMap()
	exact := full && before.Leader == l.settings.Node && head.Epoch > 0 && l.replica.HoldsAllLaunches()
	collectCtx, cancel := context.WithTimeout(ctx, l.settings.Report())
	trees, missing := replica.Collect(collectCtx, l.replicaPeers, l.replicaPeers.Followers())
	cancel()
	var sources []recovery.Source
	for _, tree := range append(l.replica.Sources(), trees...) {
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
	merged, err := recovery.Merge(append(sources, store), fmt.Sprintf("%s.%d.r", l.settings.Node, l.firstEpoch), l.baseAttempt(), l.store.MaxValueBytes())
	if err != nil {
		return merged, err
	}
	l.recovery.progress = &recoveryProgress{pending: merged.Writes, recovered: merged.Recovered, exact: exact, full: full, missingPeers: missing, damagedKeys: merged.Damaged, orphanedClaims: merged.OrphanedJobs}
	l.log.Warn("rebuilding", "phase", phase, "sources", len(sources)+1, "missing", missing, "jobs", merged.Recovered.Jobs, "ends", merged.Recovered.Ends,
		"claims", merged.Recovered.Claims, "writes", len(merged.Writes), "exact", exact, "damaged", merged.Damaged, "orphans", merged.OrphanedJobs)
	return merged, nil
}
