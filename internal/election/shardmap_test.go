package election

import (
	"fmt"
	"testing"
)

// When a controller goes, only its own workers move; the shards are of similar size.
func TestShardOwner(t *testing.T) {
	all := ShardMap{Owners: []string{"host-0", "host-1", "host-2"}}
	fewer := ShardMap{Owners: []string{"host-0", "host-2"}}
	sizes := map[string]int{}
	for i := range 3000 {
		worker := fmt.Sprintf("i-%06d", i)
		owner := all.Owner(worker)
		sizes[owner]++
		if owner != "host-1" && fewer.Owner(worker) != owner {
			t.Fatalf("%s moved from %s though it stayed", worker, owner)
		}
	}
	for owner, size := range sizes {
		if size < 800 || size > 1200 {
			t.Errorf("%s owns %d of 3000", owner, size)
		}
	}
	if (ShardMap{}).Owner("i-1") != "" {
		t.Error("a map without owners has an owner")
	}
}
