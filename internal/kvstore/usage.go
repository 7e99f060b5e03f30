package kvstore

import (
	"sync/atomic"
	"time"
)

// Usage is the use of the request budget by one priority since the process started.
type Usage struct {
	Sent     int64         // requests that the budget allowed
	Waited   time.Duration // total time that requests waited for the budget
	Shed     int64         // requests that the budget did not allow in time
	Rejected int64         // requests that the store answered with 429 or 503
}

// usageCounter holds the counters of a Usage. It is safe for concurrent use.
type usageCounter struct{ sent, waitedNanos, shed, rejected atomic.Int64 }

// recordWait records how long a request waited for the budget, and whether the budget allowed it.
func (u *usageCounter) recordWait(waited time.Duration, err error) {
	u.waitedNanos.Add(int64(waited))
	if err != nil {
		u.shed.Add(1)
		return
	}
	u.sent.Add(1)
}

// Usage returns the use of the request budget by a priority.
func (c *Client) Usage(priority Priority) Usage {
	counter := &c.budget.usage[priority]
	return Usage{
		Sent: counter.sent.Load(), Waited: time.Duration(counter.waitedNanos.Load()),
		Shed: counter.shed.Load(), Rejected: counter.rejected.Load(),
	}
}
