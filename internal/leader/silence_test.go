package leader

import (
	"fmt"
	"testing"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/wire"
)

// What is done about machines that fall silent goes by who is at fault, and by what
// would be lost or would outlive its time.
func TestWorkersSilentTogether(t *testing.T) {
	const report = 3 * time.Second // lease 30 s, cancel 50 s
	for _, tc := range []struct {
		name   string
		silent func(i int) bool // of 24 hosts, in zones a, b and c
		since  time.Duration
		tweak  func(leader *leaderTerm)
		gone   int
		why    string
	}{
		{"a few are returned", func(i int) bool { return i == 1 || i == 2 }, 3 * report, nil, 2, ""},
		{"a zone is kept", func(i int) bool { return i%3 == 1 }, 3 * report, nil, 0, ""},
		{"well past the lease, where a controller keeps it alive", func(i int) bool { return i%3 == 1 }, 20 * report, nil, 0, ""},
		{"not for ever", func(i int) bool { return i%3 == 1 }, 50 * report, nil, 8, ""},
		{"no controller there, within the lease", func(i int) bool { return i%3 == 2 }, 9 * report, nil, 0, ""},
		{"no controller there, past it: the one with a task", func(i int) bool { return i%3 == 2 }, 11 * report, nil, 1, "h2"},
		{"everything is kept: this node is cut off", func(int) bool { return true }, 9 * report, nil, 0, ""},
		{"a withdrawn task must be gone in time", func(i int) bool { return i%3 == 1 }, 20 * report, func(leader *leaderTerm) {
			leader.jobs.Job("req-2").CancelledAt = now.Add(-45 * time.Second)
			leader.jobs.Cancel("req-2")
		}, 1, "h1"},
		{"and has time still", func(i int) bool { return i%3 == 1 }, 20 * report, func(leader *leaderTerm) {
			leader.jobs.Job("req-2").CancelledAt = now.Add(-43 * time.Second)
			leader.jobs.Cancel("req-2")
		}, 0, ""},
		{"one that answers commands, within the lease", func(i int) bool { return i == 1 }, 9 * report, answersCommands("h1"), 0, ""},
		{"one that answers commands, past it", func(i int) bool { return i == 1 }, 11 * report, answersCommands("h1"), 1, "h1"},
		{"a zone that answers commands is kept", func(i int) bool { return i%3 == 1 }, 11 * report, answersCommands("h1", "h4", "h7", "h10", "h13", "h16", "h19", "h22"), 0, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			leader.settings.Zone = "a"
			leader.settings.Members = append(leader.settings.Members, testPeer("m", "b"))
			leader.settings.Facts.Workers.CancelS = 50
			leader.startedAt = now.Add(-time.Hour)
			for i := range 24 {
				name := fmt.Sprint("h", i)
				worker := leader.workers[name]
				if worker == nil {
					worker = agent.NewWorker(name)
					leader.addWorker(worker)
				}
				worker.InstanceType, worker.Zone, worker.Incarnation, worker.LastHeartbeat, worker.ShardOwner = "m", "abc"[i%3:i%3+1], 1, now.Add(-report), []string{"n", "m"}[i/3%2]
				if tc.silent(i) {
					worker.LastHeartbeat = now.Add(-tc.since)
				}
			}
			leader.runTestTask(t, leader.addTestJob("req-2", wire.Job{Kind: wire.KindService, Priority: "production", TaskCount: 1, CPUs: 1}), "h1", time.Minute)
			leader.runTestTask(t, leader.addTestJob("req-3", wire.Job{Kind: wire.KindService, Priority: "production", TaskCount: 1, CPUs: 1}), "h2", time.Minute)
			if tc.tweak != nil {
				tc.tweak(leader)
			}
			// It has been so since it began: the judgement is not of this moment.
			at := now
			leader.now = func() time.Time { return at }
			for at = now.Add(-tc.since + 2*report); at.Before(now); at = at.Add(report) {
				leader.observeSilence(at)
			}
			at = now
			got := leader.faultyWorkers(now)
			if len(got) != tc.gone || tc.why != "" && got[0] != tc.why {
				t.Errorf("returned %v", got)
			}
		})
	}
}

// answersCommands has hosts answer direct commands.
func answersCommands(names ...string) func(leader *leaderTerm) {
	return func(leader *leaderTerm) {
		for _, n := range names {
			leader.workers[n].LastUpdate = now
		}
	}
}
