package kvstore

import "context"

// Priority is the priority class of a request to the store. While the request rate is used up,
// requests of a higher priority are sent first. The constants are ordered from the highest to the
// lowest.
type Priority int

const (
	// PriorityCoordination is for leader election and the detection of data loss: leases, the
	// leader key, the shard map, the store incarnation.
	PriorityCoordination Priority = iota
	// PriorityLeader is for the leader's reads and writes: loading its state, claims, ends of jobs,
	// and the cancellation of dependents.
	PriorityLeader
	// PriorityUserWrite is for users' submissions and cancellations. It is the default.
	PriorityUserWrite
	// PriorityStatusRead is for status reads. They are shed instead of waiting for long, as users
	// poll again.
	PriorityStatusRead

	priorityCount = int(PriorityStatusRead) + 1
)

// priorityNames are the names of the priorities in logs and metrics, from the highest.
var priorityNames = [priorityCount]string{"coordination", "leader", "user_write", "status_read"}

// String returns the name of the priority in logs and metrics.
func (p Priority) String() string { return priorityNames[p] }

// Priorities returns all priorities, from the highest to the lowest.
func Priorities() []Priority {
	return []Priority{PriorityCoordination, PriorityLeader, PriorityUserWrite, PriorityStatusRead}
}

type priorityKey struct{}

// WithPriority returns a context that gives requests to the store a priority.
func WithPriority(ctx context.Context, priority Priority) context.Context {
	return context.WithValue(ctx, priorityKey{}, priority)
}

// priorityOf returns the priority of requests made with a context.
func priorityOf(ctx context.Context) Priority {
	if priority, ok := ctx.Value(priorityKey{}).(Priority); ok {
		return priority
	}
	return PriorityUserWrite
}
