package fleet

import (
	"fmt"
	"slices"
	"time"

	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

const (
	// minDraining and drainingDivisor bound how many instances drain at once: one in so many, and
	// some also in a small fleet.
	minDraining     = 2
	drainingDivisor = 32
)

// Planner decides which instances to request, drain and release. It remembers refusals and the
// smoothed demand from one plan to the next, and is not safe for concurrent use.
type Planner struct {
	settings          *settings.Settings
	epoch             uint64
	requests          int // requests named so far
	refused           map[offering]refusal
	smoothedSpotCores float64   // Demand.SpotCores, smoothed over time
	smoothedAt        time.Time // when it was last updated
}

// NewPlanner returns a planner; the leader's epoch keeps its request IDs unique.
func NewPlanner(config *settings.Settings, epoch uint64) *Planner {
	return &Planner{settings: config, epoch: epoch, refused: make(map[offering]refusal)}
}

// NextRequestID returns the ID of a new request. The epoch is this leader's alone, so no ID is ever
// used twice.
func (p *Planner) NextRequestID() string {
	p.requests++
	return fmt.Sprintf("%s-%d-%d", p.settings.Name, p.epoch, p.requests)
}

// Plan is what to do about the fleet.
type Plan struct {
	ScaleOut         []wire.ScaleOutRequest
	Release          []string // instances to release
	Drain            []string // instances that take no new tasks from now on
	CancelDrains     bool     // draining instances are needed after all
	CancelDrainZones []string // zones whose draining instances are needed after all
	ReuseDrained     bool     // draining instances are needed again once their replicas are gone
}

// pass is a single run of Planner.Plan: what it was given, and the plan so far.
type pass struct {
	planner   *Planner
	types     map[string]*wire.InstanceType
	instances []Instance // those not partitioned
	demand    Demand
	now       time.Time
	plan      Plan
}

// Plan decides which instances to request, drain and release. Partitioned instances are
// left out: they are not counted on, and not released.
func (p *Planner) Plan(
	types map[string]*wire.InstanceType, instances []Instance, demand Demand, now time.Time,
) Plan {
	current := &pass{planner: p, types: types, demand: demand, now: now}
	current.instances = slices.DeleteFunc(slices.Clone(instances), func(instance Instance) bool {
		return instance.Partitioned
	})
	if demand.ScaleAheadCores == 0 && p.settings.NeverScalesAhead() {
		return newFrugalPass(current).run()
	}
	return current.runAhead()
}

// idleLongEnough reports whether an instance has been idle long enough to be released: the time
// that another takes to boot, by the operator's ratio.
func (p *pass) idleLongEnough(instance Instance, instanceType *wire.InstanceType) bool {
	if instance.Releasing || instance.IdleSince.IsZero() {
		return false
	}
	bootTime := settings.Seconds(instanceType.BootSeconds)
	return p.now.Sub(instance.IdleSince) >= time.Duration(p.planner.settings.Operator.Fleet.IdleTimeout*float64(bootTime))
}

// maxDraining returns how many of so many instances may drain at once.
func maxDraining(instances int) int {
	return max(minDraining, instances/drainingDivisor)
}
