package leader

import (
	"cmp"
	"slices"
	"time"

	"rillflow/internal/ledger"
)

// typeQueue holds the waiting jobs of one type, in scheduling order.
type typeQueue struct {
	jobType    string
	unfinished int // unfinished tasks of the type, waiting and running
	jobs       []*ledger.Job
	groups     []*needsGroup // the jobs by what they need
}

// waitingQueues returns the queues of the types that have waiting jobs, sorted by type.
func (s *scheduler) waitingQueues(now time.Time) []*typeQueue {
	byType := make(map[string]*typeQueue)
	for _, job := range s.jobs.Jobs() {
		if job.Cancelled || job.Finished || !job.DependenciesMet() {
			continue // a job that waits for its dependencies is in no queue yet
		}
		if job.PlacementType == "" {
			job.PlacementType = s.jobType(job)
		}
		queue := byType[job.PlacementType]
		if queue == nil {
			queue = &typeQueue{jobType: job.PlacementType}
			byType[job.PlacementType] = queue
		}
		queue.unfinished += job.UnfinishedTasks()
		if job.WaitingTasks() > 0 && !now.Before(job.RetryAt) && !s.recovery.jobOnHold(job) {
			queue.jobs = append(queue.jobs, job)
		}
	}
	var queues []*typeQueue
	for _, queue := range byType {
		if len(queue.jobs) == 0 {
			continue
		}
		s.ranking.orderJobs(queue.jobs, now)
		queue.groups = groupByNeeds(queue.jobs)
		queues = append(queues, queue)
	}
	slices.SortFunc(queues, func(a, b *typeQueue) int { return cmp.Compare(a.jobType, b.jobType) })
	return queues
}

// jobType returns the type of a job for the placement rule: the values of those fields of its
// specification that the settings name.
func (s *scheduler) jobType(job *ledger.Job) string {
	var key []byte
	for _, field := range s.settings.Operator.Placement.TypeFieldNames() {
		switch field {
		case "class":
			key = append(key, job.Spec.Class...)
		case "owner":
			key = append(key, job.Spec.Team...)
		case "bundle":
			key = append(key, job.Spec.Image...)
		case "rank":
			key = append(key, job.Spec.Priority...)
		case "shape":
			key = append(key, job.Spec.Kind...)
		}
		key = append(key, '|')
	}
	return string(key)
}
