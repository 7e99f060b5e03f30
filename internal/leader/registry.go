package leader

import (
	"rillflow/internal/agent"
	"rillflow/internal/election"
)

// workerRegistry looks up and adds workers in the cluster state, and records which controller
// answers each. All components that learn of a worker call it, with mu held. It must not remove
// workers: that happens only after the cloud has confirmed the release of the instance.
type workerRegistry struct {
	*termScope
	commander *commander
}

// worker returns the worker with the given name. If it is new, it is added and its command loop is
// started.
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

// setZone sets the zone of a worker, which also affects which controllers may answer it.
func (r *workerRegistry) setZone(worker *agent.Worker, zone string) {
	if worker.Zone != zone {
		worker.Zone, worker.SoleOwnerEpoch = zone, 0
		r.assignOwner(worker, r.leadership.ShardMap())
	}
}

// assignOwner records which controller answers a worker, and since which epoch only this controller
// may answer it. This controller is the only one if it owns the worker's shard and no other shard
// owner is in the worker's zone: an owner there might answer as a fallback while the zone is
// partitioned. assignOwner is called again once the zone is known.
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
