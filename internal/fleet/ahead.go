package fleet

import (
	"cmp"
	"math"
	"slices"
)

// runAhead plans capacity ahead of demand: it requests instances up to the quota limits of the
// teams, and releases instances only once there is no work at all.
func (p *pass) runAhead() Plan {
	p.plan.ReuseDrained = true
	p.scaleOutAhead()
	p.scaleOutConstrained(p.constrainedSupplies(1))
	p.scaleOutWithoutRoom()
	p.plan.Drain = p.blockedByReplicas()
	if len(p.demand.TaskShapes) == 0 {
		p.releaseIdle()
	}
	return p.plan
}

// scaleOutAhead requests instances up to the quota limits of the teams for which the fleet is scaled
// ahead, and for the work of the other teams. Every offering is requested for the full shortfall.
func (p *pass) scaleOutAhead() {
	missingCores := p.demand.ScaleAheadCores +
		(p.demand.OnDemandCores+p.demand.SpotCores)*(1+p.planner.settings.Operator.Fleet.SpareCapacity)
	for _, instance := range p.instances {
		if instanceType := p.types[instance.InstanceType]; instanceType != nil && !instance.Releasing {
			missingCores -= instanceType.CPUs
		}
	}
	for _, spot := range []bool{false, true} {
		for _, offered := range p.offerings(spot) {
			count := min(maxInstancesPerRequest, int(missingCores/p.types[offered.instanceType].CPUs))
			if count > 0 {
				p.request(offered, count)
			}
		}
	}
}

// releaseIdle releases the instances whose idle timeout has passed.
func (p *pass) releaseIdle() {
	for _, instance := range p.instances {
		instanceType := p.types[instance.InstanceType]
		if instanceType != nil && p.idleLongEnough(instance, instanceType) {
			p.plan.Release = append(p.plan.Release, instance.Name)
		}
	}
}

// blockedByReplicas returns the instances to drain because service replicas on them take the cores
// that waiting tasks need. The replicas may move to smaller instances, which those tasks do not fit.
// Instances with the fewest replica cores to move per task gained come first. maxDraining bounds
// their number.
func (p *pass) blockedByReplicas() []string {
	type candidate struct {
		instance          *Instance
		movedCoresPerTask float64 // replica cores to move per task gained
	}
	var candidates []candidate
	draining := 0
	for i := range p.instances {
		instance := &p.instances[i]
		if instance.Draining {
			draining++
		}
		if gained := p.tasksGained(instance); gained > 0 {
			candidates = append(candidates, candidate{instance, instance.ReplicaCores / gained})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.movedCoresPerTask, b.movedCoresPerTask), cmp.Compare(a.instance.Name, b.instance.Name))
	})
	var names []string
	limit := maxDraining(len(p.instances))
	for _, candidate := range candidates {
		if draining+len(names) >= limit {
			break
		}
		if candidate.instance.CanMoveReplicas() {
			names = append(names, candidate.instance.Name)
		}
	}
	return names
}

// tasksGained returns how many more waiting tasks an instance could run without its replicas: the
// number for the first waiting shape that gains any, or 0.
func (p *pass) tasksGained(instance *Instance) float64 {
	instanceType := p.types[instance.InstanceType]
	if instanceType == nil || !instance.Up || instance.Releasing || instance.Draining || instance.Replicas == 0 {
		return 0
	}
	for _, shape := range p.demand.WaitingShapes {
		if !shape.Fits(instanceType) || shape.Cores <= 0 {
			continue
		}
		withReplicas := math.Floor((instanceType.CPUs-instance.ReplicaCores)/shape.Cores + fitTolerance)
		if gained := shape.tasksPerInstance(instanceType) - withReplicas; gained >= 1 {
			return gained
		}
	}
	return 0
}
