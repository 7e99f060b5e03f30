package leader

import (
	"fmt"
	"testing"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/wire"
)

// Until proof, the claims of a silent worker stand: another controller may have
// renewed its lease.
func TestExpireLeases(t *testing.T) {
	for _, tc := range []struct {
		name           string
		soleOwnerEpoch uint64
		seenEpoch      uint64
		silentFor      time.Duration
		epochSeenAgo   time.Duration // since it showed its epoch
		wantFreed      bool
	}{
		{"within the lease", 5, 5, 29 * time.Second, time.Hour, false},
		{"over, and nobody else may answer", 5, 5, 32 * time.Second, time.Hour, true},
		{"over by a drifting clock only", 5, 5, 30 * time.Second, time.Hour, false},
		{"the worker has not seen the epoch", 5, 4, time.Hour, time.Hour, false},
		{"it saw the epoch only now", 5, 5, time.Hour, 29 * time.Second, false},
		{"another owns it", 0, 9, time.Hour, time.Hour, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			job := leader.addTestJob("req-1", wire.Job{Kind: wire.KindService, TaskCount: 1, CPUs: 1})
			leader.runTestTask(t, job, "h0", time.Minute)
			worker := leader.workers["h0"]
			worker.SoleOwnerEpoch, worker.SeenEpoch, worker.EpochSeenAt = tc.soleOwnerEpoch, tc.seenEpoch, now.Add(-tc.epochSeenAgo)
			worker.LastHeartbeat, worker.LastAnswered = now.Add(-tc.silentFor), now.Add(-tc.silentFor)
			leader.failures.expireLeases(now)
			if got := job.ClaimedTasks() == 0; got != tc.wantFreed {
				t.Errorf("freed: %v, want %v", got, tc.wantFreed)
			}
		})
	}
}

// What is done about workers that fall silent goes by who is at fault, and by what
// would be lost or would outlive its time.
func TestWorkersSilentTogether(t *testing.T) {
	const heartbeatInterval = 3 * time.Second // lease 30 s, cancel 50 s
	for _, tc := range []struct {
		name         string
		isSilent     func(i int) bool // of 24 workers, in zones a, b and c
		silentFor    time.Duration
		modify       func(leader *leaderTerm)
		wantReleased int
		wantFirst    string
	}{
		{"a few are returned", func(i int) bool { return i == 1 || i == 2 }, 3 * heartbeatInterval, nil, 2, ""},
		{"a zone is kept", func(i int) bool { return i%3 == 1 }, 3 * heartbeatInterval, nil, 0, ""},
		{"well past the lease, where a controller keeps it alive", func(i int) bool { return i%3 == 1 },
			20 * heartbeatInterval, nil, 0, ""},
		{"not for ever", func(i int) bool { return i%3 == 1 }, 50 * heartbeatInterval, nil, 8, ""},
		{"no controller there, within the lease", func(i int) bool { return i%3 == 2 }, 9 * heartbeatInterval, nil, 0, ""},
		{"no controller there, past it: the one with a task", func(i int) bool { return i%3 == 2 }, 11 * heartbeatInterval,
			nil, 1, "h2"},
		{"everything is kept: this node is cut off", func(int) bool { return true }, 9 * heartbeatInterval, nil, 0, ""},
		{"a withdrawn task must be gone in time", func(i int) bool { return i%3 == 1 }, 20 * heartbeatInterval,
			cancelledFor(45 * time.Second), 1, "h1"},
		{"and has time still", func(i int) bool { return i%3 == 1 }, 20 * heartbeatInterval,
			cancelledFor(43 * time.Second), 0, ""},
		{"one that answers commands, within the lease", func(i int) bool { return i == 1 }, 9 * heartbeatInterval,
			answersCommands("h1"), 0, ""},
		{"one that answers commands, past it", func(i int) bool { return i == 1 }, 11 * heartbeatInterval,
			answersCommands("h1"), 1, "h1"},
		{"a zone that answers commands is kept", func(i int) bool { return i%3 == 1 }, 11 * heartbeatInterval,
			answersCommands("h1", "h4", "h7", "h10", "h13", "h16", "h19", "h22"), 0, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			leader.settings.Zone = "a"
			leader.settings.Peers = append(leader.settings.Peers, testPeer("m", "b"))
			leader.settings.Facts.Workers.CancelSeconds = 50
			leader.startedAt = now.Add(-time.Hour)
			for i := range 24 {
				name := fmt.Sprint("h", i)
				worker := leader.workers[name]
				if worker == nil {
					worker = agent.NewWorker(name)
					leader.addWorker(worker)
				}
				worker.InstanceType, worker.Zone, worker.Incarnation = "m", "abc"[i%3:i%3+1], 1
				worker.LastHeartbeat, worker.ShardOwner = now.Add(-heartbeatInterval), []string{"n", "m"}[i/3%2]
				if tc.isSilent(i) {
					worker.LastHeartbeat = now.Add(-tc.silentFor)
				}
			}
			spec := wire.Job{Kind: wire.KindService, Priority: "production", TaskCount: 1, CPUs: 1}
			leader.runTestTask(t, leader.addTestJob("req-2", spec), "h1", time.Minute)
			leader.runTestTask(t, leader.addTestJob("req-3", spec), "h2", time.Minute)
			if tc.modify != nil {
				tc.modify(leader)
			}
			// It has been so since it began: the judgement is not of this moment.
			at := now
			leader.now = func() time.Time { return at }
			for at = now.Add(-tc.silentFor + 2*heartbeatInterval); at.Before(now); at = at.Add(heartbeatInterval) {
				leader.failures.observeSilence(at)
			}
			at = now
			got := leader.failures.faultyWorkers(now)
			if len(got) != tc.wantReleased || tc.wantFirst != "" && got[0] != tc.wantFirst {
				t.Errorf("released %v", got)
			}
		})
	}
}

