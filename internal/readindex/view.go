// Package readindex answers reads of the keys under a prefix of the key-value store from memory,
// with the same linearizability as reads of the store. It applies the ReadIndex technique of Raft
// to a store with revisions: a read waits for the next round and is then answered from memory. A
// round is one request, sent after the read began, for all changes since the previous round. They
// are applied in memory before the read is answered, and include every change that was committed
// before the read began. One round serves all waiting reads, so the number of requests depends on
// the elapsed time and not on the number of readers.
//
// A View owns the keys in memory and the revision up to which they are current. Its Run is one
// long-lived loop of the process; the job API calls Read. The package must not answer a read from
// memory without a round that was sent after the read began, and must not write to the store.
package readindex

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"time"

	"rillflow/internal/kvstore"
	"rillflow/internal/retry"
	"rillflow/internal/wire"
)

// ErrUnavailable means that the view cannot answer now: it is not loaded, its rounds fail or time
// out, or there are too many keys. The caller must read the key from the store itself.
var ErrUnavailable = errors.New("readindex: view unavailable")

// overflowPauseIntervals is the number of keep-alive intervals before the keys are listed again
// after there were too many.
const overflowPauseIntervals = 16

// Options configure a View that keeps a summary of each value.
type Options[Summary any] struct {
	Store    *kvstore.Client
	Prefix   string
	Interval time.Duration // shortest pause between the end of a round and the start of the next
	// KeepAlive is the longest time between rounds. It keeps the view from falling behind the
	// compaction of the store's change log.
	KeepAlive time.Duration
	MaxWait   time.Duration // of a read for its round
	MaxKeys   int           // with more keys the view is unavailable
	// Summarize returns the summary to keep of a value.
	Summarize func(value []byte) Summary
	Log       *slog.Logger
}

// View holds the keys under a prefix, with a summary of each value. It is safe for concurrent use.
type View[Summary any] struct {
	options Options[Summary]
	wake    chan struct{} // signals Run that a read waits

	// Only Run's goroutine uses these.
	revision    uint64 // keys holds all changes up to this revision
	incarnation uint64 // store incarnation of keys, as numbered by the store client

	mu        sync.Mutex         // guards the fields below
	keys      map[string]Summary // summaries by the part of the key after the prefix; nil: not loaded
	nextRound *round             // joined by reads that begin now; nil: no read waits
	stats     Stats
	overflow  bool // there were too many keys when they were last listed
}

// Stats are the usage counters and the size of a view.
type Stats struct {
	Loaded       bool
	Keys         int
	Rounds       int64 // sent
	FailedRounds int64
	Reads        int64 // answered from memory
}

// round is one request to the store on behalf of all reads that wait for it.
type round struct {
	done chan struct{} // closed when the round has ended
	err  error         // set before done is closed
}

// New returns a view that is not loaded yet.
func New[Summary any](options Options[Summary]) *View[Summary] {
	return &View[Summary]{options: options, wake: make(chan struct{}, 1)}
}

// Stats returns the usage counters and the present size of the view.
func (v *View[Summary]) Stats() Stats {
	v.mu.Lock()
	defer v.mu.Unlock()
	stats := v.stats
	stats.Loaded, stats.Keys = v.keys != nil, len(v.keys)
	return stats
}

