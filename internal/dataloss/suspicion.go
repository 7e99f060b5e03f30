package dataloss

import (
	"fmt"

	"rillflow/internal/kvstore"
	"rillflow/internal/wire"
)

// ErrDataLossSuspected says that the store may have lost data, so that nothing that it
// holds, or does not hold, can be relied on yet. It wraps kvstore.ErrRefused: whoever waits
// for a store that refuses requests waits for this as well.
var ErrDataLossSuspected = fmt.Errorf("dataloss: store may have lost data: %w", kvstore.ErrRefused)

// Reasons for which data loss is suspected. Peers are sent them and /operator/status shows
// them, so their spelling stays.
const (
	reasonRevisionsWentBack  = "generations went back from %d to %d"
	reasonKeyGone            = "the history's key is gone"
	reasonEarlierIncarnation = "an earlier history is back"
)

// Suspicion says whether an incarnation is suspected to be lost.
type Suspicion struct {
	Active bool
	// IncarnationID is the incarnation that is suspected, or was last; "" if it is not
	// known which.
	IncarnationID string
	Reason        string // "" if the suspicion is not active
}

// Suspect notes that the present incarnation may be lost. Only the first reason counts.
func (d *Detector) Suspect(reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspectLocked(reason)
}

// suspectLocked is Suspect with the mutex held.
func (d *Detector) suspectLocked(reason string) {
	if d.suspicion.Active {
		return
	}
	d.suspicion = Suspicion{Active: true, IncarnationID: d.current.ID, Reason: reason}
	d.log.Warn("store data loss suspected", "incarnation", d.current.ID, "reason", reason)
	if d.onSuspect != nil {
		go d.onSuspect(reason)
	}
}

// Suspicion returns whether an incarnation is suspected to be lost, which and why.
func (d *Detector) Suspicion() Suspicion {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.suspicion
}

// Fence returns what a user's request is decided under: the compares that its writes carry,
// and the incarnation's phase. It fails with ErrDataLossSuspected. legacyLeader says that the
// leader is of a version that knows nothing of incarnations: what it stores is taken as it
// is.
func (d *Detector) Fence(legacyLeader bool) ([]wire.Compare, Phase, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	compare, ok := d.current.Compare()
	switch {
	case d.suspicion.Active || !d.loaded:
		return nil, "", ErrDataLossSuspected
	case !ok && legacyLeader:
		return nil, PhaseComplete, nil
	case !ok:
		return nil, "", ErrDataLossSuspected
	}
	return []wire.Compare{compare}, d.current.Phase, nil
}

// ObservePeer takes in what a peer says: its suspicion, whose IncarnationID is the
// incarnation that it goes by even if the suspicion is not active. A suspicion of the very
// incarnation that this controller goes by is shared.
func (d *Detector) ObservePeer(peer string, theirs Suspicion) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !d.loaded:
	case theirs.IncarnationID != d.current.ID:
		// One of the two is behind. The watch may not tell: it begins after a revision that
		// the present incarnation had passed before this controller looked.
		d.Recheck()
	case theirs.Active && !d.suspicion.Active:
		d.suspectLocked(peer + ": " + theirs.Reason)
	}
}
