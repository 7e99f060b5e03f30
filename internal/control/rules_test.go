package control

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rillflow/internal/agent"
	"rillflow/internal/copies"
	"rillflow/internal/fleet"
	"rillflow/internal/history"
	"rillflow/internal/lead"
	"rillflow/internal/ledger"
	"rillflow/internal/placement"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// held stands in for a leadership that nobody contests.
type held struct{ m lead.Map }

func (t *held) Epoch() uint64          { return t.m.Epoch }
func (t *held) Map() lead.Map          { return t.m }
func (t *held) Guards() []wire.Compare { return []wire.Compare{{}} }
func (t *held) History() history.View  { return history.View{Phase: history.Whole} }
func (t *held) Over(failed []string) error {
	if lead.Deposed(failed) {
		return lead.ErrDeposed
	}
	return nil
}
func (t *held) Resigned() (time.Time, bool)               { return time.Time{}, false }
func (t *held) Before() lead.Map                          { return lead.Map{} }
func (t *held) Step(context.Context, history.Phase) error { return nil }
func (t *held) Sure(time.Time) bool                       { return true }
func (t *held) Raise(context.Context, []string) error     { return nil }

// parts learns nothing and picks nothing.
type parts struct{}

func (parts) Learn(agent.RuntimeSample) {}
func (parts) Pick(context.Context, string, placement.Offer) ([]placement.Picked, error) {
	return nil, nil
}
func (parts) Fit(have []string) []string { return have }
func (parts) Alone() (string, bool)      { return "", false }
func (parts) Refused() bool              { return false }
func (parts) Unheard() bool              { return false }

// truth is a worker as it really is.
type truth struct {
	name, zone          string
	epoch, tenure, tick uint64
	sent                time.Time // of the last answered report
	tasks               map[string]*wire.TaskStatus
	late                []wire.CommandBatch // commands held in the network
	reports             []wire.Heartbeat    // and reports
	gone                bool
}

// model drives a leader against workers, a second controller in the zone of half
// of them, and a network that loses, holds and delivers late; it checks the
// protocol's rules against what is really on the machines.
type model struct {
	t       *rapid.T
	r       *reign
	term    *held
	now     time.Time
	gen     uint64
	workers []*truth
	known   lead.Map // what the second controller knows
	old     *reign   // an earlier leader that does not know it is one
	store   map[string][]byte
	jobs    []string
	done    map[string]bool // tasks that completed
	limit   float64
	set     *settings.Settings
}

func newModel(t *rapid.T) *model {
	op, err := settings.ParseOperator(nil)
	if err != nil {
		t.Fatal(err)
	}
	m := &model{t: t, now: now, done: map[string]bool{}, store: map[string][]byte{}, limit: 5, term: &held{lead.Map{Epoch: 1, Leader: "n", Parts: []string{"m", "n"}, Near: true}}}
	m.known = m.term.m
	m.set = &settings.Settings{Node: "n", Zone: "a", Operator: op, Members: []settings.Member{{Node: "m", Zone: "b"}}, Facts: settings.Facts{
		Workers: settings.Workers{ReportS: 3, LeaseS: 30, CancelS: 50},
		Teams:   []settings.Team{{Name: "t", CPUs: m.limit, CPUsMax: m.limit}},
		State:   settings.State{TxnOps: 16, ValueKB: 16},
	}}
	for i, z := range []string{"a", "b", "a", "b"} {
		m.workers = append(m.workers, &truth{name: fmt.Sprint("i-", i), zone: z, tenure: 1, sent: now, tasks: map[string]*wire.TaskStatus{}})
	}
	for i, n := range []int{3, 2, 4} {
		ref := fmt.Sprint("req-", i)
		m.jobs = append(m.jobs, ref)
		rec := ledger.Record{Job: wire.Job{ID: ref, Team: "t", Kind: wire.KindArray, Priority: "standard", TaskCount: n, CPUs: 1, ExpectedSeconds: 5}, Chunk: 2}
		if i == 1 {
			rec.Job.Kind = wire.KindService
		}
		data, err := ledger.Encode(rec)
		if err != nil {
			t.Fatal(err)
		}
		m.store[ledger.LiveKey(ref)] = data
	}
	m.lead()
	return m
}

