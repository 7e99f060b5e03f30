package leader

import (
	"rillflow/internal/agent"
	"rillflow/internal/election"
)

// workerRegistry finds or adds the workers of the cluster state, and keeps which controller
// answers each. All components that learn of a worker call it, and hold mu. It must not
// remove workers: only an answered release does.
type workerRegistry struct {
	*termScope
	commander *commander
}

// worker returns the worker of a name. It adds one that is not known yet, and starts its
// command loop.
func (r *workerRegistry) worker(name string) *agent.Worker {
	worker := r.workers[name]
	if worker == nil {
		worker = agent.NewWorker(name)
		r.assignOwner(worker, r.leadership.ShardMap())
		r.addWorker(worker)
		r.group.Go(func() error { return r.commander.runCommands(r.ctx, worker) })
	}
	return worker
}

// setZone sets the zone of a worker, and with it who may answer the worker.
func (r *workerRegistry) setZone(worker *agent.Worker, zone string) {
	if worker.Zone != zone {
		worker.Zone, worker.SoleOwnerEpoch = zone, 0
		r.assignOwner(worker, r.leadership.ShardMap())
	}
}

// assignOwner notes which controller answers a worker, and since which epoch nobody but this
// one may: it owns the worker's shard, and no other shard owner is in the worker's zone,
// where it might stand in while the zone is cut off. It is to be called again once the zone
// is known.
func (r *workerRegistry) assignOwner(worker *agent.Worker, shardMap election.ShardMap) {
	if owner := shardMap.Owner(worker.Name); owner != worker.ShardOwner {
		worker.ShardOwner, worker.ShardOwnerSince = owner, r.now()
	}
	switch {
	case worker.ShardOwner != r.settings.Name || worker.Zone == "" || r.settings.AnyInZone(worker.Zone, shardMap.Owners):
		worker.SoleOwnerEpoch = 0
	case worker.SoleOwnerEpoch == 0:
		worker.SoleOwnerEpoch = shardMap.Epoch
	}
}