// Read returns whether a key exists, given the part after the prefix, and its summary. The read is
// linearizable: the answer was true at some moment between the call and the return. The error is
// ErrUnavailable if the caller must read the store instead; any other error would have failed a
// read of the store too.
func (v *View[Summary]) Read(ctx context.Context, name string) (summary Summary, exists bool, err error) {
	joined := v.join()
	if joined == nil {
		return summary, false, ErrUnavailable
	}
	timer := time.NewTimer(v.options.MaxWait)
	defer timer.Stop()
	select {
	case <-joined.done:
	case <-ctx.Done():
		return summary, false, ErrUnavailable
	case <-timer.C:
		return summary, false, ErrUnavailable
	}
	if joined.err != nil {
		return summary, false, joined.err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.keys == nil {
		return summary, false, ErrUnavailable // a later round reset the view
	}
	v.stats.Reads++
	summary, exists = v.keys[name]
	return summary, exists, nil
}

// Latest returns whether a key exists as of the last round, and its summary. It is for callers that
// have the answer of a Read: the state that Latest returns is at least as new. The error is
// ErrUnavailable if the view has been reset since.
func (v *View[Summary]) Latest(name string) (summary Summary, exists bool, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.keys == nil {
		return summary, false, ErrUnavailable
	}
	summary, exists = v.keys[name]
	return summary, exists, nil
}

// Lacks reports whether a key was missing as of the last round, which may be as old as the
// keep-alive interval. It is for callers that tolerate stale answers. It returns false if the view
// is not loaded.
func (v *View[Summary]) Lacks(name string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, exists := v.keys[name]
	return v.keys != nil && !exists
}

// join returns the round that a read must wait for if it begins now, or nil if the view is not
// loaded.
func (v *View[Summary]) join() *round {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.keys == nil {
		return nil
	}
	if v.nextRound == nil {
		v.nextRound = &round{done: make(chan struct{})}
	}
	select {
	case v.wake <- struct{}{}:
	default: // already signalled
	}
	return v.nextRound
}

// Run loads the view and runs its rounds until ctx ends.
func (v *View[Summary]) Run(ctx context.Context) error {
	ctx = kvstore.WithPriority(ctx, kvstore.PriorityStatusRead)
	keepAlive := time.NewTicker(v.options.KeepAlive)
	defer keepAlive.Stop()
	for attempt := 0; ctx.Err() == nil; {
		if !v.loaded() && !v.load(ctx) {
			retry.Backoff(ctx, attempt, v.options.Interval, v.options.KeepAlive)
			attempt++
			continue
		}
		attempt = 0
		select {
		case <-ctx.Done():
		case <-v.wake:
		case <-keepAlive.C:
		}
		v.runRound(ctx)
		retry.Sleep(ctx, v.options.Interval)
	}
	return ctx.Err()
}

// runRound requests and applies the changes since the last round, and completes the round for the
// reads that wait for it.
func (v *View[Summary]) runRound(ctx context.Context) {
	var current *round
	var minRevision uint64 // the store had reached it when the request was sent
	changes, err := v.options.Store.ChangesSince(ctx, v.options.Prefix, v.revision, func() {
		current = v.beginRound()
		minRevision, _ = v.options.Store.Revision()
	})
	if current == nil { // the request was not sent
		current = v.beginRound()
	}
	if err == nil {
		err = v.apply(changes, minRevision)
	}
	if errors.Is(err, kvstore.ErrCompacted) {
		v.reset()
	}
	current.err = readError(err)
	if err != nil {
		v.options.Log.Debug("round of reads failed", "prefix", v.options.Prefix, "err", err)
		v.mu.Lock()
		v.stats.FailedRounds++
		v.mu.Unlock()
	}
	close(current.done)
}

// readError returns the error of the reads of a round. ErrRefused is kept, as a read of the store
// would be refused too; after any other error the caller should read the store.
func readError(err error) error {
	if err == nil || errors.Is(err, kvstore.ErrRefused) {
		return err
	}
	return ErrUnavailable
}

// beginRound returns the round to be sent now. Reads that begin later join the next one.
func (v *View[Summary]) beginRound() *round {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stats.Rounds++
	current := v.nextRound
	v.nextRound = nil
	if current == nil {
		current = &round{done: make(chan struct{})} // no read waits
	}
	return current
}

// errBehind means that a round's response has an earlier revision than was known when the request
// was sent.
var errBehind = errors.New("readindex: change log is behind the known revision")

// apply applies the changes of a round's response to the keys.
func (v *View[Summary]) apply(changes wire.WatchResponse, minRevision uint64) error {
	if _, incarnation := v.options.Store.Revision(); incarnation != v.incarnation {
		return kvstore.ErrCompacted // the keys are from an earlier incarnation
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, change := range changes.Events {
		if change.Delete != "" {
			delete(v.keys, strings.TrimPrefix(change.Delete, v.options.Prefix))
			continue
		}
		v.keys[strings.TrimPrefix(change.Put, v.options.Prefix)] = v.options.Summarize(change.Value)
	}
	v.revision = max(v.revision, changes.Revision)
	if len(v.keys) > v.options.MaxKeys {
		return kvstore.ErrCompacted // Run lists the keys again, and load detects the overflow
	}
	if changes.Revision < minRevision {
		return errBehind
	}
	return nil
}
