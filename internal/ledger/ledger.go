// Package ledger is the leader's account of jobs and claims. It is pure: it
// decides what may be claimed and what must be written, and leaves the writing
// to its caller. A claim stands from before a launch until there is proof that
// the task is gone, and all that time it counts in its team's quota.
package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/bits"
	"slices"
	"strconv"
	"time"

	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// Task names one task of a job.
type Task struct {
	Ref   string
	Index int
}

// String is the task's name on the wire.
func (t Task) String() string { return t.Ref + "/" + strconv.Itoa(t.Index) }

// ParseTask reads a task's name.
func ParseTask(s string) (Task, bool) {
	for i := len(s) - 1; i > 0; i-- {
		if s[i] == '/' {
			n, err := strconv.Atoi(s[i+1:])
			return Task{s[:i], n}, err == nil && n >= 0
		}
	}
	return Task{}, false
}

// Held is a claim with what its holder knows of it.
type Held struct {
	Claim
	Job       *Job
	Index     int
	Committed bool      // durable: it may be launched
	Sent      bool      // a launch may have left this or an earlier leader
	SentEpoch uint64    // the highest epoch of such a launch
	Over      bool      // finished; kept until that is durable
	Running   time.Time // first seen running
	Stopping  bool      // a stop was decided
	Told      bool      // the audit record has it, or a block under way; the caller's
	// Unsure is a claim of a history that was lost, until its worker shows the task.
	Unsure bool
}

// Task is the claimed task.
func (h *Held) Task() Task { return Task{h.Job.Ref, h.Index} }

// Job is a job that is not over, or is withdrawn and not yet gone.
type Job struct {
	Ref       string
	Spec      wire.Job
	At        time.Time // when it was submitted, by the clock of the node that accepted it
	From      time.Time // the same by this node's clock, as near as is known
	Came      bool      // this node saw it come: it was not there when it began
	Withdrawn bool
	// WithdrawnAt is when its user may first have been told that it is; the
	// caller sets it for jobs withdrawn later. Zero: not known.
	WithdrawnAt time.Time
	Finished    bool // all tasks done; not yet durable

	size    int // tasks per chunk
	stamp   uint64
	chunks  map[int]*chunk
	claims  map[int]*Held
	zones   map[string]int // claims by zone
	cursor  int            // tasks from here on were never claimed
	requeue []int          // tasks to be claimed again
	done    int

	// Origin is who submitted it, where that is kept, and Told whether the audit
	// record has it; the caller's.
	Origin *Origin
	Told   bool

	// ReadyAt is since when it waits for no other job.
	ReadyAt time.Time
	// Lift is what it has from the jobs that need it; the caller's, and nil
	// whenever those have changed.
	Lift   *Lift
	over   bool            // read as done; only its chunks are left
	needs  map[string]bool // jobs not yet known to be done
	doomed string          // a job it needs, if that was withdrawn

	// RetryAt holds the job back after failures; the caller sets it.
	RetryAt  time.Time
	Fails    int             // failures in a row
	FailedOn map[string]bool // hosts where a task failed
	// Ran is how long its finished tasks ran that were seen running; the
	// caller's too.
	Ran Mean
	// Type is the job's type for the placement rule; the caller's too.
	Type string
	// PreemptAt is when others may next be stopped for it; the caller's too.
	PreemptAt time.Time
	// Waiting is since when a task of it waits.
	WaitingSince time.Time
}

// Mean is a sum with the number of its terms.
type Mean struct {
	Sum float64
	N   int
}

// Done counts finished tasks.
func (j *Job) Done() int { return j.done }

// Active counts claims.
func (j *Job) Active() int { return len(j.claims) }

// Unfinished counts tasks that are not done.
func (j *Job) Unfinished() int { return j.Spec.TaskCount - j.done }

// WaitingTasks counts tasks without a claim.
func (j *Job) WaitingTasks() int {
	if j.Withdrawn || j.Finished || !j.Ready() {
		return 0
	}
	return j.Spec.TaskCount - j.cursor + len(j.requeue)
}

