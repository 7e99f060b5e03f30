package agent

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

func TestCommands(t *testing.T) {
	live, cancelled := &ledger.Job{Ref: "req-1"}, &ledger.Job{Ref: "req-2", Cancelled: true}
	type member struct {
		task  string
		try   uint64
		phase string
	}
	for _, tc := range []struct {
		name    string
		claims  []*ledger.Claim
		members []member
		tweak   func(*Worker)
		answer  bool
		want    string
	}{
		{"launch what is claimed", []*ledger.Claim{{ClaimRecord: ledger.ClaimRecord{Incarnation: 1, Attempt: 4}, Job: live, Committed: true}}, nil, nil, false, "launch req-1/0 4"},
		{"never before the claim is durable", []*ledger.Claim{{ClaimRecord: ledger.ClaimRecord{Incarnation: 1, Attempt: 4}, Job: live}}, nil, nil, true, ""},
		{"not what may be lost with its history", []*ledger.Claim{{ClaimRecord: ledger.ClaimRecord{Incarnation: 1, Attempt: 4}, Job: live, Committed: true, Unconfirmed: true}}, nil, nil, true, ""},
		{"what nobody remembers is left alone", nil, []member{{"req-9/1", 2, "running"}}, func(worker *Worker) {
			for t, m := range worker.Tasks {
				m.Orphaned = true
				worker.Tasks[t] = m
			}
		}, true, ""},
		{"not in another tenure", []*ledger.Claim{{ClaimRecord: ledger.ClaimRecord{Incarnation: 2, Attempt: 4}, Job: live, Committed: true}}, nil, nil, true, ""},
		{"not what it has", []*ledger.Claim{{ClaimRecord: ledger.ClaimRecord{Incarnation: 1, Attempt: 4}, Job: live, Committed: true}}, []member{{"req-1/0", 4, "running"}}, nil, true, ""},
		{"stop what is withdrawn", []*ledger.Claim{{ClaimRecord: ledger.ClaimRecord{Incarnation: 1, Attempt: 4}, Job: cancelled, Committed: true}}, []member{{"req-2/0", 4, "running"}}, nil, true, "stop req-2/0 4"},
		{"stop a launch of it that may be on its way", []*ledger.Claim{{ClaimRecord: ledger.ClaimRecord{Incarnation: 1, Attempt: 4}, Job: cancelled, Committed: true, StartSent: true}}, nil, nil, true, "stop req-2/0 4"},
		{"stop what nobody claimed", nil, []member{{"req-9/1", 2, "running"}}, nil, true, "stop req-9/1 2"},
		{"reap what has ended", nil, []member{{"req-1/0", 4, "ended"}}, nil, true, "reap req-1/0 4"},
		{"not while its finish is not durable", []*ledger.Claim{{ClaimRecord: ledger.ClaimRecord{Incarnation: 1, Attempt: 4}, Job: live, Committed: true, Finished: true}}, []member{{"req-1/0", 4, "ended"}}, nil, true, ""},
		{"reap only in answer to a beat", nil, []member{{"req-1/0", 4, "ended"}}, nil, false, ""},
		{"not while a command is under way", nil, []member{{"req-1/0", 4, "ended"}}, func(worker *Worker) { worker.CommandInFlight = true }, true, ""},
		{"not while a lost command may still come", nil, []member{{"req-1/0", 4, "ended"}}, func(worker *Worker) { worker.UnresolvedEpoch = 7 }, true, ""},
		{"once the worker has seen a later epoch", nil, []member{{"req-1/0", 4, "ended"}}, func(worker *Worker) { worker.UnresolvedEpoch = 6 }, true, "reap req-1/0 4"},
		{"another try of a claimed task is stopped first", []*ledger.Claim{{ClaimRecord: ledger.ClaimRecord{Incarnation: 1, Attempt: 4}, Job: live, Committed: true}}, []member{{"req-1/0", 3, "running"}}, nil, true, "stop req-1/0 3, launch req-1/0 4"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			worker := NewWorker("i-1")
			worker.Incarnation, worker.SeenEpoch = 1, 7
			claims := map[ledger.Task]*ledger.Claim{}
			for _, c := range tc.claims {
				claims[c.Task()] = c
			}
			for _, m := range tc.members {
				task, _ := ledger.ParseTask(m.task)
				worker.Tasks[task] = TaskStatus{Attempt: m.try, Phase: m.phase}
			}
			if tc.tweak != nil {
				tc.tweak(worker)
			}
			var got []string
			for _, o := range worker.Commands(claims, 7, tc.answer) {
				got = append(got, fmt.Sprintf("%s %s %d", o.Action, o.Task, o.Attempt))
				if c := tc.claims; o.Action == wire.ActionStart && (!c[0].StartSent || c[0].StartEpoch != 7) {
					t.Error("a launch left without being noted")
				}
			}
			if s := strings.Join(got, ", "); s != tc.want {
				t.Errorf("got %q, want %q", s, tc.want)
			}
		})
	}
}

func TestIsNewer(t *testing.T) {
	worker := NewWorker("i-1")
	worker.Incarnation, worker.Sequence = 2, 10
	for _, tc := range []struct {
		tenure, tick uint64
		want         bool
	}{{2, 11, true}, {2, 10, false}, {2, 9, false}, {3, 1, true}, {1, 99, false}} {
		if got := worker.IsNewer(&wire.Heartbeat{Incarnation: tc.tenure, Sequence: tc.tick}); got != tc.want {
			t.Errorf("%d.%d newer than 2.10: %v", tc.tenure, tc.tick, got)
		}
	}
}

func TestImages(t *testing.T) {
	worker := NewWorker("i-1")
	worker.RecordPull("a", 4)
	if worker.HasImage("a") {
		t.Error("an image is there before it is fetched")
	}
	worker.RecordPullAbandoned("a")
	for _, b := range []string{"a", "b", "c", "a", "d"} {
		worker.RecordImageUse(b, 4, 10)
	}
	var have []string
	for _, im := range worker.Images {
		have = append(have, im.Name)
	}
	if !slices.Equal(have, []string{"d", "a"}) {
		t.Errorf("kept %v of a cache for two", have)
	}
}
