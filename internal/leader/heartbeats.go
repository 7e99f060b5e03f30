package leader

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/audit"
	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// ErrNotLeading: this controller may not act for the others.
var ErrNotLeading = errors.New("control: not leading")

// Heartbeat takes in a worker's report and answers with its orders.
//
// What the host's tasks taught is returned too, if another node owns it.
func (r *Runner) Heartbeat(ctx context.Context, heartbeat *wire.Heartbeat) (wire.CommandBatch, []agent.RuntimeSample, error) {
	term := r.current.Load()
	if term == nil {
		return wire.CommandBatch{}, nil, ErrNotLeading
	}
	timer := time.NewTimer(r.settings.Report() / 2)
	defer timer.Stop()
	select {
	case <-term.ready:
	case <-timer.C:
		return wire.CommandBatch{}, nil, ErrNotLeading
	case <-ctx.Done():
		return wire.CommandBatch{}, nil, ctx.Err()
	}
	term.mu.Lock()
	defer term.mu.Unlock()
	epoch := term.leadership.Epoch()
	if heartbeat.Epoch > epoch || term.ctx.Err() != nil {
		// The worker knows a later leader. A 200 would be dropped and hold
		// the worker here while its lease runs out.
		return wire.CommandBatch{}, nil, ErrNotLeading
	}
	worker := term.applyHeartbeat(heartbeat)
	if worker == nil {
		return wire.CommandBatch{}, nil, ErrNotLeading
	}
	now := term.now()
	if worker.LastHeartbeat.IsZero() && !worker.RequestedAt.IsZero() {
		term.log.Info("up", "host", worker.Name, "flavor", worker.InstanceType, "zone", worker.Zone, "since_asked_s", now.Sub(worker.RequestedAt).Seconds())
	}
	// Whatever is answered may renew the lease. But a report that comes after newer ones,
	// a late copy perhaps, tells nothing of how the machine is by now.
	worker.LastAnswered = now
	commands := wire.CommandBatch{Epoch: epoch, Commands: []wire.Command{}}
	if worker.Incarnation == heartbeat.Incarnation && worker.Sequence == heartbeat.Sequence {
		worker.LastHeartbeat, term.lastHeartbeat = now, now
		if !term.dataLossSuspected() {
			commands.Commands = append(commands.Commands, worker.Commands(term.jobs.ClaimsOnWorker(worker.Name), epoch, true)...)
			term.requestFencing(worker)
		}
	}
	learned := worker.PendingSamples
	worker.PendingSamples = nil
	return commands, learned, nil
}

// worker finds or makes a host.
func (t *leaderTerm) worker(name string) *agent.Worker {
	worker := t.workers[name]
	if worker == nil {
		worker = agent.NewWorker(name)
		t.assignOwner(worker, t.leadership.ShardMap())
		t.addWorker(worker)
		t.group.Go(func() error { return t.commandLoop(t.ctx, worker) })
	}
	return worker
}

// setZone notes a host's zone.
func (t *leaderTerm) setZone(worker *agent.Worker, zone string) {
	if worker.Zone != zone {
		worker.Zone, worker.SoleOwnerEpoch = zone, 0
		t.assignOwner(worker, t.leadership.ShardMap())
	}
}

// addWorker and leave keep the hosts and their order.
func (t *leaderTerm) addWorker(worker *agent.Worker) {
	t.workers[worker.Name] = worker
	i, _ := slices.BinarySearchFunc(t.workersByName, worker.Name, compareName)
	t.workersByName = slices.Insert(t.workersByName, i, worker)
}

func (t *leaderTerm) removeWorker(worker *agent.Worker) {
	delete(t.workers, worker.Name)
	if i, ok := slices.BinarySearchFunc(t.workersByName, worker.Name, compareName); ok {
		t.workersByName = slices.Delete(t.workersByName, i, i+1)
	}
}

func compareName(worker *agent.Worker, name string) int { return strings.Compare(worker.Name, name) }

