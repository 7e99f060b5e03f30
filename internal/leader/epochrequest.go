package leader

import (
	"maps"
	"sync"
	"time"
)

// Why a higher epoch is requested, in logs and as label values of metrics.
const (
	epochForUnstartedClaim = "unstarted_claim" // a claim is to be freed whose start may still arrive
	epochForOldExit        = "old_exit"        // an exited attempt has waited long to be forgotten
	epochForManyStarts     = "many_starts"     // many direct starts to one worker are recorded
	epochForShardOwners    = "shard_owners"    // other controllers are to own the shards
	epochForLateRaise      = "late_raise"      // a raise without a response was applied late
)

// epochRaises counts the raises of the epoch by this process, by reason. It is safe for concurrent
// use; its zero value is ready for use.
type epochRaises struct {
	mu     sync.Mutex
	counts map[string]uint64
}

func (r *epochRaises) add(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = make(map[string]uint64)
	}
	r.counts[reason]++
}

// EpochRaises returns how often this controller has raised the epoch, by reason.
func (r *Runner) EpochRaises() map[string]uint64 {
	r.epochRaises.mu.Lock()
	defer r.epochRaises.mu.Unlock()
	return maps.Clone(r.epochRaises.counts)
}

// requestEpoch requests a higher epoch, unless one is requested already.
func (s *termScope) requestEpoch(reason string) {
	select {
	case s.epochSignal <- reason:
	default:
	}
}

// HeldExits describes the exited attempts that workers must not forget yet.
type HeldExits struct {
	Count     int
	OldestAge time.Duration // since the first of them was reported; 0 if there are none
}

// HeldExits returns the exited attempts held back in the term, a zero value if this controller does not lead.
func (r *Runner) HeldExits() HeldExits {
	term := r.current.Load()
	if term == nil {
		return HeldExits{}
	}
	term.mu.Lock()
	defer term.mu.Unlock()
	var held HeldExits
	epoch, now := term.leadership.Epoch(), term.now()
	for _, worker := range term.workersByName {
		count, oldest := worker.HeldExits(epoch)
		held.Count += count
		if count > 0 {
			held.OldestAge = max(held.OldestAge, now.Sub(oldest))
		}
	}
	return held
}
