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

const testAttemptBase, testMaxValueBytes = 1 << 20, 16 << 10

func encodedRecord(ref string, members, size int) []byte {
	b, err := ledger.Encode(ledger.JobRecord{Job: wire.Job{ID: ref, Team: "t", Kind: wire.KindArray, TaskCount: members, CPUs: 1}, SubmittedMS: 1, ChunkTasks: size})
	if err != nil {
		panic(err)
	}
	return b
}

func encodedChunk(seq uint64, done []int, claims map[int]ledger.ClaimRecord) []byte {
	s := ledger.ChunkRecord{LastAttempt: seq, Done: map[int]bool{}, Claims: claims}
	for _, i := range done {
		s.Done[i] = true
	}
	b, err := s.Encode("w", testMaxValueBytes)
	if err != nil {
		panic(err)
	}
	return b
}

func claimOn(host string, try uint64) ledger.ClaimRecord {
	return ledger.ClaimRecord{Worker: host, Incarnation: 1, Attempt: try, Zone: "a"}
}

func newSource(store bool, kv ...any) Source {
	s := Source{FromStore: store}
	for i := 0; i < len(kv); i += 2 {
		v := Value{Key: kv[i].(string)}
		switch d := kv[i+1].(type) {
		case string:
			v.Data = []byte(d)
		case []byte:
			v.Data = d
		}
		if store {
			v.ModRevision = uint64(i + 7)
		}
		s.Values = append(s.Values, v)
	}
	return s
}

