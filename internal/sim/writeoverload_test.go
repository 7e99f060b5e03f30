package sim

import (
	"testing"
	"time"
)

// overloadJobs are one-task jobs whose writes are more than the store takes: five a job.
const (
	overloadJobs     = 400
	overloadInterval = 250 * time.Millisecond
)

// Guards against users left without an answer about accepted jobs: more writes than the store
// takes have jobs pile up that are polled, and polls that cost a read each exceed its rate.
func TestPollsAnsweredWhileWritesPileUp(t *testing.T) {
	playFaults(t, faultPlan{
		seed: 778, most: 12, limit: 100,
		troubles: func(m *scenario) {
			m.limitStore(30, 12)
			time.Sleep(20 * time.Second)
			for i := range overloadJobs {
				m.w.submit(m.ctx, array(i, 1, 5*time.Second), time.Duration(i)*overloadInterval, 0)
			}
			time.Sleep(overloadJobs * overloadInterval)
		},
		rest: 300 * time.Second,
	})
}
