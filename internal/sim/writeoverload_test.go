package sim

import (
	"testing"
	"time"

	"rillflow/internal/wire"
)

// The load of overloadWrites: jobs with one task each, which need five writes per job and
// together more than the store accepts.
const (
	overloadJobs     = 400
	overloadInterval = 250 * time.Millisecond
)

// overloadWrites limits the store's rates and submits more jobs than it can write.
func (m *scenario) overloadWrites(requests, writes float64) {
	m.limitStore(requests, writes)
	time.Sleep(20 * time.Second)
	for i := range overloadJobs {
		m.world.submit(m.ctx, array(i, 1, 5*time.Second), time.Duration(i)*overloadInterval, 0)
	}
	time.Sleep(overloadJobs * overloadInterval)
}

// Guards against users who get no response about accepted jobs. When writes exceed the store's
// rate, jobs pile up, and their polls would exceed its request rate if each cost a read.
func TestPollsAnsweredWhileWritesPileUp(t *testing.T) {
	runFaultPlan(t, faultPlan{
		seed: 778, maxInstances: 12, teamCPULimit: 100,
		faults:   func(m *scenario) { m.overloadWrites(30, 12) },
		recovery: 300 * time.Second,
	})
}

// endReportDeadline is the time after the load within which the end of every job must be
// reported.
const endReportDeadline = 60 * time.Second

// checkEndsReported waits for endReportDeadline and checks that every job accepted under load
// was reported as done.
func (m *scenario) checkEndsReported() {
	loadEnded := time.Now()
	time.Sleep(endReportDeadline)
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	unreported, accepted := 0, 0
	for jobID, acceptedAt := range m.world.acceptedAt {
		if acceptedAt.After(loadEnded) {
			continue
		}
		if accepted++; m.world.lastPhase[jobID] != wire.PhaseDone {
			unreported++
		}
	}
	if unreported > 0 {
		m.Errorf("%d of %d jobs are not reported as done %v after the load", unreported, accepted, endReportDeadline)
	}
}

// Guards against ends of jobs that are reported long after an overload because they queue
// behind deletions and task ends that no user waits for.
func TestEndsReportedSoonAfterOverload(t *testing.T) {
	runFaultPlan(t, faultPlan{
		seed: 778, maxInstances: 12, teamCPULimit: 100,
		faults: func(m *scenario) {
			m.overloadWrites(60, 12)
			m.checkEndsReported()
		},
	})
}

// Guards against accepting more jobs than the store can handle in a long overload: new jobs
// must be refused while the ends of earlier jobs have long waited to be written.
func TestAcceptedJobsEndInLongOverload(t *testing.T) {
	runFaultPlan(t, faultPlan{
		seed: 778, maxInstances: 12, teamCPULimit: 100,
		faults: func(m *scenario) {
			m.overloadWrites(60, 8)
			m.checkEndsReported()
		},
		recovery: 300 * time.Second,
	})
}

// Guards against a new leader that does not continue with the backlog, and against
// cancellations that wait behind it: in an overload, the leader crashes, the store has an
// outage, and chains are cancelled.
func TestOverloadThroughLeaderCrashAndOutage(t *testing.T) {
	const chainCount, firstHead = 8, overloadJobs
	runFaultPlan(t, faultPlan{
		seed: 778, maxInstances: 12, teamCPULimit: 100, jobs: chains(firstHead, chainCount),
		faults: func(m *scenario) {
			concurrently(
				func() { m.overloadWrites(60, 12) },
				func() {
					time.Sleep(60 * time.Second)
					m.crashController(max(0, m.store.leaderIndex()), 5*time.Second)
				},
				func() {
					time.Sleep(75 * time.Second)
					for chain := range chainCount {
						m.world.wg.Go(func() { m.cancelRepeatedly(chain%controllerCount, 60*time.Second, testJobID(firstHead+3*chain)) })
					}
				},
				func() {
					time.Sleep(90 * time.Second)
					m.store.setOutage(true)
					time.Sleep(15 * time.Second)
					m.store.setOutage(false)
				},
			)
		},
		check: func(m *scenario) {
			for chain := range chainCount {
				if head := testJobID(firstHead + 3*chain); m.world.cancelledAt[head].IsZero() {
					m.Errorf("job %s was never reported as cancelled", head)
				}
			}
		},
	})
}