// lead makes a reign of what is stored, as a new leader does.
func (m *model) lead() {
	cat := fleet.NewCatalogue(nil, time.Minute, nil)
	cat.Set([]wire.InstanceType{{Name: "m", CPUs: 4, MemoryGB: 64, ImagePullGBPerSecond: 1, DiskGB: 20}})
	ready := make(chan struct{})
	close(ready)
	ctx, cancel := context.WithCancel(context.Background())
	m.t.Cleanup(cancel)
	m.r = &reign{
		Control: &Control{set: m.set, types: cat, parts: parts{}, copies: copies.New(1<<20, nil), log: slog.New(slog.NewTextHandler(io.Discard, nil)), now: func() time.Time { return m.now }},
		term:    m.term, first: m.term.m.Epoch, ready: ready, ctx: ctx, led: ledger.New("w", m.set.Facts.Teams), hosts: map[string]*agent.Worker{}, gone: map[string]time.Time{},
		listed: map[string]wire.Instance{}, quiet: newQuiet(m.set), ahead: map[string]bool{}, began: m.now, took: newLatencies(),
	}
	m.r.Control.cur.Store(m.r)
	keys := slices.Sorted(maps.Keys(m.store))
	for _, k := range keys {
		if strings.HasPrefix(k, ledger.LivePrefix) {
			if err := m.r.addJob(k, m.store[k], 1); err != nil {
				m.t.Fatal(err)
			}
		}
	}
	for _, k := range keys {
		ref, ok := ledger.ChunkRef(k)
		if !ok || !strings.HasPrefix(k, ledger.ClaimPrefix) {
			continue
		}
		if m.r.led.Job(ref) == nil {
			if err := m.r.led.AddEnded(ref, m.store[ledger.EndedKey(ref)]); err != nil {
				m.t.Fatal(err)
			}
		}
		if err := m.r.led.Load(k, m.store[k], m.gen, m.r.first-1); err != nil {
			m.t.Fatal(err)
		}
	}
	m.r.led.Loaded()
	for _, w := range m.workers {
		h := agent.NewWorker(w.name) // a late report may come of one that is gone
		h.InstanceType = "m"
		m.r.enter(h)
		m.r.own(h, m.term.m)
	}
}

// takeOver puts a new leader in place of the present one, which answers on for
// whoever has not seen the new epoch, but whose writes all fail.
func (m *model) takeOver() {
	if rapid.IntRange(0, 3).Draw(m.t, "rarely") > 0 {
		return
	}
	m.old = m.r
	m.old.term = &held{m.term.m}
	m.term = &held{lead.Map{Epoch: m.term.m.Epoch + 1, Leader: "n", Parts: m.term.m.Parts, Near: true}}
	m.lead()
}

func (m *model) worker() *truth { return rapid.SampledFrom(m.workers).Draw(m.t, "worker") }

// report is what a worker says now; its lease may be over.
func (w *truth) report() wire.Heartbeat {
	w.tick++
	r := wire.Heartbeat{Worker: w.name, Address: "x", InstanceType: "m", Zone: w.zone, Incarnation: w.tenure, Sequence: w.tick, Epoch: w.epoch}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, *t)
	}
	slices.SortFunc(r.Tasks, func(a, b wire.TaskStatus) int { return int(a.Attempt) - int(b.Attempt) })
	return r
}

// execute carries orders out and checks what a start can break.
func (m *model) execute(w *truth, os []wire.Command) {
	for _, o := range os {
		t := w.tasks[o.Task]
		switch o.Action {
		case wire.ActionStart:
			if t != nil && (t.Attempt == o.Attempt || t.Phase != wire.TaskExited) {
				continue
			}
			m.starts(w, o)
			w.tasks[o.Task] = &wire.TaskStatus{Task: o.Task, Attempt: o.Attempt, Phase: wire.PhaseRunning}
		case wire.ActionStop:
			if t != nil && t.Attempt == o.Attempt && t.Phase != wire.TaskExited {
				t.Phase, t.ExitReason = wire.TaskExited, wire.ExitStopped
			}
		case wire.ActionForget:
			if t != nil && t.Attempt == o.Attempt && t.Phase == wire.TaskExited {
				delete(w.tasks, o.Task)
			}
		}
	}
}

