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
func golden(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", "production", name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

var goldenJob = wire.Job{
	ID: "req-000412", Class: "train", Team: "b", Kind: "batch", Priority: "urgent", TaskCount: 70, CPUs: 8, GPUs: 1, MemoryGB: 64,
	Image: "img-07", ImageGB: 6.2, InstanceTypes: []string{"g8"}, Zone: "a", SingleZone: true, AllowSpot: true, ExpectedSeconds: 240, CheckpointIntervalSeconds: 30, CheckpointSaveSeconds: 4, DeadlineSeconds: 900,
}

func TestReadsProduction(t *testing.T) {
	rec, err := DecodeRecord(golden(t, "record.json"))
	want := Record{Job: goldenJob, AtMS: 1790000000123, Chunk: 64}
	if err != nil || !reflect.DeepEqual(rec, want) {
		t.Errorf("record %+v, %v", rec, err)
	}
	if out, _ := Encode(want); !bytes.Equal(out, golden(t, "record.json")) {
		t.Errorf("a job that needs no other is written as %s", out)
	}
	l := New("w", teams())
	j := l.Add("req-000412", rec, 1)
	for _, n := range []string{"0", "1"} {
		if err := l.Load("c/req-000412/"+n, golden(t, "chunk-"+n+".json"), 5, 6); err != nil {
			t.Fatal(err)
		}
	}
	l.Loaded()
	if !j.Ready() || j.Done() != 8 || j.Active() != 58 || j.WaitingTasks() != 4 {
		t.Errorf("ready %v, %d done, %d active, %d waiting", j.Ready(), j.Done(), j.Active(), j.WaitingTasks())
	}
	if h := l.OnHost("i-000235")[Task{"req-000412", 5}]; h == nil || h.Tenure != 3 || h.Try != 6 || h.Zone != "a" {
		t.Errorf("claim of task 5: %+v", h)
	}
	c, err := decodeChunk(golden(t, "chunk-0.json"), 1)
	if err != nil {
		t.Fatal(err)
	}
	if out, err := c.encode(WriterOf(golden(t, "chunk-0.json")), 16<<10); err != nil || !bytes.Equal(out, golden(t, "chunk-0.json")) {
		t.Errorf("a chunk is written as %s, %v", out, err)
	}
	for name, want := range map[string]Ending{
		"done.json":      {Phase: wire.PhaseDone, Tasks: 70},
		"withdrawn.json": {Phase: wire.PhaseCancelled, Tasks: 70, Job: goldenJob, Chunk: 64},
	} {
		var e Ending
		if err := json.Unmarshal(golden(t, name), &e); err != nil || !reflect.DeepEqual(e, want) {
			t.Errorf("%s: %+v, %v", name, e, err)
		}
	}
}

// What version 0.1 takes of an ending and of a job's record: its own structures,
// as far as its ledger goes by them.
type (
	oldRecord struct {
		Job   oldJob `json:"job"`
		AtMS  int64  `json:"at"`
		Chunk int    `json:"chunk"`
	}
	oldEnding struct {
		Phase string `json:"phase"`
		Tasks int    `json:"tasks"`
		Job   oldJob `json:"job,omitzero"`
		Chunk int    `json:"chunk,omitempty"`
	}
	oldJob struct {
		Owner   string  `json:"owner"`
		Shape   string  `json:"shape"`
		Members int     `json:"members"`
		Cores   float64 `json:"cores"`
		Accel   float64 `json:"accelerators"`
		RAM     float64 `json:"ram_gb"`
	}
)

func TestProductionReads(t *testing.T) {
	job := oldJob{"b", "batch", 70, 8, 1, 64}
	rec := Record{Job: goldenJob, AtMS: 5, Chunk: 40}
	rec.Job.DependsOn = []string{"req-1", "req-2"}
	out, err := Encode(rec)
	if err != nil {
		t.Fatal(err)
	}
	var r oldRecord
	if err := json.Unmarshal(out, &r); err != nil || r != (oldRecord{job, 5, 40}) {
		t.Errorf("record read as %+v, %v", r, err)
	}
	if out, err = Encode(WithdrawnEnding(&rec, now)); err != nil {
		t.Fatal(err)
	}
	var e oldEnding
	if err := json.Unmarshal(out, &e); err != nil || e != (oldEnding{wire.PhaseCancelled, 70, job, 40}) {
		t.Errorf("ending read as %+v, %v", e, err)
	}
}

// An ending fits the least value however large the submission was.
func TestEndingIsSmall(t *testing.T) {
	rec := Record{Job: goldenJob, Chunk: 64}
	rec.Job.Class, rec.Job.Image = strings.Repeat("x", 200), strings.Repeat("y", 200)
	for range 400 {
		rec.Job.InstanceTypes = append(rec.Job.InstanceTypes, "a-machine-type")
	}
	out, err := Encode(WithdrawnEnding(&rec, now))
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
			rec := job("b", wire.KindArray, 100, 1)
			rec.Chunk = tc.tasks
			l := New("host-1.12", teams())
			j := l.Add("req-1", rec, 1)
			for i := range tc.tasks {
				if _, err := l.Claim(j, fmtHost(tc.host, i), 1, "daejeon-annex"); err != nil {
					t.Fatal(err)
				}
			}
			b := l.Next(Limits{Ops: 4, Bytes: 40 << 10, Value: 16 << 10}, now)
			if big := len(b.Apply[0].Value) > least; big == tc.plain {
				t.Fatalf("a chunk of %d tasks takes %d bytes: the case shows nothing", tc.tasks, len(b.Apply[0].Value))
			}
			l.Committed(b, 2)
			held := l.HeldBy(j)
			for _, h := range held[:3] {
				l.Finish(h)
			}
			b = l.Next(Limits{Ops: 4, Bytes: 40 << 10, Value: least}, now)
			if b == nil || len(b.Apply) != 1 || len(b.Apply[0].Value) > least {
				t.Fatalf("after the fall: %+v", b)
			}
			if n := len(l.Committed(b, 3).Over); n != 3 {
				t.Errorf("%d finishes became durable", n)
			}
			if w := WriterOf(b.Apply[0].Value); w != b.Writer {
				t.Errorf("written by %q", w)
			}
			n := New("n", teams())
			k := n.Add("req-1", rec, 1)
			if err := n.Load(b.Apply[0].Put, b.Apply[0].Value, 3, 1); err != nil {
				t.Fatal(err)
			}
			n.Loaded()
			if k.Done() != 3 || k.Active() != tc.tasks-3 {
				t.Errorf("read back: %d done, %d active", k.Done(), k.Active())
			}
			for _, h := range l.HeldBy(j) {
				if got := n.OnHost(h.Host)[h.Task()]; got == nil || got.Claim != h.Claim {
					t.Errorf("claim of %s read back as %+v", h.Task(), got)
				}
			}
		})
	}
}

