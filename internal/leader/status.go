package leader

// statusView reports the state of a term to operators and users.
//
// The Runner calls it, with mu held, for the status page and for the task counts of jobs. It has
// no state of its own and must not modify any.
type statusView struct {
	*termScope
	heartbeats *heartbeatReconciler
	faults     *faultTracker
	scheduler  *scheduler
	recovery   *dataRecovery
	orphans    *orphanTracker
}

// TaskCounts are the numbers of done and running tasks of a job, for display.
type TaskCounts struct{ Done, Running int }

// Status is the leader's section of the status page.
type Status struct {
	Epoch    uint64           `json:"epoch"`
	Jobs     int              `json:"jobs"`
	Claims   int              `json:"claims"`
	Workers  []WorkerStatus   `json:"hosts"`
	Queues   []QueueStatus    `json:"queues"`
	Blocked  []BlockedJob     `json:"waiting,omitempty"` // jobs with unmet dependencies, at most maxBlockedJobs
	Start    map[string]int64 `json:"start_ms"`          // latency from ready to running, by percentile
	Recovery *RecoveryStatus  `json:"rebuilt,omitempty"`
}

// RecoveryStatus describes the data that the store lost and the progress of its recovery.
type RecoveryStatus struct {
	Jobs                    int      `json:"Jobs"` // recovered live jobs that the store did not hold
	Ends                    int      `json:"Ends"`
	Claims                  int      `json:"Claims"`
	Writes                  int      `json:"Writes"` // needed to restore the recovered data
	Written                 int      `json:"Written"`
	DurableSeconds          float64  `json:"durable_s"` // from the start of the term until all live data was stored
	PlacementResumedSeconds float64  `json:"placing_s"` // from the start of the term until placement resumed
	Unreported              []string `json:"unheard,omitempty"`
	MissingPeers            []string `json:"missing_peers,omitempty"`
	DamagedKeys             []string `json:"damaged_keys,omitempty"`
	OrphanedClaims          []string `json:"claims_without_job,omitempty"`
	OrphanedJobs            []string `json:"known_only_from_machines,omitempty"`
}

// BlockedJob is a job with unmet dependencies.
type BlockedJob struct {
	Job     string   `json:"job"`
	Class   string   `json:"class"`
	WaitsOn []string `json:"waits_on"`
}

// maxBlockedJobs bounds the number of blocked jobs in a Status.
const maxBlockedJobs = 256

// WorkerStatus describes one worker.
type WorkerStatus struct {
	Name          string  `json:"name"`
	InstanceType  string  `json:"flavor"`
	Zone          string  `json:"zone"`
	Spot          bool    `json:"loaners"`
	Claims        int     `json:"claims"`
	SilentSeconds float64 `json:"silent_s"` // since its last heartbeat; -1 if there was none
	Quarantined   bool    `json:"bad,omitempty"`
}

// QueueStatus describes the queue of one job type.
type QueueStatus struct {
	Type       string `json:"type"`
	Unfinished int    `json:"unfinished"`
	Waiting    int    `json:"waiting"`
}

// TaskCounts returns the task counts of a job, if this controller leads and knows the job.
//
// The error is ErrNotLeading if another controller may know the job, ErrWorkersUnreported if a
// worker that has not reported yet may have tasks of it.
func (r *Runner) TaskCounts(jobID string) (counts TaskCounts, known bool, err error) {
	term := r.current.Load()
	if term == nil {
		return TaskCounts{}, false, ErrNotLeading
	}
	term.mu.Lock()
	defer term.mu.Unlock()
	return term.status.taskCounts(jobID)
}

func (v *statusView) taskCounts(jobID string) (counts TaskCounts, known bool, err error) {
	job := v.jobs.Job(jobID)
	if job == nil {
		running, tracked := v.orphans.runningOrphans(jobID)
		if !tracked && v.leadership.Incarnation().DataLost && !v.recovery.allWorkersReported(v.now()) {
			return TaskCounts{}, false, ErrWorkersUnreported
		}
		return TaskCounts{Running: running}, tracked, nil
	}
	counts.Done = job.DoneTasks()
	for _, claim := range v.jobs.ClaimsOfJob(job) {
		if !claim.RunningSince.IsZero() && !claim.Finished {
			counts.Running++
		}
	}
	return counts, true, nil
}

