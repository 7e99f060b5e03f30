package leader

import (
	"fmt"

	"rillflow/internal/dataloss"
)

// foreignWriteError says that a key which only the leader writes was written by another.
type foreignWriteError struct{ key string }

// Error implements error.
func (e *foreignWriteError) Error() string { return e.key + " was written by another" }

// missingEndError says that a job is neither live nor has an end record.
type missingEndError struct{ jobID string }

// Error implements error.
func (e *missingEndError) Error() string {
	return fmt.Sprintf("job %s is gone without an end", e.jobID)
}

// suspectDataLoss notes that what the store holds contradicts itself or what is known, and
// returns the error that ends the term: the next one recovers the data.
func (e *environment) suspectDataLoss(cause error) error {
	e.dataLoss.Suspect(cause.Error())
	return fmt.Errorf("%w: %w", dataloss.ErrIncarnationReplaced, cause)
}

// dataLossSuspected tells whether data may have been lost, so that no worker is commanded.
func (e *environment) dataLossSuspected() bool {
	if e.dataLoss == nil {
		return false
	}
	return e.dataLoss.Suspicion().Active
}
