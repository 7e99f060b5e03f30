package leader

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rillflow/internal/ledger"
)

// statusView shows the state of a term to operators and users.
type statusView struct {
	*termScope
	recovery *dataRecovery
	orphans  *orphanTracker
}

// latencies keeps how long things took, in milliseconds.
type latencies struct {
	start *hdrhistogram.Histogram // from ready to running
}

func newLatencies() *latencies {
	return &latencies{start: hdrhistogram.New(1, int64(time.Hour/time.Millisecond), 2)}
}

// TaskCounts are a job's tasks for display.
type TaskCounts struct{ Done, Running int }

// TaskCounts tells a live job's counts if this controller leads.
//
// ErrNotLeading: another may know. ErrUnheard: machines that were not heard yet may.
func (r *Runner) TaskCounts(ref string) (counts TaskCounts, known bool, err error) {
	term := r.current.Load()
	if term == nil {
		return TaskCounts{}, false, ErrNotLeading
	}
	term.mu.Lock()
	defer term.mu.Unlock()
	job := term.jobs.Job(ref)
	if job == nil {
		running, ok := term.orphans.runningOrphans(ref)
		if !ok && term.leadership.Incarnation().DataLost && !term.recovery.allWorkersReported(term.now()) {
			return TaskCounts{}, false, ErrWorkersUnreported
		}
		return TaskCounts{Running: running}, ok, nil
	}
	for _, claim := range term.jobs.ClaimsOfJob(job) {
		if !claim.RunningSince.IsZero() && !claim.Finished {
			counts.Running++
		}
	}
	counts.Done = job.DoneTasks()
	return counts, true, nil
}

// Status is the operator's look at the leader.
type Status struct {
	Epoch   uint64         `json:"epoch"`
	Jobs    int            `json:"jobs"`
	Claims  int            `json:"claims"`
	Workers []WorkerStatus `json:"hosts"`
	Queues  []QueueStatus  `json:"queues"`
	// Blocked are jobs that wait for others, the first of them.
	Blocked  []BlockedJob     `json:"waiting,omitempty"`
	Start    map[string]int64 `json:"start_ms"`
	Recovery *RecoveryStatus  `json:"rebuilt,omitempty"`
}

// RecoveryStatus tells of data that the state service lost, and what became of it.
type RecoveryStatus struct {
	Jobs           int      `json:"Jobs"` // that it did not hold
	Ends           int      `json:"Ends"`
	Claims         int      `json:"Claims"`
	Writes         int      `json:"Writes"` // changes to store them again
	Written        int      `json:"Written"`
	DurableS       float64  `json:"durable_s"` // from the start of the term until all that is alive was stored
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

// maxBlockedJobs bounds the waiting jobs in a view.
const maxBlockedJobs = 256

// WorkerStatus is one machine.
type WorkerStatus struct {
	Name         string  `json:"name"`
	InstanceType string  `json:"flavor"`
	Zone         string  `json:"zone"`
	Spot         bool    `json:"loaners"`
	Claims       int     `json:"claims"`
	SilentS      float64 `json:"silent_s"`
	Quarantined  bool    `json:"bad,omitempty"`
}

// QueueStatus is one type's queue.
type QueueStatus struct {
	Type       string `json:"type"`
	Unfinished int    `json:"unfinished"`
	Waiting    int    `json:"waiting"`
}

// Status is a snapshot, or nil if this controller does not lead.
func (r *Runner) Status() *Status {
	term := r.current.Load()
	if term == nil {
		return nil
	}
	term.mu.Lock()
	defer term.mu.Unlock()
	now := term.now()
	status := &Status{Epoch: term.leadership.Epoch(), Jobs: len(term.jobs.Jobs()), Start: map[string]int64{}}
	for _, worker := range term.workersByName {
		workerStatus := WorkerStatus{Name: worker.Name, InstanceType: worker.InstanceType, Zone: worker.Zone, Spot: worker.Spot, Claims: len(term.jobs.ClaimsOnWorker(worker.Name)), Quarantined: term.faults.workerFaulty(worker), SilentS: -1}
		if !worker.LastHeartbeat.IsZero() {
			workerStatus.SilentS = now.Sub(worker.LastHeartbeat).Seconds()
		}
		status.Claims += workerStatus.Claims
		status.Workers = append(status.Workers, workerStatus)
	}
	status.Recovery = term.status.recoveryStatus()
	byType := map[string]*QueueStatus{}
	for _, job := range term.jobs.Jobs() {
		name := term.scheduler.jobType(job)
		if byType[name] == nil {
			byType[name] = &QueueStatus{Type: name}
		}
		byType[name].Unfinished += job.UnfinishedTasks()
		byType[name].Waiting += job.WaitingTasks()
	}
	for _, queue := range byType {
		status.Queues = append(status.Queues, *queue)
	}
	for _, job := range term.jobs.BlockedJobs() {
		if len(status.Blocked) == maxBlockedJobs {
			break
		}
		status.Blocked = append(status.Blocked, BlockedJob{Job: job.Ref, Class: job.Spec.Class, WaitsOn: job.UnmetDependencies()})
	}
	for _, percentile := range []float64{50, 90, 99} {
		status.Start[map[float64]string{50: "p50", 90: "p90", 99: "p99"}[percentile]] = term.heartbeats.latencies.start.ValueAtQuantile(percentile)
	}
	return status
}

// recoveryStatus shows what was lost, if anything was.
func (v *statusView) recoveryStatus() *RecoveryStatus {
	progress := v.recovery.progress
	if progress == nil && len(v.orphans.orphanedJobs) == 0 {
		return nil
	}
	status := &RecoveryStatus{}
	for ref, orphan := range v.orphans.orphanedJobs {
		if !orphan.ended {
			status.OrphanedJobs = append(status.OrphanedJobs, ref)
		}
	}
	slices.Sort(status.OrphanedJobs)
	if progress == nil {
		return status
	}
	status.Jobs, status.Ends, status.Claims = progress.recovered.Jobs, progress.recovered.Ends, progress.recovered.Claims
	status.Written, status.Writes = progress.written, progress.written+len(progress.pending)
	status.MissingPeers, status.DamagedKeys, status.OrphanedClaims = progress.missingPeers, progress.damagedKeys, progress.orphanedClaims
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

// recordStart notes how long a task waited to run.
func (l *latencies) recordStart(claim *ledger.Claim, now time.Time) {
	// Only a value out of range is refused; such a wait is of no use here.
	_ = l.start.RecordValue(now.Sub(claim.Job.ReadyAt).Milliseconds())
}
