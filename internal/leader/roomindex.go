package leader

import (
	"rillflow/internal/wire"
)

// roomIndex finds workers with room for a task among the candidates of a pass, without a scan of all
// of them: it groups those that may run the same jobs.
type roomIndex struct {
	groups []*roomGroup
}

// roomGroup holds the candidates of one instance type, zone and kind, reserved or not.
type roomGroup struct {
	candidates []*candidate
	maxFree    resources // the most of each resource that any of them has free
}

// roomKey identifies a roomGroup.
type roomKey struct {
	instanceType, zone string
	spot, reserved     bool
}

// maxTargetsPerGroup is the number of workers with room that withRoom returns of a group: one more than
// a job can be excluded from.
const maxTargetsPerGroup = maxRecordedFailures + 1

func newRoomIndex(candidates []*candidate) *roomIndex {
	index := &roomIndex{}
	byKey := make(map[roomKey]*roomGroup)
	for _, target := range candidates {
		worker := target.worker
		key := roomKey{worker.InstanceType, worker.Zone, worker.Spot, target.reservedFor != nil}
		group := byKey[key]
		if group == nil {
			group = &roomGroup{}
			byKey[key] = group
			index.groups = append(index.groups, group)
		}
		group.candidates = append(group.candidates, target)
		group.maxFree = group.maxFree.max(target.free)
	}
	return index
}

// withRoom returns candidates that a task with the given specification may run on and fits, from
// each group at most maxTargetsPerGroup. If it returns none, there are none.
func (index *roomIndex) withRoom(spec *wire.Job) []*candidate {
	var targets []*candidate
	for _, group := range index.groups {
		if !group.maxFree.fit(spec) || !group.candidates[0].allowsSpec(spec) {
			continue
		}
		found := 0
		for _, target := range group.candidates {
			if found == maxTargetsPerGroup {
				break
			}
			if target.free.fit(spec) {
				targets = append(targets, target)
				found++
			}
		}
	}
	return targets
}