// Gang tells whether the job's tasks start together or not at all.
func (j *Job) Gang() bool { return j.Spec.Kind == wire.KindGang }

// Usage is what a team's claims take.
type Usage struct{ CPUs, GPUs float64 }

// Ledger is the account. It is not safe for concurrent use.
type Ledger struct {
	writer string // marks this leader's writes
	writes uint64
	teams  map[string]settings.Team
	usage  map[string]*Usage
	jobs   map[string]*Job
	hosts  map[string]*onHost
	dirty  []dirtyChunk // in order of need

	needers map[string][]*Job // by the job that they need
	doomed  []*Job            // to be withdrawn

	base     uint64 // new chunks give out tries above it
	reserved Usage  // for tasks of jobs that nothing is known of
}

type dirtyChunk struct {
	job *Job
	n   int
}

// Amount is what tasks take of a machine.
type Amount struct{ Cores, Accel, RAM float64 }

func (a *Amount) add(s *wire.Job, n float64) {
	a.Cores += n * s.CPUs
	a.Accel += n * s.GPUs
	a.RAM += n * s.MemoryGB
}

// onHost are a host's claims, with what those take that are not over.
type onHost struct {
	claims map[Task]*Held
	used   Amount
}

// New makes an empty ledger whose writes carry the writer's mark.
func New(writer string, teams []settings.Team) *Ledger {
	l := &Ledger{
		writer: writer,
		teams:  make(map[string]settings.Team),
		usage:  make(map[string]*Usage),
		jobs:   make(map[string]*Job),
		hosts:  make(map[string]*onHost),

		needers: make(map[string][]*Job),
	}
	for _, t := range teams {
		l.teams[t.Name] = t
		l.usage[t.Name] = &Usage{}
	}
	return l
}

// Job finds a job.
func (l *Ledger) Job(ref string) *Job { return l.jobs[ref] }

// Jobs are all jobs, by reference. The map is the ledger's own: do not change it.
func (l *Ledger) Jobs() map[string]*Job { return l.jobs }

// Usage is what a team's claims take.
func (l *Ledger) Usage(team string) Usage {
	if u := l.usage[team]; u != nil {
		return *u
	}
	return Usage{}
}

// Team finds a team.
func (l *Ledger) Team(name string) settings.Team { return l.teams[name] }

// OnHost are the claims on a host. The map is the ledger's own.
func (l *Ledger) OnHost(host string) map[Task]*Held {
	if o := l.hosts[host]; o != nil {
		return o.claims
	}
	return nil
}

// Used is what the claims on a host take of it. A task that is over takes
// nothing, though its claim stands until that is durable.
func (l *Ledger) Used(host string) Amount {
	if o := l.hosts[host]; o != nil {
		return o.used
	}
	return Amount{}
}

// ClaimedHosts are all hosts with a claim.
func (l *Ledger) ClaimedHosts() []string {
	var hs []string
	for h := range l.hosts {
		hs = append(hs, h)
	}
	slices.Sort(hs)
	return hs
}

// Add takes in a job read from the state service. A known job is left alone.
func (l *Ledger) Add(ref string, rec Record, stamp uint64) *Job {
	if j := l.jobs[ref]; j != nil {
		return j
	}
	j := &Job{
		Ref: ref, Spec: rec.Job, Origin: rec.Origin, At: time.UnixMilli(rec.AtMS), stamp: stamp, size: max(1, rec.Chunk),
		chunks: make(map[int]*chunk), claims: make(map[int]*Held), zones: make(map[string]int),
	}
	j.From, j.WaitingSince, j.ReadyAt = j.At, j.At, j.At
	l.jobs[ref] = j
	l.await(j)
	return j
}

// Arrive notes that a job was seen to come at a time. All that is counted from its
// submission counts from then: the clock of the node that accepted it may be off by more
// than what its users wait for.
func (j *Job) Arrive(at time.Time) {
	j.Came, j.From = true, at
	if j.ReadyAt.Equal(j.At) {
		j.WaitingSince, j.ReadyAt = at, at
	}
}

