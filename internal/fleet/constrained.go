package fleet

import (
	"cmp"
	"maps"
	"slices"

	"rillflow/internal/wire"
)

// constrainedSupply is the supply of tasks that only part of the offerings can serve, because of their
// size, instance type or zone, or only part of the instances, because they failed on the others. Cores
// elsewhere are of no use to them.
type constrainedSupply struct {
	offerings     map[offering]bool // that can serve the tasks
	excluded      []string          // names, sorted, of instances of these that cannot
	spotAllowed   bool              // the tasks may run on spot instances
	neededCores   float64           // of all tasks that no other offering can serve
	cores         float64           // available
	drainingCores float64
}

// constrainedSupplies returns the supplies of all tasks that not every instance can serve, those of the
// fewest offerings first. neededSpotShare is the share of the cores of spot work that is needed now.
func (p *pass) constrainedSupplies(neededSpotShare float64) []*constrainedSupply {
	shapes := p.demand.TaskShapes
	offerings := make([]map[offering]bool, len(shapes)) // by shape
	var supplies []*constrainedSupply
	for i, shape := range shapes {
		var servesAll bool
		offerings[i], servesAll = p.offeringsFor(shape)
		isSame := func(supply *constrainedSupply) bool {
			return maps.Equal(supply.offerings, offerings[i]) && slices.Equal(supply.excluded, shape.ExcludedInstances)
		}
		isConstrained := !servesAll || len(shape.ExcludedInstances) > 0
		if isConstrained && len(offerings[i]) > 0 && !slices.ContainsFunc(supplies, isSame) {
			supplies = append(supplies, &constrainedSupply{
				offerings: offerings[i], excluded: shape.ExcludedInstances, spotAllowed: shape.SpotAllowed,
			})
		}
	}
	for _, supply := range supplies {
		supply.neededCores = p.demand.coresWithin(supply, offerings, neededSpotShare)
		p.countSupply(supply)
	}
	slices.SortStableFunc(supplies, func(a, b *constrainedSupply) int {
		return cmp.Compare(len(a.offerings), len(b.offerings))
	})
	return supplies
}

// offeringsFor returns the offerings that can serve a task shape, and whether these are all that the
// cloud has of the kinds that it may run on.
func (p *pass) offeringsFor(shape TaskShape) (offerings map[offering]bool, servesAll bool) {
	offerings, servesAll = make(map[offering]bool), true
	for _, instanceType := range p.types {
		for _, zone := range instanceType.Zones {
			if !shape.Fits(instanceType) || shape.Zone != "" && shape.Zone != zone {
				servesAll = false
				continue
			}
			offerings[offering{instanceType.Name, zone, false}] = true
			if shape.SpotAllowed {
				offerings[offering{instanceType.Name, zone, true}] = true
			}
		}
	}
	return offerings, servesAll
}

// coresWithin returns the cores of the tasks that only the given supply can serve, of each team up to
// its quota limit. shapeOfferings holds the offerings that can serve each task shape.
func (d Demand) coresWithin(
	supply *constrainedSupply, shapeOfferings []map[offering]bool, neededSpotShare float64,
) float64 {
	byTeam := make(map[string]float64)
	for i, shape := range d.TaskShapes {
		isWithin := len(shapeOfferings[i]) > 0
		for offered := range shapeOfferings[i] {
			isWithin = isWithin && supply.offerings[offered]
		}
		for _, name := range supply.excluded {
			_, isExcluded := slices.BinarySearch(shape.ExcludedInstances, name)
			isWithin = isWithin && isExcluded
		}
		switch {
		case !isWithin:
		case shape.SpotAllowed:
			byTeam[shape.Team] += neededSpotShare * shape.Weight
		default:
			byTeam[shape.Team] += shape.Weight
		}
	}
	total := 0.0
	for team, cores := range byTeam {
		if limit, ok := d.TeamLimits[team]; ok {
			cores = min(cores, limit)
		}
		total += cores
	}
	return total
}

// countSupply adds up the cores of the instances that belong to a supply.
func (p *pass) countSupply(supply *constrainedSupply) {
	for _, instance := range p.instances {
		instanceType := p.types[instance.InstanceType]
		switch {
		case !supply.includes(instance) || !p.isCapacity(instance, instanceType):
		case instance.Draining:
			supply.drainingCores += instanceType.CPUs
		default:
			supply.cores += instanceType.CPUs
		}
	}
}

// isCapacity reports whether an instance is capacity, now or once its drain is cancelled.
func (p *pass) isCapacity(instance Instance, instanceType *wire.InstanceType) bool {
	return instanceType != nil && !instance.Releasing && !instance.bootOverdue(instanceType, p.now)
}

// includes reports whether an instance is of one of the supply's offerings, and not excluded.
func (s *constrainedSupply) includes(instance Instance) bool {
	if !s.offerings[offering{instance.InstanceType, instance.Zone, instance.Spot}] {
		return false
	}
	_, isExcluded := slices.BinarySearch(s.excluded, instance.Name)
	return !isExcluded
}

// scaleOutConstrained requests what the supplies lack, on spot instances where the tasks may run on
// them and the cloud grants any. If draining instances are enough, it cancels the drains instead.
func (p *pass) scaleOutConstrained(supplies []*constrainedSupply) {
	for _, supply := range supplies {
		shortfall := supply.neededCores - supply.cores
		if shortfall <= 0 {
			continue
		}
		if supply.drainingCores >= shortfall {
			p.plan.CancelDrains = p.plan.CancelDrains || !p.plan.ReuseDrained
			continue
		}
		isOther := func(offered offering) bool { return !supply.offerings[offered] }
		offerings := slices.DeleteFunc(p.offerings(supply.spotAllowed), isOther)
		if len(offerings) == 0 && supply.spotAllowed {
			offerings = slices.DeleteFunc(p.offerings(false), isOther)
		}
		p.requestCores(offerings, shortfall-supply.drainingCores)
	}
}
