package leader

import (
	"fmt"
	"testing"
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// TestSelectVictim checks that a service of a higher priority preempts the array task that loses the
// least work, within the limits of priority, quota and zone.
func TestSelectVictim(t *testing.T) {
	const s = time.Second
	type seconds = []time.Duration
	for _, tc := range []struct {
		name       string
		modify     func(leader *leaderTerm, array, service *wire.Job)
		runningFor []time.Duration // array tasks on h0, h1, ...
		want       string          // the worker of the victim
	}{
		{"the one that loses the least work", nil, seconds{20 * s, 10 * s, 30 * s}, "h1"},
		{"not one about to finish", nil, seconds{20 * s, 49 * s}, "h0"},
		{"not one about to finish, if it is the only one", nil, seconds{49 * s}, ""},
		{"not of the same priority, though past its guaranteed quota", func(_ *leaderTerm, array, _ *wire.Job) {
			array.Priority, array.Team = "production", "u"
		}, seconds{s}, ""},
		{"not of the same priority", func(_ *leaderTerm, array, _ *wire.Job) {
			array.Priority = "production"
		}, seconds{s}, ""},
		{"not for a team past its guaranteed quota against one within its own", func(_ *leaderTerm, _, service *wire.Job) {
			service.Team, service.CPUs = "u", 5
		}, seconds{s}, ""},
		{"not in a zone where the job may not run", func(_ *leaderTerm, _, service *wire.Job) {
			service.Zone = "b"
		}, seconds{s, 20 * s}, "h1"},
		{"a checkpoint limits the lost work", func(_ *leaderTerm, array, _ *wire.Job) {
			array.CheckpointIntervalSeconds, array.CheckpointSaveSeconds = 5, 1
		}, seconds{30 * s}, "h0"},
		{"not on a spot worker", func(leader *leaderTerm, array, _ *wire.Job) {
			array.AllowSpot, leader.workers["h0"].Spot = true, true
		}, seconds{s, 9 * s}, "h1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			array := wire.Job{Kind: wire.KindArray, Priority: "standard", TaskCount: 8, CPUs: 8, ExpectedSeconds: 50}
			service := wire.Job{Kind: wire.KindService, Priority: "production", TaskCount: 2, CPUs: 2}
			if tc.modify != nil {
				tc.modify(leader, &array, &service)
			}
			arrayJob, serviceJob := leader.addTestJob("req-1", array), leader.addTestJob("req-2", service)
			for i, ran := range tc.runningFor {
				leader.runTestTask(t, arrayJob, fmt.Sprint("h", i), ran)
			}
			got, candidates := "", leader.scheduler.candidates(now)
			target, victim := leader.scheduler.preemptor.selectVictim(serviceJob, candidates, map[string]int{}, now)
			if victim != nil {
				got = target.worker.Name
			}
			if got != tc.want {
				t.Errorf("victim on %q, want %q", got, tc.want)
			}
		})
	}
}

// TestLostWork checks that a task with checkpoints loses at most the time to save one.
func TestLostWork(t *testing.T) {
	claim := &ledger.Claim{Job: &ledger.Job{}}
	if got := lostWorkSeconds(claim, 30); got != 30 {
		t.Errorf("without checkpoints %v s are lost, want 30", got)
	}
	claim.Job.Spec = wire.Job{CheckpointIntervalSeconds: 5, CheckpointSaveSeconds: 1}
	if got := lostWorkSeconds(claim, 30); got != 1 {
		t.Errorf("with checkpoints %v s are lost, want 1", got)
	}
}
