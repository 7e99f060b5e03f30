package sim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"rillflow/internal/wire"
)

func holdStarts(worker *fakeWorker, active bool) { worker.holdsStarts = active }

func hasStart(batch wire.CommandBatch) bool {
	return slices.ContainsFunc(batch.Commands, func(c wire.Command) bool { return c.Action == wire.ActionStart })
}

// deliverHeldStarts lets the held commands arrive, once more if they have before, and returns their number.
func (m *scenario) deliverHeldStarts(names []string) (delivered int) {
	for _, worker := range m.world.workersNamed(names) {
		worker.mu.Lock()
		held := worker.heldStarts
		worker.mu.Unlock()
		for _, batch := range held {
			worker.receiveCopy(batch)
			delivered++
		}
	}
	return delivered
}

// Guards against an unanswered start that is carried out once the time to end cancelled tasks is over.
func TestHeldUpStartsAfterCancellation(t *testing.T) {
	type heldStartsTest struct {
		name  string
		fault func(m *scenario, workers []string)
	}
	for _, tc := range []heldStartsTest{
		{"alone", func(*scenario, []string) {}},
		{"workers hang", func(m *scenario, workers []string) {
			m.injectWorkerFault(workers, leaseDuration-4*time.Second, pauseWorker)
		}},
		{"workers hang until the starts arrive", func(m *scenario, workers []string) {
			m.injectWorkerFault(workers, cancelTimeout+8*time.Second, pauseWorker)
		}},
		{"workers reboot", func(m *scenario, workers []string) { m.world.rebootWorkers(workers) }},
		{"workers reboot, heartbeats lost", func(m *scenario, workers []string) { m.world.rebootUnheard(workers, leaseDuration/2) }},
		{"heartbeats lost", func(m *scenario, workers []string) {
			m.injectWorkerFault(workers, leaseDuration-4*time.Second, dropHeartbeats)
		}},
		{"responses lost", func(m *scenario, workers []string) {
			m.injectWorkerFault(workers, leaseDuration-4*time.Second, dropResponses)
		}},
		{"cloud outage", func(m *scenario, _ []string) { m.cloud.refuseRequests(cancelTimeout) }},
		{"leader crashes", func(m *scenario, _ []string) { m.crashController(m.leaderIndex(), 5*time.Second) }},
		{"leader crashes, workers hang", func(m *scenario, workers []string) {
			concurrently(
				func() { m.crashController(m.leaderIndex(), 5*time.Second) },
				func() { m.injectWorkerFault(workers, leaseDuration-4*time.Second, pauseWorker) },
			)
		}},
		{"store refuses the leader", func(m *scenario, _ []string) {
			leader := controllerName(m.leaderIndex())
			m.store.refuseController(leader, true)
			time.Sleep(20 * time.Second)
			m.store.refuseController(leader, false)
		}},
	} {
		for seed := range seedCount(2) {
			t.Run(fmt.Sprintf("%s, seed %d", tc.name, seed), func(t *testing.T) {
				t.Parallel()
				plan := faultPlan{seed: 600 + 10*seed, teamCPULimit: 40, jobs: arrays(6, 3, 100*time.Second, nil), recovery: 300 * time.Second}
				plan.faults = func(m *scenario) {
					workers := m.workerNames("")
					delivered := 0
					concurrently(
						func() { m.injectWorkerFault(workers, 3*time.Second, holdStarts) },
						func() {
							for i := range 6 {
								m.world.submit(m.ctx, array(30+i, 3, 30*time.Second), time.Duration(i)*300*time.Millisecond, 0)
							}
							time.Sleep(2200 * time.Millisecond)
							concurrently(
								func() { tc.fault(m, workers) },
								func() {
									m.cancelRepeatedly((m.initialLeader+1)%controllerCount, 2*cancelTimeout, testJobID(30), testJobID(31), testJobID(32), testJobID(33), testJobID(34), testJobID(35))
								},
								func() {
									for _, after := range []time.Duration{heartbeatInterval, cancelTimeout, 4 * time.Second} {
										time.Sleep(after)
										delivered += m.deliverHeldStarts(workers)
									}
								},
							)
						},
					)
					if delivered == 0 {
						m.Error("no start was held up")
					}
				}
				plan.runOnce(t)
			})
		}
	}
}
