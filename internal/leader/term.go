package leader

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"rillflow/internal/agent"
	"rillflow/internal/dataloss"
	"rillflow/internal/election"
	"rillflow/internal/fleet"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// Leadership is the won election on which a leader term is based.
type Leadership interface {
	// Epoch returns the fencing token of the leadership. It only increases.
	Epoch() uint64
	// ShardMap returns the shard map of the current epoch.
	ShardMap() election.ShardMap
	// Compares returns the compares that every write to the store must carry. They hold only
	// while this controller leads.
	Compares() []wire.Compare
	// CheckCompares returns an error if the failed compares show that the leadership is lost.
	CheckCompares(failed []string) error
	// Incarnation returns the incarnation of the stored data and the phase of its recovery.
	Incarnation() dataloss.IncarnationState
	// PreviousMap returns the shard map of the previous leader.
	PreviousMap() election.ShardMap
	// AdvancePhase moves the recovery of lost data to the given phase.
	AdvancePhase(ctx context.Context, phase dataloss.Phase) error
	// LeaseHeld reports whether no other controller can lead at the given time.
	LeaseHeld(now time.Time) bool
	// SteppedDown returns since when the term only waits for its successor. ok is false if it
	// has not stepped down.
	SteppedDown() (since time.Time, ok bool)
	// RaiseEpoch raises the epoch and publishes the shard owners with it.
	RaiseEpoch(ctx context.Context, owners []string) error
}

// leaderTerm is the runtime of one leader term: the shared scope, and one component for each
// concern. Components refer to each other by pointers that newLeaderTerm sets.
type leaderTerm struct {
	*termScope
	ready chan struct{} // closed once the claims are loaded and the audit log is open

	registry      *workerRegistry      // finds and adds workers
	heartbeats    *heartbeatReconciler // compares reported tasks with claims
	commander     *commander           // sends commands between heartbeats
	failures      *failureMonitor      // detects expired leases and failed, silent and unreachable workers
	faults        *faultTracker        // tracks workers and jobs that fail tasks
	drainer       *drainer             // moves tasks off workers that are reclaimed or drained
	autoscaler    *autoscaler          // requests and releases instances
	shardKeeper   *shardKeeper         // maintains the epoch and the shard map
	jobWatcher    *jobWatcher          // watches the store for new and ended jobs
	scheduler     *scheduler           // places waiting tasks
	claimWriter   *claimWriter         // writes claims and end records
	collector     *auditCollector      // collects pending audit entries of other controllers
	cancellations *cancellations       // applies cancellations of jobs
	dependencies  *dependencies        // resolves dependencies between jobs
	propagator    *propagator          // cancels the dependents of cancelled jobs
	storeReader   *storeReader         // reads from the store, with retries
	loader        *loader              // loads the cluster state at the beginning of the term
	recovery      *dataRecovery        // restores lost data to the store
	replicaFeeder *replicaFeeder       // sends the replica to followers
	orphans       *orphanTracker       // tracks tasks of jobs without a record
	scrubber      *scrubber            // checks the store for lost keys
	status        *statusView          // builds the status for operators and users
}

