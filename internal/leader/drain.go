package leader

import (
	"time"

	"rillflow/internal/audit"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// drainReclaimed stops tasks on machines that the cloud is about to take, where they
// will not be done by then: they save what they can and start again elsewhere
// now, and not only once the machine has been found to be gone.
func (t *leaderTerm) drainReclaimed(now time.Time) {
	for _, worker := range t.workersByName {
		if worker.ReclaimAt.IsZero() || worker.ReclaimAt.Before(now) {
			continue
		}
		secondsLeft := worker.ReclaimAt.Sub(now).Seconds()
		for _, claim := range t.jobs.ClaimsOnWorker(worker.Name) {
			if claim.Finished || claim.Stopping || !claim.Committed || claim.Job.Cancelled || claim.Job.IsGang() || claim.Job.Spec.Kind == wire.KindService ||
				t.remainingSeconds(claim, now) <= secondsLeft {
				continue
			}
			claim.Stopping = true
			t.auditLog.enqueueTask(now, audit.Stopped, claim, "the cloud takes the machine", "")
			worker.WakeSender()
			t.log.Debug("evacuated", "task", claim.Task(), "host", worker.Name, "left_s", secondsLeft)
		}
	}
}

// remainingSeconds is how much longer a task is expected to run, in seconds.
func (t *leaderTerm) remainingSeconds(claim *ledger.Claim, now time.Time) float64 {
	run := expectedSeconds(claim.Job)
	if !claim.RunningSince.IsZero() {
		run -= now.Sub(claim.RunningSince).Seconds()
	}
	return max(run, 0)
}

// priorWeight is how many finished tasks an owner's expectation is worth.
const priorWeight = 2

// expectedSeconds is how long a task of a job runs, in seconds: as its owner expects,
// corrected by those that are done.
func expectedSeconds(job *ledger.Job) float64 {
	return (priorWeight*job.Spec.ExpectedSeconds + job.RunSeconds.Sum) / float64(priorWeight+job.RunSeconds.Count)
}
