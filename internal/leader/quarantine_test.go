package leader

import (
	"testing"
	"time"

	"rillflow/internal/wire"
)

// A machine that fails what it starts is left alone, and tried again once in a lease where it
// is not returned: where most machines fail tasks, none is, and a fault that is over would
// never show.
func TestQuarantineIsRetried(t *testing.T) {
	for _, tc := range []struct {
		name   string
		fails  int
		since  time.Duration // the last failure; the lease is 30 s
		usable bool
	}{
		{"one failure", 1, time.Second, true},
		{"two", 2, time.Second, false},
		{"two, nearly a lease ago", 2, 29 * time.Second, false},
		{"two, a lease ago", 2, 30 * time.Second, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			for _, h := range leader.workersByName { // most fail, of jobs that fail nowhere else: none is returned
				j := leader.addTestJob("req-"+h.Name[1:], wire.Job{Class: "f", Kind: wire.KindArray, TaskCount: 4, CPUs: 1})
				for range tc.fails {
					leader.countFailure(j, h, now.Add(-tc.since))
				}
			}
			if got := leader.faultyWorkers(now); len(got) > 0 {
				t.Errorf("returned %v", got)
			}
			if got := leader.acceptsTasks(leader.workers["h0"], now); got != tc.usable {
				t.Errorf("usable: %v", got)
			}
			leader.countFailure(leader.jobs.Job("req-0"), leader.workers["h0"], now)
			if tc.fails > 1 && leader.acceptsTasks(leader.workers["h0"], now) {
				t.Error("tried again at once after it failed once more")
			}
		})
	}
}
