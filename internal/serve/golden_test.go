package serve

import (
	"strings"
	"testing"

	"rillflow/internal/goldentest"
	"rillflow/internal/leader"
)

// Guards against changes to the fields of the operator's status page: their names and order.
func TestGoldenStatus(t *testing.T) {
	goldentest.Check(t, "status.txt", strings.Join([]string{
		goldentest.JSON(t, goldentest.Filled[Status]()),
		goldentest.JSON(t, Status{}),
		goldentest.JSON(t, leader.Status{Recovery: &leader.RecoveryStatus{}}),
	}, "\n")+"\n")
}
