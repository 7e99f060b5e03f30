package dataloss

import (
	"fmt"

	"rillflow/internal/kvstore"
	"rillflow/internal/wire"
)

// ErrDataLossSuspected means that the store may have lost data, so that neither present nor
// missing records can be relied on yet. It wraps kvstore.ErrRefused, so that callers that
// retry while the store refuses requests also retry on this error.
var ErrDataLossSuspected = fmt.Errorf("dataloss: store may have lost data: %w", kvstore.ErrRefused)

// Reasons for suspecting data loss. They are sent to peers and shown in /operator/status, so
// their texts must not change.
const (
	reasonRevisionsWentBack  = "generations went back from %d to %d"
	reasonKeyMissing         = "the history's key is gone"
	reasonEarlierIncarnation = "an earlier history is back"
)

// Suspicion is the state of a suspected loss of an incarnation.
type Suspicion struct {
	Active bool
	// IncarnationID is the incarnation that is or was last suspected, or "" if it is unknown.
	IncarnationID string
	Reason        string // "" unless Active
}

// Suspect records that the current incarnation may be lost. While a suspicion is active,
// further reasons are ignored.
func (d *Detector) Suspect(reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspectLocked(reason)
}

// suspectLocked is Suspect for callers that hold d.mu.
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

// Suspicion returns the current suspicion of this controller.
func (d *Detector) Suspicion() Suspicion {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.suspicion
}

// Fence returns the compares that the writes of a user's request must carry, and the phase of
// the current incarnation. It returns ErrDataLossSuspected while a suspicion is active or the
// current incarnation is unknown. legacyLeader means that the leader runs a version without
// incarnations, whose data is taken as complete.
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

// ObservePeer processes a peer's suspicion, whose IncarnationID is the peer's current
// incarnation even if the suspicion is not active. This controller adopts an active
// suspicion of its own current incarnation.
func (d *Detector) ObservePeer(peer string, peerSuspicion Suspicion) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !d.loaded:
	case peerSuspicion.IncarnationID != d.current.ID:
		// Either controller may be out of date. The watch does not always report the change:
		// it may have started at a later revision than that of the current incarnation's key.
		d.Recheck()
	case peerSuspicion.Active && !d.suspicion.Active:
		d.suspectLocked(peer + ": " + peerSuspicion.Reason)
	}
}
