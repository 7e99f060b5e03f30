package sim

import (
	"testing"
	"time"

	"rillflow/internal/wire"
)

// overloadJobs are one-task jobs whose writes are more than the store takes: five a job.
const (
	overloadJobs     = 400
	overloadInterval = 250 * time.Millisecond
)

// overloadWrites has the store limit its rates and users submit more than it can write.
func (m *scenario) overloadWrites(requests, writes float64) {
	m.limitStore(requests, writes)
	time.Sleep(20 * time.Second)
	for i := range overloadJobs {
		m.w.submit(m.ctx, array(i, 1, 5*time.Second), time.Duration(i)*overloadInterval, 0)
	}
	time.Sleep(overloadJobs * overloadInterval)
}

// Guards against users left without an answer about accepted jobs: more writes than the store
// takes have jobs pile up that are polled, and polls that cost a read each exceed its rate.
func TestPollsAnsweredWhileWritesPileUp(t *testing.T) {
	runFaultPlan(t, faultPlan{
		seed: 778, maxInstances: 12, teamCPULimit: 100,
		faults:   func(m *scenario) { m.overloadWrites(30, 12) },
		recovery: 300 * time.Second,
	})
}

// backlogGone is how long after the load every job that ended is told to its user.
const endReportDeadline = 60 * time.Second

// checkToldDone checks, a while after the load, that users were told of the end of every job that
// was accepted while it lasted.
func (m *scenario) checkEndsReported() {
	loadEnded := time.Now()
	time.Sleep(endReportDeadline)
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	waiting, accepted := 0, 0
	for jobID, acceptedAt := range m.w.acceptedAt {
		if acceptedAt.After(loadEnded) {
			continue
		}
		if accepted++; m.w.lastPhase[jobID] != wire.PhaseDone {
			waiting++
		}
	}
	if waiting > 0 {
		m.Errorf("%d of %d jobs are not told done %v after the load", waiting, accepted, endReportDeadline)
	}
}

// Guards against ends of jobs that are told long after a load that was too much: they wait behind
// deletions and finishes that nobody waits for.
func TestEndsReportedSoonAfterOverload(t *testing.T) {
	runFaultPlan(t, faultPlan{
		seed: 778, maxInstances: 12, teamCPULimit: 100,
		faults: func(m *scenario) {
			m.overloadWrites(60, 12)
			m.checkEndsReported()
		},
	})
}

// Guards against jobs that are accepted for minutes beyond what can be stored of them: new ones
// are refused while ends wait for long.
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

// Guards against a successor that does not go on with the backlog, and against cancellations that
// wait behind it: the leader crashes in an overload, the store is away, and chains are cancelled.
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
						m.w.wg.Go(func() { m.cancelRepeatedly(chain%controllerCount, 60*time.Second, testJobID(firstHead+3*chain)) })
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
				if head := testJobID(firstHead + 3*chain); m.w.cancelledAt[head].IsZero() {
					m.Errorf("%s was never told cancelled", head)
				}
			}
		},
	})
}
