package shard

import (
	"testing"
	"time"

	"rillflow/internal/election"
	"rillflow/internal/peer"
	"rillflow/internal/wire"
)

// A node that workers no longer reach finds out by its peers, and only if it
// should be reached; it is believed for a lease, twice as long the next time.
func TestIsolation(t *testing.T) {
	const report, lease = 4 * time.Second, 40 * time.Second
	for _, tc := range []struct {
		name    string
		beats   int // in the lease before
		quiet   time.Duration
		owner   bool
		peer    peer.Hearing
		live    bool
		want    bool
		relapse bool // and again after its rest
	}{
		{"all were cut off, and a peer is heard again first", 100, 8 * report, true, peer.Hearing{}, true, false, false},
		{"all is well", 100, report, true, peer.Hearing{}, true, false, false},
		{"cut off from workers", 100, 2 * report, true, peer.Hearing{}, true, true, true},
		{"so are all: the workers are gone", 100, 2 * report, true, peer.Hearing{Age: 2 * report}, true, false, false},
		{"no peer to compare with", 100, 2 * report, true, peer.Hearing{}, false, false, false},
		{"nobody reports here", 100, 2 * report, false, peer.Hearing{}, true, false, false},
		{"too few to tell", 8, 2 * report, true, peer.Hearing{}, true, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			at := testTime
			m := election.ShardMap{Epoch: 3, Leader: "a", Owners: []string{"a"}}
			if tc.owner {
				m.Owners = append(m.Owners, "me")
			}
			p := newTestOwner(t, m, 0, &fakeLinks{peers: map[string]peer.Status{"a": {Live: tc.live, HearingKnown: true, Hearing: tc.peer}}})
			p.now = func() time.Time { return at }
			p.Hearing()
			for range tc.beats {
				p.RecordRequest()
			}
			at = at.Add(tc.quiet)
			if got := p.IsIsolated(); got != tc.want {
				t.Fatalf("deaf: %v", got)
			}
			if got, want := p.PeersHearNoWorkers(), tc.live && (tc.peer.Age > report || tc.quiet > 4*report || tc.quiet < 7*report/4); got != want {
				t.Errorf("no peer hears a worker either: %v, want %v", got, want)
			}
			if !tc.want {
				return
			}
			at = at.Add(lease - time.Second)
			if !p.IsIsolated() {
				t.Error("not believed for a lease")
			}
			m.Epoch++ // its part is given back
			at = at.Add(2 * time.Second)
			p.Hearing()
			at = at.Add(2 * report)
			if got := p.IsIsolated(); got != tc.relapse {
				t.Errorf("deaf again: %v", got)
			}
			at = at.Add(2*lease - time.Second)
			if !p.IsIsolated() {
				t.Error("not believed for longer the second time")
			}
		})
	}
}

// A node behind the same cut as a zone's workers answers those of owners that are
// out of reach, under a map whose leader reckons with it and not otherwise.
func TestSubstituteInOwnZone(t *testing.T) {
	near := election.ShardMap{Epoch: 7, Leader: "other", Owners: []string{"me", "other"}, ZoneFallback: true}
	old, without := near, near
	old.ZoneFallback, without.Owners = false, []string{"other"}
	for _, tc := range []struct {
		name  string
		m     election.ShardMap
		zone  string
		stale time.Duration
		live  bool
		seen  uint64
		fresh bool // it has just begun, and may have forgotten what users were told
		epoch uint64
	}{
		{"cut off with the worker's zone", near, "a", time.Minute, false, 7, false, 7},
		{"and just begun", near, "a", time.Minute, false, 7, true, 0},
		{"the owner can be reached", near, "a", time.Minute, true, 7, false, 0},
		{"the state service answers: a new map will come", near, "a", 0, false, 7, false, 0},
		{"another zone", near, "b", time.Minute, false, 7, false, 0},
		{"a leader of an earlier version", old, "a", time.Minute, false, 7, false, 0},
		{"this node has no part any more", without, "a", time.Minute, false, 7, false, 0},
		{"the worker knows a later map", near, "a", time.Minute, false, 8, false, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newTestOwner(t, tc.m, tc.stale, &fakeLinks{err: peer.ErrDown, peers: map[string]peer.Status{"other": {Live: tc.live}}})
			p.config.Zone = "a"
			if !tc.fresh {
				p.cancellations.AddComplete("")
			}
			host := "i-1"
			for i := 0; tc.m.Owner(host) != "other"; i++ {
				host += "x"
			}
			out, err := p.Heartbeat(t.Context(), &wire.Heartbeat{Worker: host, Zone: tc.zone, Epoch: tc.seen}, fakeLeader{})
			if out.Epoch != tc.epoch || (err == nil) != (tc.epoch > 0) || len(out.Commands) > 0 {
				t.Errorf("%+v, %v", out, err)
			}
		})
	}
}
