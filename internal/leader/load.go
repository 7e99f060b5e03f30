package leader

import (
	"context"
	"fmt"
	"maps"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"rillflow/internal/dataloss"
	"rillflow/internal/ledger"
	"rillflow/internal/recovery"
	"rillflow/internal/replica"
	"rillflow/internal/wire"
)

// loader fills the job table and the replica when a term begins: with the contents of the store
// or, if the store lost data, with the data merged from all sources.
//
// The term calls load once, before any loop of its own runs and before heartbeats are answered. The
// loader reads without mu and takes it to fill the table. It writes nothing to the store: lost
// data is written back by the recovery, whose progress the loader sets.
type loader struct {
	*termScope
	recovery    *dataRecovery
	registry    *workerRegistry
	storeReader *storeReader
}

// loadedState is the stored or recovered state that a term begins with.
type loadedState struct {
	revision   uint64            // at which the live jobs were read
	jobs       []wire.KeyValue   // records of live jobs
	chunks     []wire.KeyValue   // chunks of claims
	endRecords map[string][]byte // end records that the replica may lack, by job
	recovered  map[string][]byte // recovered end records by job; nil if no recovery was needed
}

// load reads the jobs and claims, and recovers them if data was lost. It returns the revision from
// which the jobs are to be watched.
func (l *loader) load(ctx context.Context) (uint64, error) {
	state, err := l.readStored(ctx)
	if err != nil {
		return 0, err
	}
	incarnation := l.leadership.Incarnation()
	if incarnation.Phase != dataloss.PhaseRecovering {
		if state.endRecords, err = l.compareWithReplica(ctx, state); err != nil {
			return 0, err
		}
	}
	if incarnation.Phase == dataloss.PhaseRecovering || incarnation.Phase == dataloss.PhaseRestoringResults {
		merged, err := l.mergeSources(ctx, incarnation.Phase, state)
		if err != nil {
			return 0, err
		}
		state.recovered = merged.Ends
		if incarnation.Phase == dataloss.PhaseRecovering {
			state.jobs, state.chunks = toKeyValues(merged.LiveJobs), toKeyValues(merged.Chunks)
		}
	}
	orphaned, err := l.readOrphanedClaimEnds(ctx, state)
	if err != nil {
		return 0, err
	}
	maps.Copy(state.endRecords, orphaned)
	return state.revision, l.populate(incarnation, state)
}

// readStored reads the live jobs and the claims.
func (l *loader) readStored(ctx context.Context) (*loadedState, error) {
	state := &loadedState{endRecords: make(map[string][]byte)}
	var err error
	if state.jobs, state.revision, err = l.storeReader.listAll(ctx, ledger.LivePrefix); err != nil {
		return nil, err
	}
	if state.chunks, _, err = l.storeReader.listAll(ctx, ledger.ChunkPrefix); err != nil {
		return nil, err
	}
	return state, nil
}

// liveJobs returns the IDs of the live jobs.
func (s *loadedState) liveJobs() map[string]bool {
	live := make(map[string]bool, len(s.jobs))
	for _, item := range s.jobs {
		live[item.Key[len(ledger.LivePrefix):]] = true
	}
	return live
}

// readOrphanedClaimEnds returns the end records of jobs that have claims but no live record.
// Each was done or cancelled, and the tasks of a cancelled one may still run and use resources. A
// job with neither record was lost: no claim is made before its job is stored, and none at all
// while a new leader loads.
func (l *loader) readOrphanedClaimEnds(ctx context.Context, state *loadedState) (map[string][]byte, error) {
	live, endRecords := state.liveJobs(), make(map[string][]byte)
	var unknown []string
	for _, item := range state.chunks {
		jobID, ok := ledger.JobIDOfChunkKey(item.Key)
		if _, seen := endRecords[jobID]; !ok || live[jobID] || seen {
			continue
		}
		endRecords[jobID] = state.recovered[jobID]
		if endRecords[jobID] == nil {
			unknown = append(unknown, jobID)
		}
	}
	read, err := l.storeReader.readEndRecords(ctx, unknown)
	if err != nil {
		return nil, err
	}
	for _, jobID := range unknown {
		if read[jobID] == nil {
			return nil, l.suspectDataLoss(fmt.Errorf("claims of job %s without its record", jobID))
		}
		endRecords[jobID] = read[jobID]
	}
	return endRecords, nil
}

