package ledger

import (
	"time"

	"rillflow/internal/wire"
)

// Job is a job that has not ended, or one that has ended but still has claims or stored chunks.
type Job struct {
	ID   string // part of the names of the job's keys
	Spec wire.Job
	// SubmittedAt is when the job was submitted, by the clock of the controller that
	// accepted it. ArrivedAt is the same by this controller's clock if it saw the job arrive;
	// otherwise it equals SubmittedAt.
	SubmittedAt time.Time
	ArrivedAt   time.Time
	// ArrivalSeen is set if the job arrived while this controller was watching for new jobs.
	ArrivalSeen bool

	// Cancelled is set if the job is cancelled, or is durably done but still has stored chunks
	// to delete.
	Cancelled bool
	// CancelledAt is the earliest time at which the cancellation may have been confirmed to the
	// user, zero if unknown. The caller sets it for jobs cancelled after loading.
	CancelledAt time.Time
	// Finished is set while all tasks are done but that is not durable yet.
	Finished bool

	// Origin records who submitted the job; nil if the record has none.
	Origin *Origin
	// Audited is set once the job is in the audit log. The caller sets it.
	Audited bool

	// ReadyAt is the time from which the job has had no unmet dependencies.
	ReadyAt time.Time
	// Inherited is the priority inherited from the job's dependents. The caller sets it; it is
	// reset to nil whenever the dependents change.
	Inherited *InheritedPriority
	// WaitingSince is when the job's tasks began to wait for a claim.
	WaitingSince time.Time

	// RetryAt is when the job may be placed again after failures. The caller sets it and the
	// exported fields below.
	RetryAt time.Time
	// ConsecutiveFailures counts failures since a task last ran successfully; FailedOn has the
	// failures by the name of the worker on which a task failed.
	ConsecutiveFailures int
	FailedOn            map[string]WorkerFailures
	// RunSeconds is the run time of the job's finished tasks, as far as they were seen running.
	RunSeconds Mean
	// PlacementType is the job type that the placement rule uses.
	PlacementType string
	// PlacementNeeds is equal for jobs whose tasks fit the same workers. The caller sets it.
	PlacementNeeds string
	// NextPreemptionAt is when tasks of other jobs may next be stopped for this one.
	NextPreemptionAt time.Time

	modRevision  uint64 // mod revision of the job's live key
	chunkTasks   int    // tasks per chunk
	chunks       map[int]*taskChunk
	claims       map[int]*Claim // by task
	claimsByZone map[string]int
	nextNewTask  int   // the first of the tasks that were never claimed
	requeued     []int // tasks below nextNewTask that wait to be claimed again
	doneTasks    int

	loadedAsDone       bool            // loaded as a done job; only its chunks remain
	endPendingSince    time.Time       // when NextBatch first found the job's end waiting to be written
	unmetDependencies  map[string]bool // IDs of dependencies not known to be done
	cancelledUpstream  string          // ID of a cancelled job that this one depends on, or ""
	cancelPendingSince time.Time       // since when the job is to be cancelled because of that one
}

// Mean accumulates values for their mean.
type Mean struct {
	Sum   float64
	Count int
}

