package control

import (
	"slices"
	"testing"
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// What has waited for too long goes first within its type and tier, the oldest first; not a
// service, of which a part may run, and not ahead of what its team is guaranteed.
func TestStarved(t *testing.T) {
	for _, tc := range []struct {
		name  string
		waits []time.Duration // of jobs of one, two and three tasks
		tweak func(js []*wire.Job)
		want  []string
	}{
		{"the least work first", []time.Duration{10 * time.Second, 20 * time.Second, 30 * time.Second}, nil, []string{"req-1", "req-2", "req-3"}},
		{"the largest is starved", []time.Duration{10 * time.Second, 20 * time.Second, 181 * time.Second}, nil, []string{"req-3", "req-1", "req-2"}},
		{"not yet", []time.Duration{10 * time.Second, 20 * time.Second, 179 * time.Second}, nil, []string{"req-1", "req-2", "req-3"}},
		{"two are", []time.Duration{10 * time.Second, 190 * time.Second, 181 * time.Second}, nil, []string{"req-2", "req-3", "req-1"}},
		{"a service", []time.Duration{10 * time.Second, 20 * time.Second, 181 * time.Second}, func(js []*wire.Job) { js[2].Shape = wire.Standing }, []string{"req-1", "req-2", "req-3"}},
		{"past its team's guarantee", []time.Duration{10 * time.Second, 20 * time.Second, 181 * time.Second}, func(js []*wire.Job) { js[2].Owner = "u" }, []string{"req-1", "req-2", "req-3"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := term(t)
			r.set.Operator.Placement.WaitAge = 4 // of a lease of 30 s
			r.led = ledger.New("n.1", []settings.Team{{Name: "t", CPUs: 100, CPUsMax: 100}, {Name: "u", CPUsMax: 100}})
			var specs []*wire.Job
			for i := range 3 {
				specs = append(specs, &wire.Job{Owner: "t", Class: "f", Shape: wire.Batch, Rank: "standard", Members: i + 1, Cores: 1, ExpectS: 10})
			}
			if tc.tweak != nil {
				tc.tweak(specs)
			}
			var js []*ledger.Job
			for i, s := range specs {
				j := r.add([]string{"req-1", "req-2", "req-3"}[i], *s)
				j.WaitingSince = now.Add(-tc.waits[i])
				js = append(js, j)
			}
			r.order(js, now)
			var got []string
			for _, j := range js {
				got = append(got, j.Ref)
			}
			if !slices.Equal(got, tc.want) {
				t.Errorf("%v, want %v", got, tc.want)
			}
		})
	}
}