// Load takes in a stored chunk of a job already added. Its claims may have
// been launched by an earlier leader, under an epoch of at most the one given.
func (l *Ledger) Load(key string, data []byte, stamp, epoch uint64) error {
	ref, n, ok := parseChunkKey(key)
	j := l.jobs[ref]
	if !ok || j == nil {
		return fmt.Errorf("ledger: no job for %s", key)
	}
	c, err := decodeChunk(data, stamp)
	if err != nil {
		return fmt.Errorf("ledger: %s: %w", key, err)
	}
	if j.over {
		// All its tasks are done, also those that an earlier leader had no
		// time to note here. Nor is it known where such a claim belongs: the
		// ending of a job that is done did not tell the size of its chunks.
		clear(c.claims)
	}
	j.chunks[n] = c
	j.Told = j.Told || c.block != 0
	j.done += c.done.count()
	base := n * j.size
	for i, cl := range c.claims {
		l.hold(&Held{Claim: cl, Job: j, Index: base + i, Committed: true, Sent: true, SentEpoch: epoch, Told: true})
	}
	return nil
}

// ChunkRef is the job that a chunk's key belongs to.
func ChunkRef(key string) (string, bool) {
	ref, _, ok := parseChunkKey(key)
	return ref, ok
}

// Loaded is called once all chunks are loaded: it finds what still waits.
func (l *Ledger) Loaded() {
	for _, j := range l.jobs {
		last := -1
		for n, c := range j.chunks {
			for i := range c.claims {
				last = max(last, n*j.size+i)
			}
			for b := len(c.done) - 1; b >= 0; b-- {
				if c.done[b] != 0 {
					last = max(last, n*j.size+b*8+bits.Len8(c.done[b])-1)
					break
				}
			}
		}
		j.cursor = min(last+1, j.Spec.TaskCount)
		for i := range j.cursor {
			if j.claims[i] == nil && !j.isDone(i) {
				j.requeue = append(j.requeue, i)
			}
		}
		l.checkFinished(j)
	}
	l.tidy()
}

func (j *Job) isDone(i int) bool {
	c := j.chunks[i/j.size]
	return c != nil && c.done.has(i%j.size)
}

func (l *Ledger) hold(h *Held) {
	j := h.Job
	j.claims[h.Index] = h
	j.zones[h.Zone]++
	o := l.hosts[h.Host]
	if o == nil {
		o = &onHost{claims: make(map[Task]*Held)}
		l.hosts[h.Host] = o
	}
	o.claims[h.Task()] = h
	o.used.add(&j.Spec, 1)
	l.spend(j, 1)
}

// spend accounts for a number of the job's tasks with its team.
func (l *Ledger) spend(j *Job, n float64) {
	if u := l.usage[j.Spec.Team]; u != nil {
		u.CPUs += n * j.Spec.CPUs
		u.GPUs += n * j.Spec.GPUs
	}
}

func (l *Ledger) unhold(h *Held) {
	j := h.Job
	delete(j.claims, h.Index)
	if j.zones[h.Zone]--; j.zones[h.Zone] == 0 {
		delete(j.zones, h.Zone)
	}
	o := l.hosts[h.Host]
	delete(o.claims, h.Task())
	if !h.Over {
		o.used.add(&j.Spec, -1)
		l.spend(j, -1)
	}
	if len(o.claims) == 0 {
		delete(l.hosts, h.Host)
	}
	c := j.chunks[h.Index/j.size]
	delete(c.claims, h.Index%j.size)
	if !h.Committed {
		c.fresh--
	}
	l.touch(j, h.Index/j.size)
}

func (l *Ledger) touch(j *Job, n int) {
	c := j.chunks[n]
	if !c.dirty {
		c.dirty = true
		l.dirty = append(l.dirty, dirtyChunk{j, n})
	}
}

// Reasons why a task may not be claimed now.
var (
	ErrNoTask = errors.New("ledger: no task waits")
	ErrQuota  = errors.New("ledger: the team is at its limit")
	ErrPlace  = errors.New("ledger: the place is not allowed")
)

// slack forgives the rounding of sums of decimal amounts; limits are given in
// far coarser steps.
const slack = 1e-6

