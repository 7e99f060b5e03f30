package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rillflow/internal/lead"
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
			if err := json.Unmarshal(it.Data, &e); err != nil {
				r.log.Error("ending", "job", ref, "err", err)
				return
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			r.readied(r.led.Settle(ref, e.Phase == wire.Done, time.UnixMilli(e.AtMS)))
		})
	}
	wg.Wait()
}

// readied notes jobs that now wait for no other.
func (r *reign) readied(js []*ledger.Job) {
	for _, j := range js {
		r.log.Info("ready", "job", j.Ref, "class", j.Spec.Class, "waited_s", j.ReadyAt.Sub(j.At).Seconds())
	}
	if len(js) > 0 {
		kick(r.plans)
	}
}

// carry withdraws the jobs that come after a withdrawn one, a few in each
// transaction. None of them has ever had a claim, for none was ready.
func (r *reign) carry(ctx context.Context) error {
	for try := 0; ctx.Err() == nil; {
		r.mu.Lock()
		js := r.led.ToWithdraw(r.set.Facts.State.Least().TxnOps / 2)
		txn := wire.Commit{Guards: []wire.Guard{r.term.Guard()}}
		for _, j := range js {
			rec := j.Record()
			data, err := ledger.Encode(ledger.WithdrawnEnding(&rec, r.now()))
			if err != nil {
				r.mu.Unlock()
				return fmt.Errorf("control: %s: %w", j.Ref, err)
			}
			txn.Guards = append(txn.Guards, wire.Guard{Path: ledger.LiveKey(j.Ref), Stamp: j.Stamp()})
			txn.Apply = append(txn.Apply, wire.Change{Remove: ledger.LiveKey(j.Ref)}, wire.Change{Put: ledger.EndedKey(j.Ref), Data: data})
		}
		r.mu.Unlock()
		if len(js) == 0 {
			return nil
		}
		_, failed, err := r.st.Commit(ctx, txn)
		if err != nil {
			// Of unknown fate or not, the same is asked for again: a job that
			// was withdrawn by it fails its guard then, which is as good.
			state.Backoff(ctx, try, r.set.Report()/64, r.set.Report()/4)
			try++
			continue
		}
		if lead.Deposed(failed) {
			return lead.ErrDeposed
		}
		try = 0
		r.mu.Lock()
		for _, j := range js {
			// A live key that is not as it was is gone: its user withdrew the
			// job, for it cannot have been done.
			if len(failed) == 0 || slices.Contains(failed, ledger.LiveKey(j.Ref)) {
				r.withdraw(j.Ref)
			}
		}
		r.mu.Unlock()
	}
	return ctx.Err()
}

// lift is what a job has from those that need it: the highest rank among them,
// and the time by which it must be done for the last of them to be in time, the
// steps between counted.
func (r *reign) lift(j *ledger.Job) *ledger.Lift {
	if j.Lift != nil {
		return j.Lift
	}
	l := &ledger.Lift{Rank: rankOf(j.Spec.Rank), Due: make([]time.Time, len(r.set.Facts.Objectives))}
	for k, o := range r.set.Facts.Objectives {
		if o.Kind == "deadline" && o.Class == j.Spec.Class && j.Spec.DueS > 0 {
			l.Due[k] = j.At.Add(time.Duration(j.Spec.DueS * max(o.Times, 1) * float64(time.Second)))
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
	j.Lift = l
	return l
}

// step is how long a job is expected to take once it is ready: until its
// longest task is done, and the finish of one step known to the next.
func (r *reign) step(j *ledger.Job) time.Duration {
	return time.Duration(longest*j.Spec.ExpectS*float64(time.Second)) + r.set.Report()/2
}

// longest is how long the last of a job's tasks takes, as a ratio to the mean.
const longest = 1.5

// rank is the rank that a job goes by.
func (r *reign) rank(j *ledger.Job) int { return r.lift(j).Rank }
