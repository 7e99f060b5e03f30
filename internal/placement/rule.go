package placement

import "time"

// QueueHead describes the first job of a job type's queue that fits a worker. The heads of all
// queues compete for the worker's free capacity.
type QueueHead struct {
	Type     string
	Tier     int           // a lower one goes first: guaranteed quota before borrowed, then priority
	Age      time.Duration // time that the job has waited
	Weight   float64       // see Table.Weight
	HasImage bool          // the worker has the job's image
}

// SelectQueue returns the index of the head that goes first, or -1 if there is none. The
// lowest tier goes first. Within it, heads past the aging threshold go first, the longest
// waiting one before the others. Otherwise the greatest weight goes first, but among weights
// within the nearTie fraction of the greatest a head with its image on the worker does.
func SelectQueue(heads []QueueHead, agingThreshold time.Duration, nearTie float64) int {
	best := -1
	for i, head := range heads {
		if best < 0 || precedes(head, heads[best], agingThreshold) {
			best = i
		}
	}
	if best < 0 || heads[best].HasImage || heads[best].Age >= agingThreshold {
		return best
	}
	top := heads[best]
	for i, head := range heads {
		if head.Tier == top.Tier && head.HasImage && head.Weight >= top.Weight*(1-nearTie) &&
			(!heads[best].HasImage || head.Weight > heads[best].Weight) {
			best = i
		}
	}
	return best
}

// precedes reports whether head a goes before head b: by tier, then by age past the threshold,
// then by weight. The type's name breaks ties, so that decisions are reproducible.
func precedes(a, b QueueHead, agingThreshold time.Duration) bool {
	if a.Tier != b.Tier {
		return a.Tier < b.Tier
	}
	agedA, agedB := a.Age >= agingThreshold, b.Age >= agingThreshold
	if agedA != agedB {
		return agedA
	}
	if agedA {
		return a.Age > b.Age
	}
	if a.Weight != b.Weight {
		return a.Weight > b.Weight
	}
	return a.Type < b.Type
}
