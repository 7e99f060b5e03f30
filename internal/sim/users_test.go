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

// orNull is a text, or null for none.
func orNull(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}

// playUser submits a job, polls it, and may withdraw it.
func (w *world) runUser(ctx context.Context, j wire.Job, withdraw time.Duration) {
	client := w.client()
	body, _ := json.Marshal(map[string]any{
		"ref": j.ID, "jobclass": j.Class, "owner": j.Team, "shape": j.Kind, "rank": j.Priority, "members": j.TaskCount, "cores": j.CPUs,
		"accelerators": 0, "ram_gb": j.MemoryGB, "bundle": j.Image, "size_gb": 1, "same_place": j.SingleZone, "scatter": j.SpreadZones, "loaners": j.AllowSpot,
		"expect_s": j.ExpectedSeconds, "snapshot_s": 0, "flush_s": 0, "waits_on": j.DependsOn, "flavors": j.InstanceTypes, "locale": orNull(j.Zone),
	})
	for _, n := range j.DependsOn {
		w.mu.Lock()
		known := w.acceptedSignal[n]
		w.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-known:
		}
	}
	ask := func(method, path string, body []byte) (int, string) {
		return w.request(ctx, client, w.intN(w.clusterSize), method, path, body)
	}
	start := time.Now()
	accepted := false
	var taken time.Time // when it was accepted
	for ctx.Err() == nil {
		var status int
		var phase string
		switch {
		case !accepted:
			status, phase = ask("POST", "/v1/jobs", body)
			if status == 400 || status == 422 {
				w.mu.Lock()
				w.recordViolation("%s was refused: %d", j.ID, status)
				w.mu.Unlock()
			}
			if accepted = status == 200 || status == 201; accepted {
				taken = time.Now()
				w.mu.Lock()
				if w.acceptedAt[j.ID].IsZero() {
					close(w.acceptedSignal[j.ID])
					w.acceptedAt[j.ID] = taken
				}
				w.mu.Unlock()
			}
		case withdraw > 0 && time.Since(start) > withdraw:
			w.mu.Lock()
			w.cancelRequested[j.ID] = true
			w.mu.Unlock()
			status, phase = ask("POST", "/v1/jobs/"+j.ID+"/withdraw", nil)
		default:
			status, phase = ask("GET", "/v1/jobs/"+j.ID, nil)
		}
		w.mu.Lock()
		if accepted {
			w.recordAnswer(j.ID, status)
		}
		if accepted && status == 404 {
			w.recordViolation("forgotten: %s", j.ID)
			accepted = w.shouldResubmit == nil
		}
		if accepted && w.shouldResubmit != nil && w.shouldResubmit(j.ID) {
			accepted = false
		}
		if was := w.lastPhase[j.ID]; (was == wire.PhaseDone || was == wire.PhaseCancelled) && phase != "" && phase != was {
			w.recordViolation("went_back: %s from %s to %s", j.ID, was, phase)
		}
		if phase != "" {
			w.lastPhase[j.ID] = phase
		}
		if phase == wire.PhaseCancelled {
			if !w.cancelRequested[j.ID] && !w.dependsOnCancelled(j.ID) {
				w.recordViolation("went_back: %s called withdrawn", j.ID)
			}
			if w.cancelledAt[j.ID].IsZero() {
				w.cancelledAt[j.ID] = time.Now()
			}
		}
		// A job may be accepted long after what it needs was cancelled.
		if at := w.dependencyCancelledAt(j.ID); time.Since(taken) > cancelTimeout && (phase == wire.PhaseQueued || phase == wire.PhaseRunning) && !at.IsZero() && time.Since(at) > cancelTimeout {
			w.recordViolation("orphaned: %s is %s %v after", j.ID, phase, time.Since(at))
		}
		if phase == wire.PhaseDone {
			for i := range j.TaskCount {
				if !w.doneTasks[ledger.Task{JobID: j.ID, Index: i}] {
					w.recordViolation("not_done: %s/%d", j.ID, i)
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

// pollPause is how long a user waits before the next request.
func (w *world) pollPause() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	longest := 4 * time.Second
	if w.maxPollPause > 0 {
		longest = w.maxPollPause
	}
	return longest/2 + time.Duration(w.rnd.Int64N(int64(longest/2)))
}

// dependsOnCancelled tells whether a user has asked to withdraw something before a job; run
// it with the lock held.
func (w *world) dependsOnCancelled(jobID string) bool {
	for _, n := range w.jobs[jobID].DependsOn {
		if w.cancelRequested[n] || w.dependsOnCancelled(n) {
			return true
		}
	}
	return false
}

// submit has a user submit a job after a while.
func (w *world) submit(ctx context.Context, j wire.Job, delay, withdraw time.Duration) {
	w.mu.Lock()
	w.jobs[j.ID] = j
	w.acceptedSignal[j.ID] = make(chan struct{})
	w.mu.Unlock()
	w.wg.Go(func() {
		select {
		case <-ctx.Done():
		case <-time.After(delay):
			w.runUser(ctx, j, withdraw)
		}
	})
}

// pipelines are jobs that wait for others: chains and diamonds, some cut short
// by their users. And one of many small tasks, for the chunks that are on hand
// when the limits fall.
func pipelines(rnd *rand.Rand) (js []wire.Job, withdraw map[string]time.Duration) {
	withdraw = make(map[string]time.Duration)
	for p := range 5 {
		var last []string
		for s := range 4 {
			var stage []string
			for range 1 + rnd.IntN(2) {
				j := wire.Job{ID: fmt.Sprintf("req-1%02d%02d", p, len(js)), Class: "p", Team: "ab"[p%2 : p%2+1], Kind: wire.KindArray, Priority: "idle",
					TaskCount: 1 + rnd.IntN(4), CPUs: 1, MemoryGB: 1, Image: "img", AllowSpot: true, ExpectedSeconds: float64(2 + rnd.IntN(8)), DependsOn: last}
				if s == 3 {
					j.Priority, j.DeadlineSeconds = "urgent", 120
				}
				if rnd.IntN(8) == 0 {
					withdraw[j.ID] = time.Duration(1+rnd.IntN(30)) * time.Second
				}
				stage = append(stage, j.ID)
				js = append(js, j)
			}
			last = stage
		}
	}
	return js, withdraw
}
