package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

var now = time.Unix(5000, 0)

func limits(ops int) Limits { return Limits{Ops: ops, Bytes: 40 << 10, Value: 16 << 10} }

func teams() []settings.Team {
	return []settings.Team{{Name: "a", CPUs: 8, CPUsMax: 16}, {Name: "b", CPUs: 100, CPUsMax: 100}}
}

func job(owner, shape string, n int, cores float64) Record {
	return Record{Job: wire.Job{Team: owner, Kind: shape, TaskCount: n, CPUs: cores}, Chunk: 8}
}

func TestMay(t *testing.T) {
	for _, tc := range []struct {
		name  string
		rec   Record
		tweak func(*wire.Job)
		zones []string // claims made before
		zone  string
		want  error
	}{
		{"plain", job("b", wire.KindArray, 4, 1), nil, nil, "x", nil},
		{"limit reached by one's own claims", job("a", wire.KindArray, 9, 4), nil, []string{"x", "x", "y", "y"}, "x", ErrQuota},
		{"just within the limit", job("a", wire.KindArray, 9, 4), nil, []string{"x", "x", "y"}, "x", nil},
		{"none left", job("b", wire.KindArray, 1, 1), nil, []string{"x"}, "x", ErrNoTask},
		{"unknown team", job("c", wire.KindArray, 1, 1), nil, nil, "x", ErrQuota},
		{"locale", job("b", wire.KindArray, 1, 1), func(j *wire.Job) { j.Zone = "y" }, nil, "x", ErrPlace},
		{"scatter: 5 of 9", job("b", wire.KindService, 9, 1), func(j *wire.Job) { j.SpreadZones = true }, []string{"x", "x", "x", "x"}, "x", nil},
		{"scatter: not 6 of 9", job("b", wire.KindService, 9, 1), func(j *wire.Job) { j.SpreadZones = true }, []string{"x", "x", "x", "x", "x"}, "x", ErrPlace},
		{"scatter: 1 of 1", job("b", wire.KindService, 1, 1), func(j *wire.Job) { j.SpreadZones = true }, nil, "x", nil},
		{"same place", job("b", wire.KindArray, 3, 1), func(j *wire.Job) { j.SingleZone = true }, []string{"y"}, "x", ErrPlace},
		{"same place kept", job("b", wire.KindArray, 3, 1), func(j *wire.Job) { j.SingleZone = true }, []string{"x"}, "x", nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := New("w", teams())
			if tc.tweak != nil {
				tc.tweak(&tc.rec.Job)
			}
			j := l.Add("req-1", tc.rec, 1)
			for i, z := range tc.zones {
				if _, err := l.Claim(j, fmt.Sprint("h", i), 1, z); err != nil {
					t.Fatal(err)
				}
			}
			if err := l.May(j, tc.zone); !errors.Is(err, tc.want) {
				t.Errorf("got %v, want %v", err, tc.want)
			}
		})
	}
}

// A claim whose task's fate is unknown counts in the quota and the spread
// until it is freed.
func TestClaimCountsUntilFreed(t *testing.T) {
	l := New("w", teams())
	j := l.Add("req-1", job("a", wire.KindArray, 9, 16), 1)
	h, err := l.Claim(j, "h", 1, "x")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := l.Claim(j, "g", 1, "x"); !errors.Is(err, ErrQuota) {
		t.Fatalf("second claim: %v", err)
	}
	l.Free(h, now)
	l.Free(h, now) // a second proof changes nothing
	if u := l.Usage("a"); u.CPUs != 0 {
		t.Errorf("usage %v after freeing", u)
	}
	again, err := l.Claim(j, "g", 1, "x")
	if err != nil || again.Index != h.Index || again.Try <= h.Try {
		t.Errorf("claimed again as %+v, %v: the try must rise", again, err)
	}
}

