package recovery

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// Value is a key with its value and, if the store holds it, its mod revision.
type Value struct {
	Key         string
	Data        []byte
	ModRevision uint64
}

// Source is one copy of the stored records: the store itself, a replica or a snapshot.
type Source struct {
	Values    []Value
	FromStore bool // these are the present contents of the store, with valid mod revisions
}

// Write is an operation to be committed to the store. Data nil deletes the key. ModRevision
// is the key's present mod revision, 0 if the key does not exist; the caller must guard the
// operation with a compare of it.
type Write struct {
	Value
	// IsLive is false only for the end record of a job that the store does not hold as live.
	// Such writes come last.
	IsLive bool
}

// Result holds the reconstructed records.
type Result struct {
	LiveJobs []Value           // records of the jobs that have not ended
	Chunks   []Value           // of the live jobs, and of cancelled ones that may have running tasks
	Ends     map[string][]byte // by job
	Writes   []Write           // that bring the store to this state, the most urgent first
	// Damaged are the keys whose value could not be decoded in any source.
	Damaged []string
	// OrphanedJobs are the jobs with claims but without a record in any source.
	OrphanedJobs []string
	// Recovered counts the records that the store did not hold.
	Recovered Counts
}

// Counts holds numbers of jobs, ended jobs and claims.
type Counts struct{ Jobs, Ends, Claims int }

// Merge reconstructs the records from all sources. If sources hold different ends of a job,
// the first source prevails; the one with the ends reported to users must therefore come
// first. No written value exceeds maxValueBytes. Every written chunk names the writer, and
// its next attempt is above attemptBase, so that no attempt number of the lost records is
// assigned again.
func Merge(sources []Source, writer string, attemptBase uint64, maxValueBytes int) (Result, error) {
	m := merger{
		writer: writer, attemptBase: attemptBase, maxValueBytes: maxValueBytes,
		jobs:       make(map[string]*jobEvidence),
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

	jobs       map[string]*jobEvidence // by job
	stored     map[string]Value        // contents of the store, by key
	unreadable map[string]bool         // keys with a value that could not be decoded in some source
	readable   map[string]bool         // keys with a value that was decoded from some source or is not needed
	result     Result
}

// jobEvidence combines the records of one job from all sources.
type jobEvidence struct {
	recordData  []byte
	record      *ledger.JobRecord
	endData     []byte
	end         *ledger.EndRecord
	tasks       map[int]taskEvidence // by index
	lastAttempt uint64               // the highest attempt number assigned in any chunk
	auditBlock  uint64
}

// taskEvidence combines the records of one task from all sources.
type taskEvidence struct {
	done  bool
	claim *ledger.ClaimRecord
}

// chunkSize returns the number of tasks per chunk of the job, or 0 if it is unknown.
func (e *jobEvidence) chunkSize() int {
	switch {
	case e.record != nil:
		return e.record.ChunkSize()
	case e.end != nil && e.end.ChunkTasks > 0:
		return e.end.ChunkTasks
	}
	return 0
}

func (m *merger) evidenceOf(jobID string) *jobEvidence {
	job := m.jobs[jobID]
	if job == nil {
		job = &jobEvidence{tasks: make(map[int]taskEvidence)}
		m.jobs[jobID] = job
	}
	return job
}

// addRecords adds the job and end records of a source.
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
	if job := m.evidenceOf(jobID); job.record == nil {
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
	if job := m.evidenceOf(jobID); job.end == nil {
		job.end, job.endData = &end, value.Data
	}
}

// addChunks adds the claims and finished tasks of a source. The chunk size of a job is taken
// from the same source's job record, if it has one: sources may hold chunks of the same job
// with different sizes.
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
		job := m.evidenceOf(jobID)
		size := sizes[jobID]
		if size == 0 {
			size = job.chunkSize()
		}
		if size == 0 {
			continue // the task indexes are unknown; the workers' heartbeats will report the tasks
		}
		job.addChunk(chunk, number*size)
	}
}

// chunkSizes returns the number of tasks per chunk for each job that a source has a record
// of.
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

// addChunk adds a chunk whose first task has the index firstIndex. Of two claims of a task
// the one with the later attempt prevails.
func (e *jobEvidence) addChunk(chunk ledger.ChunkRecord, firstIndex int) {
	e.lastAttempt = max(e.lastAttempt, chunk.LastAttempt)
	e.auditBlock = max(e.auditBlock, chunk.AuditBlock)
	for i := range chunk.Done {
		task := e.tasks[firstIndex+i]
		task.done = true
		e.tasks[firstIndex+i] = task
	}
	for i, claim := range chunk.Claims {
		task := e.tasks[firstIndex+i]
		if task.claim == nil || claim.Attempt > task.claim.Attempt {
			task.claim = &claim
		}
		e.tasks[firstIndex+i] = task
	}
}

// chunks returns the job's tasks as chunk records of the given size, by chunk number.
func (e *jobEvidence) chunks(size int) map[int]ledger.ChunkRecord {
	chunks := make(map[int]ledger.ChunkRecord)
	for index, task := range e.tasks {
		chunk, ok := chunks[index/size]
		if !ok {
			chunk = ledger.ChunkRecord{
				LastAttempt: e.lastAttempt, AuditBlock: e.auditBlock,
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

// sameTasks reports whether a stored chunk has the same finished tasks and claims as the
// merged one.
func sameTasks(stored, merged ledger.ChunkRecord) bool {
	return maps.Equal(stored.Done, merged.Done) && maps.Equal(stored.Claims, merged.Claims)
}

// sortedJobs returns the IDs of all jobs found in any source, sorted.
func (m *merger) sortedJobs() []string { return slices.Sorted(maps.Keys(m.jobs)) }
