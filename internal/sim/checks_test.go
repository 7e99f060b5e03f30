package sim

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// Bounds that hold for users once the faults have ended.
const (
	maxResponseGap    = 75 * time.Second // longest time without a successful response about a job
	maxWaitWithRoom   = 90 * time.Second // longest wait of a job while a worker has room for it
	maxLargestJobWait = 4 * time.Minute  // longest time from the acceptance of one of the largest jobs to its start
)

// recordResponse records the status of a response about a job, and a violation if the
// user has waited too long for a successful one. The caller holds w.mu.
func (w *world) recordResponse(jobID string, status int) {
	now := time.Now()
	if status == http.StatusOK || status == http.StatusCreated || w.lastResponse[jobID].IsZero() {
		w.lastResponse[jobID] = now
	}
	since := w.lastResponse[jobID]
	if w.faultsEndedAt.After(since) {
		since = w.faultsEndedAt
	}
	if !w.faultsEndedAt.IsZero() && now.Sub(since) > maxResponseGap {
		w.recordViolation("forgotten: no successful response about %s for %v", jobID, now.Sub(since))
		w.lastResponse[jobID] = now
	}
}

// faultsEnded marks the end of the last fault and checks from then on that no job waits
// while there is room for it.
func (w *world) faultsEnded(cloud *fakeCloud) {
	w.mu.Lock()
	w.faultsEndedAt = time.Now()
	w.mu.Unlock()
	w.wg.Go(func() {
		for w.ctx.Err() == nil {
			w.checkWaitingJobs(cloud)
			select {
			case <-w.ctx.Done():
			case <-time.After(heartbeatInterval):
			}
		}
	})
}

// checkWaitingJobs finds jobs that wait although a suitable worker has room and their
// team is below its limit, and records a violation for those that wait too long.
func (w *world) checkWaitingJobs(cloud *fakeCloud) {
	capacities := cloud.workerCapacities()
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, jobID := range slices.Sorted(maps.Keys(w.jobs)) {
		job := w.jobs[jobID]
		if !w.canPlace(job, capacities) {
			delete(w.waitingWithRoomSince, jobID)
			continue
		}
		since, ok := w.waitingWithRoomSince[jobID]
		if !ok {
			w.waitingWithRoomSince[jobID] = now
		} else if now.Sub(since) > maxWaitWithRoom {
			w.recordViolation("waits: %s has waited %v although there is room", jobID, now.Sub(since))
			w.waitingWithRoomSince[jobID] = now
		}
	}
}

// workerCapacity is the free capacity of a worker, and the tasks that use the rest.
type workerCapacity struct {
	instance        wire.Instance
	freeCPUs        float64
	freeMemoryGB    float64
	unfinishedTasks map[string]bool
}

// workerCapacities returns the free capacities of all healthy workers.
func (c *fakeCloud) workerCapacities() (capacities []workerCapacity) {
	c.mu.Lock()
	instances := maps.Clone(c.instances)
	types := c.types
	c.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(instances)) {
		c.world.mu.Lock()
		worker := c.world.workers[name]
		c.world.mu.Unlock()
		if worker == nil {
			continue
		}
		i := slices.IndexFunc(types, func(t wire.InstanceType) bool { return t.Name == worker.instance.InstanceType })
		capacity := workerCapacity{instance: worker.instance, freeCPUs: types[i].CPUs, freeMemoryGB: types[i].MemoryGB, unfinishedTasks: make(map[string]bool)}
		worker.mu.Lock()
		healthy := !worker.paused && !worker.dropsResponses && !worker.dropsHeartbeats
		for key, t := range worker.tasks {
			if t.Phase != wire.TaskExited {
				capacity.unfinishedTasks[key.task] = true
			}
		}
		worker.mu.Unlock()
		c.world.mu.Lock()
		for taskName := range capacity.unfinishedTasks {
			id, _ := ledger.ParseTask(taskName)
			job := c.world.jobs[id.JobID]
			capacity.freeCPUs, capacity.freeMemoryGB = capacity.freeCPUs-job.CPUs, capacity.freeMemoryGB-job.MemoryGB
		}
		c.world.mu.Unlock()
		if healthy {
			capacities = append(capacities, capacity)
		}
	}
	return capacities
}

