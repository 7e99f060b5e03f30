package ledger

import (
	"time"

	"rillflow/internal/wire"
)

// Job is a job that has not ended, or that has ended and of which claims or stored chunks
// are left.
type Job struct {
	ID   string // the job's ID, by which its keys are named
	Spec wire.Job
	// SubmittedAt is when the job was submitted, by the clock of the controller that
	// accepted it, and ArrivedAt the same by this controller's clock, as near as is known.
	SubmittedAt time.Time
	ArrivedAt   time.Time
	// ArrivalSeen: the job came while this controller watched, not before.
	ArrivalSeen bool

	// Cancelled: the job is cancelled, or done with chunks of it left to delete.
	Cancelled bool
	// CancelledAt is when the user may first have been told of the cancellation; the caller
	// sets it for jobs cancelled later. Zero: not known.
	CancelledAt time.Time
	// Finished: all tasks are done, and that is not durable yet.
	Finished bool

	// Origin is who submitted the job, where that is kept.
	Origin *Origin
	// Audited: the audit log has the job. The caller sets it.
	Audited bool

	// ReadyAt is since when the job waits for no other.
	ReadyAt time.Time
	// Inherited is what the job has from its dependents. The caller sets it; it is reset to
	// nil whenever those change.
	Inherited *InheritedPriority
	// WaitingSince is since when a task of the job waits.
	WaitingSince time.Time

	// RetryAt holds the job back after failures. The caller sets it, like all that follows.
	RetryAt time.Time
	// ConsecutiveFailures counts failures since a task last ran well, and FailedOn has the
	// workers where one failed.
	ConsecutiveFailures int
	FailedOn            map[string]bool
	// RunSeconds is how long its finished tasks ran, of those that were seen running.
	RunSeconds Mean
	// PlacementType is the job's type for the placement rule.
	PlacementType string
	// NextPreemptionAt is when others may next be stopped for the job.
	NextPreemptionAt time.Time

	modRevision  uint64 // of the job's live key
	chunkTasks   int    // tasks per chunk
	chunks       map[int]*taskChunk
	claims       map[int]*Claim // by task
	claimsByZone map[string]int
	nextIndex    int   // tasks from here on were never claimed
	requeued     []int // tasks below nextIndex to be claimed again
	doneTasks    int

	alreadyDone       bool            // read as done; only its chunks are left
	endPendingFrom    time.Time       // since when its end waits to be written, as batches see it
	unmetDependencies map[string]bool // jobs not known to be done
	cancelledUpstream string          // a job that it depends on, if that was cancelled
	cancelPendingFrom time.Time       // since when it is to be cancelled for that
}

// Mean is a sum with the number of its terms.
type Mean struct {
	Sum   float64
	Count int
}

func newJob(ref string, record JobRecord, modRevision uint64) *Job {
	submitted := time.UnixMilli(record.SubmittedMS)
	return &Job{
		ID:           ref,
		Spec:         record.Job,
		Origin:       record.Origin,
		SubmittedAt:  submitted,
		ArrivedAt:    submitted,
		WaitingSince: submitted,
		ReadyAt:      submitted,
		modRevision:  modRevision,
		chunkTasks:   record.ChunkSize(),
		chunks:       make(map[int]*taskChunk),
		claims:       make(map[int]*Claim),
		claimsByZone: make(map[string]int),
	}
}

// MarkArrived notes that this controller saw the job come at a time. All that is counted
// from its submission counts from then: the clock of the controller that accepted it may be
// off by more than what its users wait for.
func (j *Job) MarkArrived(at time.Time) {
	j.ArrivalSeen, j.ArrivedAt = true, at
	if j.ReadyAt.Equal(j.SubmittedAt) {
		j.WaitingSince, j.ReadyAt = at, at
	}
}

// ModRevision is the revision of the job's live key.
func (j *Job) ModRevision() uint64 { return j.modRevision }

// Record is the job as stored.
func (j *Job) Record() JobRecord {
	return JobRecord{Job: j.Spec, SubmittedMS: j.SubmittedAt.UnixMilli(), ChunkTasks: j.chunkTasks, Origin: j.Origin}
}

// IsGang reports whether the job's tasks start together or not at all.
func (j *Job) IsGang() bool { return j.Spec.Kind == wire.KindGang }

