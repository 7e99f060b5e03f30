package shard

import (
	"testing"
	"time"

	"rillflow/internal/election"
	"rillflow/internal/peer"
	"rillflow/internal/wire"
)

// A shard owner detects that workers no longer reach it by comparison with its peers. It
// counts as isolated for a worker lease, and twice as long the next time.
func TestIsolation(t *testing.T) {
	const heartbeat, lease = 4 * time.Second, 40 * time.Second
	peerSilent := peer.Reachability{SinceHeartbeat: 2 * heartbeat}
	for _, tc := range []struct {
		name              string
		requests          int // of workers, in the preceding lease
		silentFor         time.Duration
		isOwner           bool
		peer              peer.Reachability
		peerLive          bool
		wantIsolated      bool
		wantIsolatedAgain bool // after the first isolation has ended
	}{
		{"workers reach a peer first after a partition from all controllers", 100, 8 * heartbeat, true, peer.Reachability{},
			true, false, false},
		{"workers send heartbeats", 100, heartbeat, true, peer.Reachability{}, true, false, false},
		{"workers reach only the peer", 100, 2 * heartbeat, true, peer.Reachability{}, true, true, true},
		{"workers reach no controller", 100, 2 * heartbeat, true, peerSilent, true, false, false},
		{"no peer connected", 100, 2 * heartbeat, true, peer.Reachability{}, false, false, false},
		{"not a shard owner", 100, 2 * heartbeat, false, peer.Reachability{}, true, false, false},
		{"too few workers", 8, 2 * heartbeat, true, peer.Reachability{}, true, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := testTime
			shardMap := election.ShardMap{Epoch: 3, Leader: "a", Owners: []string{"a"}}
			if tc.isOwner {
				shardMap.Owners = append(shardMap.Owners, "me")
			}
			status := peer.Status{Live: tc.peerLive, ReachabilityKnown: true, Reachability: tc.peer}
			owner := newTestOwner(t, shardMap, 0, &fakeLinks{peers: map[string]peer.Status{"a": status}})
			owner.now, owner.shardMap = func() time.Time { return now }, func() election.ShardMap { return shardMap }
			owner.WorkerReachability()
			for range tc.requests {
				owner.RecordRequest()
			}
			now = now.Add(tc.silentFor)
			if got := owner.IsIsolated(); got != tc.wantIsolated {
				t.Fatalf("IsIsolated: got %v, want %v", got, tc.wantIsolated)
			}
			want := tc.peerLive &&
				(tc.peer.SinceHeartbeat > heartbeat || tc.silentFor > 4*heartbeat || tc.silentFor < 7*heartbeat/4)
			if got := owner.WorkersReachNoPeer(); got != want {
				t.Errorf("WorkersReachNoPeer: got %v, want %v", got, want)
			}
			if !tc.wantIsolated {
				return
			}
			now = now.Add(lease - time.Second)
			if !owner.IsIsolated() {
				t.Error("the isolation ended before a lease had passed")
			}
			// While isolated it loses its shard, and gets it back in the map of a later epoch.
			shardMap.Epoch, shardMap.Owners = shardMap.Epoch+1, []string{"a"}
			if !owner.IsIsolated() {
				t.Error("the isolation ended with the shard")
			}
			shardMap.Epoch, shardMap.Owners = shardMap.Epoch+1, []string{"a", "me"}
			now = now.Add(2 * time.Second)
			if owner.IsIsolated() {
				t.Error("isolated as soon as the shard is back")
			}
			now = now.Add(2 * heartbeat)
			if got := owner.IsIsolated(); got != tc.wantIsolatedAgain {
				t.Errorf("IsIsolated after the first isolation ended: got %v, want %v", got, tc.wantIsolatedAgain)
			}
			now = now.Add(2*lease - time.Second)
			if !owner.IsIsolated() {
				t.Error("the second isolation was not longer than the first")
			}
		})
	}
}

// A controller in the same partition as a zone's workers answers those of unreachable owners,
// but only under a shard map with ZoneFallback.
func TestSubstituteInOwnZone(t *testing.T) {
	fallback := election.ShardMap{Epoch: 7, Leader: "other", Owners: []string{"me", "other"}, ZoneFallback: true}
	noFallback, notListed := fallback, fallback
	noFallback.ZoneFallback, notListed.Owners = false, []string{"other"}
	for _, tc := range []struct {
		name             string
		shardMap         election.ShardMap
		zone             string
		sinceStoreAnswer time.Duration
		ownerLive        bool
		workerEpoch      uint64
		justStarted      bool   // its cancellation set is not synced
		wantEpoch        uint64 // of the answer; 0: refused
	}{
		{"partitioned with the worker's zone", fallback, "a", time.Minute, false, 7, false, 7},
		{"partitioned with the worker's zone, just started", fallback, "a", time.Minute, false, 7, true, 0},
		{"the owner is reachable", fallback, "a", time.Minute, true, 7, false, 0},
		{"the store answers, so a new shard map will arrive", fallback, "a", 0, false, 7, false, 0},
		{"worker of another zone", fallback, "b", time.Minute, false, 7, false, 0},
		{"shard map of an earlier version, without fallback", noFallback, "a", time.Minute, false, 7, false, 0},
		{"the shard map does not list this controller", notListed, "a", time.Minute, false, 7, false, 0},
		{"the worker has a later epoch", fallback, "a", time.Minute, false, 8, false, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			links := &fakeLinks{err: peer.ErrDown, peers: map[string]peer.Status{"other": {Live: tc.ownerLive}}}
			owner := newTestOwner(t, tc.shardMap, tc.sinceStoreAnswer, links)
			owner.config.Zone = "a"
			if !tc.justStarted {
				owner.cancellations.AddComplete("")
			}
			worker := "i-1"
			for i := 0; tc.shardMap.Owner(worker) != "other"; i++ {
				worker += "x"
			}
			heartbeat := &wire.Heartbeat{Worker: worker, Zone: tc.zone, Epoch: tc.workerEpoch}
			batch, err := owner.Heartbeat(t.Context(), heartbeat, fakeLeader{})
			if batch.Epoch != tc.wantEpoch || (err == nil) != (tc.wantEpoch > 0) || len(batch.Commands) > 0 {
				t.Errorf("got answer %+v, error %v, want epoch %d (0: refused) and no commands", batch, err, tc.wantEpoch)
			}
		})
	}
}