// canPlace reports whether a job has a waiting task that fits on one of the workers. The
// caller holds w.mu.
func (w *world) canPlace(job wire.Job, capacities []workerCapacity) bool {
	if w.acceptedAt[job.ID].IsZero() || w.cancelRequested[job.ID] || job.Kind == wire.KindGang || w.usedCPUs[job.Team]+job.CPUs > w.teamCPULimit {
		return false
	}
	for _, dependency := range job.DependsOn {
		if !w.allTasksDone(dependency) {
			return false
		}
	}
	hasWaitingTask, tasksByZone, placed := false, make(map[string]int), 0
	for i := range job.TaskCount {
		id := ledger.Task{JobID: job.ID, Index: i}
		if w.doneTasks[id] {
			continue
		}
		placedIn := ""
		for _, capacity := range capacities {
			if capacity.unfinishedTasks[id.String()] {
				placedIn = capacity.instance.Zone
			}
		}
		if placedIn == "" && w.workerOf[id] != "" {
			placedIn = w.workers[w.workerOf[id]].instance.Zone
		}
		if placedIn == "" {
			hasWaitingTask = true
			continue
		}
		tasksByZone[placedIn]++
		placed++
	}
	return hasWaitingTask && slices.ContainsFunc(capacities, func(capacity workerCapacity) bool {
		zone := capacity.instance.Zone
		return capacity.freeCPUs >= job.CPUs && capacity.freeMemoryGB >= job.MemoryGB && (job.AllowSpot || !capacity.instance.Spot) && (job.Zone == "" || job.Zone == zone) &&
			(len(job.InstanceTypes) == 0 || slices.Contains(job.InstanceTypes, capacity.instance.InstanceType)) &&
			(!job.SpreadZones || tasksByZone[zone]+1 <= (job.TaskCount+1)/2) && (!job.SingleZone || tasksByZone[zone] == placed)
	})
}

// checkLargestJobsStarted checks that the largest quarter of the jobs started in time. The
// caller holds w.mu.
func (w *world) checkLargestJobsStarted() {
	size := func(jobID string) float64 { return float64(w.jobs[jobID].TaskCount) * w.jobs[jobID].CPUs }
	jobIDs := slices.SortedFunc(maps.Keys(w.acceptedAt), func(a, b string) int { return int(100 * (size(b) - size(a))) })
	for _, jobID := range jobIDs[:len(jobIDs)/4] {
		acceptedAt, startedAt := w.acceptedAt[jobID], w.firstStart[jobID]
		if startedAt.IsZero() {
			startedAt = time.Now()
		}
		if !w.cancelRequested[jobID] && len(w.jobs[jobID].DependsOn) == 0 && startedAt.Sub(acceptedAt) > maxLargestJobWait {
			w.recordViolation("largest: %s started %v after it was accepted", jobID, startedAt.Sub(acceptedAt))
		}
	}
}

// client returns a user's HTTP client, which opens a connection for each request.
func (w *world) client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: w.net.forHost("user").Dial, DisableKeepAlives: true}}
}

// request sends a user's request to a controller and returns the status of the response, 0
// if there is none, and the job's phase in it.
func (w *world) request(ctx context.Context, client *http.Client, controller int, method, path string, body []byte) (status int, phase string) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+frontAddress(controller)+path, bytes.NewReader(body))
	res, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer res.Body.Close()
	var jobStatus wire.JobStatus
	responseBody, _ := io.ReadAll(res.Body)
	json.Unmarshal(responseBody, &jobStatus)
	return res.StatusCode, jobStatus.Phase
}

