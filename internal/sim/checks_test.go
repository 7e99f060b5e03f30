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
	unanswered = 75 * time.Second // without an answer about a job it is forgotten
	idleRoom   = 90 * time.Second // a job waits no longer while a machine has room for it
	largest    = 4 * time.Minute  // in which the largest jobs begin
)

// heard notes an answer about a job; run it with the lock held.
func (w *world) heard(ref string, status int) {
	now := time.Now()
	if status == http.StatusOK || status == http.StatusCreated || w.answered[ref].IsZero() {
		w.answered[ref] = now
	}
	since := w.answered[ref]
	if w.calm.After(since) {
		since = w.calm
	}
	if !w.calm.IsZero() && now.Sub(since) > unanswered {
		w.broke("forgotten: nothing is answered about %s for %v", ref, now.Sub(since))
		w.answered[ref] = now
	}
}

// calms says that the last fault is over, and watches from then on that nothing waits
// where there is room.
func (w *world) calms(cl *cloud) {
	w.mu.Lock()
	w.calm = time.Now()
	w.mu.Unlock()
	w.wg.Go(func() {
		for w.ctx.Err() == nil {
			w.idle(cl)
			select {
			case <-w.ctx.Done():
			case <-time.After(report):
			}
		}
	})
}

// idle notes which jobs wait though a worker that fits has room, and their team too.
func (w *world) idle(cl *cloud) {
	rooms := cl.rooms()
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, ref := range slices.Sorted(maps.Keys(w.jobs)) {
		j := w.jobs[ref]
		if !w.fits(j, rooms) {
			delete(w.waits, ref)
			continue
		}
		since, ok := w.waits[ref]
		if !ok {
			w.waits[ref] = now
		} else if now.Sub(since) > idleRoom {
			w.broke("waits: %s for %v though there is room", ref, now.Sub(since))
			w.waits[ref] = now
		}
	}
}

// free is what is free of a worker.
type free struct {
	h     wire.Instance
	cores float64
	ram   float64
	tasks map[string]bool
}

// rooms are the free resources of the workers that are up and well.
func (c *cloud) rooms() (out []free) {
	c.mu.Lock()
	hosts := maps.Clone(c.hosts)
	types := c.types
	c.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(hosts)) {
		c.w.mu.Lock()
		k := c.w.workers[name]
		c.w.mu.Unlock()
		if k == nil {
			continue
		}
		i := slices.IndexFunc(types, func(t wire.InstanceType) bool { return t.Name == k.h.InstanceType })
		f := free{h: k.h, cores: types[i].CPUs, ram: types[i].MemoryGB, tasks: make(map[string]bool)}
		k.mu.Lock()
		well := !k.hung && !k.deaf && !k.mute
		for n, t := range k.tasks {
			if t.Phase != wire.TaskExited {
				f.tasks[n] = true
			}
		}
		k.mu.Unlock()
		c.w.mu.Lock()
		for n := range f.tasks {
			id, _ := ledger.ParseTask(n)
			j := c.w.jobs[id.JobID]
			f.cores, f.ram = f.cores-j.CPUs, f.ram-j.MemoryGB
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
func (w *world) fits(j wire.Job, rooms []free) bool {
	if w.taken[j.ID].IsZero() || w.asked[j.ID] || j.Kind == wire.KindGang || w.used[j.Team]+j.CPUs > w.limit {
		return false
	}
	for _, n := range j.DependsOn {
		if !w.finished(n) {
			return false
		}
	}
	waits, zones, all := false, make(map[string]int), 0
	for i := range j.TaskCount {
		id := ledger.Task{JobID: j.ID, Index: i}
		if w.done[id] {
			continue
		}
		at := ""
		for _, f := range rooms {
			if f.tasks[id.String()] {
				at = f.h.Zone
			}
		}
		if at == "" && w.where[id] != "" {
			at = w.workers[w.where[id]].h.Zone
		}
		if at == "" {
			waits = true
			continue
		}
		zones[at]++
		all++
	}
	return waits && slices.ContainsFunc(rooms, func(f free) bool {
		z := f.h.Zone
		return f.cores >= j.CPUs && f.ram >= j.MemoryGB && (j.AllowSpot || !f.h.Spot) && (j.Zone == "" || j.Zone == z) &&
			(len(j.InstanceTypes) == 0 || slices.Contains(j.InstanceTypes, f.h.InstanceType)) &&
			(!j.SpreadZones || zones[z]+1 <= (j.TaskCount+1)/2) && (!j.SingleZone || zones[z] == all)
	})
}

// begins checks that the largest jobs, a quarter of them, began in time; run it with the
// lock held.
func (w *world) begins() {
	size := func(ref string) float64 { return float64(w.jobs[ref].TaskCount) * w.jobs[ref].CPUs }
	refs := slices.SortedFunc(maps.Keys(w.taken), func(a, b string) int { return int(100 * (size(b) - size(a))) })
	for _, ref := range refs[:len(refs)/4] {
		from, at := w.taken[ref], w.begun[ref]
		if at.IsZero() {
			at = time.Now()
		}
		if !w.asked[ref] && len(w.jobs[ref].DependsOn) == 0 && at.Sub(from) > largest {
			w.broke("largest: %s began after %v", ref, at.Sub(from))
		}
	}
}

// client is a user's, who opens a connection for each request.
func (w *world) client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: w.net.at("user").Dial, DisableKeepAlives: true}}
}

