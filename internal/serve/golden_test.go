package serve

import (
	"strings"
	"testing"

	"rillflow/internal/control"
	"rillflow/internal/goldentest"
)

// The operator's status page keeps its fields, their names and their order.
func TestGoldenStatus(t *testing.T) {
	goldentest.Check(t, "status.txt", strings.Join([]string{
		goldentest.JSON(t, goldentest.Filled[Status]()),
		goldentest.JSON(t, Status{}),
		goldentest.JSON(t, control.Status{Recovery: &control.RecoveryStatus{}}),
	}, "\n")+"\n")
}
