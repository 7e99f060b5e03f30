package leader

import (
	"fmt"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// needsGroup is a group of waiting jobs of a type that have the same needs. Whether a task of theirs
// fits any worker is decided once for all of them, but for zones that a job's claims rule out and
// workers on which it has failed.
type needsGroup struct {
	positions []int // of the jobs in the queue of their type, ascending
}

// needsOf returns a key that is equal for jobs of one team whose tasks fit the same workers, as far as
// their submissions tell.
func needsOf(spec *wire.Job) string {
	return fmt.Sprint(spec.Team, "|", spec.Kind, "|", spec.CPUs, spec.GPUs, spec.MemoryGB, spec.AllowSpot,
		"|", spec.Zone, "|", spec.InstanceTypes)
}

// groupByNeeds groups jobs in scheduling order.
func groupByNeeds(jobs []*ledger.Job) []*needsGroup {
	var groups []*needsGroup
	byNeeds := make(map[string]*needsGroup)
	var group *needsGroup
	for i, job := range jobs {
		if job.PlacementNeeds == "" {
			job.PlacementNeeds = needsOf(&job.Spec)
		}
		if i == 0 || job.PlacementNeeds != jobs[i-1].PlacementNeeds {
			group = byNeeds[job.PlacementNeeds]
		}
		if group == nil {
			group = &needsGroup{}
			byNeeds[job.PlacementNeeds] = group
			groups = append(groups, group)
		}
		group.positions = append(group.positions, i)
	}
	return groups
}

// needsCursor is the next job of a group to be offered.
type needsCursor struct {
	positions []int        // of the jobs of the group not yet visited
	targets   []*candidate // workers with room for the group's tasks, see roomIndex.withRoom
}

// mergeCursors calls visit for the jobs of all groups of a queue in scheduling order, until visit
// returns false.
func mergeCursors(
	queue *typeQueue, cursors []*needsCursor, visit func(job *ledger.Job, targets []*candidate) bool,
) {
	for {
		var first *needsCursor
		for _, cursor := range cursors {
			if len(cursor.positions) > 0 && (first == nil || cursor.positions[0] < first.positions[0]) {
				first = cursor
			}
		}
		if first == nil {
			return
		}
		job := queue.jobs[first.positions[0]]
		first.positions = first.positions[1:]
		if !visit(job, first.targets) {
			return
		}
	}
}
