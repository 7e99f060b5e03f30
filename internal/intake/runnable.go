package intake

import (
	"errors"
	"fmt"
	"slices"

	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// ErrUndecided reports that it cannot be decided yet whether a job can run.
var ErrUndecided = errors.New("machine types are not known yet")

// amountTolerance is the difference up to which resource amounts count as equal.
const amountTolerance = 1e-6

// Runnable returns why a job can never run, or nil if it can, or ErrUndecided while the
// instance types are not known.
func Runnable(job *wire.Job, settings *settings.Settings, types map[string]*wire.InstanceType) error {
	team, ok := settings.Team(job.Team)
	if !ok {
		return fmt.Errorf("unknown team %q", job.Team)
	}
	concurrentTasks := 1.0 // tasks that must run at the same time
	if job.Kind != wire.KindArray {
		concurrentTasks = float64(job.TaskCount)
	}
	if job.CPUs*concurrentTasks > team.CPUsMax+amountTolerance || job.GPUs*concurrentTasks > team.GPUsMax+amountTolerance {
		return fmt.Errorf("more than the limit of team %q", job.Team)
	}
	if types == nil {
		return ErrUndecided
	}
	zones := zonesThatFit(job, types)
	if len(zones) == 0 {
		return errors.New("a task fits no allowed machine type")
	}
	mustSpread := job.Kind != wire.KindArray && job.TaskCount > 1 && job.SpreadZones
	if mustSpread && (job.SingleZone || len(zones) < 2) {
		return errors.New("the tasks cannot be spread as asked")
	}
	return nil
}

// zonesThatFit returns the allowed zones that offer an allowed instance type large enough for
// a task.
func zonesThatFit(job *wire.Job, types map[string]*wire.InstanceType) map[string]bool {
	zones := make(map[string]bool)
	for _, instanceType := range types {
		if !typeFits(job, instanceType) {
			continue
		}
		for _, zone := range instanceType.Zones {
			if job.Zone == "" || job.Zone == zone {
				zones[zone] = true
			}
		}
	}
	return zones
}

func typeFits(job *wire.Job, instanceType *wire.InstanceType) bool {
	allowed := len(job.InstanceTypes) == 0 || slices.Contains(job.InstanceTypes, instanceType.Name)
	return allowed && job.CPUs <= instanceType.CPUs+amountTolerance && job.GPUs <= instanceType.GPUs+amountTolerance &&
		job.MemoryGB <= instanceType.MemoryGB+amountTolerance
}
