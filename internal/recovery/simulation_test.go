package recovery

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rillflow/internal/ledger"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// groundTruth is the simulated history of jobs, with the store's contents after each step.
type groundTruth struct {
	ended  map[string]string             // phase of the end, by job
	done   map[string]bool               // tasks
	latest map[string]ledger.ClaimRecord // present claim, by task
	states []map[string][]byte           // contents of the store after each step
	jobs   []string
}

// simulation runs jobs with the real job table, so that the store's contents are those that
// a leader writes.
type simulation struct {
	t        *rapid.T
	truth    *groundTruth
	table    *ledger.Table
	stored   map[string][]byte
	revision uint64
	now      time.Time
}

func simulateHistory(t *rapid.T) *groundTruth {
	s := simulation{
		t: t,
		truth: &groundTruth{
			ended: map[string]string{}, done: map[string]bool{}, latest: map[string]ledger.ClaimRecord{},
		},
		table:    ledger.New("w", []settings.Team{{Name: "t", CPUsMax: 1e6}}),
		stored:   map[string][]byte{},
		revision: 1,
		now:      time.Unix(1000, 0),
	}
	for step := range rapid.IntRange(4, 40).Draw(t, "steps") {
		if job := s.drawJob(); job == nil {
			s.submit(fmt.Sprintf("req-%d", step))
		} else {
			s.advance(job, fmt.Sprintf("i-%d", step))
		}
		s.commit()
		s.truth.states = append(s.truth.states, maps.Clone(s.stored))
	}
	return s.truth
}

// drawJob returns a job that is not cancelled, or nil to submit a new one.
func (s *simulation) drawJob() *ledger.Job {
	if len(s.truth.jobs) == 0 || rapid.IntRange(0, 4).Draw(s.t, "new") == 0 {
		return nil
	}
	job := s.table.Job(rapid.SampledFrom(s.truth.jobs).Draw(s.t, "job"))
	if job == nil || job.Cancelled {
		return nil
	}
	return job
}

func (s *simulation) submit(jobID string) {
	data := encodedRecord(jobID, rapid.IntRange(1, 6).Draw(s.t, "tasks"), 2)
	s.revision++
	s.stored[ledger.LiveKey(jobID)] = data
	record, err := ledger.DecodeJobRecord(data)
	if err != nil {
		s.t.Fatal(err)
	}
	s.table.AddJob(jobID, record, s.revision)
	s.truth.jobs = append(s.truth.jobs, jobID)
}

// advance cancels a job, claims one of its tasks, or frees or finishes a claim.
func (s *simulation) advance(job *ledger.Job, worker string) {
	jobClaims := s.table.ClaimsOfJob(job)
	switch action := rapid.IntRange(0, 9).Draw(s.t, "do"); {
	case action == 0:
		s.cancel(job)
	case action < 6 && job.WaitingTasks() > 0:
		claim, err := s.table.Claim(job, worker, 1, "a")
		if err != nil {
			s.t.Fatal(err)
		}
		s.truth.latest[claim.Task().String()] = claim.ClaimRecord
	case len(jobClaims) > 0:
		claim := jobClaims[0]
		delete(s.truth.latest, claim.Task().String())
		if action >= 8 {
			s.table.Free(claim, s.now)
			return
		}
		s.truth.done[claim.Task().String()] = true
		s.table.Finish(claim)
		if job.Finished {
			s.truth.ended[job.ID] = wire.PhaseDone
		}
	}
}

func (s *simulation) cancel(job *ledger.Job) {
	record := job.Record()
	data, err := ledger.Encode(ledger.NewCancelledEndRecord(&record, s.now))
	if err != nil {
		s.t.Fatal(err)
	}
	delete(s.stored, ledger.LiveKey(job.ID))
	s.stored[ledger.EndedKey(job.ID)] = data
	s.truth.ended[job.ID] = wire.PhaseCancelled
	s.table.Cancel(job.ID)
}

// commit stores all pending writes of the table.
func (s *simulation) commit() {
	limits := ledger.BatchLimits{MaxOperations: 16, MaxBytes: 1 << 20, MaxValueBytes: testMaxValueBytes}
	for {
		batch := s.table.NextBatch(limits, s.now)
		if batch == nil {
			return
		}
		s.revision++
		for _, operation := range batch.Operations {
			if operation.Put != "" {
				s.stored[operation.Put] = operation.Value
			} else {
				delete(s.stored, operation.Delete)
			}
		}
		s.table.BatchCommitted(batch, s.revision)
	}
}

func sourceOf(state map[string][]byte, fromStore bool) Source {
	source := Source{FromStore: fromStore}
	for i, key := range slices.Sorted(maps.Keys(state)) {
		value := Value{Key: key, Data: state[key]}
		if fromStore {
			value.ModRevision = uint64(i + 1)
		}
		source.Values = append(source.Values, value)
	}
	return source
}

