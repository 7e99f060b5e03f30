package election

import (
	"strings"
	"testing"

	"rillflow/internal/goldentest"
)

// The stored form of the leader key and of the epoch key with its shard map must not change.
func TestGoldenStored(t *testing.T) {
	goldentest.Check(t, "stored.txt", strings.Join([]string{
		leaderKey + "\t" + goldentest.JSON(t, goldentest.Filled[leaderRecord]()),
		epochKey + "\t" + goldentest.JSON(t, goldentest.Filled[ShardMap]()),
		epochKey + "\t" + goldentest.JSON(t, ShardMap{Epoch: 7, Leader: "n", Owners: []string{"n", "m"}}),
	}, "\n")+"\n")
}
