package ledger

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"rillflow/internal/goldentest"
	"rillflow/internal/wire"
)

// The stored form of jobs and claims, keys and values, must not change. testdata/production has
// records written by version 0.1; this test covers the fields added since.
func TestGoldenStored(t *testing.T) {
	record := goldentest.Filled[JobRecord]()
	minimal := JobRecord{Job: wire.Job{ID: "req-1"}, ChunkTasks: 8}
	at := time.UnixMilli(1_764_600_000_123)
	stored := ChunkRecord{
		LastAttempt: 9, Done: map[int]bool{0: true, 9: true}, AuditBlock: 77,
		Claims: map[int]ClaimRecord{
			2:  {Worker: "i-000002", Incarnation: 3, Attempt: 7, Zone: "a"},
			11: {Worker: "i-000001", Incarnation: 1, Attempt: 8, Zone: "b c"},
		},
	}
	chunk, err := stored.Encode("writer.4", 16<<10)
	if err != nil {
		t.Fatal(err)
	}
	if decoded, err := DecodeChunkRecord(chunk); err != nil || !reflect.DeepEqual(decoded, stored) {
		t.Errorf("the chunk reads back as %+v, %v, want %+v", decoded, err, stored)
	}
	if WriterOf(chunk) != "writer.4" || AuditBlockOf(chunk) != 77 {
		t.Errorf("writer %q, audit block %d; want \"writer.4\", 77", WriterOf(chunk), AuditBlockOf(chunk))
	}
	var out strings.Builder
	line := func(key, value string) { fmt.Fprintf(&out, "%s\t%s\n", key, value) }
	line(LiveKey("req-1"), goldentest.JSON(t, record))
	line(LiveKey("req-1"), goldentest.JSON(t, minimal))
	line(ChunkKey("req-1", 3), string(chunk))
	line(EndedKey("req-1"), goldentest.JSON(t, goldentest.Filled[EndRecord]()))
	line(EndedKey("req-1"), goldentest.JSON(t, EndRecord{Phase: wire.PhaseDone, Tasks: 4}))
	line(EndedKey("req-1"), goldentest.JSON(t, NewCancelledEndRecord(&record, at)))
	line(EndedKey("req-1"), goldentest.JSON(t, NewLostEndRecord("req-1", at)))
	goldentest.Check(t, "stored.txt", out.String())
}

// Packed chunks must stay readable. Their exact bytes depend on the compressor.
func TestGoldenPackedChunk(t *testing.T) {
	want := ChunkRecord{LastAttempt: 400, Done: map[int]bool{70: true}, Claims: make(map[int]ClaimRecord), AuditBlock: 5}
	for i := range 64 {
		name := fmt.Sprintf("machine-of-the-annex-%06d", i)
		want.Claims[i] = ClaimRecord{Worker: name, Incarnation: 1, Attempt: uint64(300 + i), Zone: "daejeon-annex"}
	}
	write := func() []byte {
		data, err := want.Encode("writer.4", 2<<10)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	data := goldentest.Read(t, "packed.json", write)
	if !strings.Contains(string(data), `"z":`) || !strings.Contains(string(write()), `"z":`) {
		t.Fatal("the chunk is not packed, so the test does not test the packed form")
	}
	got, err := DecodeChunkRecord(data)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
}