// Status returns a snapshot of the term, or nil if this controller does not lead.
func (r *Runner) Status() *Status {
	term := r.current.Load()
	if term == nil {
		return nil
	}
	term.mu.Lock()
	defer term.mu.Unlock()
	return term.status.snapshot()
}

func (v *statusView) snapshot() *Status {
	status := &Status{
		Epoch: v.leadership.Epoch(), Jobs: len(v.jobs.Jobs()),
		Queues: v.queues(), Blocked: v.blockedJobs(), Start: v.startLatencies(), Recovery: v.recoveryStatus(),
	}
	now := v.now()
	for _, worker := range v.workersByName {
		workerStatus := WorkerStatus{
			Name: worker.Name, InstanceType: worker.InstanceType, Zone: worker.Zone, Spot: worker.Spot,
			Claims: len(v.jobs.ClaimsOnWorker(worker.Name)), SilentSeconds: -1, Quarantined: v.faults.workerFaulty(worker),
		}
		if !worker.LastHeartbeat.IsZero() {
			workerStatus.SilentSeconds = now.Sub(worker.LastHeartbeat).Seconds()
		}
		status.Claims += workerStatus.Claims
		status.Workers = append(status.Workers, workerStatus)
	}
	return status
}

// queues returns the status of all queues, in no particular order.
func (v *statusView) queues() []QueueStatus {
	byType := map[string]*QueueStatus{}
	for _, job := range v.jobs.Jobs() {
		name := v.scheduler.jobType(job)
		if byType[name] == nil {
			byType[name] = &QueueStatus{Type: name}
		}
		byType[name].Unfinished += job.UnfinishedTasks()
		byType[name].Waiting += job.WaitingTasks()
	}
	var queues []QueueStatus
	for _, queue := range byType {
		queues = append(queues, *queue)
	}
	return queues
}

// blockedJobs returns the first maxBlockedJobs jobs that have unmet dependencies.
func (v *statusView) blockedJobs() []BlockedJob {
	var blocked []BlockedJob
	jobs := v.jobs.BlockedJobs()
	for _, job := range jobs[:min(len(jobs), maxBlockedJobs)] {
		blocked = append(blocked, BlockedJob{Job: job.ID, Class: job.Spec.Class, WaitsOn: job.UnmetDependencies()})
	}
	return blocked
}

// startLatencies returns percentiles of the latency from ready to running, in milliseconds.
func (v *statusView) startLatencies() map[string]int64 {
	start := v.heartbeats.latencies.start
	return map[string]int64{
		"p50": start.ValueAtQuantile(50), "p90": start.ValueAtQuantile(90), "p99": start.ValueAtQuantile(99),
	}
}

// recoveryStatus describes the loss and recovery of data, or returns nil if none was lost.
func (v *statusView) recoveryStatus() *RecoveryStatus {
	progress := v.recovery.progress
	if progress == nil && len(v.orphans.orphanedJobs) == 0 {
		return nil
	}
	status := &RecoveryStatus{OrphanedJobs: v.orphans.unresolvedJobs()}
	if progress == nil {
		return status
	}
	status.Jobs, status.Ends, status.Claims = progress.recovered.Jobs, progress.recovered.Ends, progress.recovered.Claims
	status.Written, status.Writes = progress.written, progress.written+len(progress.pending)
	status.MissingPeers, status.DamagedKeys = progress.missingPeers, progress.damagedKeys
	status.OrphanedClaims = progress.orphanedClaims
	if !progress.durableAt.IsZero() {
		status.DurableSeconds = progress.durableAt.Sub(v.startedAt).Seconds()
	}
	if !progress.placementResumedAt.IsZero() {
		status.PlacementResumedSeconds = progress.placementResumedAt.Sub(v.startedAt).Seconds()
	} else if progress.full {
		status.Unreported = v.recovery.unreportedWorkers()
	}
	return status
}
