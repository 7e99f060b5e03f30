package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/state"
	"rillflow/internal/wire"
)

// txnBytes is the state service's limit on a transaction, less room for its
// guards.
const txnBytes = 40 << 10

// The end of a job takes three changes, so that is the least a batch must hold.
const leastOps = 3

// Shares of the write budget that bulk writes leave: what something waits for
// leaves some to acceptances and withdrawals; what nothing waits for leaves most,
// so that a job's end, for which a later one may wait, is written at once.
const (
	keepUrgent = 0.25
	keepIdle   = 0.6
)

// flush writes what the ledger decided. One batch is under way at a time.
func (r *reign) flush(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.flushes:
		}
		if err := r.gather(ctx); err != nil {
			return err
		}
		for try := 0; ; {
			w, wait, err := r.next(ctx)
			if wait > 0 {
				if !r.until(ctx, wait) {
					return ctx.Err()
				}
				continue
			}
			if w == nil && err == nil {
				break
			}
			if errors.Is(err, state.ErrRefused) {
				if !state.Backoff(ctx, try, r.set.Report()/64, r.set.Report()/4) {
					return ctx.Err()
				}
				try++
				continue
			}
			if err != nil {
				return err
			}
			try = 0
		}
	}
}

// next makes and commits the next batch, or tells how long until there is room.
func (r *reign) next(ctx context.Context) (*writing, time.Duration, error) {
	if !r.rec.begin(ctx) {
		return nil, 0, ctx.Err()
	}
	defer r.rec.end()
	w, wait, err := r.batch()
	if w == nil || err != nil {
		return nil, wait, err
	}
	return w, 0, r.commit(ctx, w)
}

// batch makes the next batch that the budget has room for, or tells how long
// until there is room.
func (r *reign) batch() (*writing, time.Duration, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	ops, value := r.set.Facts.State.Least().TxnOps, r.st.MaxValueBytes()
	alone := r.rec.heavy(value) || r.led.Empty() && r.rec.due(now, r.set.Report()/2)
	if r.led.Empty() && !alone {
		return nil, 0, nil
	}
	b, wait := &ledger.Batch{}, time.Duration(0)
	if alone {
		_, wait = r.st.BulkWriteAllowance(1, keepUrgent)
	} else {
		b, wait = r.changes(ops, value, now)
	}
	if b == nil || wait > 0 {
		return nil, wait, nil
	}
	w := &writing{Batch: b}
	// Plain finishes need no entry: what is queued waits for company until it is due,
	// for every block is a change of the budget.
	if alone || len(b.Apply) > 0 && (len(b.Decisions()) > 0 || r.rec.due(now, r.set.Report()/2)) {
		if err := r.rec.attach(w, r.term.Epoch(), now, ops, value); err != nil {
			return nil, 0, err
		}
	}
	return w, 0, nil
}

// changes are what the ledger has to write.
func (r *reign) changes(ops, value int, now time.Time) (*ledger.Batch, time.Duration) {
	keep, urgent := keepIdle, r.led.Urgent()
	if urgent {
		keep = keepUrgent
	} else {
		r.tidied = now // all there is takes its turn
	}
	room, wait := r.st.BulkWriteAllowance(leastOps, keep)
	if wait > 0 {
		return nil, wait
	}
	lim := ledger.Limits{Ops: min(room, ops), Bytes: txnBytes, Value: value, Urgent: urgent}
	if r.rec != nil {
		// A change less, for the block that tells of the batch.
		lim.Ops, lim.Block, lim.Claims = max(lim.Ops-1, leastOps), r.rec.head.Seq+1, (value-blockRoom)/perClaim
	}
	if urgent && now.Sub(r.tidied) > r.set.Report()/2 {
		// Where something is always urgent, the rest would never be written,
		// and what is left of jobs that are over would add up.
		r.tidied = now
		lim.Urgent, lim.Idle = false, true
		if b := r.led.Next(lim, now); b != nil {
			return b, 0
		}
		lim.Urgent, lim.Idle = true, false
	}
	return r.led.Next(lim, now), 0
}

// until waits for room, or for something more urgent.
func (r *reign) until(ctx context.Context, wait time.Duration) bool {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-r.flushes:
	case <-t.C:
	}
	return true
}

// gather waits a moment where only finishes are to be written: nobody waits for
// them, and the tasks that take the freed rooms are often of the same jobs, so
// that one change holds both.
func (r *reign) gather(ctx context.Context) error {
	end := time.NewTimer(r.set.Report() / 16)
	defer end.Stop()
	for {
		r.mu.Lock()
		urgent := r.led.Urgent()
		r.mu.Unlock()
		if urgent {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-end.C:
			return nil
		case <-r.flushes:
		}
	}
}

