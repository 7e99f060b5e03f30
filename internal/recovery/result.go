package recovery

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// buildResult adds each job to the result as ended, live or orphaned.
func (m *merger) buildResult() error {
	for _, jobID := range m.sortedJobs() {
		job := m.jobs[jobID]
		m.readable[ledger.LiveKey(jobID)] = job.record != nil || job.end != nil
		m.readable[ledger.EndedKey(jobID)] = job.end != nil
		switch {
		case job.end != nil:
			m.addEnd(jobID, job)
		case job.record != nil:
			m.addLiveJob(jobID, job)
		default:
			m.result.OrphanedJobs = append(m.result.OrphanedJobs, jobID)
			continue
		}
		if err := m.addJobChunks(jobID, job); err != nil {
			return err
		}
	}
	m.findDamaged()
	m.deleteOrphanedChunks()
	m.result.orderWrites()
	return nil
}

// addEnd adds an ended job. If the store still holds it as a live one, the writes of its end
// are as urgent as those of live jobs.
func (m *merger) addEnd(jobID string, job *jobEvidence) {
	m.result.Ends[jobID] = job.endData
	liveKey, endedKey := ledger.LiveKey(jobID), ledger.EndedKey(jobID)
	live, isLive := m.stored[liveKey]
	if stored, ok := m.stored[endedKey]; !ok || !bytes.Equal(stored.Data, job.endData) {
		m.write(Value{endedKey, job.endData, stored.ModRevision}, isLive)
		m.result.Recovered.Ends++
	}
	if isLive {
		m.write(Value{liveKey, nil, live.ModRevision}, true)
	}
}

// addLiveJob adds a job that has not ended.
func (m *merger) addLiveJob(jobID string, job *jobEvidence) {
	key := ledger.LiveKey(jobID)
	stored, ok := m.stored[key]
	record := Value{key, job.recordData, stored.ModRevision}
	if !ok || !bytes.Equal(stored.Data, job.recordData) {
		m.write(record, true)
		m.result.Recovered.Jobs++
	}
	m.result.LiveJobs = append(m.result.LiveJobs, record)
}

// addJobChunks adds the chunks that the store should hold of a job.
func (m *merger) addJobChunks(jobID string, job *jobEvidence) error {
	size := job.chunkSize()
	if size == 0 || job.end != nil && job.end.Phase == wire.PhaseDone {
		return nil // garbage collection removes the chunks of a finished job
	}
	chunks := job.chunks(size)
	for _, number := range slices.Sorted(maps.Keys(chunks)) {
		if err := m.addChunkRecord(ledger.ChunkKey(jobID, number), chunks[number]); err != nil {
			return err
		}
	}
	return nil
}

func (m *merger) addChunkRecord(key string, chunk ledger.ChunkRecord) error {
	stored, ok := m.stored[key]
	if ok {
		if record, err := ledger.DecodeChunkRecord(stored.Data); err == nil && sameTasks(record, chunk) {
			m.result.Chunks = append(m.result.Chunks, stored)
			return nil
		}
	}
	chunk.LastAttempt = max(chunk.LastAttempt, m.attemptBase)
	data, err := chunk.Encode(m.writer, m.maxValueBytes)
	if err != nil {
		return fmt.Errorf("recovery: encode %s: %w", key, err)
	}
	m.result.Recovered.Claims += len(chunk.Claims)
	value := Value{key, data, stored.ModRevision}
	m.result.Chunks = append(m.result.Chunks, value)
	m.write(value, true)
	return nil
}

// findDamaged lists the keys whose value could not be decoded in any source. A chunk does
// not count if it was reconstructed or if its job has ended.
func (m *merger) findDamaged() {
	for _, chunk := range m.result.Chunks {
		m.readable[chunk.Key] = true
	}
	for key := range m.unreadable {
		jobID, _, isChunk := ledger.ParseChunkKey(key)
		if m.readable[key] || isChunk && m.readable[ledger.EndedKey(jobID)] {
			continue
		}
		m.result.Damaged = append(m.result.Damaged, key)
	}
	slices.Sort(m.result.Damaged)
}

// deleteOrphanedChunks deletes the stored chunks of jobs without a record. Their claims are
// not needed: workers report the tasks that they run.
func (m *merger) deleteOrphanedChunks() {
	for key, value := range m.stored {
		if jobID, _, ok := ledger.ParseChunkKey(key); ok && slices.Contains(m.result.OrphanedJobs, jobID) {
			m.write(Value{key, nil, value.ModRevision}, true)
		}
	}
}

func (m *merger) write(value Value, isLive bool) {
	m.result.Writes = append(m.result.Writes, Write{value, isLive})
}

// orderWrites puts the writes of live jobs first.
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
