// Package leader is the runtime of the elected leader: for one term, it reconciles the job table
// with the workers and runs the loops that write claims, place tasks, command workers and scale the
// fleet.
//
// It owns the state of the term: the job table, the workers and instances, and the state of the
// term's components, all under one lock (see clusterState). State that must outlive a term is in
// the store; a new leader starts from there, or from replicas if the store has lost data.
//
// The elector calls Runner.Serve for each term that this controller wins. The shard owner forwards
// heartbeats to Runner.Heartbeat; the cancellation broadcast and the job API call the other methods
// of Runner. The package does not run elections or serve HTTP, and must not write to the store
// without the compares of its leadership, start a task before its claim is committed, or free a
// claim without proof that its task has ended.
package leader

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"rillflow/internal/agent"
	"rillflow/internal/audit"
	"rillflow/internal/cancellation"
	"rillflow/internal/dataloss"
	"rillflow/internal/election"
	"rillflow/internal/fleet"
	"rillflow/internal/keyring"
	"rillflow/internal/kvstore"
	"rillflow/internal/replica"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// ErrNotLeading means that this controller does not lead, or has not loaded its term's state yet.
var ErrNotLeading = errors.New("leader: not leading")

// Options are the dependencies of a Runner.
type Options struct {
	Settings      *settings.Settings
	Store         *kvstore.Client
	Cloud         *fleet.CloudClient
	WorkerClient  *agent.CommandClient
	Elector       *election.Elector
	InstanceTypes *fleet.Catalogue
	Shards        Shards
	MemoryFull    func() bool   // reports whether this controller is short of memory
	AuditKeys     *keyring.Ring // keys that seal the audit log; nil: no audit log is written
	DataLoss      *dataloss.Detector
	Replica       *replica.Replica
	ReplicaPeers  replica.Peers
	Cancellations *cancellation.Set // recently cancelled jobs
	Log           *slog.Logger
}

// Runner serves leader terms, one at a time, and gives access to the current one. Its methods are
// safe for concurrent use and may be called while this controller does not lead.
type Runner struct {
	*environment
	current atomic.Pointer[leaderTerm] // nil while this controller does not lead
}

// New returns a Runner.
func New(options Options) *Runner {
	return &Runner{environment: &environment{
		settings:            options.Settings,
		store:               options.Store,
		cloud:               options.Cloud,
		workerClient:        options.WorkerClient,
		elector:             options.Elector,
		instanceTypes:       options.InstanceTypes,
		shards:              options.Shards,
		memoryFull:          options.MemoryFull,
		auditKeys:           options.AuditKeys,
		dataLoss:            options.DataLoss,
		replica:             options.Replica,
		replicaPeers:        options.ReplicaPeers,
		recentCancellations: options.Cancellations,
		log:                 options.Log,
		now:                 time.Now,
	}}
}

// Serve leads for one term and returns when the term ends.
func (r *Runner) Serve(ctx context.Context, leadership *election.Term) error {
	group, groupCtx := errgroup.WithContext(kvstore.WithPriority(ctx, kvstore.PriorityLeader))
	term := newLeaderTerm(groupCtx, r.environment, leadership, leadership.FirstEpoch, group)
	r.current.Store(term)
	defer r.current.CompareAndSwap(term, nil)
	revision, err := term.begin(groupCtx)
	if err != nil {
		return err
	}
	term.startLoops(
		term.failures.runMonitor, term.shardKeeper.raiseEpochs, term.shardKeeper.watchShardOwners,
		term.replicaFeeder.feedReplicas,
	)
	if err := term.recovery.restoreLiveData(groupCtx); err != nil {
		err = fmt.Errorf("recovery: %w", err)
		group.Go(func() error { return err }) // ends the other loops
		return errors.Join(err, group.Wait())
	}
	term.startLoops(
		func(ctx context.Context) error { return term.jobWatcher.watchJobs(ctx, revision) },
		term.claimWriter.runClaimWriter, term.scheduler.runScheduler,
		term.dependencies.runLookUps, term.propagator.runPropagation,
		term.autoscaler.runAutoscaler, term.failures.runReleases, term.collector.watchPendingAudit,
		term.recovery.finishRecovery, term.scrubber.runScrubber, term.orphans.resolveOrphans,
	)
	notify(term.scheduleSignal)
	term.dependenciesChanged()
	return group.Wait()
}

// begin loads the jobs and claims, opens the audit log, and lets heartbeats be answered. It returns
// the store revision from which jobs are to be watched.
func (t *leaderTerm) begin(ctx context.Context) (uint64, error) {
	revision, err := t.loader.load(ctx)
	if err != nil {
		return 0, fmt.Errorf("load: %w", err)
	}
	if err := t.auditLog.open(ctx, t.storeReader); err != nil {
		return 0, fmt.Errorf("audit log: %w", err)
	}
	t.mu.Lock()
	t.auditLog.enqueue(t.now(), audit.Entry{
		Action: audit.TookOver, Subject: t.settings.Name, Reason: fmt.Sprintf("epoch %d", t.firstEpoch),
	})
	phase := t.leadership.Incarnation().Phase
	if phase == dataloss.PhaseComplete || phase == dataloss.PhaseProvisional {
		t.recentCancellations.AddComplete("", t.cancellations.cancelledJobs()...)
	}
	t.mu.Unlock()
	close(t.ready)
	return revision, nil
}

// startLoops starts loops that run until the term ends. The first one that fails ends the term.
func (t *leaderTerm) startLoops(loops ...func(context.Context) error) {
	for _, loop := range loops {
		t.group.Go(func() error { return loop(t.ctx) })
	}
}

// Heartbeat applies a worker's heartbeat and returns the commands for the worker. If another
// controller owns the worker's shard, it also returns the run times measured on the worker.
// ErrNotLeading means that the heartbeat was not applied.
func (r *Runner) Heartbeat(
	ctx context.Context, heartbeat *wire.Heartbeat,
) (wire.CommandBatch, []agent.RuntimeSample, error) {
	term := r.current.Load()
	if term == nil {
		return wire.CommandBatch{}, nil, ErrNotLeading
	}
	timer := time.NewTimer(r.settings.HeartbeatInterval() / 2)
	defer timer.Stop()
	select {
	case <-term.ready:
	case <-timer.C:
		return wire.CommandBatch{}, nil, ErrNotLeading
	case <-ctx.Done():
		return wire.CommandBatch{}, nil, ctx.Err()
	}
	return term.heartbeats.answer(heartbeat)
}

// OwnShardHasNoWorkers reports whether this controller leads and no worker of its own shard is up. In
// that case, the lack of heartbeats does not show that the controller is isolated.
func (r *Runner) OwnShardHasNoWorkers() bool {
	term := r.current.Load()
	if term == nil {
		return false
	}
	term.mu.Lock()
	defer term.mu.Unlock()
	return !slices.ContainsFunc(term.workersByName, func(worker *agent.Worker) bool {
		_, releasing := term.released[worker.Name]
		return worker.ShardOwner == term.settings.Name && !releasing && !worker.LastHeartbeat.IsZero()
	})
}
