package ledger

import (
	"errors"
	"testing"
	"time"

	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// A claim of a history that was lost counts, and goes only for a later try or by proof; a
// task that a machine has is taken in once; tries go on where none was given out.
func TestAdopt(t *testing.T) {
	const base = 1 << 20
	claim := func(host string, try uint64) Claim { return Claim{Host: host, Tenure: 1, Try: try, Zone: "a"} }
	for _, tc := range []struct {
		name  string
		index int
		c     Claim
		prep  func(l *Ledger, j *Job)
		taken bool
		used  float64 // CPUs after
	}{
		{"not known to be there", 3, claim("b", 7), nil, true, 2},
		{"a later try than is remembered", 0, claim("b", 7), nil, true, 1},
		{"an earlier one", 0, claim("b", 1), nil, false, 1},
		{"the same try elsewhere", 0, claim("b", 2), nil, false, 1},
		{"a later try of what was seen on its machine", 0, claim("b", 7), func(l *Ledger, j *Job) { j.claims[0].Unsure = false }, false, 1},
		{"of a task that is done", 1, claim("b", 7), nil, false, 1},
		{"of a job that is withdrawn", 3, claim("b", 7), func(l *Ledger, j *Job) { l.Withdraw("r") }, false, 1},
		{"no task of the job", 6, claim("b", 7), nil, false, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := New("w", []settings.Team{{Name: "t", CPUsMax: 10}})
			j := l.Add("r", Record{Job: wire.Job{ID: "r", Team: "t", Kind: wire.KindArray, TaskCount: 6, CPUs: 1}, Chunk: 4}, 3)
			data, err := Stored{Seq: 2, Done: map[int]bool{1: true}, Claims: map[int]Claim{0: claim("a", 2)}}.Encode("w", 1<<10)
			if err != nil {
				t.Fatal(err)
			}
			if err := l.Load(ChunkKey("r", 0), data, 4, 8); err != nil {
				t.Fatal(err)
			}
			l.Loaded()
			l.Doubt(base)
			if tc.prep != nil {
				tc.prep(l, j)
			}
			if got := l.Adopt(j, tc.index, tc.c, 8); (got != nil) != tc.taken {
				t.Fatalf("taken: %v", got)
			}
			if u := l.Usage("t").CPUs; u != tc.used {
				t.Errorf("the team uses %v, want %v", u, tc.used)
			}
			if tc.taken {
				if l.Adopt(j, tc.index, tc.c, 8) != nil {
					t.Error("taken in twice")
				}
				if n := j.WaitingTasks() + j.Active() + j.Done(); n != 6 {
					t.Errorf("%d tasks in all", n)
				}
			}
			for j.WaitingTasks() > 0 {
				h, err := l.Claim(j, "n", 1, "a")
				if err != nil {
					t.Fatal(err)
				}
				if h.Try <= base || h.Index == tc.index && tc.taken {
					t.Errorf("task %d is claimed as try %d", h.Index, h.Try)
				}
			}
		})
	}
}

// What is reserved for tasks of unknown jobs counts against every team.
func TestReserve(t *testing.T) {
	l := New("w", []settings.Team{{Name: "t", CPUsMax: 4}, {Name: "u", CPUsMax: 2}})
	j := l.Add("r", Record{Job: wire.Job{ID: "r", Team: "t", Kind: wire.KindArray, TaskCount: 6, CPUs: 1}, Chunk: 4}, 3)
	k := l.Add("s", Record{Job: wire.Job{ID: "s", Team: "u", Kind: wire.KindGang, TaskCount: 2, CPUs: 1}, Chunk: 4}, 3)
	if l.Headroom(j) != 4 || !l.MayAll(k) {
		t.Fatal("before")
	}
	l.Reserve(3, 0)
	if l.Headroom(j) != 1 || l.Headroom(k) != 0 || l.MayAll(k) || !errors.Is(l.May(k, "a"), ErrQuota) || l.May(j, "a") != nil {
		t.Errorf("room for %d and %d", l.Headroom(j), l.Headroom(k))
	}
	l.Reserve(0, 0)
	if l.Headroom(j) != 4 {
		t.Error("after")
	}
}

// What is read of a stored chunk is what is stored again, and a key written again has
// its new stamp guarded.
func TestStored(t *testing.T) {
	s := Stored{Seq: 9, Block: 3, Done: map[int]bool{0: true, 9: true}, Claims: map[int]Claim{2: {Host: "h", Tenure: 4, Try: 9, Zone: "z"}}}
	for _, limit := range []int{1 << 10, 150} { // plain, and packed
		data, err := s.Encode("w", limit)
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeStored(data)
		if err != nil || got.Seq != 9 || got.Block != 3 || !got.Done[9] || len(got.Done) != 2 || got.Claims[2] != s.Claims[2] {
			t.Errorf("%d: %+v, %v", limit, got, err)
		}
	}
	l := New("w", nil)
	j := l.Add("r", Record{Job: wire.Job{ID: "r", Kind: wire.KindArray, TaskCount: 3}, Chunk: 4}, 3)
	data, err := Stored{Seq: 1, Claims: map[int]Claim{0: {Host: "h", Tenure: 1, Try: 1, Zone: "z"}}}.Encode("w", 1<<10)
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Load(ChunkKey("r", 0), data, 0, 1); err != nil {
		t.Fatal(err)
	}
	l.Loaded()
	l.Restamp(LiveKey("r"), 21)
	l.Restamp(ChunkKey("r", 0), 22)
	l.Restamp(ChunkKey("x", 0), 23)
	l.Free(j.claims[0], time.Time{})
	b := l.Next(Limits{Ops: 8, Bytes: 1 << 20, Value: 1 << 10}, time.Time{})
	if j.Stamp() != 21 || len(b.Guards) != 1 || b.Guards[0].ModRevision != 22 {
		t.Errorf("guards %v, job %d", b.Guards, j.Stamp())
	}
}
