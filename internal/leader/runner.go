// Package leader is the leader's duty: it keeps the ledger and the hosts
// together for the length of a term, and runs the loops that write claims,
// place tasks, command workers and rent machines.
package leader

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"rillflow/internal/agent"
	"rillflow/internal/audit"
	"rillflow/internal/cancellation"
	"rillflow/internal/dataloss"
	"rillflow/internal/election"
	"rillflow/internal/failuredetector"
	"rillflow/internal/fleet"
	"rillflow/internal/keyring"
	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/placement"
	"rillflow/internal/replica"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// Runner serves terms, one at a time.
type Runner struct {
	settings            *settings.Settings
	store               *kvstore.Client
	cloud               *fleet.CloudClient
	workerClient        *agent.CommandClient
	elector             *election.Elector
	instanceTypes       *fleet.Catalogue
	shards              Shards
	memoryFull          func() bool
	auditKeys           *keyring.Ring
	dataLoss            *dataloss.Detector
	replica             *replica.Replica
	replicaPeers        replica.Peers
	recentCancellations *cancellation.Set
	log                 *slog.Logger
	now                 func() time.Time
	current             atomic.Pointer[leaderTerm]
}

// Shards are the owners among whom the hosts are parted, this node included.
type Shards interface {
	// Pick has a part's owner pick for its rooms.
	Pick(ctx context.Context, node string, o placement.Offer) ([]placement.Pick, error)
	// Learn takes a finish on a host of this node's own part.
	Learn(f agent.RuntimeSample)
	// EligibleOwners are the nodes that may own a part now, given those that do.
	EligibleOwners(have []string) []string
	// StoreServesPeerOnly tells whether the state service refuses this node but serves a
	// peer, and which.
	StoreServesPeerOnly() (string, bool)
	// StoreRefuses tells whether the state service has not answered for long.
	StoreRefuses() bool
	// PeersHearNoWorkers tells whether peers are linked, and none of them hears any worker either.
	PeersHearNoWorkers() bool
}

// Leadership is the leadership that a reign rests on.
type Leadership interface {
	Epoch() uint64
	ShardMap() election.ShardMap
	Compares() []wire.Compare
	// CheckCompares tells whether failed guards say that the leadership is over.
	CheckCompares(failed []string) error
	Incarnation() dataloss.IncarnationState
	PreviousMap() election.ShardMap
	AdvancePhase(ctx context.Context, p dataloss.Phase) error
	LeaseHeld(now time.Time) bool
	// SteppedDown is since when the term only waits for the next one, if it does.
	SteppedDown() (since time.Time, ok bool)
	RaiseEpoch(ctx context.Context, parts []string) error
}

// Options are what a Control works with.
type Options struct {
	Settings      *settings.Settings
	Store         *kvstore.Client
	Cloud         *fleet.CloudClient
	WorkerClient  *agent.CommandClient
	Elector       *election.Elector
	InstanceTypes *fleet.Catalogue
	Shards        Shards
	MemoryFull    func() bool   // whether memory is short
	AuditKeys     *keyring.Ring // what the audit record is sealed with; nil: none is kept
	DataLoss      *dataloss.Detector
	Replica       *replica.Replica
	ReplicaPeers  replica.Peers
	Cancellations *cancellation.Set // jobs whose withdrawal was committed lately
	Log           *slog.Logger
}

// New makes a Control.
func New(options Options) *Runner {
	return &Runner{settings: options.Settings, store: options.Store, cloud: options.Cloud, workerClient: options.WorkerClient, elector: options.Elector, instanceTypes: options.InstanceTypes, shards: options.Shards, memoryFull: options.MemoryFull, auditKeys: options.AuditKeys,
		dataLoss: options.DataLoss, replica: options.Replica, replicaPeers: options.ReplicaPeers, recentCancellations: options.Cancellations, log: options.Log, now: time.Now}
}

// leaderTerm is the state of one term. Everything below mu is guarded by it.
type leaderTerm struct {
	*Runner
	leadership Leadership
	firstEpoch uint64        // the epoch it began with
	ready      chan struct{} // closed once the claims are read
	group      *errgroup.Group
	ctx        context.Context

	writeSignal      chan struct{}
	scheduleSignal   chan struct{}
	dependencySignal chan struct{}
	epochSignal      chan struct{}

	mu               sync.Mutex
	jobs             *ledger.Table
	workers          map[string]*agent.Worker
	workersByName    []*agent.Worker      // by name, for decisions that repeat
	released         map[string]time.Time // released, with when
	planner          *fleet.Planner
	scaledAheadTeams map[string]bool // teams whose work is rented ahead for
	instances        map[string]wire.Instance
	startedAt        time.Time
	lastHeartbeat    time.Time // last beat of any host
	latencies        *latencies
	detector         *failuredetector.Detector
	auditLog         *auditWriter               // nil: no audit record is kept
	lastCompaction   time.Time                  // when what nothing waits for was last written, or could have been
	deficits         map[string]*deficitCounter // of starved arrays, by type
	progress         *recoveryProgress          // nil: nothing was lost
	orphanedJobs     map[string]*orphanedJob
}

