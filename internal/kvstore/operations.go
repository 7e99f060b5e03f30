package kvstore

import (
	"cmp"
	"errors"
	"slices"
	"strings"
	"sync"

	"rillflow/internal/wire"
)

// Outcomes of the operations of a transaction, as label values of metrics.
const (
	txnApplied       = "applied"
	txnCompareFailed = "compare_failed"
	txnUnsent        = "unsent"   // not allowed by this process's budget
	txnRejected      = "rejected" // not executed by the store
	txnUnknown       = "unknown"
)

// OperationCount is the number of operations in transactions with the same key prefix, kind and
// outcome since the process started.
type OperationCount struct {
	Prefix   string // key up to the first slash
	IsDelete bool
	Outcome  string
	Count    int64
}

// operationKey identifies one counter of operations.
type operationKey struct {
	prefix   string
	isDelete bool
	outcome  string
}

// operationCounters counts the operations of transactions. It is safe for concurrent use. There are
// few key prefixes, so the map stays small.
type operationCounters struct {
	mu     sync.Mutex
	counts map[operationKey]int64
}

// add counts the operations of a transaction with an outcome.
func (c *operationCounters) add(operations []wire.Operation, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[operationKey]int64)
	}
	for _, operation := range operations {
		prefix, _, _ := strings.Cut(operation.Put+operation.Delete, "/") // exactly one is set
		c.counts[operationKey{prefix, operation.Delete != "", outcome}]++
	}
}

// txnOutcomeOf returns the outcome of a transaction from the results of Commit.
func txnOutcomeOf(failed []string, err error) string {
	var requestError *RequestError
	switch {
	case err == nil && len(failed) == 0:
		return txnApplied
	case err == nil:
		return txnCompareFailed
	case errors.As(err, &requestError) && isUnsent(requestError):
		return txnUnsent
	case errors.Is(err, ErrRefused):
		return txnRejected
	}
	return txnUnknown
}

// isUnsent reports whether a request failed because this process's budget did not allow it, so that
// the store never received it.
func isUnsent(requestError *RequestError) bool {
	var unsent *unsentError
	return errors.As(requestError.Cause, &unsent)
}

// OperationCounts returns all counters of operations, in a fixed order.
func (c *Client) OperationCounts() []OperationCount {
	c.operations.mu.Lock()
	defer c.operations.mu.Unlock()
	counts := make([]OperationCount, 0, len(c.operations.counts))
	for key, count := range c.operations.counts {
		counts = append(counts, OperationCount{key.prefix, key.isDelete, key.outcome, count})
	}
	slices.SortFunc(counts, func(a, b OperationCount) int {
		return cmp.Or(cmp.Compare(a.Prefix, b.Prefix), cmp.Compare(a.Outcome, b.Outcome), compareBool(a.IsDelete, b.IsDelete))
	})
	return counts
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
