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

// What users may count on once the faults are over, and at all times.
const (
	maxAnswerGap = 75 * time.Second // without an answer about a job it is forgotten
	maxWaitWithRoom   = 90 * time.Second // a job waits no longer while a machine has room for it
	maxLargestJobWait    = 4 * time.Minute  // in which the largest jobs begin
)

// heard notes an answer about a job; run it with the lock held.
func (w *world) recordAnswer(jobID string, status int) {
	now := time.Now()
	if status == http.StatusOK || status == http.StatusCreated || w.lastAnswer[jobID].IsZero() {
		w.lastAnswer[jobID] = now
	}
	since := w.lastAnswer[jobID]
	if w.faultsEndedAt.After(since) {
		since = w.faultsEndedAt
	}
	if !w.faultsEndedAt.IsZero() && now.Sub(since) > maxAnswerGap {
		w.recordViolation("forgotten: nothing is answered about %s for %v", jobID, now.Sub(since))
		w.lastAnswer[jobID] = now
	}
}

// calms says that the last fault is over, and watches from then on that nothing waits
// where there is room.
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

// idle notes which jobs wait though a worker that fits has room, and their team too.
func (w *world) checkWaitingJobs(cloud *fakeCloud) {
	rooms := cloud.workerCapacities()
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, jobID := range slices.Sorted(maps.Keys(w.jobs)) {
		j := w.jobs[jobID]
		if !w.canPlace(j, rooms) {
			delete(w.waitingWithRoomSince, jobID)
			continue
		}
		since, ok := w.waitingWithRoomSince[jobID]
		if !ok {
			w.waitingWithRoomSince[jobID] = now
		} else if now.Sub(since) > maxWaitWithRoom {
			w.recordViolation("waits: %s for %v though there is room", jobID, now.Sub(since))
			w.waitingWithRoomSince[jobID] = now
		}
	}
}

// free is what is free of a worker.
type workerCapacity struct {
	instance     wire.Instance
	freeCPUs float64
	freeMemoryGB   float64
	unfinishedTasks map[string]bool
}

// rooms are the free resources of the workers that are up and well.
func (c *fakeCloud) workerCapacities() (out []workerCapacity) {
	c.mu.Lock()
	hosts := maps.Clone(c.instances)
	types := c.types
	c.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(hosts)) {
		c.w.mu.Lock()
		k := c.w.workers[name]
		c.w.mu.Unlock()
		if k == nil {
			continue
		}
		i := slices.IndexFunc(types, func(t wire.InstanceType) bool { return t.Name == k.instance.InstanceType })
		f := workerCapacity{instance: k.instance, freeCPUs: types[i].CPUs, freeMemoryGB: types[i].MemoryGB, unfinishedTasks: make(map[string]bool)}
		k.mu.Lock()
		well := !k.paused && !k.dropsAnswers && !k.dropsHeartbeats
		for n, t := range k.tasks {
			if t.Phase != wire.TaskExited {
				f.unfinishedTasks[n] = true
			}
		}
		k.mu.Unlock()
		c.w.mu.Lock()
		for n := range f.unfinishedTasks {
			id, _ := ledger.ParseTask(n)
			j := c.w.jobs[id.JobID]
			f.freeCPUs, f.freeMemoryGB = f.freeCPUs-j.CPUs, f.freeMemoryGB-j.MemoryGB
		}
		c.w.mu.Unlock()
		if well {
			out = append(out, f)
		}
	}
	return out
}

// fits tells whether a task of a job waits that one of the rooms fits; run it with
// the lock held.
func (w *world) canPlace(j wire.Job, rooms []workerCapacity) bool {
	if w.acceptedAt[j.ID].IsZero() || w.cancelRequested[j.ID] || j.Kind == wire.KindGang || w.usedCPUs[j.Team]+j.CPUs > w.teamCPULimit {
		return false
	}
	for _, n := range j.DependsOn {
		if !w.allTasksDone(n) {
			return false
		}
	}
	waits, zones, all := false, make(map[string]int), 0
	for i := range j.TaskCount {
		id := ledger.Task{JobID: j.ID, Index: i}
		if w.doneTasks[id] {
			continue
		}
		at := ""
		for _, f := range rooms {
			if f.unfinishedTasks[id.String()] {
				at = f.instance.Zone
			}
		}
		if at == "" && w.hostOf[id] != "" {
			at = w.workers[w.hostOf[id]].instance.Zone
		}
		if at == "" {
			waits = true
			continue
		}
		zones[at]++
		all++
	}
	return waits && slices.ContainsFunc(rooms, func(f workerCapacity) bool {
		z := f.instance.Zone
		return f.freeCPUs >= j.CPUs && f.freeMemoryGB >= j.MemoryGB && (j.AllowSpot || !f.instance.Spot) && (j.Zone == "" || j.Zone == z) &&
			(len(j.InstanceTypes) == 0 || slices.Contains(j.InstanceTypes, f.instance.InstanceType)) &&
			(!j.SpreadZones || zones[z]+1 <= (j.TaskCount+1)/2) && (!j.SingleZone || zones[z] == all)
	})
}

