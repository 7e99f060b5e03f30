package election

import "testing"

// Only a higher epoch replaces the known shard map; a map of the same epoch adds the fields
// that a ping does not carry.
func TestKnownEpochs(t *testing.T) {
	full := ShardMap{Epoch: 5, Leader: "b", ZoneFallback: true, Incarnation: "A"}
	for _, tc := range []struct {
		name            string
		learned         ShardMap
		reported        uint64
		isNewer         bool
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
		{"a worker reports a higher epoch", full, 9, true, "b", "A", 9, false, false},
		{"a worker reports an epoch that is not credible", full, maxCredibleEpoch, true, "b", "A", 5, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			epochs := knownEpochs{shardMap: ShardMap{Epoch: 3, Leader: "a"}}
			epochs.observe(tc.reported)
			if isNewer := epochs.learn(tc.learned); isNewer != tc.isNewer {
				t.Errorf("map replaced by a newer one: got %v, want %v", isNewer, tc.isNewer)
			}
			if m := epochs.shardMap; m.Leader != tc.leader || m.Incarnation != tc.incarnation ||
				m.ZoneFallback == tc.withoutFallback {
				t.Errorf("shard map %+v, want leader %q, incarnation %q, zone fallback %v",
					m, tc.leader, tc.incarnation, !tc.withoutFallback)
			}
			if highest := epochs.highest(); highest != tc.highest {
				t.Errorf("highest epoch: got %d, want %d", highest, tc.highest)
			}
			if epochs.legacyLeader() {
				t.Error("legacy leader derived from a shard map that was not read from the store")
			}
			epochs.fromStore = true
			if legacy := epochs.legacyLeader(); legacy != tc.legacyIfStored {
				t.Errorf("legacy leader: got %v, want %v", legacy, tc.legacyIfStored)
			}
		})
	}
}