// DoneTasks counts the tasks that are done.
func (j *Job) DoneTasks() int { return j.doneTasks }

// ClaimedTasks counts the tasks with a claim.
func (j *Job) ClaimedTasks() int { return len(j.claims) }

// UnfinishedTasks counts the tasks that are not done.
func (j *Job) UnfinishedTasks() int { return j.Spec.TaskCount - j.doneTasks }

// WaitingTasks counts the tasks that wait for a claim. A job that waits for others has none.
func (j *Job) WaitingTasks() int {
	if j.Cancelled || j.Finished || !j.DependenciesMet() {
		return 0
	}
	return j.Spec.TaskCount - j.nextIndex + len(j.requeued)
}

// ClaimsInZone counts the job's claims in a zone.
func (j *Job) ClaimsInZone(zone string) int { return j.claimsByZone[zone] }

// zoneHeadroom is how many more tasks of the job a zone may take. Spread and single zone are
// kept against every claim, also those whose task may be gone: it may also be running still.
func (j *Job) zoneHeadroom(zone string) int {
	wrongZone := j.Spec.Zone != "" && j.Spec.Zone != zone
	claimedElsewhere := len(j.claims) > j.claimsByZone[zone]
	if wrongZone || j.Spec.SingleZone && claimedElsewhere {
		return 0
	}
	if j.Spec.SpreadZones {
		return (j.Spec.TaskCount+1)/2 - j.claimsByZone[zone]
	}
	return j.Spec.TaskCount
}

// allTasksDone reports whether the job is done. A service never is.
func (j *Job) allTasksDone() bool {
	return j.Spec.Kind != wire.KindService && j.doneTasks >= j.Spec.TaskCount
}

func (j *Job) isTaskDone(task int) bool {
	chunk := j.chunkOf(task)
	return chunk != nil && chunk.done.has(task%j.chunkTasks)
}

// chunkOf is the chunk of a task, or nil if there is none yet.
func (j *Job) chunkOf(task int) *taskChunk { return j.chunks[task/j.chunkTasks] }

// ensureChunk is the chunk of a task, made if there is none yet.
func (j *Job) ensureChunk(task int, minAttempt uint64) *taskChunk {
	chunk := j.chunkOf(task)
	if chunk == nil {
		chunk = &taskChunk{lastAttempt: minAttempt, claims: make(map[int]ClaimRecord)}
		j.chunks[task/j.chunkTasks] = chunk
	}
	return chunk
}

// takeNextTask takes the next task to be claimed: one to be claimed again before a new one.
func (j *Job) takeNextTask() int {
	if last := len(j.requeued) - 1; last >= 0 {
		task := j.requeued[last]
		j.requeued = j.requeued[:last]
		return task
	}
	task := j.nextIndex
	j.nextIndex++
	return task
}

// nextGangAttempt is the attempt of a gang's next claim: that of the tasks claimed already,
// or a new one for the first.
func (j *Job) nextGangAttempt(minAttempt uint64) uint64 {
	for _, claim := range j.claims {
		return claim.Attempt
	}
	highest := minAttempt
	for _, chunk := range j.chunks {
		highest = max(highest, chunk.lastAttempt)
	}
	return highest + 1
}

// requeueLoadedTasks finds the tasks that wait, once all of the job's chunks are loaded.
func (j *Job) requeueLoadedTasks() {
	last := -1
	for index, chunk := range j.chunks {
		if offset := chunk.lastTask(); offset >= 0 {
			last = max(last, index*j.chunkTasks+offset)
		}
	}
	j.nextIndex = min(last+1, j.Spec.TaskCount)
	for task := range j.nextIndex {
		if j.claims[task] == nil && !j.isTaskDone(task) {
			j.requeued = append(j.requeued, task)
		}
	}
}

// isForgettable reports whether nothing is left of a job that has ended, here or stored.
func (j *Job) isForgettable() bool {
	if !j.Cancelled || len(j.claims) > 0 {
		return false
	}
	for _, chunk := range j.chunks {
		if chunk.modRevision != 0 || chunk.inFlight() {
			return false
		}
	}
	return true
}

// recordedTeam is the job's team where identities are on, as the team that may ask about the
// job once it has ended; "" where they are off.
func (j *Job) recordedTeam() string {
	if j.Origin == nil {
		return ""
	}
	return j.Spec.Team
}
