package leader

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/fleet"
	"rillflow/internal/wire"
)

// TestExpireLeases guards against freeing the claims of a silent worker without proof that its lease
// has expired: another controller may have renewed it.
func TestExpireLeases(t *testing.T) {
	for _, tc := range []struct {
		name           string
		soleOwnerEpoch uint64
		seenEpoch      uint64
		silentFor      time.Duration
		epochSeenAgo   time.Duration // since the worker reported the epoch
		rebootSeenAgo  time.Duration // since it reported its incarnation
		wantFreed      bool
	}{
		{"within the lease", 5, 5, 29 * time.Second, time.Hour, time.Hour, false},
		{"expired, and only this controller may answer", 5, 5, 32 * time.Second, time.Hour, time.Hour, true},
		{"expired only by a drifting clock", 5, 5, 30 * time.Second, time.Hour, time.Hour, false},
		{"the worker has not seen the epoch", 5, 4, time.Hour, time.Hour, time.Hour, false},
		{"the worker has just seen the epoch", 5, 5, time.Hour, 29 * time.Second, time.Hour, false},
		{"another controller owns the worker", 0, 9, time.Hour, time.Hour, time.Hour, false},
		{"the worker has rebooted within the lease", 5, 5, time.Hour, time.Hour, 29 * time.Second, false},
		{"the worker has rebooted more than a lease ago", 5, 5, time.Hour, time.Hour, 32 * time.Second, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			job := leader.addTestJob("req-1", wire.Job{Kind: wire.KindService, TaskCount: 1, CPUs: 1})
			leader.runTestTask(t, job, "h0", time.Minute)
			worker := leader.workers["h0"]
			worker.BeginIncarnation(worker.Incarnation, now.Add(-tc.rebootSeenAgo))
			worker.SoleOwnerEpoch, worker.SeenEpoch, worker.EpochSeenAt =
				tc.soleOwnerEpoch, tc.seenEpoch, now.Add(-tc.epochSeenAgo)
			worker.LastHeartbeat, worker.LastAnswered = now.Add(-tc.silentFor), now.Add(-tc.silentFor)
			leader.failures.expireLeases(now)
			if got := job.ClaimedTasks() == 0; got != tc.wantFreed {
				t.Errorf("freed: %v, want %v", got, tc.wantFreed)
			}
		})
	}
}

// TestWorkersSilentTogether checks which silent workers are released: it depends on whether a worker,
// a zone or this controller is at fault, on the lease, and on cancelled tasks that must end in time.
func TestWorkersSilentTogether(t *testing.T) {
	const heartbeatInterval = 3 * time.Second // with a lease of 30 s and a cancellation deadline of 50 s
	for _, tc := range []struct {
		name         string
		isSilent     func(i int) bool // of 24 workers, in zones a, b and c
		silentFor    time.Duration
		modify       func(leader *leaderTerm)
		wantReleased int
		wantFirst    string // the first released worker; "": not checked
	}{
		{"a few silent workers are released", func(i int) bool { return i == 1 || i == 2 }, 3 * heartbeatInterval, nil,
			2, ""},
		{"a silent zone is not released", func(i int) bool { return i%3 == 1 }, 3 * heartbeatInterval, nil, 0, ""},
		{"well past the lease, where a controller in the zone may renew it", func(i int) bool { return i%3 == 1 },
			20 * heartbeatInterval, nil, 0, ""},
		{"a zone is released after the outage grace", func(i int) bool { return i%3 == 1 }, 50 * heartbeatInterval, nil,
			8, ""},
		{"no controller in the zone, within the lease", func(i int) bool { return i%3 == 2 }, 9 * heartbeatInterval,
			nil, 0, ""},
		{"no controller in the zone, past the lease: only the worker with a task", func(i int) bool { return i%3 == 2 },
			11 * heartbeatInterval, nil, 1, "h2"},
		{"all silent: this controller is isolated, nothing is released", func(int) bool { return true },
			9 * heartbeatInterval, nil, 0, ""},
		{"a cancelled task is near its deadline", func(i int) bool { return i%3 == 1 }, 20 * heartbeatInterval,
			cancelledFor(45 * time.Second), 1, "h1"},
		{"a cancelled task has time left", func(i int) bool { return i%3 == 1 }, 20 * heartbeatInterval,
			cancelledFor(43 * time.Second), 0, ""},
		{"one worker answers commands, within the lease", func(i int) bool { return i == 1 }, 9 * heartbeatInterval,
			answersCommands("h1"), 0, ""},
		{"one worker answers commands, past the lease", func(i int) bool { return i == 1 }, 11 * heartbeatInterval,
			answersCommands("h1"), 1, "h1"},
		{"a zone that answers commands is not released", func(i int) bool { return i%3 == 1 }, 11 * heartbeatInterval,
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
			// The detector observes the silence from its beginning, as it does in operation.
			clock := now
			leader.now = func() time.Time { return clock }
			for clock = now.Add(-tc.silentFor + 2*heartbeatInterval); clock.Before(now); clock = clock.Add(heartbeatInterval) {
				leader.failures.observeSilence(clock)
			}
			clock = now
			got := leader.failures.faultyWorkers(now)
			if len(got) != tc.wantReleased || tc.wantFirst != "" && got[0] != tc.wantFirst {
				t.Errorf("released %v, want %d workers, first %q", got, tc.wantReleased, tc.wantFirst)
			}
		})
	}
}

