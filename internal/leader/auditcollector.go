package leader

import (
	"context"
	"time"

	"rillflow/internal/audit"
	"rillflow/internal/kvstore"
	"rillflow/internal/wire"
)

// auditCollector passes the pending audit entries that other controllers write to the store on to
// the audit writer. Serve runs its loop, watchPendingAudit. It has no state of its own, and writes
// nothing: the audit writer deletes a pending entry in the transaction that appends it.
type auditCollector struct {
	*termScope
}

// watchPendingAudit watches the pending entries until ctx ends.
func (c *auditCollector) watchPendingAudit(ctx context.Context) error {
	if c.auditLog == nil {
		return nil
	}
	return c.store.WatchPrefix(ctx, kvstore.Watcher{
		Prefix: audit.PendingPrefix, PollWait: c.settings.WorkerLease() / 2,
		BackoffBase: c.settings.HeartbeatInterval() / 32, BackoffLimit: c.settings.HeartbeatInterval() / 4,
		OnSnapshot: func(items []wire.KeyValue, _ time.Time) {
			c.mu.Lock()
			for _, item := range items {
				c.auditLog.addPending(item.Key, item.Value, item.ModRevision)
			}
			c.mu.Unlock()
			notify(c.writeSignal)
		},
		OnChanges: func(events []wire.Operation, _ time.Time) {
			c.mu.Lock()
			for _, event := range events {
				if event.Put != "" {
					c.auditLog.addPending(event.Put, event.Value, event.ModRevision)
				}
			}
			c.mu.Unlock()
			if len(events) > 0 {
				notify(c.writeSignal)
			}
		},
	})
}