// ask sends a request to a controller, and gives the answer's status, 0 if there is none,
// and the phase that it tells.
func (w *world) ask(ctx context.Context, c *http.Client, n int, method, path string, body []byte) (status int, phase string) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+front(n)+path, bytes.NewReader(body))
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
func (w *world) strangers(ctx context.Context) {
	c := w.client()
	for i := 0; ctx.Err() == nil; i++ {
		ref := fmt.Sprintf("req-8%05d", i%7)
		status := 0
		if i%3 == 2 {
			status, _ = w.ask(ctx, c, w.intN(w.size), "POST", "/v1/jobs/"+ref+"/withdraw", nil)
		} else {
			status, _ = w.ask(ctx, c, w.intN(w.size), "GET", "/v1/jobs/"+ref, nil)
		}
		if status == http.StatusOK {
			w.mu.Lock()
			w.broke("invented: %s", ref)
			w.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(report):
		}
	}
}

// odd are bodies that can never be taken: what of a sound submission is replaced by what,
// and the answer.
var odd = []struct {
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
func soundBody(ref string) []byte {
	return fmt.Appendf(nil, `{"ref":%q,"jobclass":"c","owner":"a","rank":"standard","shape":"batch","members":2,"cores":1,"accelerators":0,"ram_gb":1,"bundle":"img","size_gb":1,`+
		`"flavors":null,"locale":null,"same_place":false,"scatter":false,"loaners":false,"expect_s":5,"snapshot_s":0,"flush_s":0,"due_s":null}`, ref)
}

// oddities has users send what can't be taken, repeat what was taken with bodies that
// can't be, and withdraw what is done, until the time is up.
func (w *world) oddities(ctx context.Context, long time.Duration) {
	c := w.client()
	end := time.Now().Add(long)
	for i := 0; ctx.Err() == nil && time.Now().Before(end); i++ {
		o := odd[i%len(odd)]
		bad := func(ref string) []byte {
			return bytes.Replace(soundBody(ref), []byte(o.old), []byte(o.new), 1)
		}
		status, _ := w.ask(ctx, c, w.intN(w.size), "POST", "/v1/jobs", bad(fmt.Sprintf("req-7%05d", i)))
		w.mu.Lock()
		if status != o.status && status != 503 && status != 0 {
			w.broke("accepted: %s was answered %d", o.name, status)
		}
		var known []string
		for ref := range w.taken {
			known = append(known, ref)
		}
		slices.Sort(known)
		w.mu.Unlock()
		if len(known) > 0 && o.old != "{" { // what is no object names no job
			ref := known[w.intN(len(known))]
			status, _ = w.ask(ctx, c, w.intN(w.size), "POST", "/v1/jobs", bad(ref))
			w.mu.Lock()
			if status != 200 && status != 503 && status != 0 {
				w.broke("forgotten: %s submitted again with %s was answered %d", ref, o.name, status)
			}
			over := w.told[ref] == wire.PhaseDone
			w.mu.Unlock()
			if over {
				if status, _ := w.ask(ctx, c, w.intN(w.size), "POST", "/v1/jobs/"+ref+"/withdraw", nil); status != 200 && status != 503 && status != 0 {
					w.mu.Lock()
					w.broke("forgotten: %s is done, and its withdrawal was answered %d", ref, status)
					w.mu.Unlock()
				}
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(report / 6):
		}
	}
}