// May tells whether one more task of the job may be claimed in a zone.
func (l *Ledger) May(j *Job, zone string) error {
	if j.WaitingTasks() == 0 {
		return ErrNoTask
	}
	t, u := l.teams[j.Spec.Team], l.usage[j.Spec.Team]
	if u == nil || u.CPUs+l.reserved.CPUs+j.Spec.CPUs > t.CPUsMax+slack || u.GPUs+l.reserved.GPUs+j.Spec.GPUs > t.GPUsMax+slack {
		return ErrQuota
	}
	if j.Spec.Zone != "" && j.Spec.Zone != zone {
		return ErrPlace
	}
	// Both spreads are kept against every claim, also those whose task's
	// fate is unknown: such a task may still be on its machine.
	if j.Spec.SpreadZones && j.zones[zone]+1 > (j.Spec.TaskCount+1)/2 {
		return ErrPlace
	}
	if j.Spec.SingleZone && len(j.claims) > j.zones[zone] {
		return ErrPlace
	}
	return nil
}

// Headroom is how many more tasks of the job its team's limit allows.
func (l *Ledger) Headroom(j *Job) int {
	t, u := l.teams[j.Spec.Team], l.usage[j.Spec.Team]
	if u == nil {
		return 0
	}
	n := j.Spec.TaskCount
	if j.Spec.CPUs > 0 {
		n = min(n, int((t.CPUsMax-u.CPUs-l.reserved.CPUs+slack)/j.Spec.CPUs))
	}
	if j.Spec.GPUs > 0 {
		n = min(n, int((t.GPUsMax-u.GPUs-l.reserved.GPUs+slack)/j.Spec.GPUs))
	}
	return max(n, 0)
}

// ZoneRoom is how many more tasks of the job a zone may take.
func (l *Ledger) ZoneRoom(j *Job, zone string) int {
	n := j.Spec.TaskCount
	if j.Spec.Zone != "" && j.Spec.Zone != zone || j.Spec.SingleZone && len(j.claims) > j.zones[zone] {
		return 0
	}
	if j.Spec.SpreadZones {
		n = (j.Spec.TaskCount+1)/2 - j.zones[zone]
	}
	return n
}

// InZone is how many of the job's claims are in a zone.
func (j *Job) InZone(zone string) int { return j.zones[zone] }

// MayAll tells whether all waiting tasks of a gang are within its team's limit,
// and none of an earlier start is left.
func (l *Ledger) MayAll(j *Job) bool {
	t, u := l.teams[j.Spec.Team], l.usage[j.Spec.Team]
	n := float64(j.WaitingTasks())
	return n > 0 && len(j.claims) == 0 && u != nil &&
		u.CPUs+l.reserved.CPUs+n*j.Spec.CPUs <= t.CPUsMax+slack && u.GPUs+l.reserved.GPUs+n*j.Spec.GPUs <= t.GPUsMax+slack
}

// Guaranteed tells whether one more task is within its team's guarantee.
func (l *Ledger) Guaranteed(j *Job) bool {
	t, u := l.teams[j.Spec.Team], l.usage[j.Spec.Team]
	return u != nil && u.CPUs+j.Spec.CPUs <= t.CPUs+slack && u.GPUs+j.Spec.GPUs <= t.GPUs+slack
}

// Claim claims the job's next task for a host. The claim must be committed
// before the task is launched.
func (l *Ledger) Claim(j *Job, host string, tenure uint64, zone string) (*Held, error) {
	if err := l.May(j, zone); err != nil {
		return nil, err
	}
	var i int
	if n := len(j.requeue); n > 0 {
		i = j.requeue[n-1]
		j.requeue = j.requeue[:n-1]
	} else {
		i = j.cursor
		j.cursor++
	}
	n := i / j.size
	c := j.chunks[n]
	if c == nil {
		c = &chunk{seq: l.base, claims: make(map[int]Claim)}
		j.chunks[n] = c
	}
	// A try is never used twice, whatever became of the last. The members of
	// a gang find one another by having the same.
	if j.Gang() {
		c.seq = j.round(l.base)
	} else {
		c.seq++
	}
	h := &Held{Claim: Claim{Host: host, Tenure: tenure, Try: c.seq, Zone: zone}, Job: j, Index: i}
	c.claims[i%j.size] = h.Claim
	c.fresh++
	l.hold(h)
	l.touch(j, n)
	return h, nil
}