func (m *model) starts(w *truth, o wire.Command) {
	used := 1.0
	for _, v := range m.workers {
		for name, t := range v.tasks {
			if v.gone || t.Phase == wire.TaskExited {
				continue
			}
			used++
			if name == o.Task && v != w {
				m.t.Fatalf("ran_twice: %s starts on %s while on %s", name, w.name, v.name)
			}
		}
	}
	if used > m.limit {
		m.t.Fatalf("quota: %v of %v", used, m.limit)
	}
}

// answered is a 200 to a report that was sent at a time.
func (m *model) answered(w *truth, r wire.Heartbeat, out wire.CommandBatch) {
	if w.gone || w.tenure != r.Incarnation || out.Epoch < w.epoch {
		return
	}
	w.epoch, w.sent = out.Epoch, m.now
	m.execute(w, out.Commands)
}

// leader has the leader answer a report, which may come from the past.
func (m *model) leader(r wire.Heartbeat) (wire.CommandBatch, error) {
	out, _, err := m.r.Control.Beat(context.Background(), &r)
	return out, err
}

// beat reports to the owner as far as the network lets it: to the leader itself, to
// the second controller that asks the leader, or to that one behind a cut, which
// then answers its own and its zone's workers under the map that it knows.
func (m *model) beat() {
	for _, w := range m.workers {
		if !w.gone && rapid.IntRange(0, 2).Draw(m.t, "now") > 0 {
			m.beatOf(w, rapid.SampledFrom([]string{"leader", "leader", "asks", "asks", "cut", "held", "old"}).Draw(m.t, "way"))
		}
	}
}

// cutOff plays a cut of the second controller's zone: for some time it alone answers
// there, while the leader hears the rest and goes on with its work. It may have
// noticed that the other is gone, and once it is over it asks the workers.
func (m *model) cutOff() {
	if rapid.Bool().Draw(m.t, "noticed") {
		m.term.m = lead.Map{Epoch: m.term.m.Epoch + 1, Leader: "n", Parts: []string{"n"}, Near: true}
		for _, h := range m.r.hosts {
			m.r.own(h, m.term.m)
		}
	}
	defer func() {
		for _, w := range m.workers {
			m.pollOf(w)
		}
		m.r.expire(m.now)
	}()
	for range rapid.IntRange(2, 8).Draw(m.t, "beats") {
		m.pass(rapid.IntRange(4, 7).Draw(m.t, "seconds"))
		m.place()
		m.write()
		for _, w := range m.workers {
			switch {
			case w.gone:
			case w.zone == "b":
				m.beatOf(w, "cut")
			default:
				m.beatOf(w, "leader")
				m.beatOf(w, "asks")
			}
		}
	}
}

func (m *model) beatOf(w *truth, way string) {
	r := w.report()
	lost := rapid.IntRange(0, 4).Draw(m.t, "answer lost") == 0
	var out wire.CommandBatch
	err := errors.New("nobody")
	switch way {
	case "leader":
		if m.term.m.Owner(w.name) == "n" {
			out, err = m.leader(r)
		}
	case "asks":
		if m.known.Owner(w.name) == "m" && r.Epoch <= m.known.Epoch {
			out, err = m.leader(r)
		}
	case "cut":
		mine := m.known.Owner(w.name) == "m" || m.known.Near && w.zone == "b" && slices.Contains(m.known.Parts, "m")
		if mine && r.Epoch <= m.known.Epoch {
			out, err = wire.CommandBatch{Epoch: m.known.Epoch}, nil
		}
	case "old":
		if m.old != nil {
			out, _, err = m.old.Control.Beat(context.Background(), &r)
		}
	case "held":
		w.reports = append(w.reports, r)
	}
	if err == nil && !lost {
		m.answered(w, r, out)
	}
}