// toKeyValues converts recovered values to the form in which the store returns keys and values.
func toKeyValues(values []recovery.Value) []wire.KeyValue {
	items := make([]wire.KeyValue, len(values))
	for i, value := range values {
		items[i] = wire.KeyValue{Key: value.Key, Value: value.Data, ModRevision: value.ModRevision}
	}
	return items
}

// populate fills the job table and this controller's replica.
func (l *loader) populate(incarnation dataloss.IncarnationState, state *loadedState) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.addJobs(state); err != nil {
		return l.suspectDataLoss(err)
	}
	if err := l.addClaims(state.chunks); err != nil {
		return l.suspectDataLoss(err)
	}
	l.jobs.FinishLoading()
	if incarnation.Phase == dataloss.PhaseRecovering {
		l.jobs.MarkClaimsUnconfirmed(l.baseAttempt())
	}
	for _, worker := range l.jobs.ClaimedWorkers() {
		l.registry.worker(worker)
	}
	l.replica.StartLeading(incarnation.ID, l.firstEpoch, state.revision, l.replicaTree(incarnation, state))
	if incarnation.Phase == dataloss.PhaseComplete {
		l.replica.MarkComplete(incarnation.ID)
	}
	l.log.Info("state loaded", "epoch", l.firstEpoch, "jobs", len(l.jobs.Jobs()), "claimed_workers", len(l.workers))
	return nil
}

// addJobs adds the live jobs, and ended ones that have claims, to the job table. Callers hold mu.
func (l *loader) addJobs(state *loadedState) error {
	for _, item := range state.jobs {
		if err := l.addJob(item.Key, item.Value, item.ModRevision); err != nil {
			return err
		}
	}
	for _, item := range state.chunks {
		jobID, _ := ledger.JobIDOfChunkKey(item.Key)
		if end := state.endRecords[jobID]; end != nil && l.jobs.Job(jobID) == nil {
			if err := l.jobs.AddEndedJob(jobID, end); err != nil {
				return err
			}
		}
	}
	return nil
}

// addClaims adds claims to the job table. Callers hold mu.
func (l *loader) addClaims(chunks []wire.KeyValue) error {
	for _, item := range chunks {
		if jobID, _ := ledger.JobIDOfChunkKey(item.Key); l.jobs.Job(jobID) == nil {
			l.log.Error("claims without job", "key", item.Key)
			continue
		}
		if err := l.jobs.LoadChunk(item.Key, item.Value, item.ModRevision, l.firstEpoch-1); err != nil {
			return err
		}
	}
	return nil
}

// replicaTree returns the tree that the replicas are to hold: the loaded state, and the end records
// that this controller's replica already has.
func (l *loader) replicaTree(incarnation dataloss.IncarnationState, state *loadedState) *replica.Tree {
	txn := iradix.New[[]byte]().Txn()
	if tree, head := l.replica.Tree(); head.Incarnation == incarnation.ID && state.recovered == nil {
		tree.Root().WalkPrefix([]byte(ledger.EndedPrefix), func(key, value []byte) bool {
			txn.Insert(key, value)
			return false
		})
	}
	for _, endRecords := range []map[string][]byte{state.endRecords, state.recovered} {
		for jobID, end := range endRecords {
			if end != nil {
				txn.Insert([]byte(ledger.EndedKey(jobID)), end)
			}
		}
	}
	for _, items := range [][]wire.KeyValue{state.jobs, state.chunks} {
		for _, item := range items {
			txn.Insert([]byte(item.Key), item.Value)
		}
	}
	return txn.Commit()
}
