package leader

import (
	"errors"
	"testing"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/dataloss"
	"rillflow/internal/wire"
)

// leadershipAfterLoss is a leadership in an incarnation of the store that began after a data loss,
// or in one that did not.
type leadershipAfterLoss struct {
	fakeLeadership
	lost bool
}

func (l *leadershipAfterLoss) Incarnation() dataloss.IncarnationState {
	return dataloss.IncarnationState{Incarnation: dataloss.Incarnation{DataLost: l.lost}}
}

// Guards against telling users after a data loss that their job was never accepted. A new leader
// knows nothing of a job whose record was lost until the workers that have its tasks have reported.
func TestTaskCountsOfUnknownJobs(t *testing.T) {
	for _, tc := range []struct {
		name   string
		lost   bool
		since  time.Duration // time since the start of the term
		worker string        // "unheard", "heard", or "earlier": it has seen an earlier epoch only
		err    error
	}{
		{"no data lost", false, 0, "unheard", nil},
		{"cloud list may lack instances", true, time.Second, "heard", ErrWorkersUnreported},
		{"worker has not reported", true, 15 * time.Second, "unheard", ErrWorkersUnreported},
		{"worker may still take commands of the last leader", true, 15 * time.Second, "earlier",
			ErrWorkersUnreported},
		{"all workers have reported", true, 15 * time.Second, "heard", nil},
		{"lease of the unreported worker has expired", true, 40 * time.Second, "unheard", nil},
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
				t.Errorf("unknown job: got known %v, error %v; want false, %v", known, err, tc.err)
			}
			leader.addTestJob("req-1", wire.Job{Class: "f", TaskCount: 1})
			if _, known, err := runner.TaskCounts("req-1"); !known || err != nil {
				t.Errorf("job in the table: got known %v, error %v; want true, no error", known, err)
			}
			leader.orphans.orphanedJobs = map[string]*orphanedJob{"req-2": {}}
			if _, known, err := runner.TaskCounts("req-2"); !known || err != nil {
				t.Errorf("orphaned job: got known %v, error %v; want true, no error", known, err)
			}
		})
	}
	if _, _, err := (&Runner{}).TaskCounts("req-1"); !errors.Is(err, ErrNotLeading) {
		t.Errorf("without a term: got error %v, want %v", err, ErrNotLeading)
	}
}
