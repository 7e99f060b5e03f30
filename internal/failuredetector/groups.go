package failuredetector

// minSuspected is the minimum number of suspected workers for which a group is suspected as a
// whole. A group with fewer workers up is not conclusive.
const minSuspected = 3

// groupCount counts the workers of a group.
type groupCount struct {
	up        int
	suspected int // of those that are up
}

// mostlySuspected reports whether the group as a whole is suspected.
func (c *groupCount) mostlySuspected() bool {
	return c != nil && c.suspected >= minSuspected && 2*c.suspected > c.up
}

// mostlyHeard reports whether the group is large enough to be conclusive, and not suspected.
func (c *groupCount) mostlyHeard() bool {
	return c != nil && c.up >= minSuspected && !c.mostlySuspected()
}

// groupCounts holds the counts of all groups in one round.
type groupCounts struct {
	zones       map[string]*groupCount
	onDemand    map[string]*groupCount // the on-demand workers, by zone
	spot        map[string]*groupCount // the spot workers, by zone
	shardOwners map[string]*groupCount
}

func newGroupCounts() *groupCounts {
	return &groupCounts{
		zones:       make(map[string]*groupCount),
		onDemand:    make(map[string]*groupCount),
		spot:        make(map[string]*groupCount),
		shardOwners: make(map[string]*groupCount),
	}
}

// add counts a worker in each of its groups.
func (g *groupCounts) add(observation Observation, suspected bool) {
	byZone := g.onDemand
	if observation.Spot {
		byZone = g.spot
	}
	count(g.zones, observation.Zone, suspected)
	count(byZone, observation.Zone, suspected)
	count(g.shardOwners, observation.ShardOwner, suspected)
}

func count(groups map[string]*groupCount, name string, suspected bool) {
	group := groups[name]
	if group == nil {
		group = new(groupCount)
		groups[name] = group
	}
	group.up++
	if suspected {
		group.suspected++
	}
}

// suspectedGroups returns the groups that are suspected as a whole. This controller's own
// connection is suspected if a zone is suspected and no group is mostly heard.
func (g *groupCounts) suspectedGroups() map[groupKey]bool {
	suspected := make(map[groupKey]bool)
	zoneSuspected, anyHeard := false, false
	for zone, group := range g.zones {
		switch {
		case g.isSpotReclaim(zone):
			suspected[groupKey{FaultSpotReclaim, zone}] = true
			anyHeard = true
		case group.mostlySuspected():
			suspected[groupKey{FaultZone, zone}] = true
			zoneSuspected = true
		case group.mostlyHeard():
			anyHeard = true
		}
	}
	for owner, group := range g.shardOwners {
		if group.mostlySuspected() {
			suspected[groupKey{FaultShardOwner, owner}] = true
		} else if group.mostlyHeard() {
			anyHeard = true
		}
	}
	if zoneSuspected && !anyHeard {
		suspected[groupKey{fault: FaultObserver}] = true
	}
	return suspected
}

// isSpotReclaim reports whether a zone's spot workers are silent while its on-demand workers
// are heard. A network partition would silence both.
func (g *groupCounts) isSpotReclaim(zone string) bool {
	return g.onDemand[zone].mostlyHeard() && g.spot[zone].mostlySuspected()
}
