// Package election elects the leader among the controllers. A candidate creates the leader
// key in the key-value store under a lease, which it then renews; the others campaign once
// the key is absent. Each term begins at an epoch above all earlier ones, which fences off
// the commands of earlier leaders, and every write by a leader compares the leader key's mod
// revision.
//
// The package owns the leader key, the epoch key, which holds the shard map, and this
// controller's view of both. Package serve runs an Elector; package leader serves each Term
// and writes under its compares; package shard reads the shard map. The package must not
// decide what a leader does: it deals with neither jobs nor the state of workers.
package election

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"rillflow/internal/dataloss"
	"rillflow/internal/kvstore"
	"rillflow/internal/retry"
)

// The lease duration divided by these gives the first and the longest back-off after failed
// requests.
const (
	backoffBaseDivisor  = 16
	backoffLimitDivisor = 2
)

// Elector campaigns for leadership and tracks the current leader. One mutex guards its state;
// it is not held during requests to the store or calls to other packages, except to the log.
type Elector struct {
	store                *kvstore.Client
	controller           string
	leaseDuration        time.Duration
	shardOwners          func() []string
	detector             *dataloss.Detector
	remembersIncarnation func() bool
	log                  *slog.Logger

	mu            sync.Mutex // guards the fields below
	leader        string
	epochs        knownEpochs
	observed      leaderObservation
	campaignAfter time.Time // no campaign before this time
	term          *Term     // the term being served, or nil
	termsBegun    int
	endTerm       context.CancelCauseFunc
	stopRenewal   context.CancelFunc
}

// Options are the dependencies and settings of an Elector.
type Options struct {
	Store                *kvstore.Client
	Controller           string // the name of this controller
	LeaseDuration        time.Duration
	ShardOwners          func() []string // the controllers among which a new leader shards the workers
	Detector             *dataloss.Detector
	RemembersIncarnation func() bool // reports whether this controller holds data of an earlier incarnation
	Log                  *slog.Logger
}

// New returns an Elector with no known leader.
func New(options Options) *Elector {
	return &Elector{
		store:                options.Store,
		controller:           options.Controller,
		leaseDuration:        options.LeaseDuration,
		shardOwners:          options.ShardOwners,
		detector:             options.Detector,
		remembersIncarnation: options.RemembersIncarnation,
		log:                  options.Log,
	}
}

// Run watches the leader key and campaigns whenever it is absent, until ctx ends. It calls
// serve for each term won; serve must return soon after its context ends.
func (e *Elector) Run(ctx context.Context, serve func(context.Context, *Term) error) error {
	for attempt := 0; ctx.Err() == nil; {
		term, leaderRevision, err := e.observeOrCampaign(ctx)
		switch {
		case err != nil:
			e.log.Debug("election attempt failed", "err", err)
			e.backoff(ctx, attempt)
			attempt++
		case term != nil:
			attempt = 0
			e.serveTerm(ctx, term, serve)
		default:
			attempt = 0
			// The store deletes the key when its lease expires; wait for that or another change.
			if _, err := e.store.Watch(ctx, leaderKey, leaderRevision, e.leaseDuration); err != nil {
				e.backoff(ctx, 0)
			}
		}
	}
	return ctx.Err()
}

// backoff waits before a request to the store is retried.
func (e *Elector) backoff(ctx context.Context, attempt int) {
	retry.Backoff(ctx, attempt, e.leaseDuration/backoffBaseDivisor, e.leaseDuration/backoffLimitDivisor)
}

// serveTerm serves one term until it ends: the lease expired, serve returned, data loss is
// suspected, or a successor was elected after this controller stepped down.
func (e *Elector) serveTerm(ctx context.Context, term *Term, serve func(context.Context, *Term) error) {
	termCtx, endTerm := context.WithCancelCause(ctx)
	renewalCtx := e.beginTerm(termCtx, term, endTerm)
	e.setLeader(e.controller)
	e.log.Info("leadership acquired", "epoch", term.FirstEpoch)
	served := make(chan struct{})
	go func() {
		defer close(served)
		endTerm(serve(termCtx, term))
	}()
	go e.renewLease(renewalCtx, term, endTerm)
	<-renewalCtx.Done()
	if termCtx.Err() == nil {
		term.markSteppedDown()
		e.setLeader("")
		e.revokeLease(ctx, term) // the successor need not wait for the lease to expire
	}
	<-termCtx.Done()
	<-served
	e.setLeader("")
	e.mu.Lock()
	e.term, e.endTerm, e.stopRenewal = nil, nil, nil
	e.mu.Unlock()
	e.log.Info("leadership ended", "epoch", term.FirstEpoch, "reason", context.Cause(termCtx))
	if _, steppedDown := term.SteppedDown(); !steppedDown {
		e.revokeLease(ctx, term)
	}
}

// beginTerm makes a new term visible to LeaseHeld, StepDown and EndTermForDataLoss. The
// returned context ends when the lease must no longer be renewed.
func (e *Elector) beginTerm(termCtx context.Context, term *Term, endTerm context.CancelCauseFunc) context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.term, e.endTerm = term, endTerm
	e.termsBegun++
	var renewalCtx context.Context
	renewalCtx, e.stopRenewal = context.WithCancel(termCtx)
	return renewalCtx
}

// StepDown hands the leadership over: it stops renewing the lease and does not campaign for
// the given pause. The term continues until a successor is elected, which is impossible while
// the store is unreachable: in the meantime this controller still has to answer the workers
// and make sure that cancelled tasks stop.
func (e *Elector) StepDown(pause time.Duration, reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.campaignAfter = time.Now().Add(pause)
	if e.stopRenewal != nil {
		e.log.Info("stepped down", "reason", reason)
		e.stopRenewal()
		e.stopRenewal = nil
	}
}

// EndTermForDataLoss ends this controller's term, if it leads, because the store may have
// lost data. The controller may campaign again at once.
func (e *Elector) EndTermForDataLoss(reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.endTerm != nil {
		e.endTerm(fmt.Errorf("%w: %s", dataloss.ErrIncarnationReplaced, reason))
	}
}

// LeaseHeld reports whether this controller leads under a lease that cannot have expired, so
// that no other controller can lead at present.
func (e *Elector) LeaseHeld() bool {
	e.mu.Lock()
	term := e.term
	e.mu.Unlock()
	return term != nil && term.LeaseHeld(time.Now())
}

// TermsBegun returns the number of terms that this controller has begun.
func (e *Elector) TermsBegun() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.termsBegun
}

// Leader returns the current leader as last observed by this controller, or "" if there is
// none.
func (e *Elector) Leader() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader
}

func (e *Elector) setLeader(controller string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader != controller {
		e.leader = controller
		e.log.Info("leader changed", "leader", controller)
	}
}
