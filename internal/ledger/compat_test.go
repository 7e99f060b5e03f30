package ledger

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"rillflow/internal/wire"
)

// testdata/production holds what version 0.1 wrote. It must stay readable, and
// what that version could have written is still written as it was.
func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "production", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

var goldenJob = wire.Job{
	ID: "req-000412", Class: "train", Team: "b", Kind: "batch", Priority: "urgent", TaskCount: 70, CPUs: 8, GPUs: 1, MemoryGB: 64,
	Image: "img-07", ImageGB: 6.2, InstanceTypes: []string{"g8"}, Zone: "a", SingleZone: true, AllowSpot: true, ExpectedSeconds: 240, CheckpointIntervalSeconds: 30, CheckpointSaveSeconds: 4, DeadlineSeconds: 900,
}

func TestReadProductionData(t *testing.T) {
	record, err := DecodeJobRecord(readGolden(t, "record.json"))
	want := JobRecord{Job: goldenJob, SubmittedMS: 1790000000123, ChunkTasks: 64}
	if err != nil || !reflect.DeepEqual(record, want) {
		t.Errorf("record %+v, %v", record, err)
	}
	if out, _ := Encode(want); !bytes.Equal(out, readGolden(t, "record.json")) {
		t.Errorf("a job that needs no other is written as %s", out)
	}
	table := New("w", testTeams())
	job := table.AddJob("req-000412", record, 1)
	for _, number := range []string{"0", "1"} {
		if err := table.LoadChunk("c/req-000412/"+number, readGolden(t, "chunk-"+number+".json"), 5, 6); err != nil {
			t.Fatal(err)
		}
	}
	table.FinishLoading()
	if !job.DependenciesMet() || job.DoneTasks() != 8 || job.ClaimedTasks() != 58 || job.WaitingTasks() != 4 {
		t.Errorf("ready %v, %d done, %d active, %d waiting", job.DependenciesMet(), job.DoneTasks(), job.ClaimedTasks(), job.WaitingTasks())
	}
	if claim := table.ClaimsOnWorker("i-000235")[Task{"req-000412", 5}]; claim == nil || claim.Incarnation != 3 || claim.Attempt != 6 || claim.Zone != "a" {
		t.Errorf("claim of task 5: %+v", claim)
	}
	c, err := decodeChunk(readGolden(t, "chunk-0.json"), 1)
	if err != nil {
		t.Fatal(err)
	}
	if out, err := c.encode(WriterOf(readGolden(t, "chunk-0.json")), 16<<10); err != nil || !bytes.Equal(out, readGolden(t, "chunk-0.json")) {
		t.Errorf("a chunk is written as %s, %v", out, err)
	}
	for name, want := range map[string]EndRecord{
		"done.json":      {Phase: wire.PhaseDone, Tasks: 70},
		"withdrawn.json": {Phase: wire.PhaseCancelled, Tasks: 70, Job: goldenJob, ChunkTasks: 64},
	} {
		var end EndRecord
		if err := json.Unmarshal(readGolden(t, name), &end); err != nil || !reflect.DeepEqual(end, want) {
			t.Errorf("%s: %+v, %v", name, end, err)
		}
	}
}

// What version 0.1 takes of an ending and of a job's record: its own structures,
// as far as its ledger goes by them.
type (
	recordV01 struct {
		Job   jobV01 `json:"job"`
		AtMS  int64  `json:"at"`
		Chunk int    `json:"chunk"`
	}
	endRecordV01 struct {
		Phase string `json:"phase"`
		Tasks int    `json:"tasks"`
		Job   jobV01 `json:"job,omitzero"`
		Chunk int    `json:"chunk,omitempty"`
	}
	jobV01 struct {
		Owner   string  `json:"owner"`
		Shape   string  `json:"shape"`
		Members int     `json:"members"`
		Cores   float64 `json:"cores"`
		Accel   float64 `json:"accelerators"`
		RAM     float64 `json:"ram_gb"`
	}
)