// cancelledFor has the job req-2 cancelled for some time.
func cancelledFor(since time.Duration) func(leader *leaderTerm) {
	return func(leader *leaderTerm) {
		leader.jobs.Job("req-2").CancelledAt = now.Add(-since)
		leader.jobs.Cancel("req-2")
	}
}

// answersCommands has workers answer direct commands.
func answersCommands(names ...string) func(leader *leaderTerm) {
	return func(leader *leaderTerm) {
		for _, name := range names {
			leader.workers[name].LastUpdate = now
		}
	}
}

// An instance that the cloud had announced to reclaim is released sooner once its worker is
// silent than one that nobody expected to go, and never while the worker is heard.
func TestSilentAfterTerminationNotice(t *testing.T) {
	heartbeatInterval := 3 * time.Second
	for _, tc := range []struct {
		name             string
		noticeExpiredAgo time.Duration // the notice runs out this long ago; 0: there was none
		silentFor        time.Duration
		wantReleased     bool
	}{
		{"no notice", 0, 2 * heartbeatInterval, false},
		{"no notice, silent for long", 0, 3 * heartbeatInterval, true},
		{"its time is over", heartbeatInterval, 2 * heartbeatInterval, true},
		{"its time is over, but it is heard", heartbeatInterval, heartbeatInterval, false},
		{"its time is still to come", -heartbeatInterval, 2 * heartbeatInterval, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			leader.startedAt = now.Add(-time.Hour)
			worker := leader.workers["h0"]
			worker.LastHeartbeat = now.Add(-tc.silentFor)
			if tc.noticeExpiredAgo != 0 {
				worker.ReclaimAt = now.Add(-tc.noticeExpiredAgo)
			}
			if got := leader.failures.faultyWorkers(now); (len(got) == 1) != tc.wantReleased {
				t.Errorf("to be released: %v", got)
			}
		})
	}
}
