package shard

import (
	"testing"
	"time"

	"rillflow/internal/election"
	"rillflow/internal/peer"
	"rillflow/internal/wire"
)

// A controller that workers no longer reach finds out by its peers, and only if it should
// be reached. It counts as isolated for a lease, twice as long the next time.
func TestIsolation(t *testing.T) {
	const report, lease = 4 * time.Second, 40 * time.Second
	silentToo := peer.Reachability{SinceHeartbeat: 2 * report}
	for _, tc := range []struct {
		name    string
		beats   int // in the lease before
		silent  time.Duration
		owner   bool
		peer    peer.Reachability
		live    bool
		want    bool
		relapse bool // and again afterwards
	}{
		{"all were cut off, and a peer is heard again first", 100, 8 * report, true, peer.Reachability{}, true, false, false},
		{"all is well", 100, report, true, peer.Reachability{}, true, false, false},
		{"cut off from workers", 100, 2 * report, true, peer.Reachability{}, true, true, true},
		{"so are all: the workers are gone", 100, 2 * report, true, silentToo, true, false, false},
		{"no peer to compare with", 100, 2 * report, true, peer.Reachability{}, false, false, false},
		{"nobody reports here", 100, 2 * report, false, peer.Reachability{}, true, false, false},
		{"too few to tell", 8, 2 * report, true, peer.Reachability{}, true, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := testTime
			shardMap := election.ShardMap{Epoch: 3, Leader: "a", Owners: []string{"a"}}
			if tc.owner {
				shardMap.Owners = append(shardMap.Owners, "me")
			}
			status := peer.Status{Live: tc.live, ReachabilityKnown: true, Reachability: tc.peer}
			owner := newTestOwner(t, shardMap, 0, &fakeLinks{peers: map[string]peer.Status{"a": status}})
			owner.now = func() time.Time { return now }
			owner.WorkerReachability()
			for range tc.beats {
				owner.RecordRequest()
			}
			now = now.Add(tc.silent)
			if got := owner.IsIsolated(); got != tc.want {
				t.Fatalf("isolated: %v", got)
			}
			want := tc.live && (tc.peer.SinceHeartbeat > report || tc.silent > 4*report || tc.silent < 7*report/4)
			if got := owner.PeersHearNoWorkers(); got != want {
				t.Errorf("no peer hears a worker either: %v, want %v", got, want)
			}
			if !tc.want {
				return
			}
			now = now.Add(lease - time.Second)
			if !owner.IsIsolated() {
				t.Error("not isolated for a lease")
			}
			shardMap.Epoch++ // its shard is given back
			now = now.Add(2 * time.Second)
			owner.WorkerReachability()
			now = now.Add(2 * report)
			if got := owner.IsIsolated(); got != tc.relapse {
				t.Errorf("isolated again: %v", got)
			}
			now = now.Add(2*lease - time.Second)
			if !owner.IsIsolated() {
				t.Error("not isolated for longer the second time")
			}
		})
	}
}

// A controller behind the same cut as a zone's workers answers those of owners that are out
// of reach, but only under a shard map whose leader allows for it.
func TestSubstituteInOwnZone(t *testing.T) {
	fallback := election.ShardMap{Epoch: 7, Leader: "other", Owners: []string{"me", "other"}, ZoneFallback: true}
	old, without := fallback, fallback
	old.ZoneFallback, without.Owners = false, []string{"other"}
	for _, tc := range []struct {
		name     string
		shardMap election.ShardMap
		zone     string
		stale    time.Duration // since the store answered
		live     bool          // the owner can be reached
		seen     uint64        // the worker's epoch
		fresh    bool          // it has just started, and may have lost what users were told
		epoch    uint64        // of the answer; 0: refused
	}{
		{"cut off with the worker's zone", fallback, "a", time.Minute, false, 7, false, 7},
		{"and just started", fallback, "a", time.Minute, false, 7, true, 0},
		{"the owner can be reached", fallback, "a", time.Minute, true, 7, false, 0},
		{"the store answers: a new map will come", fallback, "a", 0, false, 7, false, 0},
		{"another zone", fallback, "b", time.Minute, false, 7, false, 0},
		{"a leader of an earlier version", old, "a", time.Minute, false, 7, false, 0},
		{"this controller owns no shard any more", without, "a", time.Minute, false, 7, false, 0},
		{"the worker knows a later map", fallback, "a", time.Minute, false, 8, false, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			links := &fakeLinks{err: peer.ErrDown, peers: map[string]peer.Status{"other": {Live: tc.live}}}
			owner := newTestOwner(t, tc.shardMap, tc.stale, links)
			owner.config.Zone = "a"
			if !tc.fresh {
				owner.cancellations.AddComplete("")
			}
			worker := "i-1"
			for i := 0; tc.shardMap.Owner(worker) != "other"; i++ {
				worker += "x"
			}
			heartbeat := &wire.Heartbeat{Worker: worker, Zone: tc.zone, Epoch: tc.seen}
			batch, err := owner.Heartbeat(t.Context(), heartbeat, fakeLeader{})
			if batch.Epoch != tc.epoch || (err == nil) != (tc.epoch > 0) || len(batch.Commands) > 0 {
				t.Errorf("%+v, %v", batch, err)
			}
		})
	}
}
