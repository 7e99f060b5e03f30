package leader

import (
	"context"
	"log/slog"
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
	"rillflow/internal/ledger"
	"rillflow/internal/replica"
	"rillflow/internal/settings"
)

// environment holds the dependencies of a Runner: settings, clients and the services of the
// process. It does not change, and each part does its own locking.
type environment struct {
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
	epochRaises         epochRaises
}

// signals wake the loops of a term. Each holds at most one notification, so that notifying never
// blocks, and a busy loop runs once more.
type signals struct {
	writeSignal       chan struct{} // the job table has changes to write
	scheduleSignal    chan struct{} // there may be new free capacity or new waiting tasks
	dependencySignal  chan struct{} // a dependency may be resolved
	propagationSignal chan struct{} // a dependent may have to be cancelled
	epochSignal       chan string   // why a higher epoch is needed
}

func newSignals() signals {
	return signals{
		writeSignal:       make(chan struct{}, 1),
		scheduleSignal:    make(chan struct{}, 1),
		dependencySignal:  make(chan struct{}, 1),
		propagationSignal: make(chan struct{}, 1),
		epochSignal:       make(chan string, 1),
	}
}

// notify wakes the loop that waits for the signal.
func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// termScope is shared by the components of a term; each embeds a pointer to it. Its fields are set
// when the term begins and do not change. clusterState and auditLog are guarded by mu; everything
// else does its own locking or needs none.
//
// A method belongs here only if several components need it and it uses no component's state.
type termScope struct {
	*environment
	*clusterState
	signals
	leadership Leadership
	firstEpoch uint64 // the epoch the term began with
	startedAt  time.Time
	group      *errgroup.Group // runs the loops of the term
	ctx        context.Context // ends with the term
	auditLog   *auditWriter    // nil: no audit log is written
}

// roundsPerHeartbeat is the minimum number of rounds of a repeated loop per heartbeat interval.
const roundsPerHeartbeat = 6

// repeat runs a round of a loop on each signal, and periodically without one, until ctx ends or a
// round fails.
func (s *termScope) repeat(ctx context.Context, signal <-chan struct{}, round func() error) error {
	ticker := time.NewTicker(s.settings.HeartbeatInterval() / roundsPerHeartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-signal:
		}
		if err := round(); err != nil {
			return err
		}
	}
}

// dependenciesChanged wakes the loops that process dependencies between jobs.
func (s *termScope) dependenciesChanged() {
	notify(s.dependencySignal)
	notify(s.propagationSignal)
}

// freeClaim frees a claim whose task is proven to have ended. Callers hold mu.
func (s *termScope) freeClaim(claim *ledger.Claim, reason string) {
	s.log.Info("claim freed", "task", claim.Task(), "attempt", claim.Attempt, "worker", claim.Worker,
		"incarnation", claim.Incarnation, "reason", reason)
	now := s.now()
	s.auditLog.enqueueTask(now, audit.Freed, claim, reason, "")
	s.jobs.Free(claim, now)
}

// adoptClaim claims a task for the worker that already runs it, under the epoch before this term's
// first. It returns nil if the task cannot be claimed. Callers hold mu.
func (s *termScope) adoptClaim(job *ledger.Job, index int, worker *agent.Worker, attempt uint64) *ledger.Claim {
	return s.jobs.AdoptOrphan(job, index, ledger.ClaimRecord{
		Worker: worker.Name, Incarnation: worker.Incarnation, Attempt: attempt, Zone: worker.Zone,
	}, s.firstEpoch-1)
}

// attemptEpochShift is the bit position of the epoch in the attempt numbers of a recovering leader.
const attemptEpochShift = 16

// baseAttempt returns the number above which a recovering leader assigns attempt numbers. It
// contains the epoch, which is never reused, so no attempt number is.
func (s *termScope) baseAttempt() uint64 { return s.firstEpoch << attemptEpochShift }