// cancelledFor returns a modification by which the job req-2 was cancelled the given time ago.
func cancelledFor(since time.Duration) func(leader *leaderTerm) {
	return func(leader *leaderTerm) {
		leader.jobs.Job("req-2").CancelledAt = now.Add(-since)
		leader.jobs.Cancel("req-2")
	}
}

// answersCommands returns a modification by which the workers have just answered direct commands.
func answersCommands(names ...string) func(leader *leaderTerm) {
	return func(leader *leaderTerm) {
		for _, name := range names {
			leader.workers[name].LastUpdate = now
		}
	}
}

// TestSilentAfterTerminationNotice checks that a silent worker is released sooner if its termination
// notice has expired, and never while it sends heartbeats.
func TestSilentAfterTerminationNotice(t *testing.T) {
	heartbeatInterval := 3 * time.Second
	for _, tc := range []struct {
		name             string
		noticeExpiredAgo time.Duration // since the notice expired; 0: there was no notice
		silentFor        time.Duration
		wantReleased     bool
	}{
		{"no notice", 0, 2 * heartbeatInterval, false},
		{"no notice, silent for long", 0, 3 * heartbeatInterval, true},
		{"notice expired", heartbeatInterval, 2 * heartbeatInterval, true},
		{"notice expired, but heartbeats arrive", heartbeatInterval, heartbeatInterval, false},
		{"notice not yet expired", -heartbeatInterval, 2 * heartbeatInterval, false},
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
				t.Errorf("to be released: %v, want one: %v", got, tc.wantReleased)
			}
		})
	}
}

// Guards against releases that are logged and audited, but not sent: one request names a hundred instances at most.
func TestReleasesAreLoggedOnlyIfSent(t *testing.T) {
	for _, tc := range []struct {
		name    string
		release func(leader *leaderTerm, names []string) []string
	}{
		{"idle", func(leader *leaderTerm, names []string) []string {
			return leader.autoscaler.markIdleReleased(fleet.Plan{Release: names}, now)
		}},
		{"failed", func(leader *leaderTerm, names []string) []string {
			for _, name := range names {
				leader.instances[name] = wire.Instance{Name: name, Phase: wire.InstanceFailed}
			}
			return leader.failures.faultyWorkers(now)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			var logged strings.Builder
			leader.log = slog.New(slog.NewTextHandler(&logged, nil))
			var names []string
			for i := range maxReleaseNames + 50 {
				worker := agent.NewWorker(fmt.Sprintf("i-%06d", i))
				worker.LastHeartbeat, worker.LastAnswered, worker.LastUpdate = now, now, now
				leader.addWorker(worker)
				names = append(names, worker.Name)
			}
			released := tc.release(leader, names)
			if count := strings.Count(logged.String(), "msg=releasing"); len(released) != maxReleaseNames || count != len(released) {
				t.Errorf("got %d releases and %d log lines, want %d of each", len(released), count, maxReleaseNames)
			}
		})
	}
}
