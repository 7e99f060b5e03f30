// Package recovery puts the history of jobs and claims together from what is left of it:
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
package recovery

import (
	"encoding/json"
	"slices"
	"strings"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// Value is a key with its value, and its stamp where the state service holds it.
type Value struct {
	Key         string
	Data        []byte
	ModRevision uint64
}

// Source is one account of what was stored. In Store the stamps count.
type Source struct {
	Values    []Value
	FromStore bool
}

// Write is a change to the state service: Data nil removes the key. The guard on the
// key is its Stamp, 0 for one that is not there.
type Write struct {
	Value
	IsLive bool // it is of a job that is alive, and goes before ends
}

// Result is what was put together.
type Result struct {
	LiveJobs []Value // records of jobs that are not over
	Chunks   []Value // of these, and of withdrawn jobs that may have tasks somewhere
	Ends     map[string][]byte
	Writes   []Write // what makes the state service hold it, most needed first
	// Damaged are keys whose value could not be read in any source, Orphans jobs of
	// which there are claims but no record anywhere.
	Damaged, OrphanedJobs []string
	// Recovered counts jobs, ends and claims that the state service did not hold.
	Recovered Counts
}

// Counts is a number of each.
type Counts struct{ Jobs, Ends, Claims int }

// accounts is all accounts of one job.
type accounts struct {
	recordData  []byte
	record      *ledger.JobRecord
	endData     []byte
	end         *ledger.EndRecord
	tasks       map[int]taskAccount
	lastAttempt uint64 // last try given out, of any chunk
	block       uint64
}

// taskAccount is what is known of one task.
type taskAccount struct {
	done  bool
	claim *ledger.ClaimRecord
}

// Merge puts sources together. The first that has an end decides it, so what users
// were told first goes first. Values have at most limit bytes; the writer's mark is on
// every chunk that is written, and its next try is above base: so that no try comes
// again that was given out in the part that was lost.
func Merge(sources []Source, writer string, attemptBase uint64, maxValueBytes int) (Result, error) {
	merged := merger{jobs: make(map[string]*accounts), stored: make(map[string]Value), unreadable: make(map[string]bool), chunkSizes: make(map[string]int)}
	for _, source := range sources {
		merged.addRecords(source)
	}
	for _, source := range sources {
		merged.addChunks(source)
	}
	return merged.buildResult(writer, attemptBase, maxValueBytes)
}

type merger struct {
	jobs       map[string]*accounts
	stored     map[string]Value
	unreadable map[string]bool // keys that could not be read somewhere
	chunkSizes map[string]int  // of chunks, by job
}

func (m *merger) accountsOf(jobID string) *accounts {
	j := m.jobs[jobID]
	if j == nil {
		j = &accounts{tasks: make(map[int]taskAccount)}
		m.jobs[jobID] = j
	}
	return j
}

// addRecords takes in jobs and ends.
func (m *merger) addRecords(source Source) {
	for _, value := range source.Values {
		if source.FromStore {
			m.stored[value.Key] = value
		}
		if jobID, ok := strings.CutPrefix(value.Key, ledger.LivePrefix); ok {
			record, err := ledger.DecodeJobRecord(value.Data)
			if err != nil || record.Job.ID != jobID || record.Job.TaskCount <= 0 {
				m.unreadable[value.Key] = true
				continue
			}
			if j := m.accountsOf(jobID); j.record == nil {
				j.record, j.recordData = &record, value.Data
			}
			continue
		}
		if jobID, ok := strings.CutPrefix(value.Key, ledger.EndedPrefix); ok {
			var end ledger.EndRecord
			if err := json.Unmarshal(value.Data, &end); err != nil || end.Phase != wire.PhaseDone && end.Phase != wire.PhaseCancelled {
				m.unreadable[value.Key] = true
				continue
			}
			if j := m.accountsOf(jobID); j.end == nil {
				j.end, j.endData = &end, value.Data
			}
		}
	}
}

// chunkSize is how many tasks share a chunk of a job in a source: as its own record says,
// or any.
func chunkSize(j *accounts) int {
	switch {
	case j.record != nil:
		return j.record.ChunkSize()
	case j.end != nil && j.end.ChunkTasks > 0:
		return j.end.ChunkTasks
	}
	return 0
}

// addChunks takes in claims and finishes. Chunks of a source count by that source's own
// record: the same job may have been laid out twice.
func (m *merger) addChunks(source Source) {
	clear(m.chunkSizes)
	for _, value := range source.Values {
		if jobID, ok := strings.CutPrefix(value.Key, ledger.LivePrefix); ok {
			if rec, err := ledger.DecodeJobRecord(value.Data); err == nil {
				m.chunkSizes[jobID] = rec.ChunkSize()
			}
		}
	}
	for _, value := range source.Values {
		jobID, n, ok := ledger.ParseChunkKey(value.Key)
		if !ok {
			continue
		}
		chunk, err := ledger.DecodeChunkRecord(value.Data)
		if err != nil {
			m.unreadable[value.Key] = true
			continue
		}
		j := m.accountsOf(jobID)
		size := m.chunkSizes[jobID]
		if size == 0 {
			size = chunkSize(j)
		}
		if size == 0 {
			continue // nothing tells which tasks these are: workers do
		}
		j.lastAttempt, j.block = max(j.lastAttempt, chunk.LastAttempt), max(j.block, chunk.AuditBlock)
		for i := range chunk.Done {
			t := j.tasks[n*size+i]
			t.done = true
			j.tasks[n*size+i] = t
		}
		for i, claim := range chunk.Claims {
			t := j.tasks[n*size+i]
			if t.claim == nil || claim.Attempt > t.claim.Attempt {
				t.claim = &claim
			}
			j.tasks[n*size+i] = t
		}
	}
}

func (m *merger) buildResult(writer string, attemptBase uint64, maxValueBytes int) (Result, error) {
	r := Result{Ends: make(map[string][]byte)}
	jobIDs := make([]string, 0, len(m.jobs))
	for jobID := range m.jobs {
		jobIDs = append(jobIDs, jobID)
	}
	slices.Sort(jobIDs)
	readable := make(map[string]bool) // keys with a value that could be read
	for _, jobID := range jobIDs {
		j := m.jobs[jobID]
		live, ended := ledger.LiveKey(jobID), ledger.EndedKey(jobID)
		readable[live], readable[ended] = j.record != nil || j.end != nil, j.end != nil
		switch {
		case j.end != nil:
			r.Ends[jobID] = j.endData
			alive, back := m.stored[live]
			if had, ok := m.stored[ended]; !ok || string(had.Data) != string(j.endData) {
				r.addWrite(ended, j.endData, had.ModRevision, back)
				r.Recovered.Ends++
			}
			if back {
				r.addWrite(live, nil, alive.ModRevision, true)
			}
		case j.record == nil:
			r.OrphanedJobs = append(r.OrphanedJobs, jobID)
			continue
		default:
			had, ok := m.stored[live]
			if !ok || string(had.Data) != string(j.recordData) {
				r.addWrite(live, j.recordData, had.ModRevision, true)
				r.Recovered.Jobs++
			}
			r.LiveJobs = append(r.LiveJobs, Value{live, j.recordData, had.ModRevision})
		}
		if err := m.addChunkWrites(&r, jobID, j, writer, attemptBase, maxValueBytes); err != nil {
			return r, err
		}
	}
	for k := range m.unreadable {
		if jobID, _, ok := ledger.ParseChunkKey(k); ok {
			readable[k] = readable[k] || slices.ContainsFunc(r.Chunks, func(v Value) bool { return v.Key == k }) || readable[ledger.EndedKey(jobID)]
		}
		if !readable[k] {
			r.Damaged = append(r.Damaged, k)
		}
	}
	for k, v := range m.stored {
		// A claim without its job serves nobody: machines tell what they have.
		if jobID, _, ok := ledger.ParseChunkKey(k); ok && slices.Contains(r.OrphanedJobs, jobID) {
			r.addWrite(k, nil, v.ModRevision, true)
		}
	}
	slices.Sort(r.Damaged)
	r.orderWrites()
	return r, nil
}

func (r *Result) addWrite(key string, data []byte, modRevision uint64, isLive bool) {
	r.Writes = append(r.Writes, Write{Value{key, data, modRevision}, isLive})
}

// addChunkWrites gives a job's chunks as they are to be stored.
func (m *merger) addChunkWrites(r *Result, jobID string, j *accounts, writer string, attemptBase uint64, maxValueBytes int) error {
	size := chunkSize(j)
	if size == 0 || j.end != nil && j.end.Phase == wire.PhaseDone {
		return nil // what is left of a job that is done is tidied as ever
	}
	chunks := make(map[int]ledger.ChunkRecord)
	for i, t := range j.tasks {
		n := i / size
		c, ok := chunks[n]
		if !ok {
			c = ledger.ChunkRecord{LastAttempt: j.lastAttempt, AuditBlock: j.block, Done: make(map[int]bool), Claims: make(map[int]ledger.ClaimRecord)}
			chunks[n] = c
		}
		switch {
		case t.done:
			c.Done[i%size] = true
		case t.claim != nil:
			c.Claims[i%size] = *t.claim
		}
	}
	numbers := make([]int, 0, len(chunks))
	for n := range chunks {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	for _, n := range numbers {
		c, key := chunks[n], ledger.ChunkKey(jobID, n)
		had, ok := m.stored[key]
		if ok {
			if s, err := ledger.DecodeChunkRecord(had.Data); err == nil && sameTasks(s, c) {
				r.Chunks = append(r.Chunks, had)
				continue
			}
		}
		c.LastAttempt = max(c.LastAttempt, attemptBase)
		data, err := c.Encode(writer, maxValueBytes)
		if err != nil {
			return err
		}
		r.Recovered.Claims += len(c.Claims)
		r.Chunks = append(r.Chunks, Value{key, data, had.ModRevision})
		r.addWrite(key, data, had.ModRevision, true)
	}
	return nil
}

// sameTasks tells whether a stored chunk says all that is known of its tasks.
func sameTasks(stored, merged ledger.ChunkRecord) bool {
	if len(stored.Done) != len(merged.Done) || len(stored.Claims) != len(merged.Claims) {
		return false
	}
	for i := range merged.Done {
		if !stored.Done[i] {
			return false
		}
	}
	for i, claim := range merged.Claims {
		if stored.Claims[i] != claim {
			return false
		}
	}
	return true
}

// orderWrites puts first what is needed most: jobs and claims, then what takes jobs away,
// then ends.
func (r *Result) orderWrites() {
	slices.SortStableFunc(r.Writes, func(a, b Write) int {
		switch {
		case a.IsLive == b.IsLive:
			return 0
		case a.IsLive:
			return -1
		}
		return 1
	})
}