// A finish is told to the worker as reapable only once durable.
func TestFinishStaysUntilDurable(t *testing.T) {
	l := New("w", teams())
	j := l.Add("req-1", job("b", wire.KindArray, 1, 1), 7)
	h, _ := l.Claim(j, "h", 1, "x")
	b := l.Next(limits(16), now)
	if r := l.Committed(b, 8); len(r.Claims) != 1 || !h.Committed {
		t.Fatalf("claims %v", r.Claims)
	}
	l.Finish(h)
	if l.OnHost("h")[h.Task()] == nil {
		t.Fatal("the claim went before its finish was durable")
	}
	b = l.Next(limits(16), now)
	var keys []string
	for _, c := range b.Apply {
		keys = append(keys, c.Put+c.Delete)
	}
	if got := strings.Join(keys, " "); got != "c/req-1/0 j/req-1 d/req-1" {
		t.Errorf("wrote %s", got)
	}
	if r := l.Committed(b, 9); len(r.Over) != 1 || len(r.Ended) != 1 {
		t.Errorf("result %+v", r)
	}
	if l.OnHost("h") != nil || l.Job("req-1") != nil {
		t.Error("something is left of a job that is done")
	}
}

// A claim never reaches the store once its job is withdrawn: the guard on the
// live key fails, and the claim, never launched, is dropped.
func TestWithdrawnBeforeCommit(t *testing.T) {
	l := New("w", teams())
	j := l.Add("req-1", job("b", wire.KindService, 2, 1), 7)
	if _, err := l.Claim(j, "h", 1, "x"); err != nil {
		t.Fatal(err)
	}
	b := l.Next(limits(16), now)
	guarded := false
	for _, g := range b.Guards {
		guarded = guarded || g.Key == "j/req-1" && g.ModRevision == 7
	}
	if !guarded {
		t.Fatal("a claim is not guarded on its job being live")
	}
	l.Withdraw("req-1")
	if len(l.OnHost("h")) != 1 {
		t.Fatal("the fate of a claim being written is not known yet")
	}
	l.Failed(b)
	if len(l.OnHost("h")) != 0 || l.Usage("b").CPUs != 0 {
		t.Error("the claim outlived its failed write")
	}
}

// A claim that may have been launched stands after a withdrawal until proof.
func TestWithdrawnAfterLaunch(t *testing.T) {
	l := New("w", teams())
	j := l.Add("req-1", job("b", wire.KindService, 1, 1), 7)
	h, _ := l.Claim(j, "h", 1, "x")
	l.Committed(l.Next(limits(16), now), 8)
	h.Sent = true
	l.Withdraw("req-1")
	if l.Usage("b").CPUs != 1 {
		t.Fatal("a task that may run no longer counts")
	}
	l.Free(h, now)
	b := l.Next(limits(16), now)
	if b == nil || len(b.Apply) != 1 || b.Apply[0].Delete != "c/req-1/0" {
		t.Fatalf("batch %+v", b)
	}
	l.Committed(b, 9)
	if l.Job("req-1") != nil {
		t.Error("the job is not forgotten")
	}
}

// A job withdrawn after its last task finished but before that was durable
// leaves nothing behind.
func TestWithdrawnWhileFinishing(t *testing.T) {
	l := New("w", teams())
	j := l.Add("req-1", job("b", wire.KindArray, 1, 1), 7)
	h, _ := l.Claim(j, "h", 1, "x")
	l.Committed(l.Next(limits(16), now), 8)
	l.Finish(h)
	b := l.Next(limits(16), now)
	l.Failed(b)
	l.Withdraw("req-1")
	for range 3 {
		if b := l.Next(limits(16), now); b != nil {
			l.Committed(b, 10)
		}
	}
	if l.Job("req-1") != nil || l.Usage("b").CPUs != 0 {
		t.Error("something is left")
	}
}

func TestGangSharesATry(t *testing.T) {
	l := New("w", teams())
	j := l.Add("req-1", job("b", wire.KindGang, 20, 1), 7)
	for round := uint64(1); round < 4; round++ {
		if !l.MayAll(j) {
			t.Fatal("the gang may not start")
		}
		for i := range 20 {
			h, err := l.Claim(j, fmt.Sprint("h", i), 1, "x")
			if err != nil || h.Try != round {
				t.Fatalf("round %d: %+v %v", round, h, err)
			}
		}
		for _, h := range l.HeldBy(j) {
			if l.MayAll(j) {
				t.Fatal("a gang may start while members of its last start are left")
			}
			l.Free(h, now)
		}
	}
}

