package ledger

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"rillflow/internal/wire"
)

func fmtHost(form string, i int) string { return fmt.Sprintf(form, i) }

// graph makes a ledger of small jobs from lines like "3 1 2": req-3 needs req-1
// and req-2.
func graph(lines ...string) *Ledger {
	l := New("w", teams())
	for i, s := range lines {
		f := strings.Fields(s)
		rec := job("b", wire.KindArray, 1, 1)
		for _, n := range f[1:] {
			rec.Job.DependsOn = append(rec.Job.DependsOn, "req-"+n)
		}
		l.Add("req-"+f[0], rec, uint64(i+1))
	}
	return l
}

// finish runs a job of one task to its durable end.
func finish(t *testing.T, l *Ledger, ref string, at time.Time) Result {
	t.Helper()
	h, err := l.Claim(l.Job(ref), "h", 1, "x")
	if err != nil {
		t.Fatalf("%s: %v", ref, err)
	}
	l.Committed(l.Next(limits(16), at), 100)
	l.Finish(h)
	return l.Committed(l.Next(limits(16), at), 101)
}

func refs(js []*Job) string {
	var rs []string
	for _, j := range js {
		rs = append(rs, strings.TrimPrefix(j.Ref, "req-"))
	}
	slices.Sort(rs)
	return strings.Join(rs, " ")
}

// No task of a job may be claimed until what it needs is durably done: a finish
// that was only reported may still lose against a withdrawal.
func TestNeedsAreDurable(t *testing.T) {
	l := graph("1", "2", "3 1 2")
	j := l.Job("req-3")
	may := func() bool { return l.May(j, "x") == nil }
	if may() || j.WaitingTasks() != 0 {
		t.Fatal("it may start before what it needs")
	}
	finish(t, l, "req-1", now)
	if may() {
		t.Fatal("it may start with one of two done")
	}
	h, _ := l.Claim(l.Job("req-2"), "h", 1, "x")
	l.Committed(l.Next(limits(16), now), 102)
	l.Finish(h)
	b := l.Next(limits(16), now.Add(time.Minute))
	if may() {
		t.Fatal("it may start on a finish that is not durable")
	}
	if r := l.Committed(b, 103); refs(r.Ready) != "3" || !may() {
		t.Errorf("ready %q", refs(r.Ready))
	}
	if want := now.Add(time.Minute); !j.ReadyAt.Equal(want) || !j.WaitingSince.Equal(want) {
		t.Errorf("ready at %v, waiting since %v", j.ReadyAt, j.WaitingSince)
	}
}

// A withdrawal reaches everything after it once, through chains and diamonds,
// and nothing else.
func TestWithdrawalIsCarried(t *testing.T) {
	for _, tc := range []struct {
		name  string
		lines []string
		gone  string
		want  string
	}{
		{"alone", []string{"1", "2"}, "1", ""},
		{"chain", []string{"1", "2 1", "3 2", "4 3"}, "1", "2 3 4"},
		{"from the middle", []string{"1", "2 1", "3 2", "4 3"}, "3", "4"},
		{"the last one leaves what it needs alone", []string{"1", "2 1", "3 2"}, "3", ""},
		{"diamond", []string{"1", "2 1", "3 1", "4 2 3", "5"}, "1", "2 3 4"},
		{"one side of a diamond", []string{"1", "2 1", "3 1", "4 2 3"}, "2", "4"},
		{"fan", []string{"1", "2 1", "3 1", "4 1", "5 4"}, "1", "2 3 4 5"},
		{"read in another order", []string{"4 3", "3 2", "2 1", "1"}, "1", "2 3 4"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := graph(tc.lines...)
			l.Withdraw("req-" + tc.gone)
			var got []*Job
			for js := l.ToWithdraw(2); len(js) > 0; js = l.ToWithdraw(2) {
				for _, j := range js {
					if j.Doomed() == "" || j.WaitingTasks() != 0 {
						t.Errorf("%s: because of %q, %d tasks wait", j.Ref, j.Doomed(), j.WaitingTasks())
					}
					got = append(got, j)
					l.Withdraw(j.Ref)
				}
			}
			if refs(got) != tc.want {
				t.Errorf("carried to %q, want %q", refs(got), tc.want)
			}
			if len(l.Unknown()) != 0 {
				t.Errorf("still asks for %v", l.Unknown())
			}
		})
	}
}

