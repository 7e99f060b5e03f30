package placement

import "time"

// QueueHead is the first job of a job type's queue that fits a worker: what the type bids
// for that worker's free capacity.
type QueueHead struct {
	Type     string
	Tier     int           // lower goes first: guaranteed quota before borrowed, then priority
	Age      time.Duration // how long the job has waited
	Weight   float64       // the rule's product
	HasImage bool          // the worker has the job's image
}

// SelectQueue returns the index of the head that goes first, or -1 if there is none: the
// lowest tier; within it those past the aging threshold, longest waiting first; otherwise
// the greatest weight, where an image on the worker decides among weights within the
// nearTie fraction of the greatest.
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

// precedes orders heads by tier, age past the threshold, and weight; the name decides a
// tie so that a decision repeats.
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