// newLeaderTerm creates the components of a term and connects them. It starts no loops.
func newLeaderTerm(
	ctx context.Context, env *environment, leadership Leadership, firstEpoch uint64, group *errgroup.Group,
) *leaderTerm {
	scope := newTermScope(ctx, env, leadership, firstEpoch, group)
	t := &leaderTerm{
		termScope:   scope,
		ready:       make(chan struct{}),
		registry:    &workerRegistry{termScope: scope},
		heartbeats:  &heartbeatReconciler{termScope: scope, latencies: newLatencies()},
		commander:   &commander{termScope: scope},
		failures:    &failureMonitor{termScope: scope, detector: newFailureDetector(env.settings)},
		faults:      &faultTracker{termScope: scope},
		drainer:     &drainer{termScope: scope},
		shardKeeper: &shardKeeper{termScope: scope},
		jobWatcher:  &jobWatcher{termScope: scope},
		autoscaler: &autoscaler{
			termScope:        scope,
			planner:          fleet.NewPlanner(env.settings, firstEpoch),
			scaledAheadTeams: make(map[string]bool),
		},
		scheduler:     &scheduler{termScope: scope},
		claimWriter:   &claimWriter{termScope: scope},
		collector:     &auditCollector{termScope: scope},
		cancellations: &cancellations{termScope: scope},
		dependencies:  &dependencies{termScope: scope},
		propagator:    &propagator{termScope: scope},
		storeReader:   &storeReader{termScope: scope},
		loader:        &loader{termScope: scope},
		recovery:      &dataRecovery{termScope: scope},
		replicaFeeder: &replicaFeeder{termScope: scope, cancels: make(map[string]context.CancelFunc)},
		orphans:       &orphanTracker{termScope: scope, orphanedJobs: make(map[string]*orphanedJob)},
		scrubber:      &scrubber{termScope: scope},
		status:        &statusView{termScope: scope},
	}
	t.connectFleet()
	t.connectJobs()
	return t
}

// newTermScope creates the state that the components of a term share.
func newTermScope(
	ctx context.Context, env *environment, leadership Leadership, firstEpoch uint64, group *errgroup.Group,
) *termScope {
	writer := fmt.Sprintf("%s.%d", env.settings.Name, firstEpoch) // identifies this term in claim records
	scope := &termScope{
		environment: env,
		clusterState: &clusterState{
			jobs:      ledger.New(writer, env.settings.Facts.Teams),
			workers:   make(map[string]*agent.Worker),
			released:  make(map[string]time.Time),
			instances: make(map[string]wire.Instance),
		},
		signals:    newSignals(),
		leadership: leadership,
		firstEpoch: firstEpoch,
		startedAt:  env.now(),
		group:      group,
		ctx:        ctx,
	}
	if env.auditKeys != nil {
		scope.auditLog = newAuditWriter(env.auditKeys, env.settings.Name, env.log)
	}
	return scope
}

// connectFleet sets the references between components for workers and instances.
func (t *leaderTerm) connectFleet() {
	t.registry.commander = t.commander

	t.heartbeats.registry, t.heartbeats.faults = t.registry, t.faults
	t.heartbeats.scheduler, t.heartbeats.recovery, t.heartbeats.orphans = t.scheduler, t.recovery, t.orphans

	t.commander.registry, t.commander.heartbeats = t.registry, t.heartbeats

	t.failures.commander, t.failures.heartbeats, t.failures.faults = t.commander, t.heartbeats, t.faults
	t.failures.drainer, t.failures.autoscaler, t.failures.cancellations = t.drainer, t.autoscaler, t.cancellations

	t.drainer.scheduler = t.scheduler

	t.autoscaler.registry, t.autoscaler.failures, t.autoscaler.faults = t.registry, t.failures, t.faults
	t.autoscaler.drainer, t.autoscaler.scheduler = t.drainer, t.scheduler

	t.shardKeeper.registry = t.registry
}

// connectJobs sets the references between components for jobs, claims and stored data.
func (t *leaderTerm) connectJobs() {
	t.jobWatcher.cancellations, t.jobWatcher.orphans = t.cancellations, t.orphans
	t.jobWatcher.storeReader = t.storeReader

	t.scheduler.connect(t.recovery, t.dependencies, t.faults)

	t.claimWriter.cancellations, t.claimWriter.dependencies = t.cancellations, t.dependencies
	t.claimWriter.storeReader = t.storeReader

	t.cancellations.autoscaler = t.autoscaler

	t.propagator.cancellations = t.cancellations

	t.loader.recovery, t.loader.registry, t.loader.storeReader = t.recovery, t.registry, t.storeReader

	t.recovery.storeReader = t.storeReader

	t.orphans.heartbeats = t.heartbeats

	t.scrubber.recovery, t.scrubber.storeReader = t.recovery, t.storeReader

	t.status.heartbeats, t.status.faults, t.status.scheduler = t.heartbeats, t.faults, t.scheduler
	t.status.recovery, t.status.orphans = t.recovery, t.orphans
}
