package intake

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"rillflow/internal/dataloss"
	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/retry"
	"rillflow/internal/wire"
)

// DataLossState tells what a request must know of the store's data before it decides.
type DataLossState interface {
	// Fence returns the compares of the present incarnation of the store's data, which
	// every write carries, and its recovery phase; an error while data may have been lost.
	Fence() ([]wire.Compare, dataloss.Phase, error)
	// SuspectDataLoss notes that a key is gone that nobody deleted.
	SuspectDataLoss(why string)
	// RecheckStore has the incarnation read anew: a compare on it failed.
	RecheckStore()
	// DataLost tells whether data of an earlier incarnation was lost.
	DataLost() bool
	// NeverInitialized tells whether this controller knows of no incarnation at all and
	// suspects no loss.
	NeverInitialized() bool
	// ReplicaCurrent tells whether this controller's replica is of the present incarnation
	// and up to date.
	ReplicaCurrent() bool
	// JustStarted tells whether this controller has just begun and has no replica yet.
	JustStarted() bool
}

// replicaView is what this controller's replica held of a job before the store was asked.
// Only what was known by then can be contradicted by the answer: while it is on its way,
// and for long where the store answers slowly, the job may be accepted, or end, and this
// controller hear of that first.
type replicaView struct{ knowsJob, knowsEnd bool }

func (api *API) replicaView(id string) replicaView {
	_, knowsEnd := api.replica.Get(ledger.EndedKey(id))
	return replicaView{knowsJob: api.replica.KnowsJob(id), knowsEnd: knowsEnd}
}

// confirmUnknown returns nil if a job that is not stored never was accepted, as far as can
// be known. It may have been while data is recovered, and where the replica has the job.
func (api *API) confirmUnknown(id string, before replicaView) error {
	_, phase, err := api.dataLoss.Fence()
	switch {
	case err != nil:
		return err
	case phase == dataloss.PhaseComplete && before.knowsJob:
		api.dataLoss.SuspectDataLoss("job " + id + " is gone without an end")
		return dataloss.ErrDataLossSuspected
	case api.replica.KnowsJob(id):
		return dataloss.ErrDataLossSuspected // it has come since: asked again, it is there
	case phase != dataloss.PhaseComplete, !api.dataLoss.ReplicaCurrent():
		// Not all who may know were heard; and a controller that has just begun has no
		// replica yet.
		return dataloss.ErrDataLossSuspected
	}
	return nil
}

// finishedState returns how a job ended where this controller knows it: from what it told
// before, or from its replica while the store may lack it.
func (api *API) finishedState(id string) (knownJob, bool) {
	if job, ok := api.finished.get(id); ok {
		return job, true
	}
	return api.finishedDuringRecovery(id)
}

// finishedDuringRecovery returns how a job ended from the replica, while the store may
// lack it.
func (api *API) finishedDuringRecovery(id string) (knownJob, bool) {
	_, phase, err := api.dataLoss.Fence()
	if err == nil && phase != dataloss.PhaseRestoringResults && phase != dataloss.PhaseRecovering {
		return knownJob{}, false
	}
	return api.finishedInReplica(id)
}

// finishedButStoredLive returns how a job ended that is stored as live though the replica
// has its end: the store went back behind it, which the answer to a read of a key does
// not show.
func (api *API) finishedButStoredLive(id string, before replicaView) (knownJob, bool) {
	job, ok := api.finishedInReplica(id)
	if ok && before.knowsEnd {
		api.dataLoss.SuspectDataLoss("job " + id + " is alive again")
	}
	return job, ok
}

func (api *API) finishedInReplica(id string) (knownJob, bool) {
	data, ok := api.replica.Get(ledger.EndedKey(id))
	if !ok {
		return knownJob{}, false
	}
	var end ledger.EndRecord
	if json.Unmarshal(data, &end) != nil { // the store has it too, and is asked next
		return knownJob{}, false
	}
	return api.remember(id, end), true
}

// compareIncarnation returns the compares that every write carries, or ErrDataLossSuspected:
// nothing is written while data is recovered.
func (api *API) compareIncarnation() ([]wire.Compare, error) {
	compares, phase, err := api.dataLoss.Fence()
	if err == nil && phase == dataloss.PhaseRecovering {
		err = dataloss.ErrDataLossSuspected
	}
	return compares, err
}

// longestFirstLeaderDelay bounds the delay between attempts while the first leader of all
// is awaited.
const longestFirstLeaderDelay = 100 * time.Millisecond

// awaitFirstLeader reports, after a delay, whether to try again because the first leader
// of all has yet to begin an incarnation: until then there is nothing to lose, and a
// user's first job is not to be turned away.
func (api *API) awaitFirstLeader(ctx context.Context, err error, attempt int) bool {
	if !errors.Is(err, dataloss.ErrDataLossSuspected) || api.storeUnavailable() || !api.dataLoss.NeverInitialized() {
		return false
	}
	return retry.Backoff(ctx, attempt, firstRetryDelay, longestFirstLeaderDelay)
}

// endNotRestored reports whether the job's end may have to be stored again, so that the
// store would take the job for new.
func (api *API) endNotRestored(id string) bool {
	_, phase, err := api.dataLoss.Fence()
	if err != nil || phase != dataloss.PhaseRestoringResults {
		return err != nil
	}
	if _, ok := api.replica.Get(ledger.EndedKey(id)); ok {
		return true
	}
	return !api.dataLoss.ReplicaCurrent()
}

// lookupLost returns what is told of a job that is not stored. One of which workers have
// tasks was accepted, though nothing else is known of it.
func (api *API) lookupLost(ctx context.Context, id string, before replicaView) (knownJob, error) {
	if err := api.confirmUnknown(id, before); err != nil {
		return knownJob{}, err
	}
	if !api.dataLoss.DataLost() {
		return knownJob{}, kvstore.ErrNotFound
	}
	_, running, ok, err := api.taskCounts(ctx, id)
	if err != nil {
		return knownJob{}, fmt.Errorf("%w: the leader cannot be asked: %w", kvstore.ErrRefused, err)
	}
	if !ok {
		return knownJob{}, kvstore.ErrNotFound
	}
	return knownJob{JobStatus: wire.JobStatus{ID: id, Phase: wire.PhaseRunning, Running: &running}}, nil
}
