package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"time"

	"rillflow/internal/audit"
	"rillflow/internal/keyring"
	"rillflow/internal/ledger"
	"rillflow/internal/state"
	"rillflow/internal/wire"
)

// record is the leader's hand on the audit record: it turns what is decided into
// blocks that go with the transactions. Where no record is kept it is nil, and its
// methods do nothing.
//
// What the state service settles (claims, ends, withdrawals) is told in the very
// transaction that settles it. What happens elsewhere (stops, returns, proofs that a
// task is gone) is noted in a queue that goes out with the next transaction, or in
// one of its own soon after. The queue goes first: a task is never claimed again
// before the record tells why it was free.
type record struct {
	ring *keyring.Ring
	node string
	log  *slog.Logger
	turn chan struct{} // has one token, held from making blocks until their fate is known
	head audit.Head    // under turn
	key  uint32        // that the last block is sealed under, under turn

	// What follows is guarded by the reign's lock.
	queue  []audit.Entry
	flying int       // entries of the queue in a transaction under way
	since  time.Time // of the queue's first entry
	missed int       // entries that there was no room for
	slips  map[string]slip
}

// slip is what another controller left for the record.
type slip struct {
	stamp   uint64
	entries []audit.Entry
}

// Bounds of what waits to be told. With the state service away for long the queue
// fills; then it is told how much is missing.
const (
	maxNotes  = 4096
	maxNoting = 512 // entries of the queue in a transaction at most
	perClaim  = 24  // bytes of a value that a claim may take
	blockRoom = 256 // bytes of a block beside its entries
)

func newRecord(ring *keyring.Ring, node string, log *slog.Logger) *record {
	r := &record{ring: ring, node: node, log: log, turn: make(chan struct{}, 1), slips: make(map[string]slip)}
	r.turn <- struct{}{}
	return r
}

