package ledger

import (
	"maps"
	"reflect"
	"strings"
	"testing"
	"time"

	"rillflow/internal/wire"
)

// Every chunk that can be decoded must survive encoding and decoding, plain and packed.
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
		decoded, err := decodeChunk(out, 1)
		if err != nil || len(decoded.claims) != len(chunk.claims) || decoded.done.count() != chunk.done.count() {
			t.Fatalf("%q is encoded as %q, which does not decode to the same chunk: %v", data, out, err)
		}
		for _, claim := range chunk.claims {
			if strings.Contains(claim.Zone+claim.Worker, "\n") {
				return // the packed form has a claim per line, so names must not contain line breaks
			}
		}
		packed, err := packClaims(out)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err = decodeChunk(packed, 1)
		if err != nil || !maps.Equal(decoded.claims, chunk.claims) {
			t.Fatalf("%q is packed as %q, which does not decode to the same claims: %v", out, packed, err)
		}
	})
}

// A ChunkRecord must survive encoding and decoding, plain and packed. After SetModRevision, batches
// must compare the new revision of a rewritten key.
func TestChunkRecordRoundTrip(t *testing.T) {
	record := ChunkRecord{
		LastAttempt: 9, AuditBlock: 3, Done: map[int]bool{0: true, 9: true},
		Claims: map[int]ClaimRecord{2: {Worker: "h", Incarnation: 4, Attempt: 9, Zone: "z"}},
	}
	for _, limit := range []int{1 << 10, 150} { // the plain form, and the packed one
		data, err := record.Encode("w", limit)
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeChunkRecord(data)
		if err != nil || !reflect.DeepEqual(got, record) {
			t.Errorf("limit of %d bytes: got %+v, %v, want %+v", limit, got, err, record)
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
		t.Errorf("compares %v, job at %d; want one compare at 22, job at 21", batch.Compares, job.ModRevision())
	}
}