func newJob(jobID string, record JobRecord, modRevision uint64) *Job {
	submitted := time.UnixMilli(record.SubmittedMS)
	return &Job{
		ID:           jobID,
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

// MarkArrived records when this controller saw the job arrive. Waiting times are counted from
// then instead of from the submission: the clock of the controller that accepted the job may
// be off by more than the time that users wait for their jobs.
func (j *Job) MarkArrived(at time.Time) {
	j.ArrivalSeen, j.ArrivedAt = true, at
	if j.ReadyAt.Equal(j.SubmittedAt) {
		j.WaitingSince, j.ReadyAt = at, at
	}
}

// ModRevision returns the mod revision of the job's live key.
func (j *Job) ModRevision() uint64 { return j.modRevision }

// Record returns the job's record as stored.
func (j *Job) Record() JobRecord {
	return JobRecord{Job: j.Spec, SubmittedMS: j.SubmittedAt.UnixMilli(), ChunkTasks: j.chunkTasks, Origin: j.Origin}
}

// IsGang reports whether the job's tasks must all start together.
func (j *Job) IsGang() bool { return j.Spec.Kind == wire.KindGang }

// DoneTasks returns the number of tasks that are done.
func (j *Job) DoneTasks() int { return j.doneTasks }

// ClaimedTasks returns the number of tasks with a claim.
func (j *Job) ClaimedTasks() int { return len(j.claims) }

// UnfinishedTasks returns the number of tasks that are not done.
func (j *Job) UnfinishedTasks() int { return j.Spec.TaskCount - j.doneTasks }

// WaitingTasks returns the number of tasks that wait for a claim, which is 0 while the job has
// unmet dependencies.
func (j *Job) WaitingTasks() int {
	if j.Cancelled || j.Finished || !j.DependenciesMet() {
		return 0
	}
	return j.Spec.TaskCount - j.nextNewTask + len(j.requeued)
}

// ClaimsInZone returns the number of the job's claims in a zone.
func (j *Job) ClaimsInZone(zone string) int { return j.claimsByZone[zone] }

// zoneHeadroom returns how many more tasks of the job a zone may take. The spread and single-zone
// rules count every claim, also one whose task has probably stopped: it may still be running.
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

// allTasksDone reports whether all tasks are done. A service's tasks never are.
func (j *Job) allTasksDone() bool {
	return j.Spec.Kind != wire.KindService && j.doneTasks >= j.Spec.TaskCount
}

func (j *Job) isTaskDone(task int) bool {
	chunk := j.chunkOf(task)
	return chunk != nil && chunk.done.has(task%j.chunkTasks)
}

// chunkOf returns the chunk of a task, or nil if it does not exist yet.
func (j *Job) chunkOf(task int) *taskChunk { return j.chunks[task/j.chunkTasks] }

// ensureChunk returns the chunk of a task, and creates it if it does not exist yet.
func (j *Job) ensureChunk(task int, minAttempt uint64) *taskChunk {
	chunk := j.chunkOf(task)
	if chunk == nil {
		chunk = &taskChunk{lastAttempt: minAttempt, claims: make(map[int]ClaimRecord)}
		j.chunks[task/j.chunkTasks] = chunk
	}
	return chunk
}

// takeNextTask removes and returns the next task to be claimed. Requeued tasks go before tasks that
// were never claimed.
func (j *Job) takeNextTask() int {
	if last := len(j.requeued) - 1; last >= 0 {
		task := j.requeued[last]
		j.requeued = j.requeued[:last]
		return task
	}
	task := j.nextNewTask
	j.nextNewTask++
	return task
}

// nextGangAttempt returns the attempt number for a gang's next claim: that of its present claims,
// or a new one if there are none.
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

// requeueLoadedTasks determines which tasks wait for a claim, once all of the job's chunks are
// loaded.
func (j *Job) requeueLoadedTasks() {
	last := -1
	for index, chunk := range j.chunks {
		if offset := chunk.lastTask(); offset >= 0 {
			last = max(last, index*j.chunkTasks+offset)
		}
	}
	j.nextNewTask = min(last+1, j.Spec.TaskCount)
	for task := range j.nextNewTask {
		if j.claims[task] == nil && !j.isTaskDone(task) {
			j.requeued = append(j.requeued, task)
		}
	}
}

// isCleanedUp reports whether the job has ended and has neither claims nor stored chunks left.
func (j *Job) isCleanedUp() bool {
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

// recordedTeam returns the team to store in the end record, whose members may query the job after
// its end: the job's team if identities are on, otherwise "".
func (j *Job) recordedTeam() string {
	if j.Origin == nil {
		return ""
	}
	return j.Spec.Team
}