// What ended before this leader's time, or before a late needer came, is asked
// for; each answer is taken once.
func TestLookedUp(t *testing.T) {
	l := graph("3 1 2", "4 3")
	if got := fmt.Sprint(l.Unknown()); got != "[req-1 req-2]" {
		t.Fatalf("asks for %s", got)
	}
	at := now.Add(time.Minute)
	if r := l.Settle("req-1", true, at); len(r) != 0 {
		t.Error("ready with one of two")
	}
	if r := l.Settle("req-2", true, now); refs(r) != "3" || !r[0].ReadyAt.Equal(at) {
		t.Errorf("ready %q", refs(r))
	}
	if r := l.Settle("req-2", true, now); len(r) != 0 || len(l.Unknown()) != 0 {
		t.Error("taken twice")
	}

	l = graph("1", "2 1")
	finish(t, l, "req-1", now)
	late := job("b", wire.KindArray, 1, 1)
	late.Job.DependsOn = []string{"req-1"}
	j := l.Add("req-9", late, 50)
	if j.Ready() || fmt.Sprint(l.Unknown()) != "[req-1]" {
		t.Errorf("ready %v, asks for %v", j.Ready(), l.Unknown())
	}
	l.Settle("req-1", false, now)
	if refs(l.ToWithdraw(9)) != "9" {
		t.Errorf("to be withdrawn: %q", refs(l.ToWithdraw(9)))
	}
	// Who names it from now on shares its fate at once.
	after := job("b", wire.KindArray, 1, 1)
	after.Job.DependsOn = []string{"req-9"}
	l.Add("req-10", after, 51)
	if refs(l.ToWithdraw(9)) != "10 9" {
		t.Errorf("to be withdrawn: %q", refs(l.ToWithdraw(9)))
	}
}

// Random graphs, withdrawals and finishes: each job ends done only after all it
// needs, or withdrawn exactly when something before it was.
func TestRandomGraphs(t *testing.T) {
	for seed := range uint64(60) {
		rnd := rand.New(rand.NewPCG(seed, 5))
		var lines []string
		for i := range 40 {
			s := fmt.Sprint(i)
			for range rnd.IntN(4) {
				if i > 0 {
					s += fmt.Sprint(" ", rnd.IntN(i))
				}
			}
			lines = append(lines, s)
		}
		l := graph(lines...)
		done, gone := map[string]bool{}, map[string]bool{}
		for len(l.Jobs()) > 0 {
			var live []string
			for ref, j := range l.Jobs() {
				if j.WaitingTasks() > 0 || rnd.IntN(10) == 0 {
					live = append(live, ref)
				}
			}
			slices.Sort(live)
			if len(live) == 0 {
				continue
			}
			ref := live[rnd.IntN(len(live))]
			if j := l.Job(ref); j.WaitingTasks() > 0 && rnd.IntN(8) > 0 {
				for _, n := range j.Spec.DependsOn {
					if !done[n] {
						t.Fatalf("seed %d: %s may start before %s", seed, ref, n)
					}
				}
				finish(t, l, ref, now)
				done[ref] = true
				continue
			}
			l.Withdraw(ref)
			gone[ref] = true
			for js := l.ToWithdraw(1 + rnd.IntN(3)); len(js) > 0; js = l.ToWithdraw(2) {
				for _, j := range js {
					if !slices.ContainsFunc(j.Spec.DependsOn, func(n string) bool { return gone[n] || l.Job(n) != nil && l.Job(n).Doomed() != "" }) {
						t.Fatalf("seed %d: %s is withdrawn for nothing", seed, j.Ref)
					}
					l.Withdraw(j.Ref)
					gone[j.Ref] = true
				}
			}
		}
		if len(done)+len(gone) != 40 {
			t.Fatalf("seed %d: %d done, %d withdrawn", seed, len(done), len(gone))
		}
		if len(l.needers) != 0 || len(l.ToWithdraw(1)) != 0 {
			t.Fatalf("seed %d: something is left", seed)
		}
	}
}
