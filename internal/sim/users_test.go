package sim

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// orNull returns a pointer to s, or nil for "", which is encoded as null.
func orNull(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}

// runUser acts as the user of a job: it submits the job, polls it, cancels it if cancelAfter
// is set, and checks the responses.
func (w *world) runUser(ctx context.Context, job wire.Job, cancelAfter time.Duration) {
	client := w.client()
	body, _ := json.Marshal(map[string]any{
		"ref": job.ID, "jobclass": job.Class, "owner": job.Team, "shape": job.Kind, "rank": job.Priority, "members": job.TaskCount, "cores": job.CPUs,
		"accelerators": 0, "ram_gb": job.MemoryGB, "bundle": job.Image, "size_gb": 1, "same_place": job.SingleZone, "scatter": job.SpreadZones, "loaners": job.AllowSpot,
		"expect_s": job.ExpectedSeconds, "snapshot_s": 0, "flush_s": 0, "waits_on": job.DependsOn, "flavors": job.InstanceTypes, "locale": orNull(job.Zone),
	})
	for _, dependency := range job.DependsOn {
		w.mu.Lock()
		acceptance := w.acceptedSignal[dependency]
		w.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-acceptance:
		}
	}
	send := func(method, path string, body []byte) (int, string) {
		return w.request(ctx, client, w.intN(w.clusterSize), method, path, body)
	}
	start := time.Now()
	accepted := false
	var acceptedAt time.Time // last acceptance
	for ctx.Err() == nil {
		var status int
		var phase string
		switch {
		case !accepted:
			status, phase = send("POST", "/v1/jobs", body)
			if status == 400 || status == 422 {
				w.mu.Lock()
				w.recordViolation("refused: the submission of %s was answered with status %d", job.ID, status)
				w.mu.Unlock()
			}
			if accepted = status == 200 || status == 201; accepted {
				acceptedAt = time.Now()
				w.mu.Lock()
				if w.acceptedAt[job.ID].IsZero() {
					close(w.acceptedSignal[job.ID])
					w.acceptedAt[job.ID] = acceptedAt
				}
				w.mu.Unlock()
			}
		case cancelAfter > 0 && time.Since(start) > cancelAfter:
			w.mu.Lock()
			w.cancelRequested[job.ID] = true
			w.mu.Unlock()
			status, phase = send("POST", "/v1/jobs/"+job.ID+"/withdraw", nil)
		default:
			status, phase = send("GET", "/v1/jobs/"+job.ID, nil)
		}
		w.mu.Lock()
		if accepted {
			w.recordResponse(job.ID, status)
		}
		if accepted && status == 404 {
			w.recordViolation("forgotten: %s", job.ID)
			accepted = w.shouldResubmit == nil
		}
		if accepted && w.shouldResubmit != nil && w.shouldResubmit(job.ID) {
			accepted = false
		}
		if previous := w.lastPhase[job.ID]; (previous == wire.PhaseDone || previous == wire.PhaseCancelled) && phase != "" && phase != previous {
			w.recordViolation("went_back: %s changed from %s to %s", job.ID, previous, phase)
		}
		if phase != "" {
			w.lastPhase[job.ID] = phase
		}
		if phase == wire.PhaseCancelled {
			if !w.cancelRequested[job.ID] && !w.dependsOnCancelled(job.ID) {
				w.recordViolation("went_back: %s reported as cancelled, but neither it nor a dependency was", job.ID)
			}
			if w.cancelledAt[job.ID].IsZero() {
				w.cancelledAt[job.ID] = time.Now()
			}
		}
		// A job may be accepted long after a dependency was cancelled.
		if cancelledAt := w.dependencyCancelledAt(job.ID); time.Since(acceptedAt) > cancelTimeout && (phase == wire.PhaseQueued || phase == wire.PhaseRunning) && !cancelledAt.IsZero() && time.Since(cancelledAt) > cancelTimeout {
			w.recordViolation("orphaned: %s is %s %v after the cancellation of a dependency", job.ID, phase, time.Since(cancelledAt))
		}
		if phase == wire.PhaseDone {
			for i := range job.TaskCount {
				if !w.doneTasks[ledger.Task{JobID: job.ID, Index: i}] {
					w.recordViolation("not_done: %s is reported as done, but task %d is not", job.ID, i)
				}
			}
		}
		w.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(w.pollPause()):
		}
	}
}

// pollPause draws how long a user waits before the next request.
func (w *world) pollPause() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	longest := 4 * time.Second
	if w.maxPollPause > 0 {
		longest = w.maxPollPause
	}
	return longest/2 + time.Duration(w.rnd.Int64N(int64(longest/2)))
}

// dependsOnCancelled reports whether the cancellation of a direct or indirect dependency of a
// job was requested. The caller holds w.mu.
func (w *world) dependsOnCancelled(jobID string) bool {
	for _, dependency := range w.jobs[jobID].DependsOn {
		if w.cancelRequested[dependency] || w.dependsOnCancelled(dependency) {
			return true
		}
	}
	return false
}

// submit starts a user who submits a job after a delay.
func (w *world) submit(ctx context.Context, job wire.Job, delay, cancelAfter time.Duration) {
	w.mu.Lock()
	w.jobs[job.ID], w.uploadedJobs[job.ID] = job, job
	w.acceptedSignal[job.ID] = make(chan struct{})
	w.mu.Unlock()
	w.wg.Go(func() {
		select {
		case <-ctx.Done():
		case <-time.After(delay):
			w.runUser(ctx, job, cancelAfter)
		}
	})
}

// pipelines returns jobs in chains and diamonds of dependencies, and when users cancel some of
// them.
func pipelines(rnd *rand.Rand) (jobs []wire.Job, cancelAfter map[string]time.Duration) {
	cancelAfter = make(map[string]time.Duration)
	for pipeline := range 5 {
		var previous []string
		for depth := range 4 {
			var stage []string
			for range 1 + rnd.IntN(2) {
				job := wire.Job{ID: fmt.Sprintf("req-1%02d%02d", pipeline, len(jobs)), Class: "p", Team: "ab"[pipeline%2 : pipeline%2+1], Kind: wire.KindArray, Priority: "idle",
					TaskCount: 1 + rnd.IntN(4), CPUs: 1, MemoryGB: 1, Image: "img", AllowSpot: true, ExpectedSeconds: float64(2 + rnd.IntN(8)), DependsOn: previous}
				if depth == 3 {
					job.Priority, job.DeadlineSeconds = "urgent", 120
				}
				if rnd.IntN(8) == 0 {
					cancelAfter[job.ID] = time.Duration(1+rnd.IntN(30)) * time.Second
				}
				stage = append(stage, job.ID)
				jobs = append(jobs, job)
			}
			previous = stage
		}
	}
	return jobs, cancelAfter
}
