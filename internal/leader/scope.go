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

// environment is what a Runner was made with: settings, clients and the services of the
// process. It does not change, and each part has its own guard.
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
}

// signals wake the loops of a term. Each holds at most one notification.
type signals struct {
	writeSignal      chan struct{} // the job table has changes to write
	scheduleSignal   chan struct{} // capacity or tasks may be free to place
	dependencySignal chan struct{} // a dependency may be resolved
	epochSignal      chan struct{} // a higher epoch is needed
}

func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
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

// termScope is what the components of a term share. Every component embeds a pointer to it.
// The references are fixed when the term begins; what they refer to has its own guard,
// except clusterState and auditLog, whose users hold mu.
type termScope struct {
	*environment
	*clusterState
	signals
	leadership Leadership
	firstEpoch uint64 // the epoch the term began with
	startedAt  time.Time
	group      *errgroup.Group // runs the loops of the term
	ctx        context.Context // ends with the term
	auditLog   *auditWriter    // nil: no audit log is kept
}

// freeClaim frees a claim on proof that its task is gone.
func (s *termScope) freeClaim(claim *ledger.Claim, reason string) {
	s.log.Debug("task lost", "task", claim.Task(), "host", claim.Worker, "why", reason)
	now := s.now()
	s.auditLog.enqueueTask(now, audit.Lost, claim, reason, "")
	s.jobs.Free(claim, now)
}

// leaseOverAfter is after which time without an answer a lease is over by any clock.
func (s *termScope) leaseOverAfter() time.Duration {
	return s.settings.Lease() + s.settings.Lease()/500 + s.settings.Report()/3
}

// leaseRenewed tells whether a host's report was answered lately. Nothing else renews its lease:
// one that answers direct commands, and reaches no controller, loses whatever it is given.
func (s *termScope) leaseRenewed(worker *agent.Worker, now time.Time) bool {
	return !worker.LastHeartbeat.IsZero() && now.Sub(worker.LastHeartbeat) < 5*s.settings.Report()/2
}
