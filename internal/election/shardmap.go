package election

import "hash/fnv"

// ShardMap names the leader of an epoch and the controllers among which the workers are
// sharded. It is stored under the epoch key and sent between controllers.
type ShardMap struct {
	Epoch  uint64   `json:"n"`
	Leader string   `json:"leader"`
	Owners []string `json:"parts"`
	// ZoneFallback is set if the leader that wrote the map allows every controller in Owners
	// to answer the workers of its own zone in place of an unreachable owner.
	// Versions before 0.3 neither write nor read it, and a ping does not carry it.
	ZoneFallback bool `json:"near,omitempty"`
	// Incarnation is the ID of the store incarnation that the map was written in. Versions
	// before 0.5 neither write nor read it, and a ping does not carry it.
	Incarnation string `json:"history,omitempty"`
}

// Owner returns the controller that answers a worker's heartbeats, or "" if the map has no
// owners. Rendezvous hashing makes sure that when a controller joins or leaves, only the
// workers that it gains or loses change owner.
func (m ShardMap) Owner(worker string) string {
	best, bestScore := "", uint64(0)
	for _, owner := range m.Owners {
		score := rendezvousScore(owner, worker)
		if best == "" || score > bestScore || score == bestScore && owner < best {
			best, bestScore = owner, score
		}
	}
	return best
}

// rendezvousScore returns the score of a controller for a worker; the controller with the
// highest score owns the worker. All controllers must compute the same score, so changing it
// is a protocol change.
func rendezvousScore(owner, worker string) uint64 {
	// The finalizer's shift and multiplier are those of MurmurHash3.
	const shift, multiplier = 33, 0xff51afd7ed558ccd
	hash := fnv.New64a()
	hash.Write([]byte(owner))
	hash.Write([]byte{0})
	hash.Write([]byte(worker))
	// FNV alone gives similar names similar high bits, so the bits are mixed.
	score := hash.Sum64()
	score ^= score >> shift
	score *= multiplier
	score ^= score >> shift
	return score
}
