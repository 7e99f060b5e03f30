package leader

import (
	"fmt"

	"rillflow/internal/dataloss"
)

// foreignWriteError reports that a key that only the leader writes was written by another process.
type foreignWriteError struct{ key string }

// Error implements error.
func (e *foreignWriteError) Error() string { return e.key + " was written by another" }

// missingEndError reports that a job has neither a live record nor an end record.
type missingEndError struct{ jobID string }

// Error implements error.
func (e *missingEndError) Error() string {
	return fmt.Sprintf("job %s is gone without an end", e.jobID)
}

// suspectDataLoss records a suspicion of data loss: the contents of the store contradict each
// other or this controller's state. It returns the error that ends the term; the next term
// recovers the data.
func (e *environment) suspectDataLoss(cause error) error {
	e.dataLoss.Suspect(cause.Error())
	return fmt.Errorf("%w: %w", dataloss.ErrIncarnationReplaced, cause)
}

// dataLossSuspected reports whether data may have been lost. No commands are sent while a data loss
// is suspected.
func (e *environment) dataLossSuspected() bool {
	if e.dataLoss == nil {
		return false
	}
	return e.dataLoss.Suspicion().Active
}