// commit sees one batch through until its fate is known. A nil error means
// that the ledger was told; ErrRefused, that the batch is to be made again.
func (r *reign) commit(ctx context.Context, b *writing) error {
	if len(b.Apply) == 0 {
		r.committed(b, 0)
		return nil
	}
	txn := wire.Txn{Compares: append(r.term.Guards(), b.Guards...), Operations: b.Apply}
	unsure := false
	for try := 0; ; try++ {
		gen, failed, err := r.st.Commit(ctx, txn)
		switch {
		case err == nil && len(failed) == 0:
			r.committed(b, gen)
			return nil
		case err == nil && unsure:
			// Was it this very transaction, sent before, that moved the
			// guards? The chunks name their writer.
			stamp, mine, err := r.applied(ctx, b)
			if err != nil {
				break
			}
			if mine {
				r.committed(b, stamp)
				return nil
			}
			return r.rejected(ctx, b, failed)
		case err == nil:
			return r.rejected(ctx, b, failed)
		case errors.Is(err, state.ErrRefused) && !unsure, errors.Is(err, state.ErrTooLarge):
			// What is too large is never to be sent again as it is, not even
			// to learn whether it was applied before the limits fell: the
			// batch made instead has the same guards and tells.
			r.unwritten(b)
			return err
		case errors.Is(err, state.ErrOutcomeUnknown):
			unsure = true
		}
		if !state.Backoff(ctx, try, r.set.Report()/64, r.set.Report()/4) {
			return ctx.Err()
		}
	}
}

// rejected deals with guards that did not hold.
func (r *reign) rejected(ctx context.Context, b *writing, failed []string) error {
	if err := r.term.Over(failed); err != nil {
		return err
	}
	r.unwritten(b)
	for _, f := range failed {
		// A job goes from the live keys to an end. One that is neither was lost.
		if ref, ok := strings.CutPrefix(f, ledger.LivePrefix); ok {
			data, err := r.ending(ctx, ref)
			if errors.Is(err, state.ErrNotFound) {
				return r.doubt(fmt.Errorf("job %s is gone without an end", ref))
			}
			if err != nil {
				return err
			}
			r.copies.Apply(0, ended(ref, data)...)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range failed {
		if r.rec.gone(f) {
			continue
		}
		ref, ok := strings.CutPrefix(f, ledger.LivePrefix)
		if !ok {
			return r.doubt(fmt.Errorf("%s was written by another", f))
		}
		r.withdraw(ref)
	}
	return nil
}

// applied reads back whether a batch of unknown fate was applied, and at which
// generation.
func (r *reign) applied(ctx context.Context, b *writing) (uint64, bool, error) {
	if len(b.blocks) > 0 {
		return b.mine(ctx, r.st)
	}
	for _, ch := range b.Apply {
		key := ch.Put + ch.Delete
		if strings.HasPrefix(key, ledger.LivePrefix) {
			continue
		}
		it, err := r.st.Get(ctx, key)
		if err != nil && !errors.Is(err, state.ErrNotFound) {
			return 0, false, err
		}
		switch {
		case ch.Delete != "":
			if err == nil {
				return 0, false, nil
			}
			continue // gone: this leader alone removes chunks
		case err != nil:
			return 0, false, nil
		case strings.HasPrefix(key, ledger.EndedPrefix):
			var e ledger.Ending
			if json.Unmarshal(it.Value, &e) != nil || e.Phase != wire.PhaseDone {
				return 0, false, nil
			}
		case ledger.WriterOf(it.Value) != b.Writer:
			return 0, false, nil
		}
		return it.ModRevision, true, nil
	}
	return 0, true, nil
}

// unwritten notes that a batch was surely not applied.
func (r *reign) unwritten(b *writing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.led.Failed(b.Batch)
	r.rec.settled(b, false, r.now())
}

func (r *reign) committed(b *writing, gen uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.settled(b, true, r.now())
	r.copies.Apply(0, b.Apply...)
	res := r.led.Committed(b.Batch, gen)
	for _, h := range res.Claims {
		if host := r.hosts[h.Host]; host != nil && !h.Over {
			host.WakeSender()
		}
	}
	for _, j := range res.Ended {
		r.log.Info("done", "job", j.Ref, "class", j.Spec.Class, "tasks", j.Spec.TaskCount, "took_s", r.now().Sub(j.From).Seconds(), "ready_s", r.now().Sub(j.ReadyAt).Seconds())
	}
	r.readied(res.Ready)
	if len(res.Over) > 0 {
		kick(r.plans)
	}
	if !r.led.Empty() {
		kick(r.flushes)
	}
}
