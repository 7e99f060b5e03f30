package kvstore

import (
	"context"
	"errors"
	"slices"
	"testing"

	"rillflow/internal/wire"
)

func TestOperationCounts(t *testing.T) {
	client := New(Options{RequestsPerSecond: 1, Limits: Limits{WritesPerSecond: 1}})
	end := []wire.Operation{{Delete: "j/req-1"}, {Put: "d/req-1"}}
	unsent := &RequestError{Outcome: ErrRateLimited, Cause: &unsentError{"write budget", errDeadlineTooClose}}
	waitedTooLong := &RequestError{Outcome: ErrRateLimited, Cause: &unsentError{"write budget", context.DeadlineExceeded}}
	for _, tc := range []struct {
		failed []string
		err    error
	}{
		{nil, nil}, {nil, nil}, {[]string{"j/req-1"}, nil}, {nil, unsent}, {nil, waitedTooLong},
		{nil, &RequestError{Outcome: ErrRateLimited}}, {nil, errors.New("no response")},
	} {
		client.operations.add(end, txnOutcomeOf(tc.failed, tc.err))
	}
	var want []OperationCount
	for _, prefix := range []string{"d", "j"} {
		for _, outcome := range []string{txnApplied, txnCompareFailed, txnRejected, txnUnknown, txnUnsent} {
			count := OperationCount{Prefix: prefix, IsDelete: prefix == "j", Outcome: outcome, Count: 1}
			if outcome == txnApplied || outcome == txnUnsent {
				count.Count = 2
			}
			want = append(want, count)
		}
	}
	if got := client.OperationCounts(); !slices.Equal(got, want) {
		t.Errorf("counts %+v, want %+v", got, want)
	}
}

// Guards against series that change places from one scrape to the next as their counts grow.
func TestOperationCountsKeepTheirOrder(t *testing.T) {
	client := New(Options{RequestsPerSecond: 1, Limits: Limits{WritesPerSecond: 1}})
	put, del := []wire.Operation{{Put: "c/req-1/0"}}, []wire.Operation{{Delete: "c/req-1/0"}}
	client.operations.add(put, txnApplied)
	for range 2 {
		client.operations.add(del, txnApplied)
		if got := client.OperationCounts(); len(got) != 2 || got[0].IsDelete || !got[1].IsDelete {
			t.Errorf("got %+v, want the puts before the deletes", got)
		}
	}
}
