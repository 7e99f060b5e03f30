package serve

import (
	"context"
	"time"
)

// probesPerHeartbeat is how often within a heartbeat interval the store is asked for a
// sign of life where nothing else asks it.
const probesPerHeartbeat = 4

// probeStore sees to it that this controller knows whether the store answers it, and
// steps down as leader where workers reach other controllers but not this one.
func (controller *controller) probeStore(ctx context.Context) error {
	interval := controller.settings.HeartbeatInterval() / probesPerHeartbeat
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if controller.shard.IsIsolated() && !controller.leader.NoWorkersOfOwn() {
			// Another leads and answers the workers meanwhile.
			controller.elector.StepDown(controller.settings.WorkerLease(), "workers reach others but not this node")
		}
		if controller.store.SinceLastAnswer() >= interval {
			controller.store.Probe(ctx)
		}
	}
}