// round is the try of a gang's next claim: that of the members claimed already,
// or a new one for the first.
func (j *Job) round(base uint64) uint64 {
	for _, h := range j.claims {
		return h.Try
	}
	top := base
	for _, c := range j.chunks {
		top = max(top, c.seq)
	}
	return top + 1
}

// Free gives a claim up on proof that its task is gone, and lets the task be
// claimed again.
func (l *Ledger) Free(h *Held, now time.Time) {
	j := h.Job
	if j.claims[h.Index] != h || h.Over {
		return
	}
	l.unhold(h)
	if j.WaitingTasks() == 0 {
		j.WaitingSince = now
	}
	j.requeue = append(j.requeue, h.Index)
}

// Finish notes a finished task. The claim stays until the finish is durable, so
// that the worker is not told to forget it before; but the task is surely gone
// from its machine, so it takes no more of it, nor of its team's limit.
func (l *Ledger) Finish(h *Held) {
	j := h.Job
	if j.claims[h.Index] != h || h.Over {
		return
	}
	h.Over = true
	l.hosts[h.Host].used.add(&j.Spec, -1)
	l.spend(j, -1)
	j.done++
	c := j.chunks[h.Index/j.size]
	c.done.set(h.Index % j.size)
	delete(c.claims, h.Index%j.size)
	l.touch(j, h.Index/j.size)
	l.checkFinished(j)
}

func (l *Ledger) checkFinished(j *Job) {
	if !j.Withdrawn && j.Spec.Kind != wire.KindService && j.done >= j.Spec.TaskCount && !j.Finished {
		j.Finished = true
		for n := range j.chunks {
			l.touch(j, n)
		}
	}
}

// Withdraw notes that a job was withdrawn. Claims that were surely never
// launched are freed; the rest stand until proof.
func (l *Ledger) Withdraw(ref string) {
	j := l.jobs[ref]
	if j == nil || j.Withdrawn {
		return
	}
	j.Withdrawn = true
	j.Finished = false
	l.forsake(j)
	for _, h := range j.claims {
		// A finish that was still to be written is proof that the task
		// is gone; the finish itself no longer matters.
		if h.Over || !h.Committed && !h.Sent && !j.chunks[h.Index/j.size].flying() {
			l.unhold(h)
		}
	}
	for n := range j.chunks {
		l.touch(j, n)
	}
	l.drop(j)
}

// drop forgets a withdrawn job of which nothing is left, here or stored.
func (l *Ledger) drop(j *Job) {
	if !j.Withdrawn || len(j.claims) > 0 {
		return
	}
	for _, c := range j.chunks {
		if c.stamp != 0 || c.flying() {
			return
		}
	}
	delete(l.jobs, j.Ref)
}

// HeldBy are a job's claims.
func (l *Ledger) HeldBy(j *Job) []*Held {
	hs := make([]*Held, 0, len(j.claims))
	for _, h := range j.claims {
		hs = append(hs, h)
	}
	return hs
}

// AddEnded takes in a job that is over but of which claims are stored.
func (l *Ledger) AddEnded(ref string, data []byte) error {
	var e Ending
	if err := json.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("ledger: %s: %w", ref, err)
	}
	j := l.Add(ref, Record{Job: e.Job, Chunk: e.Chunk}, 0)
	j.Withdrawn = true
	if e.AtMS > 0 {
		j.WithdrawnAt = time.UnixMilli(e.AtMS)
	}
	j.over = e.Phase == wire.PhaseDone
	return nil
}

// tidy has the chunks removed of jobs that are over and hold no claim.
func (l *Ledger) tidy() {
	for _, j := range l.jobs {
		if !j.Withdrawn {
			continue
		}
		for n, c := range j.chunks {
			if len(c.claims) == 0 {
				l.touch(j, n)
			}
		}
	}
}