// A leader may end between the transaction in which a job is done and those
// that remove its other chunks. The next one finds claims in them, of tasks that
// are done: it drops them with the chunk. Endings of version 0.1 do not tell the
// size of the chunks.
func TestDoneWithChunksLeft(t *testing.T) {
	for _, ops := range []int{4, 6} {
		for _, ending := range []string{"", `{"phase":"done","tasks":70}`} {
			l := New("w", teams())
			rec := job("b", wire.KindArray, 70, 1)
			rec.Chunk = 16
			s := store{}
			j := l.Add("req-1", rec, 1)
			gen := uint64(1)
			write := func() *Batch {
				b := l.Next(limits(ops), now)
				if b != nil {
					gen++
					s.apply(b)
					l.Committed(b, gen)
				}
				return b
			}
			for i := range 70 {
				if _, err := l.Claim(j, fmtHost("h%d", i%5), 1, "x"); err != nil {
					t.Fatal(err)
				}
			}
			for write() != nil {
			}
			for _, h := range l.HeldBy(j) {
				l.Finish(h)
			}
			write() // done, and no more
			if s["d/req-1"] == nil || len(s) < 2 {
				t.Fatalf("with %d changes nothing is left to find", ops)
			}
			if ending == "" {
				ending = string(s["d/req-1"])
			}
			n := New("n", teams())
			if err := n.AddEnded("req-1", []byte(ending)); err != nil {
				t.Fatal(err)
			}
			for key, data := range s {
				if key != "d/req-1" {
					if err := n.Load(key, data, 9, 1); err != nil {
						t.Fatal(err)
					}
				}
			}
			n.Loaded()
			if hs := n.ClaimedHosts(); len(hs) != 0 {
				t.Errorf("claims on %v", hs)
			}
			for b := n.Next(limits(ops), now); b != nil; b = n.Next(limits(ops), now) {
				s.apply(b)
				n.Committed(b, 10)
			}
			if len(s) != 1 || len(n.Jobs()) != 0 {
				t.Errorf("%d keys are left", len(s))
			}
		}
	}
}
