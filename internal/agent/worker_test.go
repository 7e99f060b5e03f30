package agent

import (
	"testing"

	"rillflow/internal/wire"
)

func TestIsNewer(t *testing.T) {
	worker := NewWorker("i-1")
	worker.Incarnation, worker.Sequence = 2, 10
	for _, tc := range []struct {
		incarnation, sequence uint64
		want                  bool
	}{{2, 11, true}, {2, 10, false}, {2, 9, false}, {3, 1, true}, {1, 99, false}} {
		heartbeat := &wire.Heartbeat{Incarnation: tc.incarnation, Sequence: tc.sequence}
		if got := worker.IsNewer(heartbeat); got != tc.want {
			t.Errorf("%d.%d newer than 2.10: got %v, want %v", tc.incarnation, tc.sequence, got, tc.want)
		}
	}
}
