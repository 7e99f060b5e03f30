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

// Past is what a request is decided under.
type Past interface {
	// Fence is the present history's guard and phase; an error while data may have
	// been lost.
	Fence() ([]wire.Compare, dataloss.Phase, error)
	// Doubt notes that a key is gone that nobody removed.
	Doubt(why string)
	// Check has the history read anew: a guard on it did not hold.
	Check()
	// Lost tells whether an earlier history was lost.
	Lost() bool
	// Fresh tells whether this node knows of no history at all and doubts none.
	Fresh() bool
	// Fed tells whether this node's copy is of the present history and up to date.
	Fed() bool
	// Young tells whether this node has just begun and has no copy yet.
	Young() bool
}

// glance is what this node remembered of a job before it asked the state service. Only
// what was known by then can be contradicted by the answer: while it is on its way, and
// for long where the state service answers slowly, the job may be accepted, or end, and
// this node hear of that first.
type glance struct{ known, ended bool }

func (u *Users) glance(ref string) glance {
	_, ended := u.copies.Get(ledger.EndedKey(ref))
	return glance{known: u.copies.KnowsJob(ref), ended: ended}
}

// sure tells whether a job that is not stored never was accepted, as far as can be
// known: while a history is put together again, and where this node remembers the job,
// it may have been.
func (u *Users) sure(ref string, before glance) error {
	_, phase, err := u.past.Fence()
	switch {
	case err != nil:
		return err
	case phase == dataloss.PhaseComplete && before.known:
		u.past.Doubt("job " + ref + " is gone without an end")
		return dataloss.ErrDataLossSuspected
	case u.copies.KnowsJob(ref):
		return dataloss.ErrDataLossSuspected // it has come since: asked again, it is there
	case phase != dataloss.PhaseComplete, !u.past.Fed():
		// Not all who may know were heard; and a node that has just begun remembers
		// nothing yet.
		return dataloss.ErrDataLossSuspected
	}
	return nil
}

// recall tells a job's end from memory, while the state service may lack it.
func (u *Users) recall(ref string) (known, bool) {
	if _, phase, err := u.past.Fence(); err == nil && phase != dataloss.PhaseRestoringResults && phase != dataloss.PhaseRecovering {
		return known{}, false
	}
	return u.over(ref)
}

// final tells a job's end where this node knows it: what it told before, or remembers.
func (u *Users) final(ref string) (known, bool) {
	if p, ok := u.ended.get(ref); ok {
		return p, true
	}
	return u.recall(ref)
}

// returned tells the end of a job that is stored as alive though this node remembers
// that it is over: the state service went back behind its end, which the answer to a
// read of a key does not show.
func (u *Users) returned(ref string, before glance) (known, bool) {
	p, ok := u.over(ref)
	if ok && before.ended {
		u.past.Doubt("job " + ref + " is alive again")
	}
	return p, ok
}

// over tells a job's end from this node's copy.
func (u *Users) over(ref string) (known, bool) {
	data, ok := u.copies.Get(ledger.EndedKey(ref))
	if !ok {
		return known{}, false
	}
	var e ledger.EndRecord
	if json.Unmarshal(data, &e) != nil {
		return known{}, false
	}
	return u.remember(ref, e), true
}

// fence is the guard that a write carries. Nothing is written while a history is put
// together again.
func (u *Users) fence() ([]wire.Compare, error) {
	gs, phase, err := u.past.Fence()
	if err == nil && phase == dataloss.PhaseRecovering {
		err = dataloss.ErrDataLossSuspected
	}
	return gs, err
}

// opens waits for the first leader of all to begin a history: until then there is
// nothing to doubt, and a user's first job is not to be turned away.
func (u *Users) opens(ctx context.Context, err error, try int) bool {
	return errors.Is(err, dataloss.ErrDataLossSuspected) && !u.down() && u.past.Fresh() && kvstore.Backoff(ctx, try, 20*time.Millisecond, 100*time.Millisecond)
}

// unstored tells whether the job's end is known but may yet have to be stored again, so
// that the state service would take the job for new.
func (u *Users) unstored(ref string) bool {
	_, phase, err := u.past.Fence()
	if err != nil || phase != dataloss.PhaseRestoringResults {
		return err != nil
	}
	if _, ok := u.copies.Get(ledger.EndedKey(ref)); ok {
		return true
	}
	return !u.past.Fed()
}

// absent is what is told of a job that is not stored. One of which machines have tasks
// was accepted, though nothing else is known of it.
func (u *Users) absent(ctx context.Context, ref string, before glance) (known, error) {
	if err := u.sure(ref, before); err != nil {
		return known{}, err
	}
	if !u.past.Lost() {
		return known{}, kvstore.ErrNotFound
	}
	_, running, ok, err := u.counts(ctx, ref)
	if err != nil {
		return known{}, fmt.Errorf("%w: the leader cannot be asked: %w", kvstore.ErrRefused, err)
	}
	if !ok {
		return known{}, kvstore.ErrNotFound
	}
	return known{JobStatus: wire.JobStatus{ID: ref, Phase: wire.PhaseRunning, Running: &running}}, nil
}

// endLost withdraws a job of which there is nothing but tasks on machines.
func (u *Users) endLost(ctx context.Context, who identity.Caller, ref string, fence []wire.Compare, before glance) (known, error) {
	if _, err := u.absent(ctx, ref, before); err != nil {
		return known{}, err
	}
	if _, err := u.may(who, rights.Withdraw, "", ref); err != nil {
		return known{}, err
	}
	e := ledger.NewLostEndRecord(ref, u.now())
	data, err := ledger.Encode(e)
	if err != nil {
		return known{}, err
	}
	put := wire.Operation{Put: ledger.EndedKey(ref), Value: data}
	gen, failed, err := u.st.Commit(ctx, wire.Txn{
		Compares:   slices.Concat([]wire.Compare{{Key: ledger.LiveKey(ref)}, {Key: ledger.EndedKey(ref)}}, fence, who.Guards),
		Operations: []wire.Operation{put},
	})
	if err != nil {
		return known{}, err
	}
	if len(failed) > 0 {
		u.past.Check()
		return known{}, errMoved
	}
	u.copies.RecordOwnWrites(gen, put)
	return u.remember(ref, e), nil
}
