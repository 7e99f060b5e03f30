package lead

import (
	"fmt"
	"testing"
	"time"
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
		if got := term.Sure(t0.Add(tc.at)); got != tc.want {
			t.Errorf("after %v: %v", tc.at, got)
		}
	}
}
