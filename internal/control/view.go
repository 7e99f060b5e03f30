package control

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rillflow/internal/ledger"
)

// latencies keeps how long things took, in milliseconds.
type latencies struct {
	start *hdrhistogram.Histogram // from ready to running
}

func newLatencies() *latencies {
	return &latencies{start: hdrhistogram.New(1, int64(time.Hour/time.Millisecond), 2)}
}

// Counts are a job's tasks for display.
type Counts struct{ Done, Running int }

// Counts tells a live job's counts if this controller leads.
//
// ErrNotLeading: another may know. ErrUnheard: machines that were not heard yet may.
func (c *Control) Counts(ref string) (n Counts, known bool, err error) {
	r := c.cur.Load()
	if r == nil {
		return Counts{}, false, ErrNotLeading
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.led.Job(ref)
	if j == nil {
		running, ok := r.traced(ref)
		if !ok && r.term.History().Lost && !r.heardOf(r.now()) {
			return Counts{}, false, ErrUnheard
		}
		return Counts{Running: running}, ok, nil
	}
	for _, h := range r.led.HeldBy(j) {
		if !h.Running.IsZero() && !h.Over {
			n.Running++
		}
	}
	n.Done = j.Done()
	return n, true, nil
}

// View is the operator's look at the leader.
type View struct {
	Epoch  uint64      `json:"epoch"`
	Jobs   int         `json:"jobs"`
	Claims int         `json:"claims"`
	Hosts  []HostView  `json:"hosts"`
	Queues []QueueView `json:"queues"`
	// Waiting are jobs that wait for others, the first of them.
	Waiting []WaitingView    `json:"waiting,omitempty"`
	Start   map[string]int64 `json:"start_ms"`
	Rebuilt *RebuiltView     `json:"rebuilt,omitempty"`
}

// RebuiltView tells of data that the state service lost, and what became of it.
type RebuiltView struct {
	Jobs     int      `json:"Jobs"` // that it did not hold
	Ends     int      `json:"Ends"`
	Claims   int      `json:"Claims"`
	Writes   int      `json:"Writes"` // changes to store them again
	Written  int      `json:"Written"`
	DurableS float64  `json:"durable_s"` // from the start of the term until all that is alive was stored
	PlacingS float64  `json:"placing_s"` // until tasks were placed again
	Unheard  []string `json:"unheard,omitempty"`
	Missing  []string `json:"missing_peers,omitempty"`
	Damaged  []string `json:"damaged_keys,omitempty"`
	Orphans  []string `json:"claims_without_job,omitempty"`
	Machines []string `json:"known_only_from_machines,omitempty"`
}

// WaitingView is a job that waits for others.
type WaitingView struct {
	Job     string   `json:"job"`
	Class   string   `json:"class"`
	WaitsOn []string `json:"waits_on"`
}

// maxWaiting bounds the waiting jobs in a view.
const maxWaiting = 256

// HostView is one machine.
type HostView struct {
	Name    string  `json:"name"`
	Flavor  string  `json:"flavor"`
	Zone    string  `json:"zone"`
	Loaners bool    `json:"loaners"`
	Claims  int     `json:"claims"`
	SilentS float64 `json:"silent_s"`
	Bad     bool    `json:"bad,omitempty"`
}

// QueueView is one type's queue.
type QueueView struct {
	Type       string `json:"type"`
	Unfinished int    `json:"unfinished"`
	Waiting    int    `json:"waiting"`
}

// View is a snapshot, or nil if this controller does not lead.
func (c *Control) View() *View {
	r := c.cur.Load()
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	v := &View{Epoch: r.term.Epoch(), Jobs: len(r.led.Jobs()), Start: map[string]int64{}}
	for _, h := range r.sorted {
		hv := HostView{Name: h.Name, Flavor: h.InstanceType, Zone: h.Zone, Loaners: h.Spot, Claims: len(r.led.OnHost(h.Name)), Bad: r.badHost(h), SilentS: -1}
		if !h.LastHeartbeat.IsZero() {
			hv.SilentS = now.Sub(h.LastHeartbeat).Seconds()
		}
		v.Claims += hv.Claims
		v.Hosts = append(v.Hosts, hv)
	}
	v.Rebuilt = r.rebuilt()
	byType := map[string]*QueueView{}
	for _, j := range r.led.Jobs() {
		name := r.typeOf(j)
		if byType[name] == nil {
			byType[name] = &QueueView{Type: name}
		}
		byType[name].Unfinished += j.Unfinished()
		byType[name].Waiting += j.WaitingTasks()
	}
	for _, q := range byType {
		v.Queues = append(v.Queues, *q)
	}
	for _, j := range r.led.Waiting() {
		if len(v.Waiting) == maxWaiting {
			break
		}
		v.Waiting = append(v.Waiting, WaitingView{Job: j.Ref, Class: j.Spec.Class, WaitsOn: j.WaitsOn()})
	}
	for _, p := range []float64{50, 90, 99} {
		v.Start[map[float64]string{50: "p50", 90: "p90", 99: "p99"}[p]] = r.took.start.ValueAtQuantile(p)
	}
	return v
}

// rebuilt shows what was lost, if anything was.
func (r *reign) rebuilt() *RebuiltView {
	b := r.back
	if b == nil && len(r.traces) == 0 {
		return nil
	}
	v := &RebuiltView{}
	for ref, x := range r.traces {
		if !x.over {
			v.Machines = append(v.Machines, ref)
		}
	}
	slices.Sort(v.Machines)
	if b == nil {
		return v
	}
	v.Jobs, v.Ends, v.Claims = b.count.Jobs, b.count.Ends, b.count.Claims
	v.Written, v.Writes = b.wrote, b.wrote+len(b.writes)
	v.Missing, v.Damaged, v.Orphans = b.missing, b.damaged, b.orphans
	if !b.durable.IsZero() {
		v.DurableS = b.durable.Sub(r.began).Seconds()
	}
	if !b.released.IsZero() {
		v.PlacingS = b.released.Sub(r.began).Seconds()
	} else if b.all {
		v.Unheard = r.unheard()
	}
	return v
}

// observe notes how long a task waited to run.
func (l *latencies) observe(h *ledger.Held, now time.Time) {
	// Only a value out of range is refused; such a wait is of no use here.
	_ = l.start.RecordValue(now.Sub(h.Job.ReadyAt).Milliseconds())
}
