package leader

import (
	"fmt"
	"time"
)

// maxTxnBytes bounds the values of a transaction: the store's limit less room for the compares.
const maxTxnBytes = 40 << 10

// txnLimits are the store's limits on one transaction. They may be lowered during a term.
type txnLimits struct {
	operations int
	valueBytes int // of one value
}

func (s *termScope) txnLimits() txnLimits {
	return txnLimits{operations: s.settings.Facts.Store.Lowest().TxnOps, valueBytes: s.store.MaxValueBytes()}
}

// budgetExhaustedError reports that the write budget has no room for another transaction until
// wait has passed.
type budgetExhaustedError struct{ wait time.Duration }

// Error implements error.
func (e *budgetExhaustedError) Error() string {
	return fmt.Sprintf("leader: write budget exhausted for %v", e.wait)
}

// writeAllowance returns how many operations of the write budget a transaction may use, at
// least minimum, while the fraction reserve of the budget is left to other writers. The error is
// a *budgetExhaustedError if the budget has no room for minimum operations.
func (s *termScope) writeAllowance(minimum int, reserve float64) (int, error) {
	allowance, wait := s.store.BulkWriteAllowance(minimum, reserve)
	if wait > 0 {
		return 0, &budgetExhaustedError{wait}
	}
	return allowance, nil
}
