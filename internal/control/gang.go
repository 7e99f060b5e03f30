package control

import (
	"cmp"
	"slices"
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// gangs starts every gang for whose waiting tasks there is room now, all of
// them or none.
func (r *reign) gangs(queues []*queue, rooms []*room, now time.Time) int {
	var js []*ledger.Job
	for _, q := range queues {
		for _, j := range q.jobs {
			if j.Gang() && r.led.MayAll(j) {
				js = append(js, j)
			}
		}
	}
	slices.SortFunc(js, func(a, b *ledger.Job) int {
		return cmp.Or(cmp.Compare(r.tier(a), r.tier(b)), a.ReadyAt.Compare(b.ReadyAt), cmp.Compare(a.Ref, b.Ref))
	})
	n := 0
	for _, j := range js {
		for _, m := range r.muster(j, rooms) {
			if r.claim(m, j) {
				n++
			}
		}
	}
	return n
}

// muster finds a room for each waiting task of a gang, or returns nil.
func (r *reign) muster(j *ledger.Job, rooms []*room) []*room {
	need := j.WaitingTasks()
	order := slices.Clone(rooms)
	slices.SortStableFunc(order, func(a, b *room) int { return cmp.Compare(a.fetch(j), b.fetch(j)) })
	for _, zone := range zonesOf(j, order) {
		perZone := make(map[string]int)
		var got []*room
		for _, m := range order {
			if zone != "" && m.h.Zone != zone || !m.fits(j) {
				continue
			}
			free := *m
			for len(got) < need && free.fits(j) && (!j.Spec.SpreadZones || perZone[m.h.Zone] < (j.Spec.TaskCount+1)/2) {
				got = append(got, m)
				perZone[m.h.Zone]++
				free.cores -= j.Spec.CPUs
				free.accel -= j.Spec.GPUs
				free.ram -= j.Spec.MemoryGB
			}
		}
		if len(got) == need {
			return got
		}
	}
	return nil
}

// zonesOf are the zones to try one after the other, or "" for all at once.
func zonesOf(j *ledger.Job, rooms []*room) []string {
	if !j.Spec.SingleZone {
		return []string{""}
	}
	var zs []string
	for _, m := range rooms {
		if !slices.Contains(zs, m.h.Zone) {
			zs = append(zs, m.h.Zone)
		}
	}
	return zs
}

// hold keeps rooms for the oldest job past the set wait that fits nowhere, so
// that large tasks and gangs are not starved by small ones: as what runs there
// ends, the room adds up until they fit.
func (r *reign) hold(queues []*queue, rooms []*room, now time.Time) {
	aged := r.waitAge()
	var old *ledger.Job
	for _, q := range queues {
		for _, j := range q.jobs {
			if now.Sub(j.WaitingSince) < aged || old != nil && !j.WaitingSince.Before(old.WaitingSince) {
				continue
			}
			if j.Gang() && r.led.MayAll(j) || !j.Gang() && r.homeless(j, rooms) {
				old = j
			}
		}
	}
	if old == nil {
		return
	}
	need := 1
	if old.Gang() {
		need = old.WaitingTasks()
	}
	order := slices.DeleteFunc(slices.Clone(rooms), func(m *room) bool {
		return !m.couldFit(old) || !old.Gang() && r.led.May(old, m.h.Zone) != nil
	})
	// The freest machines first: they come free soonest.
	slices.SortStableFunc(order, func(a, b *room) int { return -cmp.Compare(a.cores, b.cores) })
	for _, zone := range zonesOf(old, order) {
		var held []*room
		slots := 0
		for _, m := range order {
			if slots < need && (zone == "" || m.h.Zone == zone) {
				held = append(held, m)
				slots += m.slots(old)
			}
		}
		if slots >= need {
			for _, m := range held {
				m.held = old
			}
			return
		}
	}
}

// homeless tells whether the job's next task fits no room, though it would fit
// some machine and is within its limits.
func (r *reign) homeless(j *ledger.Job, rooms []*room) bool {
	could := false
	for _, m := range rooms {
		if r.led.May(j, m.h.Zone) != nil {
			continue
		}
		if m.fits(j) {
			return false
		}
		could = could || m.couldFit(j)
	}
	return could
}

// slots is how many tasks of a job the machine holds when empty.
func (m *room) slots(j *ledger.Job) int { return slots(&j.Spec, m.t.CPUs, m.t.GPUs, m.t.MemoryGB) }

// slots is how many tasks of a job fit an amount.
func slots(s *wire.Job, cores, accel, ram float64) int {
	n := s.TaskCount
	for _, q := range [][2]float64{{cores, s.CPUs}, {accel, s.GPUs}, {ram, s.MemoryGB}} {
		if q[1] > 0 {
			n = min(n, int((q[0]+slack)/q[1]))
		}
	}
	return n
}

// fetch is how long the machine would fetch the job's image, in seconds.
func (m *room) fetch(j *ledger.Job) float64 {
	if m.t.ImagePullGBPerSecond <= 0 || m.h.HasImage(j.Spec.Image) {
		return 0
	}
	return j.Spec.ImageGB / m.t.ImagePullGBPerSecond
}
