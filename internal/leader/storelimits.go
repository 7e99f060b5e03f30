package leader

import (
	"fmt"
	"time"
)

// maxTxnBytes is the store's limit on a transaction, less what its compares take.
const maxTxnBytes = 40 << 10

// txnLimits are what the store takes in one transaction. They may fall while a term lasts.
type txnLimits struct {
	operations int
	valueBytes int // of one value
}

func (s *termScope) txnLimits() txnLimits {
	return txnLimits{operations: s.settings.Facts.Store.Lowest().TxnOps, valueBytes: s.store.MaxValueBytes()}
}

// budgetExhaustedError says that the write budget has no room for another transaction yet.
type budgetExhaustedError struct{ wait time.Duration }

// Error implements error.
func (e *budgetExhaustedError) Error() string {
	return fmt.Sprintf("leader: write budget exhausted for %v", e.wait)
}

// writeAllowance tells how many operations a transaction may take of the write budget, at
// least minimum, such that the share reserve of the budget is left to others. Where there is
// no room the error is a *budgetExhaustedError.
func (s *termScope) writeAllowance(minimum int, reserve float64) (int, error) {
	allowance, wait := s.store.BulkWriteAllowance(minimum, reserve)
	if wait > 0 {
		return 0, &budgetExhaustedError{wait}
	}
	return allowance, nil
}
