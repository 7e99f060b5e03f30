package intake

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"rillflow/internal/dataloss"
	"rillflow/internal/identity"
	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/rights"
	"rillflow/internal/wire"
)

// DataLossState is what a request is decided under.
type DataLossState interface {
	// Fence is the present history's guard and phase; an error while data may have
	// been lost.
	Fence() ([]wire.Compare, dataloss.Phase, error)
	// SuspectDataLoss notes that a key is gone that nobody removed.
	SuspectDataLoss(why string)
	// RecheckStore has the history read anew: a guard on it did not hold.
	RecheckStore()
	// DataLost tells whether an earlier history was lost.
	DataLost() bool
	// NeverInitialized tells whether this node knows of no history at all and doubts none.
	NeverInitialized() bool
	// ReplicaCurrent tells whether this node's copy is of the present history and up to date.
	ReplicaCurrent() bool
	// JustStarted tells whether this node has just begun and has no copy yet.
	JustStarted() bool
}

// replicaView is what this node remembered of a job before it asked the state service. Only
// what was known by then can be contradicted by the answer: while it is on its way, and
// for long where the state service answers slowly, the job may be accepted, or end, and
// this node hear of that first.
type replicaView struct{ knowsJob, knowsEnd bool }

func (api *API) replicaView(ref string) replicaView {
	_, ended := api.replica.Get(ledger.EndedKey(ref))
	return replicaView{knowsJob: api.replica.KnowsJob(ref), knowsEnd: ended}
}

// confirmUnknown tells whether a job that is not stored never was accepted, as far as can be
// known: while a history is put together again, and where this node remembers the job,
// it may have been.
func (api *API) confirmUnknown(ref string, before replicaView) error {
	_, phase, err := api.dataLoss.Fence()
	switch {
	case err != nil:
		return err
	case phase == dataloss.PhaseComplete && before.knowsJob:
		api.dataLoss.SuspectDataLoss("job " + ref + " is gone without an end")
		return dataloss.ErrDataLossSuspected
	case api.replica.KnowsJob(ref):
		return dataloss.ErrDataLossSuspected // it has come since: asked again, it is there
	case phase != dataloss.PhaseComplete, !api.dataLoss.ReplicaCurrent():
		// Not all who may know were heard; and a node that has just begun remembers
		// nothing yet.
		return dataloss.ErrDataLossSuspected
	}
	return nil
}

// finishedDuringRecovery tells a job's end from memory, while the state service may lack it.
func (api *API) finishedDuringRecovery(ref string) (knownJob, bool) {
	if _, phase, err := api.dataLoss.Fence(); err == nil && phase != dataloss.PhaseRestoringResults && phase != dataloss.PhaseRecovering {
		return knownJob{}, false
	}
	return api.finishedInReplica(ref)
}

// finishedState tells a job's end where this node knows it: what it told before, or remembers.
func (api *API) finishedState(ref string) (knownJob, bool) {
	if p, ok := api.finished.get(ref); ok {
		return p, true
	}
	return api.finishedDuringRecovery(ref)
}

// finishedButStoredLive tells the end of a job that is stored as alive though this node remembers
// that it is over: the state service went back behind its end, which the answer to a
// read of a key does not show.
func (api *API) finishedButStoredLive(ref string, before replicaView) (knownJob, bool) {
	p, ok := api.finishedInReplica(ref)
	if ok && before.knowsEnd {
		api.dataLoss.SuspectDataLoss("job " + ref + " is alive again")
	}
	return p, ok
}

// finishedInReplica tells a job's end from this node's copy.
func (api *API) finishedInReplica(ref string) (knownJob, bool) {
	data, ok := api.replica.Get(ledger.EndedKey(ref))
	if !ok {
		return knownJob{}, false
	}
	var e ledger.EndRecord
	if json.Unmarshal(data, &e) != nil {
		return knownJob{}, false
	}
	return api.remember(ref, e), true
}

// compareIncarnation is the guard that a write carries. Nothing is written while a history is put
// together again.
func (api *API) compareIncarnation() ([]wire.Compare, error) {
	gs, phase, err := api.dataLoss.Fence()
	if err == nil && phase == dataloss.PhaseRecovering {
		err = dataloss.ErrDataLossSuspected
	}
	return gs, err
}

// awaitFirstLeader waits for the first leader of all to begin a history: until then there is
// nothing to doubt, and a user's first job is not to be turned away.
func (api *API) awaitFirstLeader(ctx context.Context, err error, try int) bool {
	return errors.Is(err, dataloss.ErrDataLossSuspected) && !api.storeUnavailable() && api.dataLoss.NeverInitialized() && kvstore.Backoff(ctx, try, 20*time.Millisecond, 100*time.Millisecond)
}

// endNotRestored tells whether the job's end is known but may yet have to be stored again, so
// that the state service would take the job for new.
func (api *API) endNotRestored(ref string) bool {
	_, phase, err := api.dataLoss.Fence()
	if err != nil || phase != dataloss.PhaseRestoringResults {
		return err != nil
	}
	if _, ok := api.replica.Get(ledger.EndedKey(ref)); ok {
		return true
	}
	return !api.dataLoss.ReplicaCurrent()
}

// lookupLost is what is told of a job that is not stored. One of which machines have tasks
// was accepted, though nothing else is known of it.
func (api *API) lookupLost(ctx context.Context, ref string, before replicaView) (knownJob, error) {
	if err := api.confirmUnknown(ref, before); err != nil {
		return knownJob{}, err
	}
	if !api.dataLoss.DataLost() {
		return knownJob{}, kvstore.ErrNotFound
	}
	_, running, ok, err := api.taskCounts(ctx, ref)
	if err != nil {
		return knownJob{}, fmt.Errorf("%w: the leader cannot be asked: %w", kvstore.ErrRefused, err)
	}
	if !ok {
		return knownJob{}, kvstore.ErrNotFound
	}
	return knownJob{JobStatus: wire.JobStatus{ID: ref, Phase: wire.PhaseRunning, Running: &running}}, nil
}

// cancelLostJob withdraws a job of which there is nothing but tasks on machines.
func (api *API) cancelLostJob(ctx context.Context, who identity.Caller, ref string, fence []wire.Compare, before replicaView) (knownJob, error) {
	if _, err := api.lookupLost(ctx, ref, before); err != nil {
		return knownJob{}, err
	}
	if _, err := api.authorize(who, rights.Withdraw, "", ref); err != nil {
		return knownJob{}, err
	}
	e := ledger.NewLostEndRecord(ref, api.now())
	data, err := ledger.Encode(e)
	if err != nil {
		return knownJob{}, err
	}
	put := wire.Operation{Put: ledger.EndedKey(ref), Value: data}
	gen, failed, err := api.store.Commit(ctx, wire.Txn{
		Compares:   slices.Concat([]wire.Compare{{Key: ledger.LiveKey(ref)}, {Key: ledger.EndedKey(ref)}}, fence, who.Guards),
		Operations: []wire.Operation{put},
	})
	if err != nil {
		return knownJob{}, err
	}
	if len(failed) > 0 {
		api.dataLoss.RecheckStore()
		return knownJob{}, errJobChanged
	}
	api.replica.RecordOwnWrites(gen, put)
	return api.remember(ref, e), nil
}