// What each source proves, and which of two wins.
func TestMerge(t *testing.T) {
	const done, gone = `{"phase":"done","tasks":2}`, `{"phase":"withdrawn","tasks":2,"chunk":4}`
	rec := encodedRecord("r", 4, 4)
	c := func(seq uint64, done []int, claims map[int]ledger.ClaimRecord) []byte {
		return encodedChunk(seq, done, claims)
	}
	for _, tc := range []struct {
		name    string
		sources []Source
		live    bool
		end     string // its phase
		claims  string // of the chunk, as task#try@host
		dones   int
		writes  string // keys, in order; -key for one that goes
		damaged string
		orphans string
	}{
		{"all is there", []Source{newSource(true, "j/r", rec, "c/r/0", c(3, nil, map[int]ledger.ClaimRecord{0: claimOn("a", 3)}))}, true, "", "0#3@a", 0, "", "", ""},
		{"all is gone", []Source{newSource(false, "j/r", rec, "c/r/0", c(3, nil, map[int]ledger.ClaimRecord{0: claimOn("a", 3)}))}, true, "", "0#3@a", 0, "j/r c/r/0", "", ""},
		{"an end beats a live record", []Source{newSource(false, "d/r", done), newSource(true, "j/r", rec)}, false, "done", "", 0, "d/r -j/r", "", ""},
		{"the end told first stays", []Source{newSource(false, "d/r", gone), newSource(true, "d/r", done)}, false, "withdrawn", "", 0, "d/r", "", ""},
		{"a withdrawal does not say that its tasks are gone", []Source{newSource(false, "d/r", gone, "c/r/0", c(1, nil, map[int]ledger.ClaimRecord{2: claimOn("a", 1)}))}, false, "withdrawn", "2#1@a", 0, "c/r/0 d/r", "", ""},
		{"the newer try is the one", []Source{newSource(false, "j/r", rec, "c/r/0", c(2, nil, map[int]ledger.ClaimRecord{0: claimOn("b", 2)})), newSource(true, "j/r", rec, "c/r/0", c(1, nil, map[int]ledger.ClaimRecord{0: claimOn("a", 1)}))}, true, "", "0#2@b", 0, "c/r/0", "", ""},
		{"whichever has it", []Source{newSource(false, "j/r", rec, "c/r/0", c(1, nil, map[int]ledger.ClaimRecord{0: claimOn("a", 1)})), newSource(true, "j/r", rec, "c/r/0", c(2, nil, map[int]ledger.ClaimRecord{0: claimOn("b", 2)}))}, true, "", "0#2@b", 0, "", "", ""},
		{"a finish beats a claim", []Source{newSource(false, "j/r", rec, "c/r/0", c(2, []int{0}, nil)), newSource(true, "j/r", rec, "c/r/0", c(5, nil, map[int]ledger.ClaimRecord{0: claimOn("a", 5)}))}, true, "", "", 1, "c/r/0", "", ""},
		{"what either knows", []Source{newSource(false, "j/r", rec, "c/r/0", c(2, []int{1}, nil)), newSource(true, "j/r", rec, "c/r/0", c(1, []int{2}, map[int]ledger.ClaimRecord{0: claimOn("a", 1)}))}, true, "", "0#1@a", 2, "c/r/0", "", ""},
		{"a damaged record, known elsewhere", []Source{newSource(false, "j/r", rec), newSource(true, "j/r", `"rot"`)}, true, "", "", 0, "j/r", "", ""},
		{"a damaged record, known nowhere", []Source{newSource(true, "j/r", `"rot"`)}, false, "", "", 0, "", "j/r", ""},
		{"a record under another name", []Source{newSource(true, "j/x", rec)}, false, "", "", 0, "", "j/x", ""},
		{"a damaged end is no end", []Source{newSource(true, "j/r", rec, "d/r", `{"phase":"half"}`)}, true, "", "", 0, "", "d/r", ""},
		{"a damaged chunk, known elsewhere", []Source{newSource(false, "j/r", rec, "c/r/0", c(1, nil, map[int]ledger.ClaimRecord{0: claimOn("a", 1)})), newSource(true, "j/r", rec, "c/r/0", `"rot"`)}, true, "", "0#1@a", 0, "c/r/0", "", ""},
		{"claims without a job", []Source{newSource(true, "c/r/0", c(1, nil, map[int]ledger.ClaimRecord{0: claimOn("a", 1)}))}, false, "", "", 0, "-c/r/0", "", "r"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, err := Merge(tc.sources, "w", testAttemptBase, testMaxValueBytes)
			if err != nil {
				t.Fatal(err)
			}
			var writes []string
			for _, w := range r.Writes {
				if w.Data == nil {
					writes = append(writes, "-"+w.Key)
				} else {
					writes = append(writes, w.Key)
				}
			}
			var end ledger.EndRecord
			if d := r.Ends["r"]; d != nil {
				if err := json.Unmarshal(d, &end); err != nil {
					t.Fatal(err)
				}
			}
			claims, dones := "", 0
			for _, v := range r.Chunks {
				s, err := ledger.DecodeChunkRecord(v.Data)
				if err != nil {
					t.Fatal(err)
				}
				dones = len(s.Done)
				for i, cl := range s.Claims {
					claims += fmt.Sprintf("%d#%d@%s", i, cl.Attempt, cl.Worker)
				}
				if slices.Contains(writes, v.Key) && s.LastAttempt < testAttemptBase {
					t.Errorf("tries go on from %d", s.LastAttempt)
				}
			}
			got := fmt.Sprint(len(r.LiveJobs) == 1, end.Phase, claims, dones, writes, r.Damaged, r.OrphanedJobs)
			want := fmt.Sprint(tc.live, tc.end, tc.claims, tc.dones, strings.Fields(tc.writes), strings.Fields(tc.damaged), strings.Fields(tc.orphans))
			if got != want {
				t.Errorf("got  %s\nwant %s", got, want)
			}
		})
	}
}

// groundTruth is what really happened, with what the state service held after each step.
type groundTruth struct {
	ended  map[string]string
	done   map[string]bool               // tasks
	latest map[string]ledger.ClaimRecord // by task: the last claim, if it stands
	states []map[string][]byte           // stored after each step
	jobs   []string
}

