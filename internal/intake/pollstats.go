package intake

import (
	"errors"
	"sync/atomic"

	"rillflow/internal/kvstore"
)

// PollStats counts polls by outcome since the process started.
type PollStats struct {
	Answered int64 // with a status
	Unknown  int64 // no such job
	Shed     int64 // refused because too many status reads wait
	Refused  int64 // refused because the store could not be read
}

// pollCounters counts PollStats. It is safe for concurrent use.
type pollCounters struct{ answered, unknown, shed, refused atomic.Int64 }

// add counts a poll by the outcome of its look-up.
func (c *pollCounters) add(err error) {
	switch {
	case err == nil:
		c.answered.Add(1)
	case errors.Is(err, kvstore.ErrNotFound):
		c.unknown.Add(1)
	case errors.Is(err, kvstore.ErrShed):
		c.shed.Add(1)
	default:
		c.refused.Add(1)
	}
}

// PollStats returns the counts of polls answered so far.
func (api *API) PollStats() PollStats {
	return PollStats{
		Answered: api.polls.answered.Load(), Unknown: api.polls.unknown.Load(),
		Shed: api.polls.shed.Load(), Refused: api.polls.refused.Load(),
	}
}