// lateReport delivers a report of the past, whose answer the worker drops.
func (m *model) lateReport() {
	w := m.worker()
	if len(w.reports) == 0 || m.term.m.Owner(w.name) != "n" {
		return
	}
	r := w.reports[0]
	w.reports = w.reports[1:]
	_, _ = m.leader(r)
}

// command sends what is due straight to a worker.
func (m *model) command() {
	w := m.worker()
	h := m.r.hosts[w.name]
	if h == nil || h.Incarnation == 0 || h.CommandInFlight {
		return
	}
	epoch := m.term.Epoch()
	os := h.Commands(m.r.led.OnHost(w.name), epoch, false)
	if len(os) == 0 {
		return
	}
	o := wire.CommandBatch{Epoch: epoch, Incarnation: h.Incarnation, Commands: os}
	if rapid.Bool().Draw(m.t, "held") {
		w.late = append(w.late, o)
		h.UnresolvedEpoch = max(h.UnresolvedEpoch, epoch)
		return
	}
	m.do(w, o)
}

// do is a direct command that arrives; the report after it may be lost.
func (m *model) do(w *truth, o wire.CommandBatch) {
	if w.gone || o.Epoch < w.epoch || o.Incarnation != w.tenure {
		return
	}
	w.epoch = o.Epoch
	m.execute(w, o.Commands)
	if r := w.report(); rapid.Bool().Draw(m.t, "seen") {
		m.r.report(&r)
	}
}

func (m *model) lateCommand() {
	w := m.worker()
	if len(w.late) > 0 {
		o := w.late[0]
		w.late = w.late[1:]
		m.do(w, o)
	}
}

// poll shows a worker the epoch and takes in its report.
func (m *model) poll() { m.pollOf(m.worker()) }

func (m *model) pollOf(w *truth) {
	if w.gone {
		return
	}
	r := w.report()
	m.r.report(&r)
	m.do(w, wire.CommandBatch{Epoch: m.term.Epoch(), Incarnation: w.tenure})
}

// place claims a task for a host that may take it.
func (m *model) place() {
	j := m.r.led.Job(rapid.SampledFrom(m.jobs).Draw(m.t, "job"))
	w := m.worker()
	room := m.r.room(m.r.hosts[w.name], m.now)
	for range rapid.IntRange(1, 4).Draw(m.t, "tasks") {
		if j != nil && room != nil && room.fits(j) {
			m.r.claim(room, j)
		}
	}
}

func (m *model) write() {
	b := m.r.led.Next(ledger.Limits{Ops: rapid.IntRange(3, 16).Draw(m.t, "ops"), Bytes: 1 << 16, Value: 1 << 14}, m.now)
	if b == nil {
		return
	}
	for _, g := range b.Guards { // the live key of a withdrawn job is gone
		if _, ok := m.store[g.Key]; !ok && strings.HasPrefix(g.Key, ledger.LivePrefix) {
			m.r.led.Failed(b)
			return
		}
	}
	if rapid.IntRange(0, 3).Draw(m.t, "fate") == 0 {
		m.r.led.Failed(b)
		return
	}
	m.gen++
	for _, c := range b.Apply {
		if c.Put != "" {
			m.store[c.Put] = c.Value
		}
		delete(m.store, c.Delete)
	}
	if rapid.IntRange(0, 5).Draw(m.t, "answer lost") == 0 {
		// The leader dies without knowing that it was applied.
		m.old = nil
		m.term = &held{lead.Map{Epoch: m.term.m.Epoch + 1, Leader: "n", Parts: m.term.m.Parts, Near: true}}
		m.lead()
		return
	}
	for _, j := range m.r.led.Committed(b, m.gen+10).Ended {
		for i := range j.Spec.TaskCount {
			if name := (ledger.Task{Ref: j.Ref, Index: i}).String(); !m.done[name] {
				m.t.Fatalf("not_done: %s is over without %s", j.Ref, name)
			}
		}
	}
}

