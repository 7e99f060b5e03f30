package leader

// statusView shows the state of a term to operators and users.
//
// The Runner calls it, with mu held, for the status page and for the counts of jobs. It has no
// state of its own and must not change any.
type statusView struct {
	*termScope
	heartbeats *heartbeatReconciler
	faults     *faultTracker
	scheduler  *scheduler
	recovery   *dataRecovery
	orphans    *orphanTracker
}

// TaskCounts are a job's tasks for display.
type TaskCounts struct{ Done, Running int }

// Status is the leader's part of the status page.
type Status struct {
	Epoch    uint64           `json:"epoch"`
	Jobs     int              `json:"jobs"`
	Claims   int              `json:"claims"`
	Workers  []WorkerStatus   `json:"hosts"`
	Queues   []QueueStatus    `json:"queues"`
	Blocked  []BlockedJob     `json:"waiting,omitempty"` // the first of the jobs that wait for others
	Start    map[string]int64 `json:"start_ms"`          // latency from ready to running, by percentile
	Recovery *RecoveryStatus  `json:"rebuilt,omitempty"`
}

// RecoveryStatus tells of data that the store lost, and what became of it.
type RecoveryStatus struct {
	Jobs           int      `json:"Jobs"` // that the store did not hold
	Ends           int      `json:"Ends"`
	Claims         int      `json:"Claims"`
	Writes         int      `json:"Writes"` // that store them again
	Written        int      `json:"Written"`
	DurableS       float64  `json:"durable_s"` // from the start of the term until all live data was stored
	PlacingS       float64  `json:"placing_s"` // until tasks were placed again
	Unreported     []string `json:"unheard,omitempty"`
	MissingPeers   []string `json:"missing_peers,omitempty"`
	DamagedKeys    []string `json:"damaged_keys,omitempty"`
	OrphanedClaims []string `json:"claims_without_job,omitempty"`
	OrphanedJobs   []string `json:"known_only_from_machines,omitempty"`
}

// BlockedJob is a job that waits for others.
type BlockedJob struct {
	Job     string   `json:"job"`
	Class   string   `json:"class"`
	WaitsOn []string `json:"waits_on"`
}

// maxBlockedJobs bounds the blocked jobs in a status.
const maxBlockedJobs = 256

// WorkerStatus is one worker.
type WorkerStatus struct {
	Name         string  `json:"name"`
	InstanceType string  `json:"flavor"`
	Zone         string  `json:"zone"`
	Spot         bool    `json:"loaners"`
	Claims       int     `json:"claims"`
	SilentS      float64 `json:"silent_s"` // since its last heartbeat; -1: never heard
	Quarantined  bool    `json:"bad,omitempty"`
}

// QueueStatus is the queue of one type of jobs.
type QueueStatus struct {
	Type       string `json:"type"`
	Unfinished int    `json:"unfinished"`
	Waiting    int    `json:"waiting"`
}

// TaskCounts tells a job's counts, if this controller leads and knows the job.
//
// The error is ErrNotLeading if another controller may know, ErrWorkersUnreported if workers
// that have not reported yet may.
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

// Status is a snapshot of the term, or nil if this controller does not lead.
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
			Claims: len(v.jobs.ClaimsOnWorker(worker.Name)), SilentS: -1, Quarantined: v.faults.workerFaulty(worker),
		}
		if !worker.LastHeartbeat.IsZero() {
			workerStatus.SilentS = now.Sub(worker.LastHeartbeat).Seconds()
		}
		status.Claims += workerStatus.Claims
		status.Workers = append(status.Workers, workerStatus)
	}
	return status
}

// queues shows the queues, in no particular order.
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

// blockedJobs shows the first of the jobs that wait for others.
func (v *statusView) blockedJobs() []BlockedJob {
	var blocked []BlockedJob
	jobs := v.jobs.BlockedJobs()
	for _, job := range jobs[:min(len(jobs), maxBlockedJobs)] {
		blocked = append(blocked, BlockedJob{Job: job.ID, Class: job.Spec.Class, WaitsOn: job.UnmetDependencies()})
	}
	return blocked
}

// startLatencies shows percentiles of the latency from ready to running.
func (v *statusView) startLatencies() map[string]int64 {
	start := v.heartbeats.latencies.start
	return map[string]int64{
		"p50": start.ValueAtQuantile(50), "p90": start.ValueAtQuantile(90), "p99": start.ValueAtQuantile(99),
	}
}

// recoveryStatus shows what was lost, or nil if nothing was.
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
		status.DurableS = progress.durableAt.Sub(v.startedAt).Seconds()
	}
	if !progress.placementResumedAt.IsZero() {
		status.PlacingS = progress.placementResumedAt.Sub(v.startedAt).Seconds()
	} else if progress.full {
		status.Unreported = v.recovery.unreportedWorkers()
	}
	return status
}