func TestProductionReadsRecords(t *testing.T) {
	job := jobV01{"b", "batch", 70, 8, 1, 64}
	record := JobRecord{Job: goldenJob, SubmittedMS: 5, ChunkTasks: 40}
	record.Job.DependsOn = []string{"req-1", "req-2"}
	out, err := Encode(record)
	if err != nil {
		t.Fatal(err)
	}
	var decoded recordV01
	if err := json.Unmarshal(out, &decoded); err != nil || decoded != (recordV01{job, 5, 40}) {
		t.Errorf("record read as %+v, %v", decoded, err)
	}
	if out, err = Encode(NewCancelledEndRecord(&record, now)); err != nil {
		t.Fatal(err)
	}
	var end endRecordV01
	if err := json.Unmarshal(out, &end); err != nil || end != (endRecordV01{wire.PhaseCancelled, 70, job, 40}) {
		t.Errorf("ending read as %+v, %v", end, err)
	}
}

// An ending fits the least value however large the submission was.
func TestEndRecordIsSmall(t *testing.T) {
	record := JobRecord{Job: goldenJob, ChunkTasks: 64}
	record.Job.Class, record.Job.Image = strings.Repeat("x", 200), strings.Repeat("y", 200)
	for range 400 {
		record.Job.InstanceTypes = append(record.Job.InstanceTypes, "a-machine-type")
	}
	out, err := Encode(NewCancelledEndRecord(&record, now))
	if err != nil || len(out) > 512 {
		t.Errorf("%d bytes, %v", len(out), err)
	}
}

// Chunks laid out under the limits of today stay writable under the announced
// ones, with all their tasks claimed; new ones fit them in the plain form.
func TestLowerLimits(t *testing.T) {
	const least = 2 << 10
	for _, tc := range []struct {
		name  string
		tasks int
		host  string
		plain bool
	}{
		{"laid out by version 0.1", ChunkTasks(16, 16), "i-%06d", false},
		{"the same with long names", ChunkTasks(16, 16), "machine-of-the-annex-%06d", false},
		{"laid out for the fall", ChunkTasks(16, 2), "i-%06d", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			record := newJobRecord("b", wire.KindArray, 100, 1)
			record.ChunkTasks = tc.tasks
			table := New("host-1.12", testTeams())
			job := table.AddJob("req-1", record, 1)
			for i := range tc.tasks {
				if _, err := table.Claim(job, workerName(tc.host, i), 1, "daejeon-annex"); err != nil {
					t.Fatal(err)
				}
			}
			batch := table.NextBatch(BatchLimits{MaxOperations: 4, MaxBytes: 40 << 10, MaxValueBytes: 16 << 10}, now)
			if big := len(batch.Operations[0].Value) > least; big == tc.plain {
				t.Fatalf("a chunk of %d tasks takes %d bytes: the case shows nothing", tc.tasks, len(batch.Operations[0].Value))
			}
			table.BatchCommitted(batch, 2)
			held := table.ClaimsOfJob(job)
			for _, claim := range held[:3] {
				table.Finish(claim)
			}
			batch = table.NextBatch(BatchLimits{MaxOperations: 4, MaxBytes: 40 << 10, MaxValueBytes: least}, now)
			if batch == nil || len(batch.Operations) != 1 || len(batch.Operations[0].Value) > least {
				t.Fatalf("after the fall: %+v", batch)
			}
			if n := len(table.BatchCommitted(batch, 3).Finished); n != 3 {
				t.Errorf("%d finishes became durable", n)
			}
			if writer := WriterOf(batch.Operations[0].Value); writer != batch.Writer {
				t.Errorf("written by %q", writer)
			}
			n := New("n", testTeams())
			readBack := n.AddJob("req-1", record, 1)
			if err := n.LoadChunk(batch.Operations[0].Put, batch.Operations[0].Value, 3, 1); err != nil {
				t.Fatal(err)
			}
			n.FinishLoading()
			if readBack.DoneTasks() != 3 || readBack.ClaimedTasks() != tc.tasks-3 {
				t.Errorf("read back: %d done, %d active", readBack.DoneTasks(), readBack.ClaimedTasks())
			}
			for _, claim := range table.ClaimsOfJob(job) {
				if got := n.ClaimsOnWorker(claim.Worker)[claim.Task()]; got == nil || got.ClaimRecord != claim.ClaimRecord {
					t.Errorf("claim of %s read back as %+v", claim.Task(), got)
				}
			}
		})
	}
}