// raise moves the epoch on, with the second controller an owner or not.
func (m *model) raise() {
	ps := []string{"m", "n"}
	if rapid.Bool().Draw(m.t, "alone") {
		ps = ps[1:]
	}
	m.term.m = lead.Map{Epoch: m.term.m.Epoch + 1, Leader: "n", Parts: ps, Near: true}
	for _, h := range m.r.hosts {
		m.r.own(h, m.term.m)
	}
}

func (m *model) learn() { m.known = m.term.m }

// pass lets time pass; a worker's clock may be slow by one part in 2,000.
func (m *model) wait() { m.pass(rapid.SampledFrom([]int{1, 1, 2, 2, 3, 8, 32}).Draw(m.t, "seconds")) }

func (m *model) pass(seconds int) {
	m.now = m.now.Add(time.Duration(seconds) * time.Second)
	for _, w := range m.workers {
		if m.now.Sub(w.sent) > 30*time.Second+15*time.Millisecond {
			w.tasks, w.sent = map[string]*wire.TaskStatus{}, m.now
			w.tenure++
		}
	}
	m.r.expire(m.now)
}

func (m *model) finish() {
	w := m.worker()
	for _, name := range slices.Sorted(func(yield func(string) bool) {
		for n := range w.tasks {
			if !yield(n) {
				return
			}
		}
	}) {
		if t := w.tasks[name]; t.Phase == wire.PhaseRunning && !w.gone {
			t.Phase, t.ExitReason = wire.TaskExited, wire.ExitDone
			m.done[name] = true
			return
		}
	}
}

func (m *model) withdraw() {
	if rapid.IntRange(0, 9).Draw(m.t, "rarely") == 0 {
		ref := rapid.SampledFrom(m.jobs).Draw(m.t, "job")
		if data, ok := m.store[ledger.LiveKey(ref)]; ok {
			rec, err := ledger.DecodeRecord(data)
			if err != nil {
				m.t.Fatal(err)
			}
			end, err := ledger.Encode(ledger.WithdrawnEnding(&rec, m.now))
			if err != nil {
				m.t.Fatal(err)
			}
			delete(m.store, ledger.LiveKey(ref))
			m.store[ledger.EndedKey(ref)] = end
			m.r.withdraw(ref)
		}
	}
}

// giveBack returns what the leader finds faulty: the cloud takes it at once.
func (m *model) giveBack() {
	for _, name := range m.r.faulty(m.now) {
		for _, w := range m.workers {
			if w.name == name {
				w.gone = true
			}
		}
		m.r.gone[name] = m.now
		for _, c := range m.r.led.OnHost(name) {
			m.r.lost(c, "machine returned")
		}
		if h := m.r.hosts[name]; h != nil {
			m.r.leave(h)
		}
	}
}

// Whatever is lost, held or late, and whoever answers behind a cut, no task is on
// two machines, no team is over its limit, and nothing is done that is not.
func TestRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		step := func(f func()) func(*rapid.T) { return func(rt *rapid.T) { m.t = rt; f() } }
		beat, place, write, command := step(m.beat), step(m.place), step(m.write), step(m.command)
		t.Repeat(map[string]func(*rapid.T){
			"beat": beat, "beat again": beat, "beat once more": beat, "place": place, "place again": place, "write": write, "write again": write,
			"command": command, "late command": step(m.lateCommand), "late report": step(m.lateReport), "poll": step(m.poll), "raise": step(m.raise),
			"learn": step(m.learn), "wait": step(m.wait), "wait again": step(m.wait), "finish": step(m.finish), "withdraw": step(m.withdraw), "return": step(m.giveBack), "take over": step(m.takeOver), "cut off": step(m.cutOff),
		})
	})
}

// TestMain has the property tests draw the same cases every time unless told
// otherwise: -rapid.seed and -rapid.checks search further.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		f.Value.Set("7")
		flag.Set("rapid.steps", "80")
	}
	os.Exit(m.Run())
}