// begin waits for the turn to write blocks, and reports whether it came before ctx
// ended. A turn lasts for a request to the state service, so one can give up waiting.
func (r *record) begin(ctx context.Context) bool {
	if r == nil {
		return true
	}
	select {
	case <-r.turn:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *record) end() {
	if r != nil {
		r.turn <- struct{}{}
	}
}

// open finds the end of the chain, and has the record tell who leads now.
func (r *record) open(ctx context.Context, st *state.Client, wait time.Duration) error {
	if r == nil {
		return nil
	}
	if !r.begin(ctx) {
		return ctx.Err()
	}
	defer r.end()
	for try := 0; ; try++ {
		it, err := st.First(ctx, audit.BlockPrefix)
		if errors.Is(err, state.ErrNotFound) {
			return nil
		}
		if err == nil {
			return r.resume(it)
		}
		if !state.Backoff(ctx, try, wait/32, wait/4) {
			return ctx.Err()
		}
	}
}

// resume goes on after the newest block that is stored. One that was tampered with
// is not mended: the chain goes on behind it, and its fault shows when it is checked.
func (r *record) resume(it wire.KeyValue) error {
	seq, ok := audit.BlockSeq(it.Key)
	if !ok {
		return fmt.Errorf("control: audit key %q", it.Key)
	}
	raw, err := audit.Raw(it.Value)
	if err == nil {
		var b *audit.Block
		if b, err = audit.Open(raw); err == nil {
			if err = b.Sealed(r.ring); err == nil {
				r.key = b.Key
			}
		}
	}
	if err != nil {
		r.log.Error("the newest block of the audit record is not sound", "block", seq, "err", err)
	}
	r.head = audit.Head{Seq: seq, Hash: keyring.Digest(raw)}
	return nil
}

// note queues an entry. Run it with the reign's lock.
func (r *record) note(now time.Time, e audit.Entry) {
	if r == nil {
		return
	}
	e.At = now
	if n := len(r.queue); n > r.flying && len(e.Tasks) > 0 {
		// What befalls the tasks of a job together is one entry.
		if l := &r.queue[n-1]; l.Act == e.Act && l.On == e.On && l.For == e.For && l.Why == e.Why && len(l.Tasks) < 64 {
			l.Tasks = append(l.Tasks, e.Tasks...)
			return
		}
	}
	if len(r.queue) >= maxNotes {
		r.missed++
		return
	}
	if len(r.queue) == 0 {
		r.since = now
	}
	r.queue = append(r.queue, e)
}

// task queues an entry on a claim that the record has.
func (r *record) task(now time.Time, act audit.Act, c *ledger.Held, why, others string) {
	if r == nil || !c.Told {
		return
	}
	r.note(now, audit.Entry{Act: act, On: c.Job.Ref, Why: why, For: others, Tasks: []audit.Task{{Index: c.Index, Try: c.Try, Host: c.Host}}})
}

// due tells whether what is queued is to be written though nothing else is.
func (r *record) due(now time.Time, wait time.Duration) bool {
	return r != nil && (len(r.queue) > 0 && now.Sub(r.since) >= wait || len(r.slips) > 0)
}

// heavy tells whether the queue would take most of a block, so that it had better
// go out by itself first.
func (r *record) heavy(value int) bool {
	return r != nil && len(r.queue) > 0 && (len(r.queue) >= maxNoting/2 || audit.Size(r.queue) > value/2)
}

// writing is a batch with the blocks that tell of it.
type writing struct {
	*ledger.Batch
	blocks []*audit.Block
	noted  int      // entries of the queue that are told
	missed int      // as told
	slips  []string // taken in
	jobs   []*ledger.Job
	claims []*ledger.Held
}

// attach adds to a batch the blocks that tell of it, and of what is queued. ops is
// how many changes there may be in all. Run it with turn and the reign's lock.
func (r *record) attach(w *writing, epoch uint64, now time.Time, ops, value int) error {
	if r == nil {
		return nil
	}
	w.noted = min(len(r.queue), maxNoting)
	r.flying = w.noted
	entries := append([]audit.Entry(nil), r.queue[:w.noted]...)
	if r.missed > 0 && w.noted == len(r.queue) {
		w.missed = r.missed
		entries = append(entries, audit.Entry{At: now, Act: audit.Missed, Why: strconv.Itoa(r.missed)})
	}
	for _, d := range w.Decisions() {
		if !d.Job.Told {
			entries = append(entries, audit.Accepting(r.ring, d.Job.Record()))
			w.jobs = append(w.jobs, d.Job)
			d.Job.Told = true
		}
		if len(d.Claims) > 0 {
			e := audit.Entry{At: now, Act: audit.Claimed, On: d.Job.Ref}
			for _, c := range d.Claims {
				c.Told = true
				w.claims = append(w.claims, c)
				e.Tasks = append(e.Tasks, audit.Task{Index: c.Index, Try: c.Try, Host: c.Host})
			}
			entries = append(entries, e)
		}
		if d.Ends {
			entries = append(entries, audit.Entry{At: now, Act: audit.Done, On: d.Job.Ref})
		}
	}
	for key, s := range r.slips {
		if len(w.Apply)+2 > ops {
			break // a change for the slip, one for its block
		}
		if len(entries) > 0 && audit.Size(entries)+audit.Size(s.entries) > value/2 {
			break
		}
		entries = append(entries, s.entries...)
		w.slips = append(w.slips, key)
		w.Guards = append(w.Guards, wire.Compare{Key: key, ModRevision: s.stamp})
		w.Apply = append(w.Apply, wire.Operation{Delete: key})
	}
	return r.seal(w, entries, epoch, now, ops, value)
}

// dooming adds to the change that withdraws jobs for what they need what tells of it.
func (r *record) dooming(w *writing, js []*ledger.Job, epoch uint64, now time.Time, ops, value int) error {
	if r == nil {
		return nil
	}
	var entries []audit.Entry
	for _, j := range js {
		if !j.Told {
			entries = append(entries, audit.Accepting(r.ring, j.Record()))
		}
		entries = append(entries, audit.Entry{At: now, Act: audit.Withdrawn, On: j.Ref, Why: "needs " + j.Doomed()})
	}
	return r.seal(w, entries, epoch, now, ops, value)
}

// seal makes the blocks.
func (r *record) seal(w *writing, entries []audit.Entry, epoch uint64, now time.Time, ops, value int) error {
	head := r.head
	for _, es := range audit.Split(entries, value-blockRoom-len(r.node)) {
		if len(w.Apply) >= ops {
			// A change more would have the whole transaction refused. This takes
			// host names of hundreds of bytes.
			r.missed += len(es)
			continue
		}
		b, err := audit.Make(r.ring, head, r.key, epoch, r.node, now, es)
		if err != nil {
			return err
		}
		head = b.Head()
		w.blocks = append(w.blocks, b)
		key := audit.BlockKey(b.Seq)
		w.Guards = append(w.Guards, wire.Compare{Key: key})
		w.Apply = append(w.Apply, wire.Operation{Put: key, Value: audit.Value(b.Raw)})
	}
	return nil
}

// settled notes what became of a transaction's blocks. Run it with turn and the
// reign's lock.
func (r *record) settled(w *writing, applied bool, now time.Time) {
	if r == nil {
		return
	}
	r.flying = 0
	if !applied {
		for _, j := range w.jobs {
			j.Told = false
		}
		for _, c := range w.claims {
			c.Told = false
			r.unsay(c)
		}
		return
	}
	if n := len(w.blocks); n > 0 {
		r.head, r.key = w.blocks[n-1].Head(), w.blocks[n-1].Key
	}
	if w.noted > 0 {
		r.queue = append(r.queue[:0], r.queue[w.noted:]...)
		r.since = now
	}
	r.missed -= w.missed
	for _, s := range w.slips {
		delete(r.slips, s)
	}
}

// unsay takes back what was queued of a claim that was never made.
func (r *record) unsay(c *ledger.Held) {
	r.queue = slices.DeleteFunc(r.queue, func(e audit.Entry) bool {
		return e.On == c.Job.Ref && len(e.Tasks) == 1 && e.Tasks[0].Index == c.Index && e.Tasks[0].Try == c.Try
	})
	for i := range r.queue {
		if e := &r.queue[i]; e.On == c.Job.Ref && len(e.Tasks) > 1 {
			e.Tasks = slices.DeleteFunc(e.Tasks, func(t audit.Task) bool { return t.Index == c.Index && t.Try == c.Try })
		}
	}
}

// mine tells whether the first block of a transaction is the one that is stored
// under its number: nobody else can have sealed it.
func (w *writing) mine(ctx context.Context, st *state.Client) (stamp uint64, mine bool, err error) {
	it, err := st.Get(ctx, audit.BlockKey(w.blocks[0].Seq))
	if errors.Is(err, state.ErrNotFound) {
		return 0, false, nil
	}
	return it.ModRevision, err == nil && w.blocks[0].Same(it.Value), err
}

// gone tells whether a guard that failed was on a slip, which then is no more. Run it
// with the reign's lock.
func (r *record) gone(key string) bool {
	if r == nil || !strings.HasPrefix(key, audit.SlipPrefix) {
		return false
	}
	delete(r.slips, key)
	return true
}

// take takes in a slip that another controller wrote. Run it with the reign's lock.
func (r *record) take(key string, data json.RawMessage, stamp uint64) {
	s, err := audit.ReadSlip(r.ring, key, data)
	if err != nil {
		r.log.Error("a slip for the audit record is not sound", "key", key, "err", err)
		r.slips[key] = slip{stamp, []audit.Entry{{At: time.Now(), Act: audit.Unsealed, On: key, Why: err.Error()}}}
		return
	}
	r.slips[key] = slip{stamp, s.Entries}
}

// collect follows the slips until ctx ends.
func (r *reign) collect(ctx context.Context) error {
	if r.rec == nil {
		return nil
	}
	return r.st.WatchPrefix(ctx, state.Watcher{
		Prefix: audit.SlipPrefix, PollWait: r.set.Lease() / 2, BackoffBase: r.set.Report() / 32, BackoffLimit: r.set.Report() / 4,
		OnSnapshot: func(items []wire.KeyValue, _ time.Time) {
			r.mu.Lock()
			for _, it := range items {
				r.rec.take(it.Key, it.Value, it.ModRevision)
			}
			r.mu.Unlock()
			kick(r.flushes)
		},
		OnChanges: func(log []wire.Operation, _ time.Time) {
			r.mu.Lock()
			for _, ch := range log {
				if ch.Put != "" {
					r.rec.take(ch.Put, ch.Value, ch.ModRevision)
				}
			}
			r.mu.Unlock()
			if len(log) > 0 {
				kick(r.flushes)
			}
		},
	})
}
