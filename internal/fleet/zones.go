package fleet

import (
	"cmp"
	"maps"
	"slices"

	"rillflow/internal/settings"
)

// controllerZoneHeadroomShare is the share of the usual headroom that is kept for the loss of a zone
// that has a controller.
const controllerZoneHeadroomShare = 0.3

// zoneCores are numbers of cores by zone.
type zoneCores map[string]float64

// largestTwo returns the zone with the most cores, and the cores of the zone with the second most.
func (z zoneCores) largestTwo() (largest string, secondCores float64) {
	names := slices.SortedFunc(maps.Keys(z), func(a, b string) int {
		return cmp.Or(-cmp.Compare(z[a], z[b]), cmp.Compare(a, b))
	})
	switch len(names) {
	case 0:
		return "", 0
	case 1:
		return names[0], 0
	}
	return names[0], z[names[1]]
}

// leavesSecondShort reports whether removing cores from a zone leaves the second-largest zone with
// fewer cores than needed and fewer than now. If the second-largest zone is short in any case,
// keeping the cores does not help.
func (z zoneCores) leavesSecondShort(zone string, removed, needed float64) bool {
	_, before := z.largestTwo()
	z[zone] -= removed
	_, after := z.largestTwo()
	z[zone] += removed
	return after < min(needed, before)
}

// failoverShortfall returns the zone whose loss would leave the most replica cores without free
// capacity in other zones, and how many. replicaCores leaves out replicas that may not run in other
// zones because their job has reached its limit there. A zone with a controller keeps running during
// a partition, so a part of the capacity is enough for it. The capacity kept for failover is not
// idle: spot work may use it and yields to replicas.
func failoverShortfall(config *settings.Settings, replicaCores, free zoneCores) (zone string, shortfall float64) {
	total := 0.0
	for _, cores := range free {
		total += cores
	}
	for _, lost := range slices.Sorted(maps.Keys(replicaCores)) {
		share := config.Operator.Fleet.ZoneLossHeadroom
		if config.HasControllerInZone(lost) {
			share *= controllerZoneHeadroomShare
		}
		if missing := share*replicaCores[lost] - (total - free[lost]); missing > shortfall {
			zone, shortfall = lost, missing
		}
	}
	return zone, shortfall
}

// releaseWorsensShortfall reports whether the failover shortfall grows when an instance is released
// and its replicas move to other instances. An instance that does not reduce the shortfall is not
// kept because of it, even if the shortfall persists: the zones that should grow may have no more
// instances to offer.
func releaseWorsensShortfall(
	config *settings.Settings, replicaCores, free zoneCores, instance Instance, cores float64,
) bool {
	_, before := failoverShortfall(config, replicaCores, free)
	free[instance.Zone] -= cores
	_, after := failoverShortfall(config, replicaCores, free)
	free[instance.Zone] += cores
	return after > before
}
