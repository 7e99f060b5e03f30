package recovery

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// Value is a key with its value, and its mod revision if the store holds it.
type Value struct {
	Key         string
	Data        []byte
	ModRevision uint64
}

// Source is one account of what was stored.
type Source struct {
	Values    []Value
	FromStore bool // it is what the store holds now: its mod revisions count
}

// Write is an operation that the store needs. Data nil deletes the key. ModRevision is
// what the operation must be guarded by: that of the key now, 0 if there is no such key.
type Write struct {
	Value
	IsLive bool // it concerns a live job, and goes before ends
}

// Result is what was reconstructed.
type Result struct {
	LiveJobs []Value           // records of the jobs that have not ended
	Chunks   []Value           // of these jobs, and of cancelled ones that may have tasks somewhere
	Ends     map[string][]byte // by job
	Writes   []Write           // that make the store hold all this, the most urgent first
	// Damaged are the keys whose value could not be read in any source.
	Damaged []string
	// OrphanedJobs are the jobs of which there are claims, but no record anywhere.
	OrphanedJobs []string
	// Recovered counts what the store did not hold.
	Recovered Counts
}

// Counts counts jobs, ended jobs and claims.
type Counts struct{ Jobs, Ends, Claims int }

// Merge reconstructs records from sources. Where sources hold different ends of a job the
// first decides, so that the source of what users were told must come first. No value is
// written with more than maxValueBytes. Every chunk written carries the writer's mark, and
// its next attempt is above attemptBase, so that no attempt number of the lost part is
// given out again.
func Merge(sources []Source, writer string, attemptBase uint64, maxValueBytes int) (Result, error) {
	m := merger{
		writer: writer, attemptBase: attemptBase, maxValueBytes: maxValueBytes,
		jobs:       make(map[string]*account),
		stored:     make(map[string]Value),
		unreadable: make(map[string]bool),
		readable:   make(map[string]bool),
		result:     Result{Ends: make(map[string][]byte)},
	}
	for _, source := range sources {
		m.addRecords(source)
	}
	for _, source := range sources {
		m.addChunks(source)
	}
	err := m.buildResult()
	return m.result, err
}

// merger is the state of one call of Merge.
type merger struct {
	writer        string
	attemptBase   uint64
	maxValueBytes int

	jobs       map[string]*account // by job
	stored     map[string]Value    // what the store holds, by key
	unreadable map[string]bool     // keys with a value that could not be read
	readable   map[string]bool     // keys with a value that could be read, or is not needed
	result     Result
}

// account is all that the sources tell of one job.
type account struct {
	recordData  []byte
	record      *ledger.JobRecord
	endData     []byte
	end         *ledger.EndRecord
	tasks       map[int]taskAccount // by index
	lastAttempt uint64              // given out, of any chunk
	auditBlock  uint64
}

// taskAccount is all that the sources tell of one task.
type taskAccount struct {
	done  bool
	claim *ledger.ClaimRecord
}

// chunkSize returns how many tasks share a chunk of the job, or 0 if nothing tells.
func (a *account) chunkSize() int {
	switch {
	case a.record != nil:
		return a.record.ChunkSize()
	case a.end != nil && a.end.ChunkTasks > 0:
		return a.end.ChunkTasks
	}
	return 0
}

func (m *merger) accountOf(jobID string) *account {
	job := m.jobs[jobID]
	if job == nil {
		job = &account{tasks: make(map[int]taskAccount)}
		m.jobs[jobID] = job
	}
	return job
}

// addRecords takes in the jobs and ends of a source.
func (m *merger) addRecords(source Source) {
	for _, value := range source.Values {
		if source.FromStore {
			m.stored[value.Key] = value
		}
		if jobID, ok := strings.CutPrefix(value.Key, ledger.LivePrefix); ok {
			m.addJobRecord(jobID, value)
		} else if jobID, ok := strings.CutPrefix(value.Key, ledger.EndedPrefix); ok {
			m.addEndRecord(jobID, value)
		}
	}
}

