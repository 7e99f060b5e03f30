package control

import (
	"slices"
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// Within a type, arrays go by the times that their users named and by the least work, which
// serves the most of them; but the largest would wait for as long as small ones keep coming.
// So those of which nothing has begun after a good wait age share the rooms with the rest:
// each side is given as much work as the other, on theirs the oldest first. One that waits
// for much longer is as good as lost in that overload, and is left to the rest.
const (
	starves = 1.4 // from which wait on, as a ratio to the wait age
	forlorn = 2.1 // and until which
)

// waitAge is from when on what waits goes first among types.
func (r *reign) waitAge() time.Duration {
	return time.Duration(r.set.Operator.Placement.WaitAge * float64(r.set.Lease()))
}

// starved tells whether an array has waited for so long, with nothing of it begun, that it
// has a share of its own.
func (r *reign) starved(j *ledger.Job, now time.Time) bool {
	age := float64(now.Sub(j.WaitingSince)) / float64(r.waitAge())
	return j.Spec.Kind != wire.KindService && j.Active() == 0 && j.Done() == 0 && age > starves && age < forlorn
}

// deficit is the work, in core-seconds, that starved arrays of a type were given less the
// work that others were, while both waited.
type deficit struct {
	ahead   float64
	starved map[string]bool // jobs that are
}

// share lets starved arrays go first only while they were given no more than the others.
func (r *reign) share(es []ordered) {
	if len(es) == 0 {
		return
	}
	name := es[0].j.Type
	if !slices.ContainsFunc(es, func(e ordered) bool { return e.starved }) {
		delete(r.deficits, name)
		return
	}
	d := r.deficits[name]
	if d == nil {
		d = &deficit{}
		r.deficits[name] = d
	}
	d.starved = make(map[string]bool)
	for i := range es {
		if es[i].starved {
			d.starved[es[i].j.Ref] = true
			es[i].starved = d.ahead <= 0
		}
	}
}

// placed accounts for a claimed task.
func (r *reign) placed(j *ledger.Job) {
	d := r.deficits[j.Type]
	if d == nil || j.Spec.Kind == wire.KindService {
		return
	}
	work := max(j.Spec.CPUs, 1) * max(j.Spec.ExpectedSeconds, 1)
	if !d.starved[j.Ref] {
		work = -work
	}
	d.ahead += work
}