// begins checks that the largest jobs, a quarter of them, began in time; run it with the
// lock held.
func (w *world) checkLargestJobsStarted() {
	size := func(jobID string) float64 { return float64(w.jobs[jobID].TaskCount) * w.jobs[jobID].CPUs }
	jobIDs := slices.SortedFunc(maps.Keys(w.acceptedAt), func(a, b string) int { return int(100 * (size(b) - size(a))) })
	for _, jobID := range jobIDs[:len(jobIDs)/4] {
		from, at := w.acceptedAt[jobID], w.firstStart[jobID]
		if at.IsZero() {
			at = time.Now()
		}
		if !w.cancelRequested[jobID] && len(w.jobs[jobID].DependsOn) == 0 && at.Sub(from) > maxLargestJobWait {
			w.recordViolation("largest: %s began after %v", jobID, at.Sub(from))
		}
	}
}

// client is a user's, who opens a connection for each request.
func (w *world) client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: w.net.forHost("user").Dial, DisableKeepAlives: true}}
}

// ask sends a request to a controller, and gives the answer's status, 0 if there is none,
// and the phase that it tells.
func (w *world) request(ctx context.Context, c *http.Client, n int, method, path string, body []byte) (status int, phase string) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+frontAddress(n)+path, bytes.NewReader(body))
	res, err := c.Do(req)
	if err != nil {
		return 0, ""
	}
	defer res.Body.Close()
	var p wire.JobStatus
	b, _ := io.ReadAll(res.Body)
	json.Unmarshal(b, &p)
	return res.StatusCode, p.Phase
}

// strangers has users ask about, and withdraw, jobs that nobody submitted.
func (w *world) requestUnknownJobs(ctx context.Context) {
	c := w.client()
	for i := 0; ctx.Err() == nil; i++ {
		jobID := fmt.Sprintf("req-8%05d", i%7)
		status := 0
		if i%3 == 2 {
			status, _ = w.request(ctx, c, w.intN(w.clusterSize), "POST", "/v1/jobs/"+jobID+"/withdraw", nil)
		} else {
			status, _ = w.request(ctx, c, w.intN(w.clusterSize), "GET", "/v1/jobs/"+jobID, nil)
		}
		if status == http.StatusOK {
			w.mu.Lock()
			w.recordViolation("invented: %s", jobID)
			w.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// odd are bodies that can never be taken: what of a sound submission is replaced by what,
// and the answer.
var invalidSubmissions = []struct {
	name, old, new string
	status         int
}{
	{"no team", `"owner":"a",`, ``, 400},
	{"null", `"rank":"standard"`, `"rank":null`, 400},
	{"negative", `"cores":1,`, `"cores":-1,`, 400},
	{"a wrong type", `"members":2`, `"members":"2"`, 400},
	{"another case", `"cores":1,`, `"Cores":1,`, 400},
	{"twice", `"cores":1,`, `"cores":1,"cores":2,`, 400},
	{"not an object", `{`, `[{`, 400},
	{"larger than any machine", `"cores":1,`, `"cores":9,`, 422},
	{"no such type", `"flavors":null`, `"flavors":["x"]`, 422},
	{"no such zone", `"locale":null`, `"locale":"x"`, 422},
	{"unknown team", `"owner":"a"`, `"owner":"x"`, 422},
	{"more than the team's limit", `"shape":"batch","members":2`, `"shape":"standing","members":500`, 422},
}

// soundBody is a submission that is sound.
func validSubmission(jobID string) []byte {
	return fmt.Appendf(nil, `{"ref":%q,"jobclass":"c","owner":"a","rank":"standard","shape":"batch","members":2,"cores":1,"accelerators":0,"ram_gb":1,"bundle":"img","size_gb":1,`+
		`"flavors":null,"locale":null,"same_place":false,"scatter":false,"loaners":false,"expect_s":5,"snapshot_s":0,"flush_s":0,"due_s":null}`, jobID)
}

// oddities has users send what can't be taken, repeat what was taken with bodies that
// can't be, and withdraw what is done, until the time is up.
func (w *world) sendInvalidRequests(ctx context.Context, duration time.Duration) {
	c := w.client()
	end := time.Now().Add(duration)
	for i := 0; ctx.Err() == nil && time.Now().Before(end); i++ {
		o := invalidSubmissions[i%len(invalidSubmissions)]
		bad := func(jobID string) []byte {
			return bytes.Replace(validSubmission(jobID), []byte(o.old), []byte(o.new), 1)
		}
		status, _ := w.request(ctx, c, w.intN(w.clusterSize), "POST", "/v1/jobs", bad(fmt.Sprintf("req-7%05d", i)))
		w.mu.Lock()
		if status != o.status && status != 503 && status != 0 {
			w.recordViolation("accepted: %s was answered %d", o.name, status)
		}
		var known []string
		for jobID := range w.acceptedAt {
			known = append(known, jobID)
		}
		slices.Sort(known)
		w.mu.Unlock()
		if len(known) > 0 && o.old != "{" { // what is no object names no job
			jobID := known[w.intN(len(known))]
			status, _ = w.request(ctx, c, w.intN(w.clusterSize), "POST", "/v1/jobs", bad(jobID))
			w.mu.Lock()
			if status != 200 && status != 503 && status != 0 {
				w.recordViolation("forgotten: %s submitted again with %s was answered %d", jobID, o.name, status)
			}
			over := w.lastPhase[jobID] == wire.PhaseDone
			w.mu.Unlock()
			if over {
				if status, _ := w.request(ctx, c, w.intN(w.clusterSize), "POST", "/v1/jobs/"+jobID+"/withdraw", nil); status != 200 && status != 503 && status != 0 {
					w.mu.Lock()
					w.recordViolation("forgotten: %s is done, and its withdrawal was answered %d", jobID, status)
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
