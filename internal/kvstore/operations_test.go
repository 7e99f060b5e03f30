package kvstore

import (
	"errors"
	"slices"
	"testing"

	"rillflow/internal/wire"
)

func TestOperationCounts(t *testing.T) {
	client := New(Options{RequestsPerSecond: 1, Limits: Limits{WritesPerSecond: 1}})
	end := []wire.Operation{{Delete: "j/req-1"}, {Put: "d/req-1"}}
	unsent := &RequestError{Outcome: ErrRateLimited, Cause: errDeadlineTooClose}
	for _, tc := range []struct {
		failed []string
		err    error
	}{
		{nil, nil}, {nil, nil}, {[]string{"j/req-1"}, nil}, {nil, unsent},
		{nil, &RequestError{Outcome: ErrRateLimited}}, {nil, errors.New("no response")},
	} {
		client.operations.add(end, txnOutcomeOf(tc.failed, tc.err))
	}
	var want []OperationCount
	for _, prefix := range []string{"d", "j"} {
		for _, outcome := range []string{txnApplied, txnCompareFailed, txnRejected, txnUnknown, txnUnsent} {
			count := OperationCount{Prefix: prefix, IsDelete: prefix == "j", Outcome: outcome, Count: 1}
			if outcome == txnApplied {
				count.Count = 2
			}
			want = append(want, count)
		}
	}
	if got := client.OperationCounts(); !slices.Equal(got, want) {
		t.Errorf("counts %+v, want %+v", got, want)
	}
}
