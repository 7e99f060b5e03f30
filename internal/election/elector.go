// Package election elects the leader among the controllers. A candidate takes the leader
// key of the key-value store under a lease, which it then renews; the key's absence is what
// others campaign on. Each leadership has an epoch above all earlier ones, which fences the
// commands of those before it, and every write of a leader compares the leader key's mod
// revision.
//
// The package owns the leader key and the epoch key, which holds the shard map, and what
// this controller knows of both. Package serve runs an Elector; package leader is served
// each Term and writes under its compares; package shard reads the shard map. The package
// must not decide what a leader does: it knows no jobs and no workers.
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

// The first and the longest pause after a failed request, as parts of a lease's duration.
const (
	backoffBaseDivisor  = 16
	backoffLimitDivisor = 2
)

// Elector campaigns for leadership and follows who leads. One mutex guards all that it
// knows; it is held for no request to the store and for no call out of the package but to
// the log.
type Elector struct {
	store                *kvstore.Client
	controller           string
	leaseDuration        time.Duration
	shardOwners          func() []string
	detector             *dataloss.Detector
	remembersIncarnation func() bool
	log                  *slog.Logger

	mu            sync.Mutex // guards what follows
	leader        string
	epochs        knownEpochs
	observed      leaderObservation
	campaignAfter time.Time // not a candidate before this
	term          *Term     // that is served, nil: none
	termsBegun    int
	endTerm       context.CancelCauseFunc
	stopRenewal   context.CancelFunc
}

// Options are what an Elector works with.
type Options struct {
	Store                *kvstore.Client
	Controller           string // the name of this controller
	LeaseDuration        time.Duration
	ShardOwners          func() []string // among whom a new leader shards the workers
	Detector             *dataloss.Detector
	RemembersIncarnation func() bool // whether this controller remembers an earlier incarnation
	Log                  *slog.Logger
}

// New returns an Elector that knows of no leader yet.
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

// Run follows the leader key and campaigns whenever there is none, until ctx ends. serve is
// called for each term and must return soon after its context ends.
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
			// The key is deleted when its lease expires: watch for that.
			if _, err := e.store.Watch(ctx, leaderKey, leaderRevision, e.leaseDuration); err != nil {
				e.backoff(ctx, 0)
			}
		}
	}
	return ctx.Err()
}

// backoff waits before a request to the store is tried again.
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

// beginTerm lets LeaseHeld, StepDown and EndTermForDataLoss reach the term that begins. The context
// returned ends when the lease is no longer to be renewed.
func (e *Elector) beginTerm(termCtx context.Context, term *Term, endTerm context.CancelCauseFunc) context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.term, e.endTerm = term, endTerm
	e.termsBegun++
	var renewalCtx context.Context
	renewalCtx, e.stopRenewal = context.WithCancel(termCtx)
	return renewalCtx
}

// StepDown gives the leadership up to a successor, and does not campaign for a while: the
// lease is no longer renewed. The term goes on until there is a successor, which cannot be
// while the store answers nobody: until then somebody has to answer the workers and to see
// that cancelled tasks stop.
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

// EndTermForDataLoss ends the leadership, if this controller has it: the store may have lost
// data. This controller may campaign again at once.
func (e *Elector) EndTermForDataLoss(reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.endTerm != nil {
		e.endTerm(fmt.Errorf("%w: %s", dataloss.ErrIncarnationReplaced, reason))
	}
}

// LeaseHeld reports whether this controller leads and no other can at present.
func (e *Elector) LeaseHeld() bool {
	e.mu.Lock()
	term := e.term
	e.mu.Unlock()
	return term != nil && term.LeaseHeld(time.Now())
}

// TermsBegun returns how many terms this controller has begun to lead.
func (e *Elector) TermsBegun() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.termsBegun
}

// Leader returns the controller that leads, as far as this one knows, or "".
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