func (m *merger) addJobRecord(jobID string, value Value) {
	record, err := ledger.DecodeJobRecord(value.Data)
	if err != nil || record.Job.ID != jobID || record.Job.TaskCount <= 0 {
		m.unreadable[value.Key] = true
		return
	}
	if job := m.accountOf(jobID); job.record == nil {
		job.record, job.recordData = &record, value.Data
	}
}

func (m *merger) addEndRecord(jobID string, value Value) {
	var end ledger.EndRecord
	err := json.Unmarshal(value.Data, &end)
	if err != nil || end.Phase != wire.PhaseDone && end.Phase != wire.PhaseCancelled {
		m.unreadable[value.Key] = true
		return
	}
	if job := m.accountOf(jobID); job.end == nil {
		job.end, job.endData = &end, value.Data
	}
}

// addChunks takes in the claims and finished tasks of a source. How a source lays tasks
// out in chunks is told by that source's own job record first: a job may have been laid
// out twice.
func (m *merger) addChunks(source Source) {
	sizes := chunkSizes(source)
	for _, value := range source.Values {
		jobID, number, ok := ledger.ParseChunkKey(value.Key)
		if !ok {
			continue
		}
		chunk, err := ledger.DecodeChunkRecord(value.Data)
		if err != nil {
			m.unreadable[value.Key] = true
			continue
		}
		job := m.accountOf(jobID)
		size := sizes[jobID]
		if size == 0 {
			size = job.chunkSize()
		}
		if size == 0 {
			continue // nothing tells which tasks these are: the workers' heartbeats will
		}
		job.addChunk(chunk, number*size)
	}
}

// chunkSizes returns how many tasks share a chunk, for each job of which a source has the
// record.
func chunkSizes(source Source) map[string]int {
	sizes := make(map[string]int)
	for _, value := range source.Values {
		if jobID, ok := strings.CutPrefix(value.Key, ledger.LivePrefix); ok {
			if record, err := ledger.DecodeJobRecord(value.Data); err == nil {
				sizes[jobID] = record.ChunkSize()
			}
		}
	}
	return sizes
}

// addChunk takes in a chunk whose first task has a given index. Of two claims of a task
// the one with the later attempt counts.
func (a *account) addChunk(chunk ledger.ChunkRecord, first int) {
	a.lastAttempt = max(a.lastAttempt, chunk.LastAttempt)
	a.auditBlock = max(a.auditBlock, chunk.AuditBlock)
	for i := range chunk.Done {
		task := a.tasks[first+i]
		task.done = true
		a.tasks[first+i] = task
	}
	for i, claim := range chunk.Claims {
		task := a.tasks[first+i]
		if task.claim == nil || claim.Attempt > task.claim.Attempt {
			task.claim = &claim
		}
		a.tasks[first+i] = task
	}
}

// chunks lays the job's tasks out in chunks of a size, by number.
func (a *account) chunks(size int) map[int]ledger.ChunkRecord {
	chunks := make(map[int]ledger.ChunkRecord)
	for index, task := range a.tasks {
		chunk, ok := chunks[index/size]
		if !ok {
			chunk = ledger.ChunkRecord{
				LastAttempt: a.lastAttempt, AuditBlock: a.auditBlock,
				Done: make(map[int]bool), Claims: make(map[int]ledger.ClaimRecord),
			}
			chunks[index/size] = chunk
		}
		switch {
		case task.done:
			chunk.Done[index%size] = true
		case task.claim != nil:
			chunk.Claims[index%size] = *task.claim
		}
	}
	return chunks
}

// sameTasks reports whether a stored chunk says all that is known of its tasks.
func sameTasks(stored, merged ledger.ChunkRecord) bool {
	return maps.Equal(stored.Done, merged.Done) && maps.Equal(stored.Claims, merged.Claims)
}

// sortedJobs returns the jobs that any source tells of.
func (m *merger) sortedJobs() []string { return slices.Sorted(maps.Keys(m.jobs)) }