func TestBatchLimits(t *testing.T) {
	l := New("w", []settings.Team{{Name: "a", CPUsMax: 1e6}})
	j := l.Add("req-1", job("a", wire.KindArray, 1000, 1), 7)
	for range 1000 {
		l.Claim(j, "host-with-a-name", 1, "zone-with-a-name")
	}
	seen := 0
	for b := l.Next(Limits{Ops: 12, Bytes: 8 << 10, Value: 16 << 10}, now); b != nil; b = l.Next(Limits{Ops: 12, Bytes: 8 << 10, Value: 16 << 10}, now) {
		if len(b.Apply) > 12 {
			t.Fatalf("%d changes in a batch", len(b.Apply))
		}
		for _, c := range b.Apply {
			if len(c.Value) > 1<<10 {
				t.Fatalf("a value of %d bytes", len(c.Value))
			}
		}
		seen += len(l.Committed(b, 9).Claims)
	}
	if seen != 1000 {
		t.Errorf("%d claims became durable", seen)
	}
}

// store applies batches as the state service would.
type store map[string]json.RawMessage

func (s store) apply(b *Batch) {
	for _, c := range b.Apply {
		if c.Put != "" {
			s[c.Put] = c.Value
		} else {
			delete(s, c.Delete)
		}
	}
}

// TestTakeover runs a job through random claims, ends, finishes and failed
// writes, and has a new leader read what is stored after each write: it must
// find each durable claim, every durable finish and no task twice.
func TestTakeover(t *testing.T) {
	for seed := range uint64(40) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		s := store{}
		l := New("w", teams())
		rec := job("b", wire.KindArray, 30, 1)
		j := l.Add("req-1", rec, 1)
		durable := map[int]Claim{}
		for step := uint64(2); l.Job("req-1") != nil && step < 3000; step++ {
			switch held := l.HeldBy(j); {
			case rnd.IntN(2) == 0 && j.WaitingTasks() > 0:
				l.Claim(j, fmt.Sprint("h", rnd.IntN(4)), 1, "x")
			case len(held) > 0:
				if h := held[rnd.IntN(len(held))]; !h.Committed || h.Over {
				} else if rnd.IntN(2) == 0 {
					l.Finish(h)
				} else {
					l.Free(h, now)
				}
			}
			b := l.Next(limits(4), now)
			if b == nil {
				continue
			}
			if rnd.IntN(3) == 0 {
				l.Failed(b)
				continue
			}
			s.apply(b)
			l.Committed(b, step)
			clear(durable)
			for _, h := range l.HeldBy(j) {
				if h.Committed && !h.Over {
					durable[h.Index] = h.Claim
				}
			}
			if s["d/req-1"] != nil {
				continue
			}
			n := New("n", teams())
			k := n.Add("req-1", rec, 1)
			for key, data := range s {
				if err := n.Load(key, data, 5, 1); err != nil {
					t.Fatal(err)
				}
			}
			n.Loaded()
			for i, c := range durable {
				if got := n.OnHost(c.Host)[Task{"req-1", i}]; got == nil || got.Claim != c {
					t.Fatalf("seed %d: durable claim of task %d on %s is not found", seed, i, c.Host)
				}
			}
			if n := k.WaitingTasks() + k.Active() + k.Done(); n != 30 {
				t.Fatalf("seed %d: %d tasks accounted for", seed, n)
			}
		}
		if l.Job("req-1") != nil || len(s) != 1 {
			t.Fatalf("seed %d: the job did not end: %v", seed, s)
		}
	}
}

