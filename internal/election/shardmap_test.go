package election

import (
	"fmt"
	"testing"
)

// When a controller is removed, only its own workers change owner; shards are of similar size.
func TestShardOwner(t *testing.T) {
	all := ShardMap{Owners: []string{"host-0", "host-1", "host-2"}}
	fewer := ShardMap{Owners: []string{"host-0", "host-2"}}
	sizes := map[string]int{}
	for i := range 3000 {
		worker := fmt.Sprintf("i-%06d", i)
		owner := all.Owner(worker)
		sizes[owner]++
		if owner != "host-1" && fewer.Owner(worker) != owner {
			t.Fatalf("%s changed owner, though its owner %s was not removed", worker, owner)
		}
	}
	for owner, size := range sizes {
		if size < 800 || size > 1200 {
			t.Errorf("%s owns %d of 3000 workers, want 800 to 1200", owner, size)
		}
	}
	if (ShardMap{}).Owner("i-1") != "" {
		t.Error("a shard map without owners assigns an owner")
	}
}
