// Package access stands between users and what they ask for: it finds out who asks,
// decides by the operator's rules, and sees to it that what is done gets into the
// audit log. Where identities and the audit log are off it lets everybody in and
// writes nothing.
//
// An Authorizer owns the refusals that wait to be written and the controller's copy of the
// identities. The job API and the status page ask it ahead of anything else. It must not
// refuse what identities that are known may do only because the store does not answer,
// for as long as the operator's setting says.
package access

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"rillflow/internal/audit"
	"rillflow/internal/identity"
	"rillflow/internal/keyring"
	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/rights"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// refusalsPerLease is how often within a worker's lease refusals are written.
const refusalsPerLease = 4

// Authorizer decides who may do what at one controller. It is safe for concurrent use.
type Authorizer struct {
	controller string
	rules      *rights.Rules      // nil: identities are off
	identities *identity.Registry // nil: identities are off
	keys       *keyring.Ring      // nil: neither identities nor the audit log are on
	auditing   bool               // the audit log is on
	store      *kvstore.Client
	log        *slog.Logger
	now        func() time.Time
	refusals   refusals
}

// New makes an authorizer. keys may be nil where neither identities nor the audit log are on.
func New(settings *settings.Settings, store *kvstore.Client, keys *keyring.Ring, log *slog.Logger) *Authorizer {
	access := &settings.Operator.Access
	authorizer := &Authorizer{
		controller: settings.Name, keys: keys, auditing: access.AuditEnabled(), store: store, log: log, now: time.Now,
		refusals: refusals{interval: settings.WorkerLease() / refusalsPerLease, startedAt: time.Now().UnixNano()},
	}
	if access.IdentitiesEnabled() {
		authorizer.rules = &access.Rules
		cacheLifetime := time.Duration(access.CacheLifetime * float64(settings.WorkerLease()))
		authorizer.identities = identity.New(keys, cacheLifetime, settings.ClockError(), log)
	}
	return authorizer
}

// Run follows the stored identities, asking at the interval, and writes refusals until
// ctx ends.
func (authorizer *Authorizer) Run(ctx context.Context, interval time.Duration) error {
	if authorizer.auditing {
		var wg sync.WaitGroup
		wg.Go(func() { authorizer.writeRefusals(ctx) })
		defer wg.Wait()
	}
	if authorizer.identities == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	return authorizer.identities.Follow(ctx, authorizer.store, interval)
}

// Identify tells who makes a request. The error is identity.ErrToken where the token is
// not valid, and identity.ErrStale where that cannot be checked now.
func (authorizer *Authorizer) Identify(r *http.Request) (identity.Caller, error) {
	header := r.Header.Get("Authorization")
	if authorizer.identities == nil || header == "" {
		return identity.Caller{}, nil
	}
	scheme, token, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, "bearer") {
		return identity.Caller{}, identity.ErrToken
	}
	return authorizer.identities.Check(strings.TrimSpace(token))
}

// AllowsEverybody tells whether identities are off.
func (authorizer *Authorizer) AllowsEverybody() bool { return authorizer.rules == nil }

// Decide decides on a request. Where identities are off, everything is allowed.
func (authorizer *Authorizer) Decide(caller identity.Caller, request rights.Request) rights.Decision {
	if authorizer.rules == nil {
		return rights.Decision{Allowed: true}
	}
	return authorizer.rules.Decide(&caller.Identity, request)
}

// DecideAndAudit decides on a request about a job, and has a refusal logged and audited;
// about goes before its reason.
func (authorizer *Authorizer) DecideAndAudit(
	caller identity.Caller, request rights.Request, job, about string,
) rights.Decision {
	decision := authorizer.Decide(caller, request)
	if !decision.Allowed {
		authorizer.noteRefusal(caller, request, job, about+decision.Rule)
	}
	return decision
}

// SignSubmission puts a caller's name on the record of a job that it may submit, under a
// seal.
func (authorizer *Authorizer) SignSubmission(
	record *ledger.JobRecord, caller identity.Caller, decision rights.Decision,
) error {
	if authorizer.keys == nil {
		return nil
	}
	record.Origin = &ledger.Origin{
		Submitter: caller.Name, Controller: authorizer.controller,
		Rule: decision.Rule, MaxPriority: decision.MaxPriority,
	}
	return record.Sign(authorizer.keys)
}

// AuditCancellation returns the operations that tell the audit log of a cancellation, for
// the transaction that makes it; none where the log is off. The acceptance is told too: a
// job that never had a claim is in no other entry yet.
func (authorizer *Authorizer) AuditCancellation(
	record ledger.JobRecord, caller identity.Caller, decision rights.Decision,
) ([]wire.Operation, error) {
	if !authorizer.auditing {
		return nil, nil
	}
	return authorizer.sealEntries(audit.PendingPrefix+record.Job.ID, []audit.Entry{
		audit.AcceptedEntry(authorizer.keys, record),
		{
			At: authorizer.now(), Action: audit.Cancelled, Actor: caller.Name, Controller: authorizer.controller,
			Subject: record.Job.ID, Reason: decision.Rule,
		},
	})
}

// sealEntries returns the operation that stores entries for the leader to take into the
// audit log.
func (authorizer *Authorizer) sealEntries(key string, entries []audit.Entry) ([]wire.Operation, error) {
	pending := audit.PendingEntries{Entries: entries}
	put, err := pending.Put(authorizer.keys, key)
	if err != nil {
		return nil, fmt.Errorf("access: seal audit entries %s: %w", key, err)
	}
	return []wire.Operation{put}, nil
}
