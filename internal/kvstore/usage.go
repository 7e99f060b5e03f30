package kvstore

import (
	"sync/atomic"
	"time"
)

// Usage is what the requests of one priority have used of the budget since the process began.
type Usage struct {
	Sent     int64         // requests that the budget allowed
	Waited   time.Duration // for the budget, all requests together
	Shed     int64         // requests that the budget did not allow in time
	Rejected int64         // requests that the store answered with 429 or 503
}

// usageCounter counts a Usage. It is safe for concurrent use.
type usageCounter struct{ sent, waitedNanos, shed, rejected atomic.Int64 }

// noteWait notes how long a request waited for the budget and whether it was allowed.
func (u *usageCounter) noteWait(waited time.Duration, err error) {
	u.waitedNanos.Add(int64(waited))
	if err != nil {
		u.shed.Add(1)
		return
	}
	u.sent.Add(1)
}

// Usage returns what the requests of a priority have used of the budget.
func (c *Client) Usage(priority Priority) Usage {
	counter := &c.budget.usage[priority]
	return Usage{
		Sent: counter.sent.Load(), Waited: time.Duration(counter.waitedNanos.Load()),
		Shed: counter.shed.Load(), Rejected: counter.rejected.Load(),
	}
}
