// Package access stands between users and what they ask for: it finds out who asks,
// decides by the operator's rules, and sees to it that what is done is told in the
// audit record. Where identities and the record are off it lets everybody in and
// writes nothing.
package access

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
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

// Door is a controller's guard.
type Door struct {
	node  string
	every time.Duration // between slips of refusals
	rules *rights.Rules // nil: identities are off
	ring  *keyring.Ring // nil: neither identities nor the record are on
	who   *identity.Registry
	told  bool // the record is kept
	st    *kvstore.Client
	log   *slog.Logger
	now   func() time.Time

	mu     sync.Mutex
	denied []audit.Entry
	missed int
	slips  uint64 // written
	began  int64

	out *slipped // the report duty's alone
}

// New makes a door. ring may be nil where neither identities nor the record are on.
func New(set *settings.Settings, st *kvstore.Client, ring *keyring.Ring, log *slog.Logger) *Door {
	a := &set.Operator.Access
	d := &Door{node: set.Node, every: set.Lease() / 4, ring: ring, told: a.Audited(), st: st, log: log, now: time.Now, began: time.Now().UnixNano()}
	if a.Identified() {
		d.rules = &a.Rules
		skew := set.ClockError()
		d.who = identity.New(ring, time.Duration(a.Trust*float64(set.Lease())), skew, log)
	}
	return d
}

// Run follows the identities and writes down refusals until ctx ends.
func (d *Door) Run(ctx context.Context, every time.Duration) error {
	if d.told {
		var wg sync.WaitGroup
		wg.Go(func() { d.report(ctx) })
		defer wg.Wait()
	}
	if d.who == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	return d.who.Follow(ctx, d.st, every)
}

// Who tells who makes a request.
func (d *Door) Who(r *http.Request) (identity.Caller, error) {
	h := r.Header.Get("Authorization")
	if d.who == nil || h == "" {
		return identity.Caller{}, nil
	}
	scheme, token, _ := strings.Cut(h, " ")
	if !strings.EqualFold(scheme, "bearer") {
		return identity.Caller{}, identity.ErrToken
	}
	return d.who.Check(strings.TrimSpace(token))
}

// May decides. Where identities are off, everything is allowed and nothing said.
func (d *Door) May(c identity.Caller, q rights.Request) rights.Decision {
	if d.rules == nil {
		return rights.Decision{Allowed: true}
	}
	return d.rules.Decide(&c.Identity, q)
}

// Judge decides, and notes a refusal on a job; about goes before its reason.
func (d *Door) Judge(c identity.Caller, q rights.Request, job, about string) rights.Decision {
	dec := d.May(c, q)
	if !dec.Allowed {
		d.refused(c, q, job, about+dec.Rule)
	}
	return dec
}

// Open tells whether identities are off.
func (d *Door) Open() bool { return d.rules == nil }

// Enter puts a caller's name on a job that it may submit, under a seal.
func (d *Door) Enter(rec *ledger.JobRecord, c identity.Caller, dec rights.Decision) error {
	if d.ring == nil {
		return nil
	}
	rec.Origin = &ledger.Origin{Submitter: c.Name, Controller: d.node, Rule: dec.Rule, MaxPriority: dec.Cap}
	return rec.Sign(d.ring)
}

// Leave is what tells of a withdrawal in the transaction that makes it; nil where no
// record is kept. The slip has the acceptance too: a job that never had a claim is in
// no other entry yet.
func (d *Door) Leave(rec ledger.JobRecord, c identity.Caller, dec rights.Decision) ([]wire.Operation, error) {
	if !d.told {
		return nil, nil
	}
	place := audit.SlipPrefix + rec.Job.ID
	return d.slip(place, []audit.Entry{
		audit.Accepting(d.ring, rec),
		{At: d.now(), Act: audit.Withdrawn, Who: c.Name, Via: d.node, On: rec.Job.ID, Why: dec.Rule},
	})
}

func (d *Door) slip(place string, entries []audit.Entry) ([]wire.Operation, error) {
	s := audit.Slip{Entries: entries}
	put, err := s.Change(d.ring, place)
	if err != nil {
		return nil, fmt.Errorf("access: %w", err)
	}
	return []wire.Operation{put}, nil
}

// maxRefused bounds the refusals that wait to be written; the rest are counted.
const maxRefused = 64

// refused notes that something was not allowed. Nothing is committed for it, so it is
// told a little later, and only so many at a time: nobody can fill the record, or use
// up the state service, by being refused.
func (d *Door) refused(c identity.Caller, q rights.Request, job, why string) {
	d.log.Info("refused", "who", c.Name, "do", q.Do, "job", job, "owner", q.Owner, "rank", q.Rank, "why", why)
	if !d.told {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.denied) >= maxRefused {
		d.missed++
		return
	}
	d.denied = append(d.denied, audit.Entry{At: d.now(), Act: audit.Refused, Who: c.Name, Via: d.node, On: job, For: q.Do, Why: why, Owner: q.Owner, Rank: q.Rank})
}

// report writes refusals down, some at a time.
func (d *Door) report(ctx context.Context) {
	tick := time.NewTicker(d.every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if err := d.write(ctx); err != nil && ctx.Err() == nil {
			d.log.Debug("refusals not written yet", "err", err)
		}
	}
}

// slipped is a slip of refusals that is being written.
type slipped struct {
	place  string
	apply  []wire.Operation
	n      int // refusals in it
	missed int // counted in it
}

// write makes one slip of the refusals. One whose fate is unknown is written again
// just as it was, under the same name: it is written when that is taken.
func (d *Door) write(ctx context.Context) error {
	if d.out == nil {
		out, err := d.gather()
		if out == nil || err != nil {
			return err
		}
		d.out = out
	}
	_, _, err := d.st.Commit(ctx, wire.Txn{Compares: []wire.Compare{{Key: d.out.place}}, Operations: d.out.apply})
	if errors.Is(err, kvstore.ErrTooLarge) {
		d.out = nil // made again, for the limits in force
	}
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.denied = append(d.denied[:0], d.denied[d.out.n:]...)
	d.missed -= d.out.missed
	d.slips++
	d.out = nil
	return nil
}

func (d *Door) gather() (*slipped, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := &slipped{place: fmt.Sprintf("%s%s.%x.%d", audit.SlipPrefix, d.node, d.began, d.slips)}
	entries := append([]audit.Entry(nil), d.denied...)
	for audit.Size(entries) > d.st.MaxValueBytes()/2 && len(entries) > 1 {
		entries = entries[:len(entries)/2] // the rest takes its turn
	}
	s.n = len(entries)
	if s.n == len(d.denied) && d.missed > 0 {
		s.missed = d.missed
		entries = append(entries, audit.Entry{At: d.now(), Act: audit.Missed, Via: d.node, Why: strconv.Itoa(d.missed)})
	}
	if len(entries) == 0 {
		return nil, nil
	}
	var err error
	s.apply, err = d.slip(s.place, entries)
	return s, err
}
