package kvstore

import (
	"cmp"
	"errors"
	"slices"
	"strings"
	"sync"

	"rillflow/internal/wire"
)

// What became of the operations of a transaction, as metrics name it.
const (
	txnApplied       = "applied"
	txnCompareFailed = "compare_failed"
	txnUnsent        = "unsent"   // not allowed by the budget
	txnRejected      = "rejected" // by the store
	txnUnknown       = "unknown"
)

// OperationCount is how many operations of one sort transactions have had since the process
// began.
type OperationCount struct {
	Prefix   string // of the key, up to the first slash
	IsDelete bool
	Outcome  string
	Count    int64
}

// operationSort is what operations are counted by.
type operationSort struct {
	prefix   string
	isDelete bool
	outcome  string
}

// operationCounters counts operations of transactions. It is safe for concurrent use. Keys have few
// prefixes, so it stays small.
type operationCounters struct {
	mu     sync.Mutex
	counts map[operationSort]int64
}

// add counts the operations of a transaction.
func (c *operationCounters) add(operations []wire.Operation, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[operationSort]int64)
	}
	for _, operation := range operations {
		prefix, _, _ := strings.Cut(operation.Put+operation.Delete, "/") // it has one of them
		c.counts[operationSort{prefix, operation.Delete != "", outcome}]++
	}
}

// txnOutcomeOf names what became of a transaction.
func txnOutcomeOf(failed []string, err error) string {
	var request *RequestError
	switch {
	case err == nil && len(failed) == 0:
		return txnApplied
	case err == nil:
		return txnCompareFailed
	case errors.As(err, &request) && isUnsent(request):
		return txnUnsent
	case errors.Is(err, ErrRefused):
		return txnRejected
	}
	return txnUnknown
}

// isUnsent reports whether it was this process's budget that did not allow a request.
func isUnsent(request *RequestError) bool {
	return errors.Is(request.Cause, errQueueFull) || errors.Is(request.Cause, errDeadlineTooClose)
}

// OperationCounts returns how many operations transactions have had, in a fixed order.
func (c *Client) OperationCounts() []OperationCount {
	c.operations.mu.Lock()
	defer c.operations.mu.Unlock()
	counts := make([]OperationCount, 0, len(c.operations.counts))
	for sort, count := range c.operations.counts {
		counts = append(counts, OperationCount{sort.prefix, sort.isDelete, sort.outcome, count})
	}
	slices.SortFunc(counts, func(a, b OperationCount) int {
		return cmp.Or(cmp.Compare(a.Prefix, b.Prefix), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(b.Count, a.Count))
	})
	return counts
}
