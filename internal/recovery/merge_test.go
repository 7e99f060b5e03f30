package recovery

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

const testAttemptBase, testMaxValueBytes = 1 << 20, 16 << 10

func encodedRecord(jobID string, tasks, chunkTasks int) []byte {
	job := wire.Job{ID: jobID, Team: "t", Kind: wire.KindArray, TaskCount: tasks, CPUs: 1}
	data, err := ledger.Encode(ledger.JobRecord{Job: job, SubmittedMS: 1, ChunkTasks: chunkTasks})
	if err != nil {
		panic(err)
	}
	return data
}

// claims are the claims of a chunk, by index.
type claims = map[int]ledger.ClaimRecord

func encodedChunk(lastAttempt uint64, done []int, claimed claims) []byte {
	chunk := ledger.ChunkRecord{LastAttempt: lastAttempt, Done: map[int]bool{}, Claims: claimed}
	for _, i := range done {
		chunk.Done[i] = true
	}
	data, err := chunk.Encode("w", testMaxValueBytes)
	if err != nil {
		panic(err)
	}
	return data
}

func claimOn(worker string, attempt uint64) ledger.ClaimRecord {
	return ledger.ClaimRecord{Worker: worker, Incarnation: 1, Attempt: attempt, Zone: "a"}
}

// newSource returns a source made of alternating keys and values.
func newSource(fromStore bool, keysAndValues ...any) Source {
	source := Source{FromStore: fromStore}
	for i := 0; i < len(keysAndValues); i += 2 {
		value := Value{Key: keysAndValues[i].(string)}
		switch data := keysAndValues[i+1].(type) {
		case string:
			value.Data = []byte(data)
		case []byte:
			value.Data = data
		}
		if fromStore {
			value.ModRevision = uint64(i + 7)
		}
		source.Values = append(source.Values, value)
	}
	return source
}

func inStore(keysAndValues ...any) Source   { return newSource(true, keysAndValues...) }
func inReplica(keysAndValues ...any) Source { return newSource(false, keysAndValues...) }

