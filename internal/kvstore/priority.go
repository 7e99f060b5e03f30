package kvstore

import "context"

// Priority is the class of use that a request to the store counts to. While the request rate
// is used up, requests of a higher priority are sent first. The values go from the highest to
// the lowest.
type Priority int

const (
	// PriorityCoordination is for what decides who leads and whether the stored data may be
	// trusted: leases, the leader key, the shard map, the store incarnation.
	PriorityCoordination Priority = iota
	// PriorityLeader is for the leader's reads and writes: its load, claims, finishes, and the
	// cancellation of dependents.
	PriorityLeader
	// PriorityUserWrite is for users' submissions and cancellations. Requests that name no
	// priority have it.
	PriorityUserWrite
	// PriorityStatusRead is for status reads. They wait a short time only and are shed then:
	// users ask again.
	PriorityStatusRead

	priorityCount = int(PriorityStatusRead) + 1
)

// priorityNames are the names of the priorities in logs and metrics.
var priorityNames = [priorityCount]string{"coordination", "leader", "user_write", "status_read"}

// String names the priority as logs and metrics do.
func (p Priority) String() string { return priorityNames[p] }

// Priorities are all priorities, from the highest to the lowest.
func Priorities() []Priority {
	return []Priority{PriorityCoordination, PriorityLeader, PriorityUserWrite, PriorityStatusRead}
}

type priorityKey struct{}

// WithPriority returns a context whose requests to the store have the priority.
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
