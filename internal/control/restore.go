package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"rillflow/internal/history"
	"rillflow/internal/ledger"
	"rillflow/internal/rebuild"
	"rillflow/internal/state"
	"rillflow/internal/wire"
)

// restore is what a leader does about data that the state service has lost.
type restore struct {
	writes []rebuild.Write
	count  rebuild.Count
	wrote  int
	// exact: this node led when the data was lost, so that what it remembers is all
	// that was ever launched.
	exact bool
	// all: everything is put together anew; else only ends that are still to be written.
	all      bool
	missing  []string // peers that could not be asked
	damaged  []string
	orphans  []string
	durable  time.Time // when all that is alive was stored again
	released time.Time // when tasks were placed again
}

// doubt notes that what the state service holds contradicts itself or what is known,
// and ends the term: the next one puts it together anew.
func (r *reign) doubt(why error) error {
	r.hist.Doubt(why.Error())
	return fmt.Errorf("%w: %w", history.ErrGone, why)
}

// doubted tells whether data may have been lost, so that nothing is ordered any more.
func (r *reign) doubted() bool {
	if r.hist == nil {
		return false
	}
	_, _, yes := r.hist.Doubted()
	return yes
}

// base is the try above which a leader that rebuilds gives them out: epochs never come
// again, so no try does.
func (r *reign) base() uint64 { return r.first << 16 }

// regain stores again all that is alive, before any duty but answering beats begins.
func (r *reign) regain(ctx context.Context) error {
	if r.back == nil || !r.back.all {
		return nil
	}
	n, _ := slices.BinarySearchFunc(r.back.writes, false, func(w rebuild.Write, _ bool) int {
		if w.Task {
			return -1
		}
		return 1
	})
	if err := r.rewrite(ctx, n, keepUrgent/2); err != nil {
		return err
	}
	r.mu.Lock()
	r.back.durable = r.now()
	r.mu.Unlock()
	return r.reach(ctx, history.Ends)
}

// reach takes the history to a phase, however long that takes.
func (r *reign) reach(ctx context.Context, p history.Phase) error {
	err := r.insist(ctx, func() (bool, error) {
		err := r.term.Step(ctx, p)
		return !errors.Is(err, state.ErrRefused) && !errors.Is(err, state.ErrOutcomeUnknown), err
	})
	if err == nil {
		r.log.Info("history", "phase", p)
	}
	return err
}

// rewrite makes the next changes, so many, in transactions of as many as the limits
// allow, within the budget.
func (r *reign) rewrite(ctx context.Context, todo int, keep float64) error {
	ops := r.set.Facts.State.Least().TxnOps
	for todo > 0 {
		ws := r.back.writes[:todo]
		room, wait := r.st.BulkWriteAllowance(1, keep)
		if wait > 0 {
			if !sleep(ctx, wait) {
				return ctx.Err()
			}
			continue
		}
		n, size := 0, 0
		for n < min(len(ws), ops, room) && size < txnBytes {
			size += len(ws[n].Data)
			n++
		}
		gen, err := r.put(ctx, ws[:n])
		if err != nil {
			return err
		}
		r.mu.Lock()
		for _, w := range ws[:n] {
			if w.Data != nil {
				r.led.Restamp(w.Key, gen)
			}
		}
		r.back.wrote += n
		r.back.writes = r.back.writes[n:]
		r.mu.Unlock()
		todo -= n
	}
	return nil
}

// put commits one transaction of a rebuild until its fate is known.
func (r *reign) put(ctx context.Context, ws []rebuild.Write) (uint64, error) {
	txn := wire.Txn{Compares: r.term.Guards()}
	for _, w := range ws {
		txn.Compares = append(txn.Compares, wire.Compare{Key: w.Key, ModRevision: w.Stamp})
		ch := wire.Operation{Put: w.Key, Value: w.Data}
		if w.Data == nil {
			ch = wire.Operation{Delete: w.Key}
		}
		txn.Operations = append(txn.Operations, ch)
	}
	for try := 0; ; try++ {
		gen, failed, err := r.st.Commit(ctx, txn)
		if err == nil && len(failed) == 0 {
			return gen, nil
		}
		if err == nil {
			if err := r.term.Over(failed); err != nil {
				return 0, err
			}
			// An earlier sending whose answer was lost, or a user's own end of it: read
			// what is there. Nobody but the leader writes anything else now.
			if gen, err = r.stands(ctx, ws[0].Value); err == nil {
				return gen, nil
			}
			if errors.Is(err, errOther) {
				return 0, r.doubt(fmt.Errorf("%s was written by another", ws[0].Key))
			}
		}
		if errors.Is(err, state.ErrTooLarge) {
			return 0, err
		}
		if !state.Backoff(ctx, try, r.set.Report()/64, r.set.Report()/4) {
			return 0, ctx.Err()
		}
	}
}

var errOther = errors.New("another value")

// stands tells at which generation a value was written, if it is what is stored.
func (r *reign) stands(ctx context.Context, v rebuild.Value) (uint64, error) {
	it, err := r.st.Get(ctx, v.Key)
	switch {
	case errors.Is(err, state.ErrNotFound) && v.Data == nil:
		return 0, nil
	case errors.Is(err, state.ErrNotFound), err == nil && !alike(it.Value, v.Data):
		return 0, errOther
	}
	return it.ModRevision, err
}

// alike compares values as the service may have set them anew.
func alike(a, b []byte) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	ea, err1 := json.Marshal(x)
	eb, err2 := json.Marshal(y)
	return err1 == nil && err2 == nil && string(ea) == string(eb)
}

// finish writes what nothing waits for, and tells when the history is whole.
func (r *reign) finish(ctx context.Context) error {
	switch r.term.History().Phase {
	case history.Open:
		if err := r.open(ctx); err != nil {
			return err
		}
	case history.Rebuild, history.Ends:
		if err := r.rewrite(ctx, len(r.back.writes), keepIdle); err != nil {
			return err
		}
		if err := r.heardAll(ctx); err != nil {
			return err
		}
	default:
		return nil
	}
	if err := r.reach(ctx, history.Whole); err != nil {
		return err
	}
	r.copies.Settled(r.term.History().ID)
	return nil
}

// feed sends this node's copy to the others.
func (r *reign) feed(ctx context.Context) error {
	fed := make(map[string]context.CancelFunc)
	for {
		now := r.peers.Followers()
		for _, n := range now {
			if fed[n] == nil {
				fctx, cancel := context.WithCancel(ctx)
				fed[n] = cancel
				r.group.Go(func() error {
					r.copies.Feed(fctx, r.peers, n, r.set.Report()/time.Duration(feeds))
					return nil
				})
			}
		}
		for n, cancel := range fed {
			if !slices.Contains(now, n) {
				cancel()
				delete(fed, n)
			}
		}
		if !sleep(ctx, r.set.Report()/2) {
			return ctx.Err()
		}
	}
}

// feeds is how often in a report interval a copy is sent on.
const feeds = 12

// ended is the change by which a job ended.
func ended(ref string, data []byte) []wire.Operation {
	return []wire.Operation{{Put: ledger.EndedKey(ref), Value: data}, {Delete: ledger.LiveKey(ref)}}
}