// What a record from each source proves, and which of two conflicting records prevails.
func TestMerge(t *testing.T) {
	const (
		done      = `{"phase":"done","tasks":2}`
		cancelled = `{"phase":"withdrawn","tasks":2,"chunk":4}`
		damaged   = `"rot"`
	)
	record, chunk := encodedRecord("r", 4, 4), encodedChunk
	for _, tc := range []struct {
		name    string
		sources []Source
		live    bool
		end     string // phase of the end record; "": none
		claims  string // of the chunk, as task#attempt@worker
		done    int    // number of finished tasks
		writes  string // written keys, in order; -key for a deleted one
		damaged string
		orphans string
	}{
		{"nothing is lost", []Source{
			inStore("j/r", record, "c/r/0", chunk(3, nil, claims{0: claimOn("a", 3)})),
		}, true, "", "0#3@a", 0, "", "", ""},
		{"the store is empty", []Source{
			inReplica("j/r", record, "c/r/0", chunk(3, nil, claims{0: claimOn("a", 3)})),
		}, true, "", "0#3@a", 0, "j/r c/r/0", "", ""},
		{"an end prevails over a live record", []Source{
			inReplica("d/r", done), inStore("j/r", record),
		}, false, "done", "", 0, "d/r -j/r", "", ""},
		{"the end of the first source prevails", []Source{
			inReplica("d/r", cancelled), inStore("d/r", done),
		}, false, "withdrawn", "", 0, "d/r", "", ""},
		{"the claims of a cancelled job are kept", []Source{
			inReplica("d/r", cancelled, "c/r/0", chunk(1, nil, claims{2: claimOn("a", 1)})),
		}, false, "withdrawn", "2#1@a", 0, "c/r/0 d/r", "", ""},
		{"the later attempt prevails, from a replica", []Source{
			inReplica("j/r", record, "c/r/0", chunk(2, nil, claims{0: claimOn("b", 2)})),
			inStore("j/r", record, "c/r/0", chunk(1, nil, claims{0: claimOn("a", 1)})),
		}, true, "", "0#2@b", 0, "c/r/0", "", ""},
		{"the later attempt prevails, from the store", []Source{
			inReplica("j/r", record, "c/r/0", chunk(1, nil, claims{0: claimOn("a", 1)})),
			inStore("j/r", record, "c/r/0", chunk(2, nil, claims{0: claimOn("b", 2)})),
		}, true, "", "0#2@b", 0, "", "", ""},
		{"a finished task prevails over a claim", []Source{
			inReplica("j/r", record, "c/r/0", chunk(2, []int{0}, nil)),
			inStore("j/r", record, "c/r/0", chunk(5, nil, claims{0: claimOn("a", 5)})),
		}, true, "", "", 1, "c/r/0", "", ""},
		{"finished tasks and claims of both sources are merged", []Source{
			inReplica("j/r", record, "c/r/0", chunk(2, []int{1}, nil)),
			inStore("j/r", record, "c/r/0", chunk(1, []int{2}, claims{0: claimOn("a", 1)})),
		}, true, "", "0#1@a", 2, "c/r/0", "", ""},
		{"damaged job record, intact in a replica", []Source{
			inReplica("j/r", record), inStore("j/r", damaged),
		}, true, "", "", 0, "j/r", "", ""},
		{"damaged job record in the only source", []Source{
			inStore("j/r", damaged),
		}, false, "", "", 0, "", "j/r", ""},
		{"job record under the key of another job", []Source{
			inStore("j/x", record),
		}, false, "", "", 0, "", "j/x", ""},
		{"a damaged end record does not end the job", []Source{
			inStore("j/r", record, "d/r", `{"phase":"half"}`),
		}, true, "", "", 0, "", "d/r", ""},
		{"damaged chunk, intact in a replica", []Source{
			inReplica("j/r", record, "c/r/0", chunk(1, nil, claims{0: claimOn("a", 1)})),
			inStore("j/r", record, "c/r/0", damaged),
		}, true, "", "0#1@a", 0, "c/r/0", "", ""},
		{"damaged chunk in the only source", []Source{
			inStore("j/r", record, "c/r/0", damaged),
		}, true, "", "", 0, "", "c/r/0", ""},
		{"damaged chunk of a finished job", []Source{
			inStore("d/r", done, "c/r/0", damaged),
		}, false, "done", "", 0, "", "", ""},
		{"claims without a job", []Source{
			inStore("c/r/0", chunk(1, nil, claims{0: claimOn("a", 1)})),
		}, false, "", "", 0, "-c/r/0", "", "r"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			result, err := Merge(tc.sources, "w", testAttemptBase, testMaxValueBytes)
			if err != nil {
				t.Fatal(err)
			}
			writes := writtenKeys(result)
			var end ledger.EndRecord
			if data := result.Ends["r"]; data != nil {
				if err := json.Unmarshal(data, &end); err != nil {
					t.Fatal(err)
				}
			}
			claimed, finished := "", 0
			for _, value := range result.Chunks {
				chunk, err := ledger.DecodeChunkRecord(value.Data)
				if err != nil {
					t.Fatal(err)
				}
				finished = len(chunk.Done)
				for i, claim := range chunk.Claims {
					claimed += fmt.Sprintf("%d#%d@%s", i, claim.Attempt, claim.Worker)
				}
				if slices.Contains(writes, value.Key) && chunk.LastAttempt < testAttemptBase {
					t.Errorf("last attempt of a written chunk is %d, below the attempt base", chunk.LastAttempt)
				}
			}
			live := len(result.LiveJobs) == 1
			got := fmt.Sprint(live, end.Phase, claimed, finished, writes, result.Damaged, result.OrphanedJobs)
			want := fmt.Sprint(tc.live, tc.end, tc.claims, tc.done,
				strings.Fields(tc.writes), strings.Fields(tc.damaged), strings.Fields(tc.orphans))
			if got != want {
				t.Errorf("got  %s\nwant %s", got, want)
			}
		})
	}
}

// writtenKeys returns the keys of a result's writes, in order; -key for a deleted one.
func writtenKeys(result Result) []string {
	var keys []string
	for _, write := range result.Writes {
		if write.Data == nil {
			keys = append(keys, "-"+write.Key)
		} else {
			keys = append(keys, write.Key)
		}
	}
	return keys
}