// applyWrites commits the first n writes and checks the mod revisions that guard them.
func applyWrites(t *rapid.T, store map[string][]byte, result Result, n int) map[string][]byte {
	revisions := map[string]uint64{}
	for _, value := range sourceOf(store, true).Values {
		revisions[value.Key] = value.ModRevision
	}
	after := maps.Clone(store)
	for _, write := range result.Writes[:n] {
		if revisions[write.Key] != write.ModRevision {
			t.Fatalf("write of %s is guarded by mod revision %d, the key has %d",
				write.Key, write.ModRevision, revisions[write.Key])
		}
		if write.Data == nil {
			delete(after, write.Key)
		} else {
			after[write.Key] = write.Data
		}
	}
	return after
}

// drawDamagedStore returns the store's contents after a random step, with some keys lost or
// damaged.
func drawDamagedStore(t *rapid.T, truth *groundTruth) map[string][]byte {
	store := maps.Clone(truth.states[rapid.IntRange(0, len(truth.states)-1).Draw(t, "back to")])
	if !rapid.Bool().Draw(t, "holes") {
		return store
	}
	for _, key := range slices.Sorted(maps.Keys(store)) {
		switch rapid.IntRange(0, 5).Draw(t, "key") {
		case 0:
			delete(store, key)
		case 1:
			store[key] = []byte(`"rot"`)
		}
	}
	return store
}

// One up-to-date replica is enough to recover all jobs, ends and claims, whatever the store
// has lost or rolled back and however old the other replica is. The same holds after a
// recovery that was interrupted after any of its writes. A complete store needs no writes.
func TestMergeRecoversEverything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		truth := simulateHistory(t)
		last := len(truth.states) - 1
		store := drawDamagedStore(t, truth)
		replicas := []Source{
			sourceOf(truth.states[last], false),
			sourceOf(truth.states[rapid.IntRange(0, last).Draw(t, "old replica")], false),
		}
		recoverFrom := func(store map[string][]byte) Result {
			sources := append(slices.Clone(replicas), sourceOf(store, true))
			result, err := Merge(sources, "w", testAttemptBase, testMaxValueBytes)
			if err != nil {
				t.Fatal(err)
			}
			checkAgainstTruth(t, truth, result)
			return result
		}
		result := recoverFrom(store)
		complete := applyWrites(t, store, result, len(result.Writes))
		again, err := Merge([]Source{sourceOf(complete, true)}, "w", 2*testAttemptBase, testMaxValueBytes)
		if err != nil {
			t.Fatal(err)
		}
		checkAgainstTruth(t, truth, again)
		for _, write := range again.Writes {
			t.Fatalf("%s is written although nothing is lost", write.Key)
		}
		for n := range result.Writes {
			recoverFrom(applyWrites(t, store, result, n))
		}
	})
}

// checkAgainstTruth checks that a result matches the simulated history.
func checkAgainstTruth(t *rapid.T, truth *groundTruth, result Result) {
	if len(result.OrphanedJobs) > 0 {
		t.Fatalf("got orphaned jobs %v, want none", result.OrphanedJobs)
	}
	checkJobs(t, truth, result)
	checkTasks(t, truth, result)
}

func checkJobs(t *rapid.T, truth *groundTruth, result Result) {
	live := map[string]bool{}
	for _, value := range result.LiveJobs {
		live[strings.TrimPrefix(value.Key, ledger.LivePrefix)] = true
	}
	for _, jobID := range truth.jobs {
		if truth.ended[jobID] == "" {
			if !live[jobID] || result.Ends[jobID] != nil {
				t.Fatalf("%s is not live, want live without an end", jobID)
			}
			continue
		}
		var end ledger.EndRecord
		err := json.Unmarshal(result.Ends[jobID], &end)
		if err != nil || end.Phase != truth.ended[jobID] || live[jobID] {
			t.Fatalf("%s: want end %q, got %q, live %v", jobID, truth.ended[jobID], end.Phase, live[jobID])
		}
	}
}

func checkTasks(t *rapid.T, truth *groundTruth, result Result) {
	claimed, done := map[string]ledger.ClaimRecord{}, map[string]bool{}
	for _, value := range result.Chunks {
		jobID, number, _ := ledger.ParseChunkKey(value.Key)
		chunk, err := ledger.DecodeChunkRecord(value.Data)
		if err != nil {
			t.Fatal(err)
		}
		for i, claim := range chunk.Claims {
			claimed[ledger.Task{JobID: jobID, Index: number*2 + i}.String()] = claim
		}
		for i := range chunk.Done {
			done[ledger.Task{JobID: jobID, Index: number*2 + i}.String()] = true
		}
	}
	for task := range truth.done {
		if id, _ := ledger.ParseTask(task); truth.ended[id.JobID] == "" && !done[task] {
			t.Fatalf("%s is not done, want done", task)
		}
	}
	for task, want := range truth.latest {
		id, _ := ledger.ParseTask(task)
		if truth.ended[id.JobID] == wire.PhaseDone {
			continue
		}
		if got, ok := claimed[task]; !ok || got.Attempt != want.Attempt || got.Worker != want.Worker {
			t.Fatalf("%s: got claim %v, want %v", task, got, want)
		}
	}
}
