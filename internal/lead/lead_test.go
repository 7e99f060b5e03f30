package lead

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"rillflow/internal/history"
	"rillflow/internal/state"
	"rillflow/internal/wire"
)

// When a node goes, only its own hosts move; the parts are of like size.
func TestOwner(t *testing.T) {
	all := Map{Parts: []string{"host-0", "host-1", "host-2"}}
	fewer := Map{Parts: []string{"host-0", "host-2"}}
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
	if (Map{}).Owner("i-1") != "" {
		t.Error("a map without parts has an owner")
	}
}

// A leader acts on the cloud only while its grant lasts by its own clock, that
// may run slow against the state service's.
func TestSure(t *testing.T) {
	var term Term
	t0 := time.Unix(100, 0)
	term.lasts(t0, 2*time.Second)
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
	term.give()
	term.lasts(t0, 2*time.Second)
	if _, ok := term.SteppedDown(); !ok || term.LeaseHeld(t0) {
		t.Errorf("given up: %v, sure: %v", ok, term.LeaseHeld(t0))
	}
}

// Every write of a leader guards its key and its history; where versions that keep no
// history wrote all there is, only its key.
func TestGuards(t *testing.T) {
	term := &Term{stamp: 3, hist: history.View{Marker: history.Marker{ID: "A", Stamp: 7}}}
	want := []wire.Compare{{Key: leaderKey, ModRevision: 3}, {Key: "history/id/A", ModRevision: 7}}
	if got := term.Compares(); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if got := (&Term{stamp: 3}).Compares(); !slices.Equal(got, want[:1]) {
		t.Errorf("got %v, want %v", got, want[:1])
	}
}

// A leader key that came back with a restore is told from one that somebody leads by.
func TestLeftover(t *testing.T) {
	const life = time.Second
	for _, tc := range []struct {
		name    string
		v       leaderValue
		known   Map
		doubted bool
		since   time.Duration // that the key has been as it is
		want    bool
	}{
		{"another leads", leaderValue{"b", 5}, Map{Epoch: 5, Leader: "b"}, false, time.Hour, false},
		{"it raised the epoch since", leaderValue{"b", 5}, Map{Epoch: 9, Leader: "b"}, false, time.Hour, false},
		{"it has just begun", leaderValue{"b", 5}, Map{Epoch: 4, Leader: "c"}, false, time.Hour, false},
		{"below an epoch of another's", leaderValue{"b", 5}, Map{Epoch: 9, Leader: "c"}, false, 2 * life, true},
		{"the same, not for long", leaderValue{"b", 5}, Map{Epoch: 9, Leader: "c"}, false, life / 2, false},
		{"doubted", leaderValue{"b", 5}, Map{Epoch: 5, Leader: "b"}, true, 3 * life, true},
		{"doubted, not for long", leaderValue{"b", 5}, Map{Epoch: 5, Leader: "b"}, true, life, false},
		{"left by this node's last run", leaderValue{"a", 5}, Map{Epoch: 5, Leader: "a"}, false, 3 * life, true},
		{"the same, its grant yet to end", leaderValue{"a", 5}, Map{Epoch: 5, Leader: "a"}, false, life, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			log := slog.New(slog.DiscardHandler)
			st := state.New(state.Options{Addr: "none:1", RequestsPerSecond: 1, Timeout: time.Second})
			h := history.NewKeeper(st, nil, log)
			if tc.doubted {
				h.Doubt("x")
			}
			e := New(Deps{State: st, Node: "a", Life: life, History: h, Log: log})
			e.known, e.stale, e.doubted, e.since = tc.known, tc.v, tc.doubted, time.Now().Add(-tc.since)
			if got := e.leftover(tc.v); got != tc.want {
				t.Errorf("leftover: %v", got)
			}
		})
	}
}
