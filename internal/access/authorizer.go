// Package access authenticates and authorizes users' requests: it identifies the caller,
// decides by the operator's rules, and creates the audit entries of requests. With
// identities off it allows everything; with the audit log off it writes nothing.
//
// An Authorizer owns the refusals that wait to be written and the controller's copy of the
// identities. The job API and the status page consult it before anything else. While the
// store does not answer, it must go on allowing the requests of known identities, up to the
// cache lifetime that the operator sets.
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

// refusalsPerLease is how often refusals are written within a worker's lease.
const refusalsPerLease = 4

// Authorizer authenticates and authorizes requests at one controller. It is safe for
// concurrent use.
type Authorizer struct {
	controller   string
	rules        *rights.Rules      // nil: identities are off
	identities   *identity.Registry // nil: identities are off
	keys         *keyring.Ring      // nil: neither identities nor the audit log are on
	auditEnabled bool
	store        *kvstore.Client
	log          *slog.Logger
	now          func() time.Time
	refusals     refusals
}

// New creates an authorizer. keys may be nil if both identities and the audit log are off.
func New(settings *settings.Settings, store *kvstore.Client, keys *keyring.Ring, log *slog.Logger) *Authorizer {
	access := &settings.Operator.Access
	authorizer := &Authorizer{
		controller: settings.Name, keys: keys, auditEnabled: access.AuditEnabled(), store: store, log: log, now: time.Now,
		refusals: refusals{interval: settings.WorkerLease() / refusalsPerLease, startedAt: time.Now().UnixNano()},
	}
	if access.IdentitiesEnabled() {
		authorizer.rules = &access.Rules
		cacheLifetime := time.Duration(access.CacheLifetime * float64(settings.WorkerLease()))
		authorizer.identities = identity.New(keys, cacheLifetime, settings.ClockError(), log)
	}
	return authorizer
}

// Run keeps the copy of the identities up to date and writes refusals until ctx ends. interval
// is the longest time between updates of the copy.
func (authorizer *Authorizer) Run(ctx context.Context, interval time.Duration) error {
	if authorizer.auditEnabled {
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

// Identify returns the caller of a request. The error is identity.ErrToken if the token is
// invalid, and identity.ErrStale if it cannot be checked now.
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

// AllowsEverybody reports whether identities are off.
func (authorizer *Authorizer) AllowsEverybody() bool { return authorizer.rules == nil }

// Decide decides on a request. With identities off, every request is allowed.
func (authorizer *Authorizer) Decide(caller identity.Caller, request rights.Request) rights.Decision {
	if authorizer.rules == nil {
		return rights.Decision{Allowed: true}
	}
	return authorizer.rules.Decide(&caller.Identity, request)
}

// DecideAndAudit decides on a request about a job. A refusal is logged and audited;
// reasonPrefix is put before its reason.
func (authorizer *Authorizer) DecideAndAudit(
	caller identity.Caller, request rights.Request, job, reasonPrefix string,
) rights.Decision {
	decision := authorizer.Decide(caller, request)
	if !decision.Allowed {
		authorizer.recordRefusal(caller, request, job, reasonPrefix+decision.Rule)
	}
	return decision
}

// SignSubmission records who submitted a job and which rule allowed it, and seals the job's
// record. It does nothing without keys.
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

// AuditCancellation returns the operations that audit a cancellation, to be part of its
// transaction; none if the audit log is off. They include an entry of the job's acceptance,
// because a job that never had a claim has no entry yet.
func (authorizer *Authorizer) AuditCancellation(
	record ledger.JobRecord, caller identity.Caller, decision rights.Decision,
) ([]wire.Operation, error) {
	if !authorizer.auditEnabled {
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

// sealEntries returns the operation that stores sealed entries until the leader moves them to
// the audit log.
func (authorizer *Authorizer) sealEntries(key string, entries []audit.Entry) ([]wire.Operation, error) {
	pending := audit.PendingEntries{Entries: entries}
	put, err := pending.Put(authorizer.keys, key)
	if err != nil {
		return nil, fmt.Errorf("access: seal audit entries %s: %w", key, err)
	}
	return []wire.Operation{put}, nil
}
