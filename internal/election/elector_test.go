package election

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"rillflow/internal/dataloss"
	"rillflow/internal/kvstore"
	"rillflow/internal/wire"
)

// When a node goes, only its own hosts move; the parts are of like size.
func TestShardOwner(t *testing.T) {
	all := ShardMap{Owners: []string{"host-0", "host-1", "host-2"}}
	fewer := ShardMap{Owners: []string{"host-0", "host-2"}}
	size := map[string]int{}
	for i := range 3000 {
		h := fmt.Sprintf("i-%06d", i)
		o := all.Owner(h)
		size[o]++
		if o != "host-1" && fewer.Owner(h) != o {
			t.Fatalf("%s moved from %s though it stayed", h, o)
		}
	}
	for n, k := range size {
		if k < 800 || k > 1200 {
			t.Errorf("%s owns %d of 3000", n, k)
		}
	}
	if (ShardMap{}).Owner("i-1") != "" {
		t.Error("a map without parts has an owner")
	}
}

// A leader acts on the cloud only while its grant lasts by its own clock, that
// may run slow against the state service's.
func TestLeaseHeld(t *testing.T) {
	var term Term
	t0 := time.Unix(100, 0)
	term.leaseRenewed(t0, 2*time.Second)
	for _, tc := range []struct {
		at   time.Duration
		want bool
	}{{0, true}, {1990 * time.Millisecond, true}, {1998 * time.Millisecond, false}, {3 * time.Second, false}} {
		if got := term.LeaseHeld(t0.Add(tc.at)); got != tc.want {
			t.Errorf("after %v: %v", tc.at, got)
		}
	}
	// Once it is given up it is sure no more, whatever extension is answered after.
	if _, ok := term.SteppedDown(); ok {
		t.Error("resigned from the start")
	}
	term.markSteppedDown()
	term.leaseRenewed(t0, 2*time.Second)
	if _, ok := term.SteppedDown(); !ok || term.LeaseHeld(t0) {
		t.Errorf("given up: %v, sure: %v", ok, term.LeaseHeld(t0))
	}
}

// Every write of a leader guards its key and its history; where versions that keep no
// history wrote all there is, only its key.
func TestTermCompares(t *testing.T) {
	term := &Term{leaderRevision: 3, incarnation: dataloss.IncarnationState{Incarnation: dataloss.Incarnation{ID: "A", Revision: 7}}}
	want := []wire.Compare{{Key: leaderKey, ModRevision: 3}, {Key: "history/id/A", ModRevision: 7}}
	if got := term.Compares(); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if got := (&Term{leaderRevision: 3}).Compares(); !slices.Equal(got, want[:1]) {
		t.Errorf("got %v, want %v", got, want[:1])
	}
}

// A leader key that came back with a restore is told from one that somebody leads by.
func TestStaleLeader(t *testing.T) {
	const life = time.Second
	for _, tc := range []struct {
		name    string
		v       leaderRecord
		known   ShardMap
		doubted bool
		since   time.Duration // that the key has been as it is
		want    bool
	}{
		{"another leads", leaderRecord{"b", 5}, ShardMap{Epoch: 5, Leader: "b"}, false, time.Hour, false},
		{"it raised the epoch since", leaderRecord{"b", 5}, ShardMap{Epoch: 9, Leader: "b"}, false, time.Hour, false},
		{"it has just begun", leaderRecord{"b", 5}, ShardMap{Epoch: 4, Leader: "c"}, false, time.Hour, false},
		{"below an epoch of another's", leaderRecord{"b", 5}, ShardMap{Epoch: 9, Leader: "c"}, false, 2 * life, true},
		{"the same, not for long", leaderRecord{"b", 5}, ShardMap{Epoch: 9, Leader: "c"}, false, life / 2, false},
		{"doubted", leaderRecord{"b", 5}, ShardMap{Epoch: 5, Leader: "b"}, true, 3 * life, true},
		{"doubted, not for long", leaderRecord{"b", 5}, ShardMap{Epoch: 5, Leader: "b"}, true, life, false},
		{"left by this node's last run", leaderRecord{"a", 5}, ShardMap{Epoch: 5, Leader: "a"}, false, 3 * life, true},
		{"the same, its grant yet to end", leaderRecord{"a", 5}, ShardMap{Epoch: 5, Leader: "a"}, false, life, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			log := slog.New(slog.DiscardHandler)
			st := kvstore.New(kvstore.Options{Addr: "none:1", RequestsPerSecond: 1, Timeout: time.Second})
			h := dataloss.NewDetector(st, nil, log)
			if tc.doubted {
				h.Suspect("x")
			}
			e := New(Options{Store: st, Controller: "a", LeaseDuration: life, Detector: h, Log: log})
			e.shardMap, e.observedLeader, e.observedSuspicion, e.observedSince = tc.known, tc.v, tc.doubted, time.Now().Add(-tc.since)
			if got := e.isStaleLeader(tc.v); got != tc.want {
				t.Errorf("leftover: %v", got)
			}
		})
	}
}