// applyHeartbeat takes in what a worker says, if it is news. It returns nil for a
// machine that was returned to the cloud: a late message from the past.
func (t *leaderTerm) applyHeartbeat(heartbeat *wire.Heartbeat) *agent.Worker {
	if releasedAt := t.released[heartbeat.Worker]; !releasedAt.IsZero() || heartbeat.Worker == "" {
		return nil
	}
	worker := t.worker(heartbeat.Worker)
	if !worker.IsNewer(heartbeat) {
		return worker
	}
	now := t.now()
	becameUsable := worker.HasUnclaimedTask || !t.acceptsTasks(worker, now) // it may be of use from now on
	usedBefore := t.jobs.UsedOnWorker(worker.Name)
	worker.Address, worker.InstanceType, worker.Spot = heartbeat.Address, heartbeat.InstanceType, heartbeat.Spot
	t.setZone(worker, heartbeat.Zone)
	worker.Sequence, worker.LastUpdate = heartbeat.Sequence, now
	if heartbeat.Epoch > worker.SeenEpoch {
		worker.SeenEpoch, worker.EpochSeenAt = heartbeat.Epoch, now
	}
	if worker.SeenEpoch > worker.UnresolvedEpoch {
		worker.UnresolvedEpoch = 0
	}
	worker.ReclaimAt = time.Time{}
	if heartbeat.SpotNoticeSeconds != nil {
		worker.ReclaimAt = now.Add(time.Duration(*heartbeat.SpotNoticeSeconds * float64(time.Second)))
	}
	if heartbeat.Incarnation > worker.Incarnation {
		worker.Incarnation = heartbeat.Incarnation
		worker.Tasks = make(map[ledger.Task]agent.TaskStatus)
		worker.UnresolvedEpoch = 0 // commands carry the tenure: none of the old ones is executed now
		for _, claim := range t.jobs.ClaimsOnWorker(worker.Name) {
			if claim.Incarnation < heartbeat.Incarnation {
				t.dropImageFetch(claim, worker)
				t.freeClaim(claim, "new tenure")
			}
		}
	}
	t.reconcileTasks(worker, heartbeat, now)
	worker.IdleSince = idleSince(worker, len(t.jobs.ClaimsOnWorker(worker.Name)), now)
	if !t.jobs.NothingToWrite() {
		notify(t.writeSignal)
	}
	// Most reports free no room: a pass for each would be for nothing.
	if becameUsable || usedBefore != t.jobs.UsedOnWorker(worker.Name) {
		notify(t.scheduleSignal)
	}
	return worker
}

func idleSince(worker *agent.Worker, claims int, now time.Time) time.Time {
	if claims > 0 || len(worker.Tasks) > 0 {
		return time.Time{}
	}
	if worker.IdleSince.IsZero() {
		return now
	}
	return worker.IdleSince
}

// reconcileTasks compares a report's tasks with the claims.
func (t *leaderTerm) reconcileTasks(worker *agent.Worker, heartbeat *wire.Heartbeat, now time.Time) {
	claims := t.jobs.ClaimsOnWorker(worker.Name)
	seen := make(map[ledger.Task]agent.TaskStatus, len(heartbeat.Tasks))
	for _, reported := range heartbeat.Tasks {
		task, ok := ledger.ParseTask(reported.Task)
		if !ok {
			continue
		}
		t.adoptReported(worker, task, reported)
		claims = t.jobs.ClaimsOnWorker(worker.Name)
		current := agent.TaskStatus{Attempt: reported.Attempt, Phase: reported.Phase, EndCause: reported.ExitReason, Since: now, Orphaned: t.isOrphan(task)}
		if previous, ok := worker.Tasks[task]; ok && previous.Attempt == reported.Attempt && previous.Phase == reported.Phase {
			current.Since = previous.Since
		}
		claim := claims[task]
		if earlier, duplicate := seen[task]; duplicate && claim != nil && earlier.Attempt == claim.Attempt {
			continue // of two tries on the machine the claimed one counts
		}
		seen[task] = current
		if claim == nil || claim.Attempt != reported.Attempt || claim.Finished {
			continue
		}
		switch reported.Phase {
		case wire.PhaseRunning:
			if claim.RunningSince.IsZero() {
				claim.RunningSince = now
				t.taskStarted(claim, worker, now)
			}
		case wire.TaskExited:
			t.taskEnded(claim, worker, reported.ExitReason, now)
		}
	}
	worker.Tasks, worker.HasUnclaimedTask = seen, false
	for task, reported := range seen {
		if claim := claims[task]; (claim == nil || claim.Attempt != reported.Attempt) && reported.Phase != wire.TaskExited {
			worker.HasUnclaimedTask = true
		}
	}
	// A withdrawn job's task that the worker does not have is gone once no
	// launch can reach the worker any more: it has seen a higher epoch than
	// any launch carried.
	for task, claim := range claims {
		if _, present := seen[task]; !present && (claim.Job.Cancelled || claim.Stopping || claim.Unconfirmed) && !worker.CommandInFlight && worker.SeenEpoch > claim.StartEpoch {
			t.freeClaim(claim, "no launch can reach the machine")
		}
	}
}

