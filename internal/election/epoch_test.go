package election

import "testing"

// Only a higher epoch replaces the shard map that is known; the same epoch adds what a ping
// does not carry.
func TestKnownEpochs(t *testing.T) {
	full := ShardMap{Epoch: 5, Leader: "b", ZoneFallback: true, Incarnation: "A"}
	for _, tc := range []struct {
		name            string
		learned         ShardMap
		shown           uint64
		risen           bool
		leader          string
		incarnation     string
		highest         uint64
		legacyIfStored  bool
		withoutFallback bool
	}{
		{"a higher epoch", full, 0, true, "b", "A", 5, false, false},
		{"the same epoch", ShardMap{Epoch: 3, Leader: "c", ZoneFallback: true, Incarnation: "B"}, 0,
			false, "a", "B", 3, false, false},
		{"the same epoch, from a ping", ShardMap{Epoch: 3, Leader: "c"}, 0, false, "a", "", 3, true, true},
		{"a lower epoch", ShardMap{Epoch: 2, Leader: "c", ZoneFallback: true}, 0, false, "a", "", 3, true, true},
		{"a worker has seen more", full, 9, true, "b", "A", 9, false, false},
		{"a worker shows what cannot be", full, maxCredibleEpoch, true, "b", "A", 5, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			epochs := knownEpochs{shardMap: ShardMap{Epoch: 3, Leader: "a"}}
			epochs.observe(tc.shown)
			if risen := epochs.learn(tc.learned); risen != tc.risen {
				t.Errorf("risen: %v", risen)
			}
			if m := epochs.shardMap; m.Leader != tc.leader || m.Incarnation != tc.incarnation ||
				m.ZoneFallback == tc.withoutFallback {
				t.Errorf("shard map: %+v", m)
			}
			if highest := epochs.highest(); highest != tc.highest {
				t.Errorf("highest: %d", highest)
			}
			if epochs.legacyLeader() {
				t.Error("the leader is told from a map that is not stored")
			}
			epochs.stored = true
			if legacy := epochs.legacyLeader(); legacy != tc.legacyIfStored {
				t.Errorf("legacy leader: %v", legacy)
			}
		})
	}
}
