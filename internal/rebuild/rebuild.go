// Package rebuild puts the history of jobs and claims together from what is left of it:
// what the state service still holds, copies in memory, snapshots. It is pure: it
// decides by proof, never by hope, and leaves reading and writing to its caller.
//
//	                 proves                               does not prove
//	an end           the job is over, for good            -
//	a withdrawal     as an end; it beats a claim          that its tasks are gone
//	a finish         the task is done, for good           -
//	a claim          the task may be where it says, and   that it is there; that no later
//	                 no earlier try is anywhere           try was given out
//	a job's record   it was accepted                      that it is not over
//	a missing key    nothing                              that it never was
package rebuild

import (
	"encoding/json"
	"slices"
	"strings"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// Value is a key with its value, and its stamp where the state service holds it.
type Value struct {
	Key   string
	Data  []byte
	Stamp uint64
}

// Source is one account of what was stored. In Store the stamps count.
type Source struct {
	Values []Value
	Store  bool
}

// Write is a change to the state service: Data nil removes the key. The guard on the
// key is its Stamp, 0 for one that is not there.
type Write struct {
	Value
	Task bool // it is of a job that is alive, and goes before ends
}

// Result is what was put together.
type Result struct {
	Live   []Value // records of jobs that are not over
	Chunks []Value // of these, and of withdrawn jobs that may have tasks somewhere
	Ends   map[string][]byte
	Writes []Write // what makes the state service hold it, most needed first
	// Damaged are keys whose value could not be read in any source, Orphans jobs of
	// which there are claims but no record anywhere.
	Damaged, Orphans []string
	// Regained counts jobs, ends and claims that the state service did not hold.
	Regained Count
}

// Count is a number of each.
type Count struct{ Jobs, Ends, Claims int }

// job is all accounts of one job.
type job struct {
	record []byte
	rec    *ledger.JobRecord
	ending []byte
	end    *ledger.EndRecord
	tasks  map[int]task
	seq    uint64 // last try given out, of any chunk
	block  uint64
}

// task is what is known of one task.
type task struct {
	done  bool
	claim *ledger.ClaimRecord
}

// Merge puts sources together. The first that has an end decides it, so what users
// were told first goes first. Values have at most limit bytes; the writer's mark is on
// every chunk that is written, and its next try is above base: so that no try comes
// again that was given out in the part that was lost.
func Merge(sources []Source, writer string, base uint64, limit int) (Result, error) {
	m := merger{jobs: make(map[string]*job), store: make(map[string]Value), bad: make(map[string]bool), size: make(map[string]int)}
	for _, s := range sources {
		m.records(s)
	}
	for _, s := range sources {
		m.chunks(s)
	}
	return m.result(writer, base, limit)
}

type merger struct {
	jobs  map[string]*job
	store map[string]Value
	bad   map[string]bool // keys that could not be read somewhere
	size  map[string]int  // of chunks, by job
}

func (m *merger) job(ref string) *job {
	j := m.jobs[ref]
	if j == nil {
		j = &job{tasks: make(map[int]task)}
		m.jobs[ref] = j
	}
	return j
}

// records takes in jobs and ends.
func (m *merger) records(s Source) {
	for _, v := range s.Values {
		if s.Store {
			m.store[v.Key] = v
		}
		if ref, ok := strings.CutPrefix(v.Key, ledger.LivePrefix); ok {
			rec, err := ledger.DecodeJobRecord(v.Data)
			if err != nil || rec.Job.ID != ref || rec.Job.TaskCount <= 0 {
				m.bad[v.Key] = true
				continue
			}
			if j := m.job(ref); j.rec == nil {
				j.rec, j.record = &rec, v.Data
			}
			continue
		}
		if ref, ok := strings.CutPrefix(v.Key, ledger.EndedPrefix); ok {
			var e ledger.EndRecord
			if err := json.Unmarshal(v.Data, &e); err != nil || e.Phase != wire.PhaseDone && e.Phase != wire.PhaseCancelled {
				m.bad[v.Key] = true
				continue
			}
			if j := m.job(ref); j.end == nil {
				j.end, j.ending = &e, v.Data
			}
		}
	}
}

// sizeOf is how many tasks share a chunk of a job in a source: as its own record says,
// or any.
func sizeOf(j *job) int {
	switch {
	case j.rec != nil:
		return j.rec.ChunkSize()
	case j.end != nil && j.end.ChunkTasks > 0:
		return j.end.ChunkTasks
	}
	return 0
}

// chunks takes in claims and finishes. Chunks of a source count by that source's own
// record: the same job may have been laid out twice.
func (m *merger) chunks(s Source) {
	clear(m.size)
	for _, v := range s.Values {
		if ref, ok := strings.CutPrefix(v.Key, ledger.LivePrefix); ok {
			if rec, err := ledger.DecodeJobRecord(v.Data); err == nil {
				m.size[ref] = rec.ChunkSize()
			}
		}
	}
	for _, v := range s.Values {
		ref, n, ok := ledger.ParseChunkKey(v.Key)
		if !ok {
			continue
		}
		c, err := ledger.DecodeChunkRecord(v.Data)
		if err != nil {
			m.bad[v.Key] = true
			continue
		}
		j := m.job(ref)
		size := m.size[ref]
		if size == 0 {
			size = sizeOf(j)
		}
		if size == 0 {
			continue // nothing tells which tasks these are: workers do
		}
		j.seq, j.block = max(j.seq, c.LastAttempt), max(j.block, c.AuditBlock)
		for i := range c.Done {
			t := j.tasks[n*size+i]
			t.done = true
			j.tasks[n*size+i] = t
		}
		for i, cl := range c.Claims {
			t := j.tasks[n*size+i]
			if t.claim == nil || cl.Attempt > t.claim.Attempt {
				t.claim = &cl
			}
			j.tasks[n*size+i] = t
		}
	}
}

func (m *merger) result(writer string, base uint64, limit int) (Result, error) {
	r := Result{Ends: make(map[string][]byte)}
	refs := make([]string, 0, len(m.jobs))
	for ref := range m.jobs {
		refs = append(refs, ref)
	}
	slices.Sort(refs)
	read := make(map[string]bool) // keys with a value that could be read
	for _, ref := range refs {
		j := m.jobs[ref]
		live, ended := ledger.LiveKey(ref), ledger.EndedKey(ref)
		read[live], read[ended] = j.rec != nil || j.end != nil, j.end != nil
		switch {
		case j.end != nil:
			r.Ends[ref] = j.ending
			alive, back := m.store[live]
			if had, ok := m.store[ended]; !ok || string(had.Data) != string(j.ending) {
				r.write(ended, j.ending, had.Stamp, back)
				r.Regained.Ends++
			}
			if back {
				r.write(live, nil, alive.Stamp, true)
			}
		case j.rec == nil:
			r.Orphans = append(r.Orphans, ref)
			continue
		default:
			had, ok := m.store[live]
			if !ok || string(had.Data) != string(j.record) {
				r.write(live, j.record, had.Stamp, true)
				r.Regained.Jobs++
			}
			r.Live = append(r.Live, Value{live, j.record, had.Stamp})
		}
		if err := m.layout(&r, ref, j, writer, base, limit); err != nil {
			return r, err
		}
	}
	for k := range m.bad {
		if ref, _, ok := ledger.ParseChunkKey(k); ok {
			read[k] = read[k] || slices.ContainsFunc(r.Chunks, func(v Value) bool { return v.Key == k }) || read[ledger.EndedKey(ref)]
		}
		if !read[k] {
			r.Damaged = append(r.Damaged, k)
		}
	}
	for k, v := range m.store {
		// A claim without its job serves nobody: machines tell what they have.
		if ref, _, ok := ledger.ParseChunkKey(k); ok && slices.Contains(r.Orphans, ref) {
			r.write(k, nil, v.Stamp, true)
		}
	}
	slices.Sort(r.Damaged)
	r.order()
	return r, nil
}

func (r *Result) write(key string, data []byte, stamp uint64, task bool) {
	r.Writes = append(r.Writes, Write{Value{key, data, stamp}, task})
}

// layout gives a job's chunks as they are to be stored.
func (m *merger) layout(r *Result, ref string, j *job, writer string, base uint64, limit int) error {
	size := sizeOf(j)
	if size == 0 || j.end != nil && j.end.Phase == wire.PhaseDone {
		return nil // what is left of a job that is done is tidied as ever
	}
	by := make(map[int]ledger.ChunkRecord)
	for i, t := range j.tasks {
		n := i / size
		c, ok := by[n]
		if !ok {
			c = ledger.ChunkRecord{LastAttempt: j.seq, AuditBlock: j.block, Done: make(map[int]bool), Claims: make(map[int]ledger.ClaimRecord)}
			by[n] = c
		}
		switch {
		case t.done:
			c.Done[i%size] = true
		case t.claim != nil:
			c.Claims[i%size] = *t.claim
		}
	}
	ns := make([]int, 0, len(by))
	for n := range by {
		ns = append(ns, n)
	}
	slices.Sort(ns)
	for _, n := range ns {
		c, key := by[n], ledger.ChunkKey(ref, n)
		had, ok := m.store[key]
		if ok {
			if s, err := ledger.DecodeChunkRecord(had.Data); err == nil && same(s, c) {
				r.Chunks = append(r.Chunks, had)
				continue
			}
		}
		c.LastAttempt = max(c.LastAttempt, base)
		data, err := c.Encode(writer, limit)
		if err != nil {
			return err
		}
		r.Regained.Claims += len(c.Claims)
		r.Chunks = append(r.Chunks, Value{key, data, had.Stamp})
		r.write(key, data, had.Stamp, true)
	}
	return nil
}

// same tells whether a stored chunk says all that is known of its tasks.
func same(s, c ledger.ChunkRecord) bool {
	if len(s.Done) != len(c.Done) || len(s.Claims) != len(c.Claims) {
		return false
	}
	for i := range c.Done {
		if !s.Done[i] {
			return false
		}
	}
	for i, cl := range c.Claims {
		if s.Claims[i] != cl {
			return false
		}
	}
	return true
}

// order puts first what is needed most: jobs and claims, then what takes jobs away,
// then ends.
func (r *Result) order() {
	slices.SortStableFunc(r.Writes, func(a, b Write) int {
		switch {
		case a.Task == b.Task:
			return 0
		case a.Task:
			return -1
		}
		return 1
	})
}