func FuzzChunk(f *testing.F) {
	f.Add([]byte(`{"q":3,"d":"AQ","c":["1 h 2 3 z"],"w":"x"}`))
	f.Add([]byte(`{"q":3,"d":"AQ","z":"MlTIUDBSMFaoAgQAAP//","w":"x"}`))
	f.Add([]byte(`{"q":3,"z":"AAAA","w":"x"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := decodeChunk(data, 1)
		if err != nil {
			return
		}
		out, err := c.encode("w", 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		again, err := decodeChunk(out, 1)
		if err != nil || len(again.claims) != len(c.claims) || again.done.count() != c.done.count() {
			t.Fatalf("%q became %q: %v", data, out, err)
		}
		for _, cl := range c.claims {
			if strings.Contains(cl.Zone+cl.Host, "\n") {
				return // a line each: no name of the platform's has one
			}
		}
		small, err := pack(out)
		if err != nil {
			t.Fatal(err)
		}
		again, err = decodeChunk(small, 1)
		if err != nil || !maps.Equal(again.claims, c.claims) {
			t.Fatalf("%q packed as %q: %v", out, small, err)
		}
	})
}

// The largest job the protocol allows runs to its end in small values and
// batches, and a leader that takes over midway goes on from there.
func TestLargestJob(t *testing.T) {
	const n = 100_000
	ts := []settings.Team{{Name: "a", CPUsMax: 500}}
	rec := Record{Job: wire.Job{Team: "a", Kind: wire.KindArray, TaskCount: n, CPUs: 1}, Chunk: ChunkTasks(16, 16)}
	s := store{}
	l := New("w", ts)
	j := l.Add("req-1", rec, 1)
	gen := uint64(1)
	flush := func() {
		for b := l.Next(limits(16), now); b != nil; b = l.Next(limits(16), now) {
			gen++
			for _, c := range b.Apply {
				if len(c.Value) > 16<<10/4 {
					t.Fatalf("a value of %d bytes", len(c.Value))
				}
			}
			s.apply(b)
			l.Committed(b, gen)
		}
	}
	for round := 0; l.Job("req-1") != nil; round++ {
		for i := 0; ; i++ {
			if _, err := l.Claim(j, fmt.Sprintf("i-%06d", i%50), 1, "zone"); err != nil {
				break
			}
		}
		flush()
		if round == 100 {
			l = New("x", ts)
			j = l.Add("req-1", rec, 1)
			for key, data := range s {
				if err := l.Load(key, data, gen, 1); err != nil {
					t.Fatal(err)
				}
			}
			l.Loaded()
			if j.Done() != 100*500 || j.Active() != 500 || j.WaitingTasks() != n-101*500 {
				t.Fatalf("took over %d done, %d active, %d waiting", j.Done(), j.Active(), j.WaitingTasks())
			}
		}
		for _, h := range l.HeldBy(j) {
			l.Finish(h)
		}
		flush()
		if round > n/500 {
			t.Fatal("the job does not end")
		}
	}
	if len(s) != 1 {
		t.Errorf("%d keys are left of a job that is done", len(s))
	}
}

// What a host's claims take, and how many are not durable, is kept as they come
// and go; counted afresh it is the same.
func TestSumsEqualRecount(t *testing.T) {
	l := New("w", []settings.Team{{Name: "t", CPUs: 1e6, CPUsMax: 1e6}})
	rnd := rand.New(rand.NewPCG(3, 4))
	var held []*Held
	for i := range 2000 {
		ref := fmt.Sprintf("req-%d", rnd.IntN(12))
		j := l.Job(ref)
		if j == nil {
			j = l.Add(ref, Record{Job: wire.Job{Team: "t", Kind: wire.KindArray, TaskCount: 40, CPUs: 0.1 + float64(rnd.IntN(9)), MemoryGB: 1.3}, Chunk: 8}, uint64(i+1))
		}
		switch k := rnd.IntN(10); {
		case k < 5:
			if h, err := l.Claim(j, fmt.Sprintf("h%d", rnd.IntN(5)), 1, "a"); err == nil {
				held = append(held, h)
			}
		case k < 6 && len(held) > 0:
			l.Free(held[rnd.IntN(len(held))], now)
		case k < 8 && len(held) > 0:
			l.Finish(held[rnd.IntN(len(held))])
		case k < 9:
			if b := l.Next(limits(16), now); b != nil {
				if rnd.IntN(4) > 0 {
					l.Committed(b, uint64(10000+i))
				} else {
					l.Failed(b)
				}
			}
		default:
			if rnd.IntN(20) == 0 {
				l.Withdraw(ref)
			}
		}
		for _, j := range l.Jobs() {
			for n, c := range j.chunks {
				fresh := 0
				for i := n * j.size; i < (n+1)*j.size; i++ {
					if h := j.claims[i]; h != nil && !h.Committed {
						fresh++
					}
				}
				if fresh != c.fresh {
					t.Fatalf("step %d, %s/%d: %d claims not durable, counted %d", i, j.Ref, n, c.fresh, fresh)
				}
			}
		}
		for n := range 5 {
			host := fmt.Sprintf("h%d", n)
			var want Amount
			for _, h := range l.OnHost(host) {
				if !h.Over {
					want.add(&h.Job.Spec, 1)
				}
			}
			got := l.Used(host)
			if math.Abs(got.Cores-want.Cores) > 1e-9 || math.Abs(got.RAM-want.RAM) > 1e-9 || got.Accel != want.Accel {
				t.Fatalf("step %d, %s: %+v, counted %+v", i, host, got, want)
			}
		}
	}
}

// Where not all fits a batch, claims go first: their tasks wait for it.
func TestClaimsAreWrittenFirst(t *testing.T) {
	l := New("w", teams())
	old := l.Add("req-1", Record{Job: wire.Job{Team: "b", Kind: wire.KindArray, TaskCount: 4, CPUs: 1}, Chunk: 4}, 1)
	h, err := l.Claim(old, "h1", 1, "a")
	if err != nil {
		t.Fatal(err)
	}
	l.Committed(l.Next(limits(16), now), 2)
	l.Finish(h)
	if l.Urgent() {
		t.Error("a finish alone is urgent")
	}
	young := l.Add("req-2", Record{Job: wire.Job{Team: "b", Kind: wire.KindArray, TaskCount: 4, CPUs: 1}, Chunk: 4}, 3)
	if _, err := l.Claim(young, "h1", 1, "a"); err != nil {
		t.Fatal(err)
	}
	if !l.Urgent() {
		t.Error("a claim is not urgent")
	}
	if b := l.Next(limits(1), now); len(b.Refs()) != 1 || b.Refs()[0] != "req-2" {
		t.Errorf("first %v, want the claim", b.Refs())
	}
}

// What others wait for is written first, and alone while the budget is short:
// the end of a needed job, then claims, then other ends, then plain finishes.
func TestOrderOfWrites(t *testing.T) {
	l := graph("1", "2", "3 1")
	l.Add("req-4", Record{Job: wire.Job{Team: "b", Kind: wire.KindArray, TaskCount: 3, CPUs: 1}, Chunk: 4}, 9)
	held := map[string]*Held{}
	for _, ref := range []string{"req-4", "req-2", "req-1"} {
		h, err := l.Claim(l.Job(ref), "h", 1, "x")
		if err != nil {
			t.Fatal(err)
		}
		held[ref] = h
	}
	l.Committed(l.Next(limits(16), now), 10)
	for _, ref := range []string{"req-4", "req-2", "req-1"} {
		l.Finish(held[ref])
	}
	l.Add("req-5", job("b", wire.KindArray, 1, 1), 12)
	if _, err := l.Claim(l.Job("req-5"), "h", 1, "x"); err != nil {
		t.Fatal(err)
	}
	idle := limits(3)
	idle.Idle = true
	b := l.Next(idle, now)
	if got := fmt.Sprint(b.Refs()); got != "[req-4]" {
		t.Errorf("of what nothing waits for, %s is written", got)
	}
	l.Failed(b)
	var got []string
	lim := limits(3)
	for lim.Urgent = true; l.Urgent(); {
		b := l.Next(lim, now)
		got = append(got, b.Refs()...)
		l.Committed(b, 11)
	}
	if fmt.Sprint(got) != "[req-1 req-5 req-2]" {
		t.Errorf("written %v, want the needed job's end, the claim, the other end, and no plain finish", got)
	}
	if b := l.Next(limits(3), now); b == nil || b.Refs()[0] != "req-4" {
		t.Error("the finish is not written in the end")
	}
}

// A task that is over is gone from its machine: before its finish is durable its
// team may claim another in its place, and once it is, nothing is freed twice.
func TestOverTakesNothing(t *testing.T) {
	l := New("w", teams())
	j := l.Add("req-1", job("a", wire.KindArray, 3, 16), 1)
	h, _ := l.Claim(j, "h", 1, "x")
	l.Committed(l.Next(limits(16), now), 2)
	l.Finish(h)
	if u := l.Usage("a"); u.CPUs != 0 {
		t.Fatalf("%v CPUs", u.CPUs)
	}
	if _, err := l.Claim(j, "g", 1, "x"); err != nil {
		t.Fatal(err)
	}
	l.Committed(l.Next(limits(16), now), 3)
	if u := l.Usage("a"); u.CPUs != 16 {
		t.Errorf("%v CPUs, want one task's", u.CPUs)
	}
}
