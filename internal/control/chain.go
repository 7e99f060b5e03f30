package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"rillflow/internal/audit"
	"rillflow/internal/ledger"
	"rillflow/internal/state"
	"rillflow/internal/wire"
)

// chain looks after jobs that wait for others. What became of a needed job that
// is no longer live is looked up, and a withdrawal is carried to all that come
// after it. Both begin with what the state service has, so a new leader goes on
// where the last one stopped.
func (r *reign) chain(ctx context.Context) error {
	tick := time.NewTicker(r.set.Report() / 6)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-r.chains:
		}
		r.lookup(ctx)
		if err := r.carry(ctx); err != nil {
			return err
		}
	}
}

// lookups bounds the reads under way at once.
const lookups = 8

// lookup asks how needed jobs ended that this leader does not know.
func (r *reign) lookup(ctx context.Context) {
	r.mu.Lock()
	refs := r.led.Unknown()
	r.mu.Unlock()
	slots := make(chan struct{}, lookups)
	var wg sync.WaitGroup
	var refused atomic.Bool
	for _, ref := range refs {
		slots <- struct{}{}
		if refused.Load() {
			break // the rest is for the next round: others need the budget too
		}
		wg.Go(func() {
			defer func() { <-slots }()
			it, err := r.st.Get(ctx, ledger.EndedKey(ref))
			if err != nil {
				// Not found: it is live, and the watch has yet to tell.
				if !errors.Is(err, state.ErrNotFound) {
					refused.Store(true)
				}
				return
			}
			var e ledger.Ending
			if err := json.Unmarshal(it.Value, &e); err != nil {
				r.log.Error("ending", "job", ref, "err", err)
				return
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			r.readied(r.led.Settle(ref, e.Phase == wire.PhaseDone, time.UnixMilli(e.AtMS)))
		})
	}
	wg.Wait()
}

// readied notes jobs that now wait for no other.
func (r *reign) readied(js []*ledger.Job) {
	for _, j := range js {
		r.log.Info("ready", "job", j.Ref, "class", j.Spec.Class, "waited_s", j.ReadyAt.Sub(j.From).Seconds())
	}
	if len(js) > 0 {
		kick(r.plans)
	}
}

// carry withdraws the jobs that come after a withdrawn one, a few in each
// transaction. None of them has ever had a claim, for none was ready.
func (r *reign) carry(ctx context.Context) error {
	for ctx.Err() == nil {
		more, err := r.carryOn(ctx)
		if !more || err != nil {
			return err
		}
	}
	return ctx.Err()
}

// carryOn withdraws the next few, and tells whether there were any.
func (r *reign) carryOn(ctx context.Context) (more bool, err error) {
	if !r.rec.begin(ctx) {
		return false, ctx.Err()
	}
	defer r.rec.end()
	r.mu.Lock()
	js, w, err := r.doomed()
	r.mu.Unlock()
	if err != nil || len(js) == 0 {
		return false, err
	}
	txn := wire.Txn{Compares: append(r.term.Guards(), w.Guards...), Operations: w.Apply}
	for try := 0; ; try++ {
		_, failed, err := r.st.Commit(ctx, txn)
		if err == nil && len(failed) > 0 && len(w.blocks) > 0 {
			// Was it this very transaction, sent before?
			var mine bool
			if _, mine, err = w.mine(ctx, r.st); mine {
				failed = nil
			}
		}
		if err == nil {
			return true, r.carried(js, w, failed)
		}
		if errors.Is(err, state.ErrTooLarge) {
			r.mu.Lock()
			r.rec.settled(w, false, r.now())
			r.mu.Unlock()
			return true, nil // made again, for the limits in force
		}
		// Of unknown fate or not, the same is asked for again: a job that
		// was withdrawn by it fails its guard then, which is as good.
		if !state.Backoff(ctx, try, r.set.Report()/64, r.set.Report()/4) {
			return false, ctx.Err()
		}
	}
}

// doomed makes the change that withdraws the next few jobs.
func (r *reign) doomed() ([]*ledger.Job, *writing, error) {
	w := &writing{Batch: &ledger.Batch{}}
	ops, now := r.set.Facts.State.Least().TxnOps, r.now()
	n := ops / 2
	if r.rec != nil {
		n = max(1, (ops-1)/2) // a change for the block that tells of them
	}
	js := r.led.ToWithdraw(n)
	for _, j := range js {
		rec := j.Record()
		data, err := ledger.Encode(ledger.WithdrawnEnding(&rec, now))
		if err != nil {
			return nil, nil, fmt.Errorf("control: %s: %w", j.Ref, err)
		}
		w.Guards = append(w.Guards, wire.Compare{Key: ledger.LiveKey(j.Ref), ModRevision: j.Stamp()})
		w.Apply = append(w.Apply, wire.Operation{Delete: ledger.LiveKey(j.Ref)}, wire.Operation{Put: ledger.EndedKey(j.Ref), Value: data})
	}
	if len(js) == 0 {
		return nil, nil, nil
	}
	return js, w, r.rec.dooming(w, js, r.term.Epoch(), now, ops, r.st.MaxValueBytes())
}

func (r *reign) carried(js []*ledger.Job, w *writing, failed []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.settled(w, len(failed) == 0, r.now())
	if err := r.term.Over(failed); err != nil {
		return err
	}
	if len(failed) == 0 {
		r.copies.Apply(0, w.Apply...)
	}
	for _, f := range failed {
		if strings.HasPrefix(f, audit.BlockPrefix) {
			return fmt.Errorf("control: %s was written by another", f)
		}
	}
	for _, j := range js {
		// A live key that is not as it was is gone: its user withdrew the
		// job, for it cannot have been done.
		if len(failed) == 0 || slices.Contains(failed, ledger.LiveKey(j.Ref)) {
			r.withdraw(j.Ref)
		}
	}
	return nil
}

// lift is what a job has from those that need it: the highest rank among them,
// and the time by which it must be done for the last of them to be in time, the
// steps between counted.
func (r *reign) lift(j *ledger.Job) *ledger.Lift {
	if j.Lift != nil {
		return j.Lift
	}
	l := &ledger.Lift{Rank: rankOf(j.Spec.Priority), Due: make([]time.Time, len(r.set.Facts.Objectives))}
	for k, o := range r.set.Facts.Objectives {
		if o.Kind == "deadline" && o.Class == j.Spec.Class && j.Spec.DeadlineSeconds > 0 {
			l.Due[k] = j.From.Add(time.Duration(j.Spec.DeadlineSeconds * max(o.Times, 1) * float64(time.Second)))
		}
	}
	for _, n := range r.led.Needers(j) {
		if n.Withdrawn || n.Doomed() != "" {
			continue
		}
		up := r.lift(n)
		l.Rank = min(l.Rank, up.Rank)
		for k, due := range up.Due {
			if due.IsZero() {
				continue
			}
			if due = due.Add(-r.step(n)); l.Due[k].IsZero() || due.Before(l.Due[k]) {
				l.Due[k] = due
			}
		}
	}
	if o := j.Origin; o != nil && o.Cap != "" {
		// However high those that need it: not above what whoever submitted it may
		// have. That is at least what was asked for, or it was not accepted.
		l.Rank = max(l.Rank, rankOf(o.Cap))
	}
	j.Lift = l
	return l
}

// step is how long a job is expected to take once it is ready: until its
// longest task is done, and the finish of one step known to the next.
func (r *reign) step(j *ledger.Job) time.Duration {
	return time.Duration(longest*j.Spec.ExpectedSeconds*float64(time.Second)) + r.set.Report()/2
}

// longest is how long the last of a job's tasks takes, as a ratio to the mean.
const longest = 1.5

// rank is the rank that a job goes by.
func (r *reign) rank(j *ledger.Job) int { return r.lift(j).Rank }
