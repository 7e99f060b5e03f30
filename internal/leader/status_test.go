package leader

import (
	"errors"
	"testing"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/dataloss"
	"rillflow/internal/wire"
)

// leadershipAfterLoss leads in an incarnation of the store that begins behind a loss, or in one
// that does not.
type leadershipAfterLoss struct {
	fakeLeadership
	lost bool
}

func (l *leadershipAfterLoss) Incarnation() dataloss.IncarnationState {
	return dataloss.IncarnationState{Incarnation: dataloss.Incarnation{DataLost: l.lost}}
}

// Of a job that is stored nowhere a new leader knows nothing until the workers that have its tasks
// have reported. Told as never accepted in that time, it was forgotten.
func TestTaskCountsOfUnknownJobs(t *testing.T) {
	for _, tc := range []struct {
		name   string
		lost   bool
		since  time.Duration // the start of the term
		worker string        // as it stands to this leader
		err    error
	}{
		{"nothing was lost", false, 0, "unheard", nil},
		{"lost, and the list may lack machines", true, time.Second, "heard", ErrWorkersUnreported},
		{"lost, and one was not heard", true, 15 * time.Second, "unheard", ErrWorkersUnreported},
		{"lost, and one may still be ordered by the last leader", true, 15 * time.Second, "earlier",
			ErrWorkersUnreported},
		{"lost, and all were heard", true, 15 * time.Second, "heard", nil},
		{"lost, and what was not heard has no lease left", true, 40 * time.Second, "unheard", nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			leader.leadership = &leadershipAfterLoss{lost: tc.lost}
			leader.firstEpoch, leader.startedAt = 7, now.Add(-tc.since)
			leader.settings.Facts.Cloud.ListLagSeconds = 5
			for _, worker := range leader.workersByName {
				worker.SeenEpoch = 7
			}
			worker := agent.NewWorker("h9")
			switch tc.worker {
			case "heard":
				worker.LastHeartbeat, worker.SeenEpoch = now, 7
			case "earlier":
				worker.LastHeartbeat, worker.SeenEpoch = now, 6
			}
			leader.addWorker(worker)
			leader.instances = map[string]wire.Instance{"h9": {Name: "h9", Phase: wire.InstanceRunning}}
			runner := runnerOf(leader)
			if _, known, err := runner.TaskCounts("req-9"); known || !errors.Is(err, tc.err) {
				t.Errorf("known %v, %v; want %v", known, err, tc.err)
			}
			leader.addTestJob("req-1", wire.Job{Class: "f", TaskCount: 1})
			if _, known, err := runner.TaskCounts("req-1"); !known || err != nil {
				t.Errorf("a job in the table: known %v, %v", known, err)
			}
			leader.orphans.orphanedJobs = map[string]*orphanedJob{"req-2": {}}
			if _, known, err := runner.TaskCounts("req-2"); !known || err != nil {
				t.Errorf("a job that a worker showed: known %v, %v", known, err)
			}
		})
	}
	if _, _, err := (&Runner{}).TaskCounts("req-1"); !errors.Is(err, ErrNotLeading) {
		t.Errorf("no term: %v", err)
	}
}