// live a while, by the ledger itself, so that what is stored is what a leader stores.
func simulateHistory(t *rapid.T) *groundTruth {
	tr := &groundTruth{ended: map[string]string{}, done: map[string]bool{}, latest: map[string]ledger.ClaimRecord{}}
	stored := map[string][]byte{}
	led := ledger.New("w", []settings.Team{{Name: "t", CPUsMax: 1e6}})
	gen := uint64(1)
	now := time.Unix(1000, 0)
	flush := func() {
		for {
			b := led.NextBatch(ledger.BatchLimits{MaxOperations: 16, MaxBytes: 1 << 20, MaxValueBytes: testMaxValueBytes}, now)
			if b == nil {
				return
			}
			gen++
			for _, c := range b.Operations {
				if c.Put != "" {
					stored[c.Put] = c.Value
				} else {
					delete(stored, c.Delete)
				}
			}
			led.BatchCommitted(b, gen)
		}
	}
	for step := range rapid.IntRange(4, 40).Draw(t, "steps") {
		switch j := drawJob(t, tr, led); {
		case j == nil:
			ref := fmt.Sprintf("req-%d", step)
			data := encodedRecord(ref, rapid.IntRange(1, 6).Draw(t, "tasks"), 2)
			gen++
			stored[ledger.LiveKey(ref)] = data
			rec, err := ledger.DecodeJobRecord(data)
			if err != nil {
				t.Fatal(err)
			}
			led.AddJob(ref, rec, gen)
			tr.jobs = append(tr.jobs, ref)
		default:
			held := led.ClaimsOfJob(j)
			switch do := rapid.IntRange(0, 9).Draw(t, "do"); {
			case do == 0:
				rec := j.Record()
				data, err := ledger.Encode(ledger.NewCancelledEndRecord(&rec, now))
				if err != nil {
					t.Fatal(err)
				}
				delete(stored, ledger.LiveKey(j.Ref))
				stored[ledger.EndedKey(j.Ref)] = data
				tr.ended[j.Ref] = wire.PhaseCancelled
				led.Cancel(j.Ref)
			case do < 6 && j.WaitingTasks() > 0:
				h, err := claimTask(led, j, fmt.Sprintf("i-%d", step))
				if err != nil {
					t.Fatal(err)
				}
				tr.latest[h.Task().String()] = h.ClaimRecord
			case len(held) > 0:
				h := held[0]
				delete(tr.latest, h.Task().String())
				if do < 8 {
					tr.done[h.Task().String()] = true
					led.Finish(h)
					if j.Finished {
						tr.ended[j.Ref] = wire.PhaseDone
					}
				} else {
					led.Free(h, now)
				}
			}
		}
		flush()
		tr.states = append(tr.states, maps.Clone(stored))
	}
	return tr
}

// claimTask claims without a team's limit.
func claimTask(l *ledger.Table, j *ledger.Job, host string) (*ledger.Claim, error) {
	return l.Claim(j, host, 1, "a")
}

func drawJob(t *rapid.T, tr *groundTruth, led *ledger.Table) *ledger.Job {
	if len(tr.jobs) == 0 || rapid.IntRange(0, 4).Draw(t, "new") == 0 {
		return nil
	}
	j := led.Job(rapid.SampledFrom(tr.jobs).Draw(t, "job"))
	if j == nil || j.Cancelled {
		return nil
	}
	return j
}

func sourceOf(state map[string][]byte, store bool) Source {
	s := Source{FromStore: store}
	for i, k := range slices.Sorted(maps.Keys(state)) {
		v := Value{Key: k, Data: state[k]}
		if store {
			v.ModRevision = uint64(i + 1)
		}
		s.Values = append(s.Values, v)
	}
	return s
}

// apply makes the first n writes, guarded as they are.
func apply(t *rapid.T, store map[string][]byte, r Result, n int) map[string][]byte {
	stamps := map[string]uint64{}
	for _, v := range sourceOf(store, true).Values {
		stamps[v.Key] = v.ModRevision
	}
	out := maps.Clone(store)
	for _, w := range r.Writes[:n] {
		if stamps[w.Key] != w.ModRevision {
			t.Fatalf("%s is guarded by %d, is %d", w.Key, w.ModRevision, stamps[w.Key])
		}
		if w.Data == nil {
			delete(out, w.Key)
		} else {
			out[w.Key] = w.Data
		}
	}
	return out
}