// taskStarted notes that a task runs: its machine has the image.
func (t *leaderTerm) taskStarted(claim *ledger.Claim, worker *agent.Worker, now time.Time) {
	cacheGB := 0.0
	if instanceType := t.instanceTypes.InstanceTypes()[worker.InstanceType]; instanceType != nil {
		cacheGB = instanceType.DiskGB
	}
	worker.RecordImageUse(claim.Job.Spec.Image, claim.Job.Spec.ImageGB, cacheGB)
	t.latencies.recordStart(claim, now)
	t.log.Debug("started", "task", claim.Task(), "host", worker.Name, "wait_s", now.Sub(claim.Job.WaitingSince).Seconds())
}

// dropImageFetch notes that a task went before it ran; with the last that waited for
// its image the fetch goes too.
func (t *leaderTerm) dropImageFetch(claim *ledger.Claim, worker *agent.Worker) {
	for _, other := range t.jobs.ClaimsOnWorker(worker.Name) {
		if other != claim && other.Job.Spec.Image == claim.Job.Spec.Image {
			return
		}
	}
	worker.RecordPullAbandoned(claim.Job.Spec.Image)
}

// taskEnded deals with a claimed task that its worker reports as ended.
func (t *leaderTerm) taskEnded(claim *ledger.Claim, worker *agent.Worker, cause string, now time.Time) {
	job := claim.Job
	if claim.RunningSince.IsZero() {
		t.dropImageFetch(claim, worker)
	}
	t.log.Debug("ended", "task", claim.Task(), "host", worker.Name, "cause", cause)
	if job.Cancelled {
		t.freeClaim(claim, "ended, withdrawn")
		return
	}
	if job.IsGang() && cause != wire.ExitDone {
		// The others cannot go on without it: they start again together.
		for _, other := range t.jobs.ClaimsOfJob(job) {
			if other != claim && !other.Finished {
				other.Stopping = true
				t.auditLog.enqueueTask(now, audit.Stopped, other, "a member of the gang ended", "")
				if peer := t.workers[other.Worker]; peer != nil {
					peer.WakeSender()
				}
			}
		}
	}
	switch cause {
	case wire.ExitDone:
		if job.Spec.Kind == wire.KindService {
			t.freeClaim(claim, "ended")
			return
		}
		worker.FailedJobs = nil
		job.ConsecutiveFailures = 0
		// Only tasks that were seen running teach: a result that was kept
		// from an earlier try comes back at once and says nothing.
		if !claim.RunningSince.IsZero() {
			job.RunSeconds.Sum += now.Sub(claim.RunningSince).Seconds()
			job.RunSeconds.Count++
			finish := agent.RuntimeSample{JobType: t.jobType(job), InstanceType: worker.InstanceType, Duration: now.Sub(claim.RunningSince)}
			if t.leadership.ShardMap().Owner(worker.Name) == t.settings.Node {
				t.shards.Learn(finish)
			} else if len(worker.PendingSamples) < 64 {
				worker.PendingSamples = append(worker.PendingSamples, finish)
			}
		}
		t.jobs.Finish(claim)
	case wire.ExitFailed:
		t.freeClaim(claim, "failed")
		t.countFailure(job, worker, now)
	case wire.ExitNoCapacity:
		t.freeClaim(claim, "refused: no room")
		worker.StartBackoffUntil = now.Add(t.settings.Report())
	case wire.ExitDuplicate, wire.ExitUnknownTask:
		t.freeClaim(claim, "refused: "+cause)
		job.ConsecutiveFailures++
		job.RetryAt = now.Add(t.retryDelay(job.ConsecutiveFailures))
	default: // halted
		t.freeClaim(claim, "halted")
	}
}

// countFailure counts a failure against the machine and the job. A job that fails on
// several machines and finishes nowhere is at fault itself, and is held back;
// a machine is at fault when jobs fail there that do not fail elsewhere.
func (t *leaderTerm) countFailure(job *ledger.Job, worker *agent.Worker, now time.Time) {
	if job.FailedOn == nil {
		job.FailedOn = make(map[string]bool)
	}
	job.FailedOn[worker.Name] = true
	job.ConsecutiveFailures++
	if worker.LastFailure = now; len(worker.FailedJobs) < 16 {
		worker.FailedJobs = append(worker.FailedJobs, job.Ref)
	}
	t.log.Info("task failed", "job", job.Ref, "host", worker.Name, "job_fails", job.ConsecutiveFailures, "host_fails", len(worker.FailedJobs))
	if t.jobFaulty(job) {
		job.RetryAt = now.Add(t.retryDelay(job.ConsecutiveFailures))
	}
	if len(job.FailedOn) > 16 {
		clear(job.FailedOn)
	}
}

// retryDelay is how long a job waits after so many failures in a row.
func (t *leaderTerm) retryDelay(failures int) time.Duration {
	return min(t.settings.Report()/2<<min(failures, 6), 2*t.settings.Lease())
}