// Serve is one term.
func (r *Runner) Serve(ctx context.Context, leadership *election.Term) error {
	group, groupCtx := errgroup.WithContext(ctx)
	t := &leaderTerm{
		Runner: r, leadership: leadership, firstEpoch: leadership.FirstEpoch, ready: make(chan struct{}), group: group, ctx: groupCtx,
		writeSignal: make(chan struct{}, 1), scheduleSignal: make(chan struct{}, 1), dependencySignal: make(chan struct{}, 1), epochSignal: make(chan struct{}, 1),
		jobs:      ledger.New(fmt.Sprintf("%s.%d", r.settings.Node, leadership.FirstEpoch), r.settings.Facts.Teams),
		workers:   make(map[string]*agent.Worker),
		released:  make(map[string]time.Time),
		instances: make(map[string]wire.Instance),
		startedAt: r.now(),
		latencies: newLatencies(),
		planner:   fleet.NewPlanner(r.settings, leadership.FirstEpoch), scaledAheadTeams: make(map[string]bool),
		detector: newFailureDetector(r.settings), orphanedJobs: make(map[string]*orphanedJob), deficits: make(map[string]*deficitCounter),
	}
	if r.auditKeys != nil {
		t.auditLog = newAuditWriter(r.auditKeys, r.settings.Node, r.log)
	}
	r.current.Store(t)
	defer r.current.CompareAndSwap(t, nil)
	revision, err := t.load(groupCtx)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	if err := t.auditLog.open(groupCtx, r.store, r.settings.Report()); err != nil {
		return fmt.Errorf("audit record: %w", err)
	}
	t.mu.Lock()
	t.auditLog.enqueue(r.now(), audit.Entry{Act: audit.TookOver, On: r.settings.Node, Why: fmt.Sprintf("epoch %d", leadership.FirstEpoch)})
	if phase := leadership.Incarnation().Phase; phase == dataloss.PhaseComplete || phase == dataloss.PhaseProvisional {
		t.recentCancellations.AddComplete("", t.cancelledJobs()...)
	}
	t.mu.Unlock()
	close(t.ready)
	t.startLoops(t.monitorLoop, t.raiseEpochs, t.watchShardOwners, t.feedReplicas)
	if err := t.restoreLiveData(groupCtx); err != nil {
		err = fmt.Errorf("rebuild: %w", err)
		group.Go(func() error { return err }) // ends the others
		return errors.Join(err, group.Wait())
	}
	t.startLoops(
		func(ctx context.Context) error { return t.watchJobs(ctx, revision) },
		t.runClaimWriter, t.runScheduler, t.runDependencies, t.scaleLoop, t.releaseFaultyLoop, t.watchPendingAudit, t.finishRecovery, t.runAntiEntropy, t.resolveOrphans,
	)
	notify(t.scheduleSignal)
	notify(t.dependencySignal)
	return group.Wait()
}

// startLoops begins duties.
func (t *leaderTerm) startLoops(loops ...func(context.Context) error) {
	for _, loop := range loops {
		t.group.Go(func() error { return loop(t.ctx) })
	}
}

func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

func (t *leaderTerm) addJob(key string, data []byte, modRevision uint64) error {
	record, err := ledger.DecodeJobRecord(data)
	if err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	t.jobs.AddJob(key[len(ledger.LivePrefix):], record, modRevision)
	return nil
}

