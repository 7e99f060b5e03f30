package fleet

import (
	"cmp"
	"maps"
	"slices"

	"rillflow/internal/settings"
)

// coveredHeadroomShare is the part of a zone's headroom that is kept where a controller covers it.
const coveredHeadroomShare = 0.3

// zoneCores are amounts of cores by zone.
type zoneCores map[string]float64

// largestTwo returns the zone with the most cores, and how many the next has.
func (z zoneCores) largestTwo() (top string, second float64) {
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

// leavesSecondShort reports whether the second-largest zone has less than is needed, and less than
// now, once a zone has so many cores fewer. Where it lacks them in any case, nothing is kept for it.
func (z zoneCores) leavesSecondShort(zone string, fewer, needed float64) bool {
	_, before := z.largestTwo()
	z[zone] -= fewer
	_, second := z.largestTwo()
	z[zone] += fewer
	return second < min(needed, before)
}

// failoverShortfall returns the zone whose loss would leave the most replicas without free
// capacity, and how many cores they would lack. Replicas that may not run elsewhere, since their
// job has all that is allowed there, need none. A zone that a controller covers goes on during a
// partition, so that a part of the capacity will do. Spot work on on-demand instances yields to
// replicas, so that the capacity kept for them is not idle.
func failoverShortfall(config *settings.Settings, replicaCores, free zoneCores) (zone string, shortfall float64) {
	total := 0.0
	for _, cores := range free {
		total += cores
	}
	for _, lost := range slices.Sorted(maps.Keys(replicaCores)) {
		share := config.Operator.Fleet.ZoneLossHeadroom
		if config.HasControllerInZone(lost) {
			share *= coveredHeadroomShare
		}
		if lacking := share*replicaCores[lost] - (total - free[lost]); lacking > shortfall {
			zone, shortfall = lost, lacking
		}
	}
	return zone, shortfall
}

// releaseWorsensShortfall reports whether the loss of a zone would leave more replicas without free
// capacity once an instance is released and its own replicas moved to others. Where they lack it in
// any case, since a zone has no more instances to give, instances that do not help are not kept.
func releaseWorsensShortfall(
	config *settings.Settings, replicaCores, free zoneCores, instance Instance, cores float64,
) bool {
	_, before := failoverShortfall(config, replicaCores, free)
	free[instance.Zone] -= cores
	_, after := failoverShortfall(config, replicaCores, free)
	free[instance.Zone] += cores
	return after > before
}
