package serve

import (
	"context"
	"time"
)

// probesPerHeartbeat is how often within a heartbeat interval the store is probed while no other
// request is answered.
const probesPerHeartbeat = 4

// probeStore probes the store while no other request is answered, so that this controller knows
// whether the store serves it. It also gives up leadership if workers reach other controllers
// but not this one.
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
		if controller.shard.IsIsolated() && !controller.leader.OwnShardHasNoWorkers() {
			// Another controller can then lead and answer the workers.
			controller.elector.StepDown(controller.settings.WorkerLease(), "workers reach others but not this node")
		}
		if controller.store.SinceLastAnswer() >= interval {
			controller.store.Probe(ctx)
		}
	}
}