func (t *leaderTerm) jobFaulty(job *ledger.Job) bool {
	if job.DoneTasks() > 0 {
		return false
	}
	healthyWorkers := 0
	for name := range job.FailedOn {
		if worker := t.workers[name]; worker == nil || !t.workerFaulty(worker) {
			healthyWorkers++
		}
	}
	return healthyWorkers >= 2
}

// workerFaulty tells whether a machine fails what it starts: two failures or more
// since its last success, of jobs that are not known to fail everywhere.
func (t *leaderTerm) workerFaulty(worker *agent.Worker) bool {
	failures := 0
	for _, jobID := range worker.FailedJobs {
		if job := t.jobs.Job(jobID); job == nil || job.DoneTasks() > 0 || len(job.FailedOn) < 3 {
			failures++
		}
	}
	return failures >= 2
}

// quarantined tells whether a machine that fails what it starts is not to be tried for now. One
// that is not returned, because most do or for what runs on there, is tried again once in
// a lease: it may be well by then, and only a success shows that.
func (t *leaderTerm) quarantined(worker *agent.Worker, now time.Time) bool {
	return t.workerFaulty(worker) && now.Sub(worker.LastFailure) < t.settings.Lease()
}

// freeClaim frees a claim on proof that its task is gone.
func (t *leaderTerm) freeClaim(claim *ledger.Claim, reason string) {
	t.log.Debug("task lost", "task", claim.Task(), "host", claim.Worker, "why", reason)
	now := t.now()
	t.auditLog.enqueueTask(now, audit.Lost, claim, reason, "")
	t.jobs.Free(claim, now)
}

// requestFencing asks for a higher epoch when a host waits for one.
func (t *leaderTerm) requestFencing(worker *agent.Worker) {
	needed := worker.UnresolvedEpoch != 0 && len(worker.Tasks) > 0
	for task, claim := range t.jobs.ClaimsOnWorker(worker.Name) {
		if _, present := worker.Tasks[task]; !present && (claim.Job.Cancelled || claim.Stopping || claim.Unconfirmed) {
			needed = needed || worker.SeenEpoch <= claim.StartEpoch
		}
	}
	if needed && worker.SeenEpoch >= t.leadership.Epoch() {
		notify(t.epochSignal)
	}
}

// commandLoop commands one host directly whenever it is nudged, so that nothing waits
// for its next beat.
func (t *leaderTerm) commandLoop(ctx context.Context, worker *agent.Worker) error {
	for attempt := 0; ; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-worker.Wake:
		}
		t.mu.Lock()
		if t.workers[worker.Name] != worker {
			t.mu.Unlock()
			return nil
		}
		epoch := t.leadership.Epoch()
		reachable := worker.Incarnation > 0 && worker.Address != ""
		var commands []wire.Command
		if reachable && !t.dataLossSuspected() {
			commands = worker.Commands(t.jobs.ClaimsOnWorker(worker.Name), epoch, false)
		}
		incarnation, address, heardBefore := worker.Incarnation, worker.Address, worker.LastHeartbeat
		worker.CommandInFlight = reachable && len(commands) > 0
		t.mu.Unlock()
		if !reachable || len(commands) == 0 {
			continue
		}
		heartbeat, refused, err := t.workerClient.Send(ctx, address, wire.CommandBatch{Epoch: epoch, Incarnation: incarnation, Commands: commands})
		t.mu.Lock()
		worker.CommandInFlight = false
		if err != nil && !errors.Is(err, agent.ErrNotSent) {
			worker.UnresolvedEpoch = max(worker.UnresolvedEpoch, epoch)
		}
		if heartbeat != nil {
			t.applyHeartbeat(heartbeat)
		}
		unheard := worker.LastHeartbeat.Equal(heardBefore)
		t.mu.Unlock()
		if err == nil && !refused {
			attempt = 0
			continue
		}
		// A host that does not take commands gets them with its next beat.
		t.log.Debug("direct command", "host", worker.Name, "refused", refused, "err", err)
		if unheard {
			kvstore.Backoff(ctx, attempt, t.settings.Report()/8, t.settings.Report())
			attempt = min(attempt+1, 8)
		}
	}
}

// leaseRenewed tells whether a host's report was answered lately. Nothing else renews its lease:
// one that answers direct commands, and reaches no controller, loses whatever it is given.
func (t *leaderTerm) leaseRenewed(worker *agent.Worker, now time.Time) bool {
	return !worker.LastHeartbeat.IsZero() && now.Sub(worker.LastHeartbeat) < 5*t.settings.Report()/2
}

// jobType is the type of a job for the placement rule.
func (t *leaderTerm) jobType(job *ledger.Job) string {
	var key []byte
	for _, field := range t.settings.Operator.Placement.Fields() {
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
