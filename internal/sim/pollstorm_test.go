package sim

import (
	"testing"
	"time"

	"rillflow/internal/wire"
)

const (
	recoveryTime      = 60 * time.Second // after the last fault, until the leader no longer changes
	stormMaxPollPause = 600 * time.Millisecond
)

// limitStore limits the store's rates and restarts all controllers with these limits in
// their settings.
func (m *scenario) limitStore(requests, writes float64) {
	m.world.mu.Lock()
	m.world.storeRPS, m.world.storeWriteRPS = requests, writes
	m.world.mu.Unlock()
	m.store.limitRates(requests, writes)
	m.restartControllers(time.Second, 0, 1, 2)
}

// setMaxPollPause sets the longest pause between two polls of a user; 0: the default.
func (m *scenario) setMaxPollPause(maxPause time.Duration) {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	m.world.maxPollPause = maxPause
}

// chains returns chains of three jobs, each depending on the one before it. The first job of
// a chain runs for an hour.
func chains(firstJob, chainCount int) (jobs []wire.Job) {
	for chain := range chainCount {
		head := firstJob + 3*chain
		for position := range 3 {
			job := array(head+position, 1, 10*time.Second)
			if position == 0 {
				job.ExpectedSeconds = 3600
			} else {
				job.DependsOn = []string{testJobID(head + position - 1)}
			}
			jobs = append(jobs, job)
		}
	}
	return jobs
}

// Guards against status polls that starve lease renewals and cancellations of dependent jobs.
func TestDependentsCancelledThroughPollStorm(t *testing.T) {
	const services, chainCount, firstHead = 60, 24, 100
	jobs := arrays(services, 1, 0, func(_ int, job *wire.Job) { job.Kind, job.Priority, job.CPUs = wire.KindService, "production", 0.25 })
	runFaultPlan(t, faultPlan{
		seed: 778, maxInstances: 12, jobs: append(jobs, chains(firstHead, chainCount)...),
		faults: func(m *scenario) {
			m.limitStore(60, 30)
			time.Sleep(20 * time.Second)
			m.setMaxPollPause(stormMaxPollPause)
			time.Sleep(5 * time.Second)
			leader := m.leaderIndex()
			concurrently(
				func() { m.crashController(leader, 5*time.Second) },
				func() { m.crashController((leader+1)%controllerCount, 5*time.Second) },
				func() {
					time.Sleep(10 * time.Second)
					for chain := range chainCount {
						m.world.wg.Go(func() { m.cancelRepeatedly(chain%controllerCount, 100*time.Second, testJobID(firstHead+3*chain)) })
						time.Sleep(time.Second)
					}
				},
				func() {
					time.Sleep(20 * time.Second)
					m.store.setOutage(true)
					time.Sleep(10 * time.Second)
					m.store.setOutage(false)
				},
			)
			time.Sleep(90 * time.Second)
			m.setMaxPollPause(0)
		},
		check: func(m *scenario) {
			if n := m.store.leaderChanges(m.world.faultsEndedAt.Add(recoveryTime)); n > 0 {
				m.Errorf("%d leader changes later than %v after the last fault, want none", n, recoveryTime)
			}
			for chain := range chainCount {
				if head := testJobID(firstHead + 3*chain); m.world.cancelledAt[head].IsZero() {
					m.Errorf("job %s was never reported as cancelled", head)
				}
			}
			if n := m.store.rateRefusals; n > 0 {
				m.Errorf("the store refused %d requests for their rate: the controllers' rate shares are too large", n)
			}
			m.Logf("%d leader changes in total", m.store.leaderChanges(m.startedAt))
		},
	})
}