// From one full copy, whatever the state service has lost or gone back to and however old
// the other copies are, all that matters comes back; it comes back the same from a
// rebuild that was cut short after any of its writes; and what is whole needs no writes.
func TestMergeRecoversEverything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := simulateHistory(t)
		last := len(tr.states) - 1
		store := maps.Clone(tr.states[rapid.IntRange(0, last).Draw(t, "back to")])
		if rapid.Bool().Draw(t, "holes") {
			for _, k := range slices.Sorted(maps.Keys(store)) {
				switch rapid.IntRange(0, 5).Draw(t, "key") {
				case 0:
					delete(store, k)
				case 1:
					store[k] = []byte(`"rot"`)
				}
			}
		}
		copies := []Source{
			sourceOf(tr.states[last], false),
			sourceOf(tr.states[rapid.IntRange(0, last).Draw(t, "old copy")], false),
		}
		r, err := Merge(append(slices.Clone(copies), sourceOf(store, true)), "w", testAttemptBase, testMaxValueBytes)
		if err != nil {
			t.Fatal(err)
		}
		checkAgainstTruth(t, tr, r)
		whole := apply(t, store, r, len(r.Writes))
		again, err := Merge([]Source{sourceOf(whole, true)}, "w", 2*testAttemptBase, testMaxValueBytes)
		if err != nil {
			t.Fatal(err)
		}
		checkAgainstTruth(t, tr, again)
		for _, w := range again.Writes {
			// Chunks of jobs that are done are left to be tidied; nothing else is.
			t.Fatalf("%s is written though nothing is lost", w.Key)
		}
		for n := range r.Writes {
			part := apply(t, store, r, n)
			later, err := Merge(append(slices.Clone(copies), sourceOf(part, true)), "w", testAttemptBase, testMaxValueBytes)
			if err != nil {
				t.Fatal(err)
			}
			checkAgainstTruth(t, tr, later)
		}
	})
}

// checkAgainstTruth holds a result against the truth.
func checkAgainstTruth(t *rapid.T, tr *groundTruth, r Result) {
	live := map[string]bool{}
	for _, v := range r.LiveJobs {
		live[strings.TrimPrefix(v.Key, ledger.LivePrefix)] = true
	}
	claims, done := map[string]ledger.ClaimRecord{}, map[string]bool{}
	for _, v := range r.Chunks {
		ref, n, _ := ledger.ParseChunkKey(v.Key)
		s, err := ledger.DecodeChunkRecord(v.Data)
		if err != nil {
			t.Fatal(err)
		}
		for i, c := range s.Claims {
			claims[ledger.Task{JobRef: ref, Index: n*2 + i}.String()] = c
		}
		for i := range s.Done {
			done[ledger.Task{JobRef: ref, Index: n*2 + i}.String()] = true
		}
	}
	for _, ref := range tr.jobs {
		if tr.ended[ref] == "" {
			if !live[ref] || r.Ends[ref] != nil {
				t.Fatalf("%s is not alive", ref)
			}
			continue
		}
		var e ledger.EndRecord
		if err := json.Unmarshal(r.Ends[ref], &e); err != nil || e.Phase != tr.ended[ref] || live[ref] {
			t.Fatalf("%s ended as %q, not %q; alive: %v", ref, tr.ended[ref], e.Phase, live[ref])
		}
	}
	for task := range tr.done {
		if id, _ := ledger.ParseTask(task); tr.ended[id.JobRef] == "" && !done[task] {
			t.Fatalf("%s was done", task)
		}
	}
	for task, c := range tr.latest {
		id, _ := ledger.ParseTask(task)
		if tr.ended[id.JobRef] == wire.PhaseDone {
			continue
		}
		if got, ok := claims[task]; !ok || got.Attempt != c.Attempt || got.Worker != c.Worker {
			t.Fatalf("%s is claimed as %v, not %v", task, got, c)
		}
	}
	if len(r.OrphanedJobs) > 0 {
		t.Fatalf("orphans %v", r.OrphanedJobs)
	}
}
