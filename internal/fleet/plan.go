package fleet

import (
	"fmt"
	"slices"
	"time"

	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

const (
	// At most one in drainingDivisor instances drain at once, but minDraining in a small fleet.
	minDraining     = 2
	drainingDivisor = 32
)

// Planner decides which instances to request, drain and release. It keeps the refusals and the
// smoothed demand from one plan to the next. It is not safe for concurrent use.
type Planner struct {
	settings          *settings.Settings
	epoch             uint64
	requestCount      int // request IDs issued so far
	refused           map[offering]refusal
	smoothedSpotCores float64   // Demand.SpotCores, smoothed over time
	smoothedAt        time.Time // when smoothedSpotCores was last updated
}

// NewPlanner returns a planner. The leader's epoch makes its request IDs unique.
func NewPlanner(config *settings.Settings, epoch uint64) *Planner {
	return &Planner{settings: config, epoch: epoch, refused: make(map[offering]refusal)}
}

// NextRequestID returns the ID for a new request. No other leader has the same epoch, so no ID is
// ever used twice.
func (p *Planner) NextRequestID() string {
	p.requestCount++
	return fmt.Sprintf("%s-%d-%d", p.settings.Name, p.epoch, p.requestCount)
}

// Plan lists the changes to make to the fleet.
type Plan struct {
	ScaleOut         []wire.ScaleOutRequest
	Release          []string // instances to release
	Drain            []string // instances to drain: they take no new tasks
	CancelDrains     bool     // all drains are cancelled
	CancelDrainZones []string // zones in which all drains are cancelled
	ReuseDrained     bool     // an instance is used again once its replicas were drained
}

// pass holds the input of one call of Planner.Plan and the plan made so far.
type pass struct {
	planner   *Planner
	types     map[string]*wire.InstanceType
	instances []Instance // without partitioned ones
	demand    Demand
	now       time.Time
	plan      Plan
}

// Plan decides which instances to request, drain and release. Partitioned instances are ignored:
// they neither count as capacity nor are released.
func (p *Planner) Plan(
	types map[string]*wire.InstanceType, instances []Instance, demand Demand, now time.Time,
) Plan {
	current := &pass{planner: p, types: types, demand: demand, now: now}
	current.instances = slices.DeleteFunc(slices.Clone(instances), func(instance Instance) bool {
		return instance.Partitioned
	})
	if demand.ScaleAheadCores == 0 && p.settings.NeverScalesAhead() {
		return newCostSavingPass(current).run()
	}
	return current.runAhead()
}

// idleLongEnough reports whether an instance has been idle for its idle timeout: the boot time of
// its type times the operator's ratio. An instance to be released anyway is not idle.
func (p *pass) idleLongEnough(instance Instance, instanceType *wire.InstanceType) bool {
	if instance.Releasing || instance.IdleSince.IsZero() {
		return false
	}
	bootTime := settings.Seconds(instanceType.BootSeconds)
	return p.now.Sub(instance.IdleSince) >= time.Duration(p.planner.settings.Operator.Fleet.IdleTimeout*float64(bootTime))
}

// maxDraining returns how many instances may drain at once in a fleet of the given size.
func maxDraining(instances int) int {
	return max(minDraining, instances/drainingDivisor)
}