// watchJobs takes in new and withdrawn jobs as they are committed.
func (t *leaderTerm) watchJobs(ctx context.Context, revision uint64) error {
	for attempt := 0; ctx.Err() == nil; {
		events, err := t.store.Watch(ctx, ledger.LivePrefix, revision, t.settings.Lease()/2)
		if errors.Is(err, kvstore.ErrCompacted) {
			return err // a new term reads everything afresh
		}
		if err != nil {
			kvstore.Backoff(ctx, attempt, t.settings.Report()/32, t.settings.Report()/4)
			attempt++
			continue
		}
		attempt = 0
		revision = max(revision, events.Revision)
		var changes []wire.Operation
		var endedJobs []string
		t.mu.Lock()
		for _, change := range events.Events {
			if change.Put != "" {
				jobID := change.Put[len(ledger.LivePrefix):]
				known := t.jobs.Job(jobID) != nil
				if err := t.addJob(change.Put, change.Value, change.ModRevision); err != nil {
					t.mu.Unlock()
					return t.suspectDataLoss(err)
				}
				if !known {
					t.jobs.Job(jobID).MarkArrived(t.now())
				}
				t.adoptOrphans(jobID)
				changes = append(changes, change)
				continue
			}
			// A job about to be done goes from the live keys by this
			// leader's own write; were it withdrawn, that write fails.
			jobID := change.Delete[len(ledger.LivePrefix):]
			if t.endUnreplicated(jobID) {
				endedJobs = append(endedJobs, jobID)
			}
			if job := t.jobs.Job(jobID); job != nil && !job.Finished {
				t.cancelJob(jobID)
			}
		}
		t.mu.Unlock()
		for _, jobID := range endedJobs {
			// Most were withdrawn by their users. But a leader that was cut off may hear
			// so of what the next one finished.
			data, err := t.readEnding(ctx, jobID)
			if errors.Is(err, kvstore.ErrNotFound) {
				return t.suspectDataLoss(fmt.Errorf("job %s is gone without an end", jobID))
			}
			if err != nil {
				return err
			}
			changes = append(changes, endingOps(jobID, data)...)
		}
		t.replica.Apply(events.Revision, changes...)
		notify(t.scheduleSignal)
		notify(t.dependencySignal)
	}
	return ctx.Err()
}

// endUnreplicated tells whether a job left the live keys other than by this leader's own write, and
// the copy lacks its end. That the ledger has it withdrawn says nothing of that: a notice
// may have come ahead of the log.
func (t *leaderTerm) endUnreplicated(jobID string) bool {
	tree, _ := t.replica.Tree() // not what this node took itself, which the others lack
	if _, ok := tree.Get([]byte(ledger.EndedKey(jobID))); ok {
		return false
	}
	if job := t.jobs.Job(jobID); job != nil {
		return !job.Finished
	}
	_, live := tree.Get([]byte(ledger.LiveKey(jobID))) // the ledger forgot it with its last claim
	return live
}

// cancelJob notes that a job left the live keys other than by being done.
func (t *leaderTerm) cancelJob(jobID string) {
	job := t.jobs.Job(jobID)
	if job == nil || job.Cancelled {
		return
	}
	if cause := job.CancelledUpstream(); cause != "" {
		t.log.Info("withdrawn", "job", jobID, "claims", job.ClaimedTasks(), "because_of", cause)
	} else {
		t.log.Info("withdrawn", "job", jobID, "claims", job.ClaimedTasks())
	}
	holders := make(map[string]bool)
	for _, h := range t.jobs.ClaimsOfJob(job) {
		holders[h.Worker] = true
	}
	job.CancelledAt = t.now()
	t.jobs.Cancel(jobID)
	for h := range holders {
		if worker := t.workers[h]; worker != nil {
			worker.WakeSender()
		}
	}
	notify(t.writeSignal)
	notify(t.dependencySignal)
}

// raiseEpochs moves the epoch on, when a command of unknown fate must be fenced off
// or the hosts are to be parted among others.
func (t *leaderTerm) raiseEpochs(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.epochSignal:
		}
		err := t.leadership.RaiseEpoch(ctx, t.shards.EligibleOwners(t.leadership.ShardMap().Owners))
		if errors.Is(err, election.ErrDeposed) {
			return err
		}
		if err == nil {
			t.mu.Lock()
			shardMap := t.leadership.ShardMap()
			for _, worker := range t.workers {
				t.assignOwner(worker, shardMap)
			}
			t.mu.Unlock()
		}
		// At most one in a report interval: each makes every worker report.
		if !sleep(ctx, t.settings.Report()) {
			return ctx.Err()
		}
	}
}

// assignOwner notes who answers a host, and since which epoch nobody but this node may:
// it owns the host, and no other owner of a part is in the host's zone, where it
// might stand in while the zone is cut off. Run it again once a host's zone is
// known.
func (t *leaderTerm) assignOwner(worker *agent.Worker, shardMap election.ShardMap) {
	if owner := shardMap.Owner(worker.Name); owner != worker.ShardOwner {
		worker.ShardOwner, worker.ShardOwnerSince = owner, t.now()
	}
	switch {
	case worker.ShardOwner != t.settings.Node || worker.Zone == "" || t.settings.Near(worker.Zone, shardMap.Owners):
		worker.SoleOwnerEpoch = 0
	case worker.SoleOwnerEpoch == 0:
		worker.SoleOwnerEpoch = shardMap.Epoch
	}
}

func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
