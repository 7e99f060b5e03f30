package lead

import (
	"strings"
	"testing"

	"rillflow/internal/goldentest"
)

// The keys of leadership and the epoch with its part map are stored as they are today.
func TestGoldenStored(t *testing.T) {
	goldentest.Check(t, "stored.txt", strings.Join([]string{
		leaderKey + "\t" + goldentest.JSON(t, goldentest.Filled[leaderValue]()),
		epochKey + "\t" + goldentest.JSON(t, goldentest.Filled[Map]()),
		epochKey + "\t" + goldentest.JSON(t, Map{Epoch: 7, Leader: "n", Parts: []string{"n", "m"}}),
	}, "\n")+"\n")
}
