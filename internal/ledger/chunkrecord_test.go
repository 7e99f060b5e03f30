package ledger

import (
	"maps"
	"reflect"
	"strings"
	"testing"
	"time"

	"rillflow/internal/wire"
)

// What can be decoded is encoded to the same, plain and packed.
func FuzzChunk(f *testing.F) {
	f.Add([]byte(`{"q":3,"d":"AQ","c":["1 h 2 3 z"],"w":"x"}`))
	f.Add([]byte(`{"q":3,"d":"AQ","z":"MlTIUDBSMFaoAgQAAP//","w":"x"}`))
	f.Add([]byte(`{"q":3,"z":"AAAA","w":"x"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		chunk, err := decodeChunk(data, 1)
		if err != nil {
			return
		}
		out, err := chunk.encode("w", 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		again, err := decodeChunk(out, 1)
		if err != nil || len(again.claims) != len(chunk.claims) || again.done.count() != chunk.done.count() {
			t.Fatalf("%q became %q: %v", data, out, err)
		}
		for _, claim := range chunk.claims {
			if strings.Contains(claim.Zone+claim.Worker, "\n") {
				return // packed a line each: no name has a line break
			}
		}
		small, err := packClaims(out)
		if err != nil {
			t.Fatal(err)
		}
		again, err = decodeChunk(small, 1)
		if err != nil || !maps.Equal(again.claims, chunk.claims) {
			t.Fatalf("%q packed as %q: %v", out, small, err)
		}
	})
}

// What is read of a stored chunk is what is stored again, and a key written again is compared by
// its new revision.
func TestChunkRecordRoundTrip(t *testing.T) {
	record := ChunkRecord{
		LastAttempt: 9, AuditBlock: 3, Done: map[int]bool{0: true, 9: true},
		Claims: map[int]ClaimRecord{2: {Worker: "h", Incarnation: 4, Attempt: 9, Zone: "z"}},
	}
	for _, limit := range []int{1 << 10, 150} { // plain, and packed
		data, err := record.Encode("w", limit)
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeChunkRecord(data)
		if err != nil || !reflect.DeepEqual(got, record) {
			t.Errorf("%d: %+v, %v", limit, got, err)
		}
	}
	table := New("w", nil)
	job := table.AddJob("r", JobRecord{Job: wire.Job{ID: "r", Kind: wire.KindArray, TaskCount: 3}, ChunkTasks: 4}, 3)
	claims := map[int]ClaimRecord{0: {Worker: "h", Incarnation: 1, Attempt: 1, Zone: "z"}}
	data, err := ChunkRecord{LastAttempt: 1, Claims: claims}.Encode("w", 1<<10)
	if err != nil {
		t.Fatal(err)
	}
	if err := table.LoadChunk(ChunkKey("r", 0), data, 0, 1); err != nil {
		t.Fatal(err)
	}
	table.FinishLoading()
	table.SetModRevision(LiveKey("r"), 21)
	table.SetModRevision(ChunkKey("r", 0), 22)
	table.SetModRevision(ChunkKey("x", 0), 23)
	table.Free(job.claims[0], time.Time{})
	batch := table.NextBatch(BatchLimits{MaxOperations: 8, MaxBytes: 1 << 20, MaxValueBytes: 1 << 10}, time.Time{})
	if job.ModRevision() != 21 || len(batch.Compares) != 1 || batch.Compares[0].ModRevision != 22 {
		t.Errorf("compares %v, job %d", batch.Compares, job.ModRevision())
	}
}
