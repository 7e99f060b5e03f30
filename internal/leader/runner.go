// Package leader is the leader's duty: it keeps the ledger and the hosts
// together for the length of a term, and runs the loops that write claims,
// place tasks, command workers and rent machines.
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

// ErrNotLeading: this controller may not act for the others.
var ErrNotLeading = errors.New("leader: not leading")

// Options are what a Runner works with.
type Options struct {
	Settings      *settings.Settings
	Store         *kvstore.Client
	Cloud         *fleet.CloudClient
	WorkerClient  *agent.CommandClient
	Elector       *election.Elector
	InstanceTypes *fleet.Catalogue
	Shards        Shards
	MemoryFull    func() bool   // whether this controller is short of memory
	AuditKeys     *keyring.Ring // what the audit log is sealed with; nil: none is kept
	DataLoss      *dataloss.Detector
	Replica       *replica.Replica
	ReplicaPeers  replica.Peers
	Cancellations *cancellation.Set // jobs that were cancelled lately
	Log           *slog.Logger
}

// Runner serves leader terms, one at a time, and answers for the current one. Its methods
// may be called by any goroutine, also while this controller does not lead.
type Runner struct {
	*environment
	current atomic.Pointer[leaderTerm] // nil while this controller does not lead
}

// New makes a Runner.
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

// Serve leads for one term, and returns when it is over. The elector calls it.
func (r *Runner) Serve(ctx context.Context, leadership *election.Term) error {
	group, groupCtx := errgroup.WithContext(ctx)
	t := newLeaderTerm(groupCtx, r.environment, leadership, leadership.FirstEpoch, group)
	r.current.Store(t)
	defer r.current.CompareAndSwap(t, nil)
	revision, err := t.begin(groupCtx)
	if err != nil {
		return err
	}
	t.startLoops(t.failures.monitorLoop, t.shardKeeper.raiseEpochs, t.shardKeeper.watchShardOwners, t.recovery.feedReplicas)
	if err := t.recovery.restoreLiveData(groupCtx); err != nil {
		err = fmt.Errorf("rebuild: %w", err)
		group.Go(func() error { return err }) // ends the others
		return errors.Join(err, group.Wait())
	}
	t.startLoops(
		func(ctx context.Context) error { return t.jobWatcher.watchJobs(ctx, revision) },
		t.claimWriter.runClaimWriter, t.scheduler.runScheduler, t.dependencies.runDependencies,
		t.autoscaler.scaleLoop, t.failures.releaseFaultyLoop, t.claimWriter.watchPendingAudit,
		t.recovery.finishRecovery, t.scrubber.runAntiEntropy, t.orphans.resolveOrphans,
	)
	notify(t.scheduleSignal)
	notify(t.dependencySignal)
	return group.Wait()
}

// begin reads the jobs and claims and opens the audit log. From its return on heartbeats are
// answered. It returns the revision from which jobs are to be watched.
func (t *leaderTerm) begin(ctx context.Context) (uint64, error) {
	revision, err := t.loader.load(ctx)
	if err != nil {
		return 0, fmt.Errorf("load: %w", err)
	}
	if err := t.auditLog.open(ctx, t.store, t.settings.Report()); err != nil {
		return 0, fmt.Errorf("audit log: %w", err)
	}
	t.mu.Lock()
	t.auditLog.enqueue(t.now(), audit.Entry{Act: audit.TookOver, On: t.settings.Node, Why: fmt.Sprintf("epoch %d", t.firstEpoch)})
	if phase := t.leadership.Incarnation().Phase; phase == dataloss.PhaseComplete || phase == dataloss.PhaseProvisional {
		t.recentCancellations.AddComplete("", t.cancellations.cancelledJobs()...)
	}
	t.mu.Unlock()
	close(t.ready)
	return revision, nil
}

// startLoops begins duties.
func (t *leaderTerm) startLoops(loops ...func(context.Context) error) {
	for _, loop := range loops {
		t.group.Go(func() error { return loop(t.ctx) })
	}
}

// Heartbeat takes in a worker's report and answers with its orders.
//
// What the host's tasks taught is returned too, if another node owns it.
func (r *Runner) Heartbeat(ctx context.Context, heartbeat *wire.Heartbeat) (wire.CommandBatch, []agent.RuntimeSample, error) {
	term := r.current.Load()
	if term == nil {
		return wire.CommandBatch{}, nil, ErrNotLeading
	}
	timer := time.NewTimer(r.settings.Report() / 2)
	defer timer.Stop()
	select {
	case <-term.ready:
	case <-timer.C:
		return wire.CommandBatch{}, nil, ErrNotLeading
	case <-ctx.Done():
		return wire.CommandBatch{}, nil, ctx.Err()
	}
	term.mu.Lock()
	defer term.mu.Unlock()
	epoch := term.leadership.Epoch()
	if heartbeat.Epoch > epoch || term.ctx.Err() != nil {
		// The worker knows a later leader. A 200 would be dropped and hold
		// the worker here while its lease runs out.
		return wire.CommandBatch{}, nil, ErrNotLeading
	}
	worker := term.heartbeats.applyHeartbeat(heartbeat)
	if worker == nil {
		return wire.CommandBatch{}, nil, ErrNotLeading
	}
	now := term.now()
	if worker.LastHeartbeat.IsZero() && !worker.RequestedAt.IsZero() {
		term.log.Info("up", "host", worker.Name, "flavor", worker.InstanceType, "zone", worker.Zone, "since_asked_s", now.Sub(worker.RequestedAt).Seconds())
	}
	// Whatever is answered may renew the lease. But a report that comes after newer ones,
	// a late copy perhaps, tells nothing of how the machine is by now.
	worker.LastAnswered = now
	commands := wire.CommandBatch{Epoch: epoch, Commands: []wire.Command{}}
	if worker.Incarnation == heartbeat.Incarnation && worker.Sequence == heartbeat.Sequence {
		worker.LastHeartbeat, term.heartbeats.lastHeartbeat = now, now
		if !term.dataLossSuspected() {
			commands.Commands = append(commands.Commands, worker.Commands(term.jobs.ClaimsOnWorker(worker.Name), epoch, true)...)
			term.heartbeats.requestFencing(worker)
		}
	}
	learned := worker.PendingSamples
	worker.PendingSamples = nil
	return commands, learned, nil
}

// NoWorkersOfOwn tells whether this controller leads, and no machine of its own part is up: that it
// hears none then says nothing of its own hearing.
func (r *Runner) NoWorkersOfOwn() bool {
	term := r.current.Load()
	if term == nil {
		return false
	}
	term.mu.Lock()
	defer term.mu.Unlock()
	return !slices.ContainsFunc(term.workersByName, func(worker *agent.Worker) bool {
		_, leaving := term.released[worker.Name]
		return worker.ShardOwner == term.settings.Node && !leaving && !worker.LastHeartbeat.IsZero()
	})
}
