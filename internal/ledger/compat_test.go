package ledger

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"rillflow/internal/wire"
)

// readProduction reads a file of testdata/production, which holds records that version 0.1 wrote.
// They must stay readable, and records without newer fields must still be written the same.
func readProduction(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "production", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

var productionJob = wire.Job{
	ID: "req-000412", Class: "train", Team: "b", Kind: "batch", Priority: "urgent",
	TaskCount: 70, CPUs: 8, GPUs: 1, MemoryGB: 64, Image: "img-07", ImageGB: 6.2,
	InstanceTypes: []string{"g8"}, Zone: "a", SingleZone: true, AllowSpot: true,
	ExpectedSeconds: 240, CheckpointIntervalSeconds: 30, CheckpointSaveSeconds: 4, DeadlineSeconds: 900,
}

// Records that version 0.1 stored must decode correctly and be written back byte for byte.
func TestReadProductionData(t *testing.T) {
	record, err := DecodeJobRecord(readProduction(t, "record.json"))
	want := JobRecord{Job: productionJob, SubmittedMS: 1790000000123, ChunkTasks: 64}
	if err != nil || !reflect.DeepEqual(record, want) {
		t.Errorf("record %+v, %v, want %+v", record, err, want)
	}
	if out, _ := Encode(want); !bytes.Equal(out, readProduction(t, "record.json")) {
		t.Errorf("a job without dependencies is written as %s, not as by version 0.1", out)
	}
	chunk := readProduction(t, "chunk-0.json")
	state, err := decodeChunk(chunk, 1)
	if err != nil {
		t.Fatal(err)
	}
	if out, err := state.encode(WriterOf(chunk), 16<<10); err != nil || !bytes.Equal(out, chunk) {
		t.Errorf("a chunk is written as %s, %v, want %s", out, err, chunk)
	}
	for name, want := range map[string]EndRecord{
		"done.json":      {Phase: wire.PhaseDone, Tasks: 70},
		"withdrawn.json": {Phase: wire.PhaseCancelled, Tasks: 70, Job: productionJob, ChunkTasks: 64},
	} {
		var end EndRecord
		if err := json.Unmarshal(readProduction(t, name), &end); err != nil || !reflect.DeepEqual(end, want) {
			t.Errorf("%s: got %+v, %v, want %+v", name, end, err, want)
		}
	}
}

// A new leader must load a job and its chunks as version 0.1 stored them.
func TestLoadProductionData(t *testing.T) {
	record, err := DecodeJobRecord(readProduction(t, "record.json"))
	if err != nil {
		t.Fatal(err)
	}
	table := New("w", testTeams())
	job := table.AddJob("req-000412", record, 1)
	for _, number := range []string{"0", "1"} {
		if err := table.LoadChunk("c/req-000412/"+number, readProduction(t, "chunk-"+number+".json"), 5, 6); err != nil {
			t.Fatal(err)
		}
	}
	table.FinishLoading()
	if !job.DependenciesMet() {
		t.Error("the job has unmet dependencies, want none")
	}
	done, claimed, waiting := job.DoneTasks(), job.ClaimedTasks(), job.WaitingTasks()
	if done != 8 || claimed != 58 || waiting != 4 {
		t.Errorf("%d done, %d claimed, %d waiting; want 8, 58, 4", done, claimed, waiting)
	}
	want := ClaimRecord{Worker: "i-000235", Incarnation: 3, Attempt: 6, Zone: "a"}
	if claim := table.ClaimsOnWorker("i-000235")[Task{"req-000412", 5}]; claim == nil || claim.ClaimRecord != want {
		t.Errorf("claim of task 5: got %+v, want %+v", claim, want)
	}
}

// The fields of job records and end records that version 0.1 reads and uses.
type (
	recordV01 struct {
		Job         jobV01 `json:"job"`
		SubmittedMS int64  `json:"at"`
		ChunkTasks  int    `json:"chunk"`
	}
	endRecordV01 struct {
		Phase      string `json:"phase"`
		Tasks      int    `json:"tasks"`
		Job        jobV01 `json:"job,omitzero"`
		ChunkTasks int    `json:"chunk,omitempty"`
	}
	jobV01 struct {
		Team      string  `json:"owner"`
		Kind      string  `json:"shape"`
		TaskCount int     `json:"members"`
		CPUs      float64 `json:"cores"`
		GPUs      float64 `json:"accelerators"`
		MemoryGB  float64 `json:"ram_gb"`
	}
)

// Version 0.1 must be able to read the records that are stored now.
func TestVersion01ReadsRecords(t *testing.T) {
	job := jobV01{"b", "batch", 70, 8, 1, 64}
	record := JobRecord{Job: productionJob, SubmittedMS: 5, ChunkTasks: 40}
	record.Job.DependsOn = []string{"req-1", "req-2"}
	out, err := Encode(record)
	if err != nil {
		t.Fatal(err)
	}
	var decoded recordV01
	if err := json.Unmarshal(out, &decoded); err != nil || decoded != (recordV01{job, 5, 40}) {
		t.Errorf("job record read as %+v, %v", decoded, err)
	}
	if out, err = Encode(NewCancelledEndRecord(&record, now)); err != nil {
		t.Fatal(err)
	}
	var end endRecordV01
	if err := json.Unmarshal(out, &end); err != nil || end != (endRecordV01{wire.PhaseCancelled, 70, job, 40}) {
		t.Errorf("end record read as %+v, %v", end, err)
	}
}

// A cancelled job's end record must fit the smallest value limit however large the submission was.
func TestEndRecordIsSmall(t *testing.T) {
	record := JobRecord{Job: productionJob, ChunkTasks: 64}
	record.Job.Class, record.Job.Image = strings.Repeat("x", 200), strings.Repeat("y", 200)
	for range 400 {
		record.Job.InstanceTypes = append(record.Job.InstanceTypes, "a-machine-type")
	}
	out, err := Encode(NewCancelledEndRecord(&record, now))
	if err != nil || len(out) > 512 {
		t.Errorf("%d bytes, %v; want at most 512", len(out), err)
	}
}

// Chunks laid out under the current value limit must stay writable under the announced lower one
// with all their tasks claimed, if need be packed; chunks laid out for the lower limit must fit it
// in the plain form.
func TestLowerLimits(t *testing.T) {
	const lowerLimit = 2 << 10
	for _, tc := range []struct {
		name       string
		tasks      int
		nameFormat string // of workers
		plain      bool
	}{
		{"laid out by version 0.1", ChunkTasks(16, 16), "i-%06d", false},
		{"laid out by version 0.1, long names", ChunkTasks(16, 16), "machine-of-the-annex-%06d", false},
		{"laid out for the lower limit", ChunkTasks(16, 2), "i-%06d", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			record := newJobRecord("b", wire.KindArray, 100, 1)
			record.ChunkTasks = tc.tasks
			table := New("host-1.12", testTeams())
			job := table.AddJob("req-1", record, 1)
			for i := range tc.tasks {
				if _, err := table.Claim(job, fmt.Sprintf(tc.nameFormat, i), 1, "daejeon-annex"); err != nil {
					t.Fatal(err)
				}
			}
			limits := batchLimits(4)
			batch := table.NextBatch(limits, now)
			if size := len(batch.Operations[0].Value); (size > lowerLimit) == tc.plain {
				t.Fatalf("a chunk of %d tasks takes %d bytes under a lower limit of %d, want it to fit: %v",
					tc.tasks, size, lowerLimit, tc.plain)
			}
			table.BatchCommitted(batch, 2)
			for _, claim := range table.ClaimsOfJob(job)[:3] {
				table.Finish(claim)
			}
			limits.MaxValueBytes = lowerLimit
			batch = table.NextBatch(limits, now)
			if batch == nil || len(batch.Operations) != 1 || len(batch.Operations[0].Value) > lowerLimit {
				t.Fatalf("batch under the lower limit: %+v, want one put of at most %d bytes", batch, lowerLimit)
			}
			if n := len(table.BatchCommitted(batch, 3).Finished); n != 3 {
				t.Errorf("%d finishes became durable, want 3", n)
			}
			if writer := WriterOf(batch.Operations[0].Value); writer != batch.Writer {
				t.Errorf("written by %q, want %q", writer, batch.Writer)
			}
			checkReadsBack(t, table, job, batch.Operations[0])
		})
	}
}

// checkReadsBack checks that a new leader loads a job's only chunk with the old leader's claims.
func checkReadsBack(t *testing.T, table *Table, job *Job, put wire.Operation) {
	t.Helper()
	successor := New("n", testTeams())
	loaded := successor.AddJob(job.ID, job.Record(), 1)
	if err := successor.LoadChunk(put.Put, put.Value, 3, 1); err != nil {
		t.Fatal(err)
	}
	successor.FinishLoading()
	if loaded.DoneTasks() != 3 || loaded.ClaimedTasks() != job.chunkTasks-3 {
		t.Errorf("read back %d done, %d claimed; want 3, %d",
			loaded.DoneTasks(), loaded.ClaimedTasks(), job.chunkTasks-3)
	}
	for _, claim := range table.ClaimsOfJob(job) {
		got := successor.ClaimsOnWorker(claim.Worker)[claim.Task()]
		if got == nil || got.ClaimRecord != claim.ClaimRecord {
			t.Errorf("claim of %s read back as %+v, want %+v", claim.Task(), got, claim.ClaimRecord)
		}
	}
}
