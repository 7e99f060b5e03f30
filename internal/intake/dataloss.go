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

// DataLossState describes how far the store's data can be relied on when a request is decided.
type DataLossState interface {
	// Fence returns the compares on the current incarnation of the store's data, which
	// every write includes, and its recovery phase. It fails while data loss is suspected.
	Fence() ([]wire.Compare, dataloss.Phase, error)
	// SuspectDataLoss records the reason to suspect a data loss, such as a missing key that
	// nobody deleted.
	SuspectDataLoss(reason string)
	// RecheckStore triggers another read of the incarnation, after a compare on it failed.
	RecheckStore()
	// DataLost reports whether data of an earlier incarnation was lost.
	DataLost() bool
	// NeverInitialized reports whether this controller has never seen an incarnation and
	// suspects no data loss.
	NeverInitialized() bool
	// ReplicaCurrent reports whether this controller's replica belongs to the current
	// incarnation and is up to date.
	ReplicaCurrent() bool
	// JustStarted reports whether this controller has just started and has no replica yet.
	JustStarted() bool
}

// replicaView is what this controller's replica held about a job before the store was read.
// Only a contradiction between this view and the store's response shows a data loss. While a read
// is in flight, which may take long with a slow store, the job may be accepted or end, and the
// replica may learn of it first.
type replicaView struct{ knowsJob, knowsEnd bool }

func (api *API) replicaView(id string) replicaView {
	_, knowsEnd := api.replica.Get(ledger.EndedKey(id))
	return replicaView{knowsJob: api.replica.KnowsJob(id), knowsEnd: knowsEnd}
}

// confirmUnknown returns nil if a job that the store lacks was never accepted, as far as this
// controller can tell. It fails with ErrDataLossSuspected during recovery, without a current
// replica, and if the replica has the job.
func (api *API) confirmUnknown(id string, before replicaView) error {
	_, phase, err := api.dataLoss.Fence()
	switch {
	case err != nil:
		return err
	case phase == dataloss.PhaseComplete && before.knowsJob:
		api.dataLoss.SuspectDataLoss("job " + id + " is gone without an end")
		return dataloss.ErrDataLossSuspected
	case api.replica.KnowsJob(id):
		return dataloss.ErrDataLossSuspected // accepted during the read, so the retry finds it
	case phase != dataloss.PhaseComplete, !api.dataLoss.ReplicaCurrent():
		// The recovery has not read all sources yet, or this controller has just started
		// and has no replica.
		return dataloss.ErrDataLossSuspected
	}
	return nil
}

// finishedState returns how a job ended if this controller knows: from its cache, or from its
// replica while the store may lack the end.
func (api *API) finishedState(id string) (jobState, bool) {
	if job, ok := api.finished.get(id); ok {
		return job, true
	}
	return api.finishedDuringRecovery(id)
}

// finishedDuringRecovery returns how a job ended according to the replica, while the store
// may lack the end.
func (api *API) finishedDuringRecovery(id string) (jobState, bool) {
	_, phase, err := api.dataLoss.Fence()
	if err == nil && phase != dataloss.PhaseRestoringResults && phase != dataloss.PhaseRecovering {
		return jobState{}, false
	}
	return api.finishedInReplica(id)
}

// finishedButStoredLive returns how a job ended that the store has as live although the
// replica has its end: the store went back to an earlier state, which the response to the read
// of a single key does not show.
func (api *API) finishedButStoredLive(id string, before replicaView) (jobState, bool) {
	job, ok := api.finishedInReplica(id)
	if ok && before.knowsEnd {
		api.dataLoss.SuspectDataLoss("job " + id + " is alive again")
	}
	return job, ok
}

func (api *API) finishedInReplica(id string) (jobState, bool) {
	data, ok := api.replica.Get(ledger.EndedKey(id))
	if !ok {
		return jobState{}, false
	}
	var end ledger.EndRecord
	if json.Unmarshal(data, &end) != nil { // the store has it too and is read next
		return jobState{}, false
	}
	return api.remember(id, end), true
}

// incarnationCompares returns the compares that every write includes. It fails with
// ErrDataLossSuspected during recovery, when nothing may be written.
func (api *API) incarnationCompares() ([]wire.Compare, error) {
	compares, phase, err := api.dataLoss.Fence()
	if err == nil && phase == dataloss.PhaseRecovering {
		err = dataloss.ErrDataLossSuspected
	}
	return compares, err
}

// maxFirstLeaderDelay bounds the delay between attempts while a new deployment has no leader
// yet.
const maxFirstLeaderDelay = 100 * time.Millisecond

// awaitFirstLeader reports, after a backoff delay, whether to retry because the first leader
// of a new deployment has not initialized the store yet. No data can have been lost then, and
// the first job of a user should not be refused.
func (api *API) awaitFirstLeader(ctx context.Context, err error, attempt int) bool {
	if !errors.Is(err, dataloss.ErrDataLossSuspected) || api.storeUnavailable() || !api.dataLoss.NeverInitialized() {
		return false
	}
	return retry.Backoff(ctx, attempt, firstRetryDelay, maxFirstLeaderDelay)
}

// endNotRestored reports whether recovery may still have to store the job's end, so that a
// submission of the ended job would create it again.
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

// lookupLost returns the state of a job that the store lacks. After a data loss, a job with
// tasks on workers counts as running: it was accepted, although its record is lost.
func (api *API) lookupLost(ctx context.Context, id string, before replicaView) (jobState, error) {
	if err := api.confirmUnknown(id, before); err != nil {
		return jobState{}, err
	}
	if !api.dataLoss.DataLost() {
		return jobState{}, kvstore.ErrNotFound
	}
	_, running, ok, err := api.taskCounts(ctx, id)
	if err != nil {
		return jobState{}, fmt.Errorf("%w: the leader cannot be asked: %w", kvstore.ErrRefused, err)
	}
	if !ok {
		return jobState{}, kvstore.ErrNotFound
	}
	return jobState{JobStatus: wire.JobStatus{ID: id, Phase: wire.PhaseRunning, Running: &running}}, nil
}
