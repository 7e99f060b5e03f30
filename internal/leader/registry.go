package leader

import (
	"rillflow/internal/agent"
	"rillflow/internal/election"
)

// workerRegistry keeps the workers of the cluster state: it finds or adds them, and knows
// which controller answers each. Callers hold mu.
type workerRegistry struct {
	*termScope
	commander *commander
}

// worker finds or makes a host.
func (r *workerRegistry) worker(name string) *agent.Worker {
	worker := r.workers[name]
	if worker == nil {
		worker = agent.NewWorker(name)
		r.assignOwner(worker, r.leadership.ShardMap())
		r.addWorker(worker)
		r.group.Go(func() error { return r.commander.commandLoop(r.ctx, worker) })
	}
	return worker
}

// setZone notes a host's zone.
func (r *workerRegistry) setZone(worker *agent.Worker, zone string) {
	if worker.Zone != zone {
		worker.Zone, worker.SoleOwnerEpoch = zone, 0
		r.assignOwner(worker, r.leadership.ShardMap())
	}
}

// assignOwner notes who answers a host, and since which epoch nobody but this node may:
// it owns the host, and no other owner of a part is in the host's zone, where it
// might stand in while the zone is cut off. Run it again once a host's zone is
// known.
func (r *workerRegistry) assignOwner(worker *agent.Worker, shardMap election.ShardMap) {
	if owner := shardMap.Owner(worker.Name); owner != worker.ShardOwner {
		worker.ShardOwner, worker.ShardOwnerSince = owner, r.now()
	}
	switch {
	case worker.ShardOwner != r.settings.Node || worker.Zone == "" || r.settings.Near(worker.Zone, shardMap.Owners):
		worker.SoleOwnerEpoch = 0
	case worker.SoleOwnerEpoch == 0:
		worker.SoleOwnerEpoch = shardMap.Epoch
	}
}