// requestUnknownJobs reads the status of, and cancels, jobs that were never submitted.
func (w *world) requestUnknownJobs(ctx context.Context) {
	client := w.client()
	for i := 0; ctx.Err() == nil; i++ {
		jobID := fmt.Sprintf("req-8%05d", i%7)
		status := 0
		if i%3 == 2 {
			status, _ = w.request(ctx, client, w.intN(w.clusterSize), "POST", "/v1/jobs/"+jobID+"/withdraw", nil)
		} else {
			status, _ = w.request(ctx, client, w.intN(w.clusterSize), "GET", "/v1/jobs/"+jobID, nil)
		}
		if status == http.StatusOK {
			w.mu.Lock()
			w.recordViolation("invented: %s was never submitted, but a request for it succeeded", jobID)
			w.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// invalidSubmissions are edits, from old to new, that make a valid submission invalid, with
// the expected status of the response.
var invalidSubmissions = []struct {
	name, old, new string
	status         int
}{
	{"no team", `"owner":"a",`, ``, 400},
	{"null field", `"rank":"standard"`, `"rank":null`, 400},
	{"negative number", `"cores":1,`, `"cores":-1,`, 400},
	{"wrong type", `"members":2`, `"members":"2"`, 400},
	{"wrong case of a name", `"cores":1,`, `"Cores":1,`, 400},
	{"duplicate field", `"cores":1,`, `"cores":1,"cores":2,`, 400},
	{"not an object", `{`, `[{`, 400},
	{"larger than any worker", `"cores":1,`, `"cores":9,`, 422},
	{"unknown instance type", `"flavors":null`, `"flavors":["x"]`, 422},
	{"unknown zone", `"locale":null`, `"locale":"x"`, 422},
	{"unknown team", `"owner":"a"`, `"owner":"x"`, 422},
	{"more than the team's limit", `"shape":"batch","members":2`, `"shape":"standing","members":500`, 422},
}

// validSubmission returns the body of a valid submission.
func validSubmission(jobID string) []byte {
	return fmt.Appendf(nil, `{"ref":%q,"jobclass":"c","owner":"a","rank":"standard","shape":"batch","members":2,"cores":1,"accelerators":0,"ram_gb":1,"bundle":"img","size_gb":1,`+
		`"flavors":null,"locale":null,"same_place":false,"scatter":false,"loaners":false,"expect_s":5,"snapshot_s":0,"flush_s":0,"due_s":null}`, jobID)
}

// sendInvalidRequests sends invalid submissions, resubmits accepted jobs with invalid
// bodies and cancels jobs that are done, for the given time.
func (w *world) sendInvalidRequests(ctx context.Context, duration time.Duration) {
	client := w.client()
	deadline := time.Now().Add(duration)
	for i := 0; ctx.Err() == nil && time.Now().Before(deadline); i++ {
		invalid := invalidSubmissions[i%len(invalidSubmissions)]
		invalidBody := func(jobID string) []byte {
			return bytes.Replace(validSubmission(jobID), []byte(invalid.old), []byte(invalid.new), 1)
		}
		status, _ := w.request(ctx, client, w.intN(w.clusterSize), "POST", "/v1/jobs", invalidBody(fmt.Sprintf("req-7%05d", i)))
		w.mu.Lock()
		if status != invalid.status && status != 503 && status != 0 {
			w.recordViolation("accepted: invalid submission (%s) was answered with status %d", invalid.name, status)
		}
		var accepted []string
		for jobID := range w.acceptedAt {
			accepted = append(accepted, jobID)
		}
		slices.Sort(accepted)
		w.mu.Unlock()
		if len(accepted) > 0 && invalid.old != "{" { // a body that is not an object names no job
			jobID := accepted[w.intN(len(accepted))]
			status, _ = w.request(ctx, client, w.intN(w.clusterSize), "POST", "/v1/jobs", invalidBody(jobID))
			w.mu.Lock()
			if status != 200 && status != 503 && status != 0 {
				w.recordViolation("forgotten: resubmission of %s (%s) was answered with status %d", jobID, invalid.name, status)
			}
			isDone := w.lastPhase[jobID] == wire.PhaseDone
			w.mu.Unlock()
			if isDone {
				if status, _ := w.request(ctx, client, w.intN(w.clusterSize), "POST", "/v1/jobs/"+jobID+"/withdraw", nil); status != 200 && status != 503 && status != 0 {
					w.mu.Lock()
					w.recordViolation("forgotten: %s is done, but its cancellation was answered with status %d", jobID, status)
					w.mu.Unlock()
				}
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval / 6):
		}
	}
}
