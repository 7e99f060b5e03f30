// Package readindex answers reads of the keys under a prefix of the key-value store from memory,
// as strictly as reads of the store would. It carries the ReadIndex of Raft over to a store with
// revisions: a read joins the next round, one request that brings all changes up to a revision of
// the store later than the read began, and is answered from what is known then. One round serves
// all reads that wait, so that the requests depend on time and not on the readers.
//
// A View owns the keys in memory and the revision up to which they are known. Its Run is one
// long-lived loop of the process; the job API reads. It must not answer a read from memory without
// a round that was sent after the read began, and must not write to the store.
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

// ErrUnavailable says that the view cannot answer now: it is not loaded, its rounds do not come
// back, or there are too many keys. The key is to be read from the store itself.
var ErrUnavailable = errors.New("readindex: view unavailable")

// overflowPause is how many keep-alive intervals pass before keys that were too many are listed
// again.
const overflowPause = 16

// Options set up a View that keeps a summary of each value.
type Options[Summary any] struct {
	Store    *kvstore.Client
	Prefix   string
	Interval time.Duration // between the ends and beginnings of rounds, at least
	// KeepAlive is the longest time between rounds: the change log must not be left behind.
	KeepAlive time.Duration
	MaxWait   time.Duration // of a read for its round
	MaxKeys   int           // above which the view gives up
	// Summarize makes what is kept of a key from its value.
	Summarize func(value []byte) Summary
	Log       *slog.Logger
}

// View is the keys under a prefix, with a summary of each. It is safe for concurrent use.
type View[Summary any] struct {
	options Options[Summary]
	wake    chan struct{} // there is a read to be answered

	// Only Run's goroutine uses these.
	revision    uint64 // up to which keys are known
	incarnation uint64 // of the store, as its client counts them, that keys are of

	mu       sync.Mutex         // guards what follows
	keys     map[string]Summary // summaries by the rest of the key; nil: not loaded
	next     *round             // that reads which begin now join; nil: none waits
	stats    Stats
	overflow bool // there were too many keys when they were last listed
}

// Stats tell how a view is used.
type Stats struct {
	Loaded       bool
	Keys         int
	Rounds       int64 // sent
	FailedRounds int64
	Reads        int64 // answered from memory
}

// round is one request that confirms what all reads that wait for it are told.
type round struct {
	done chan struct{} // closed when the outcome is known
	err  error         // set before that
}

// New makes a view that is not loaded yet.
func New[Summary any](options Options[Summary]) *View[Summary] {
	return &View[Summary]{options: options, wake: make(chan struct{}, 1)}
}

// Stats returns how the view was used so far.
func (v *View[Summary]) Stats() Stats {
	v.mu.Lock()
	defer v.mu.Unlock()
	stats := v.stats
	stats.Loaded, stats.Keys = v.keys != nil, len(v.keys)
	return stats
}

// Read tells whether a key exists, by what follows the prefix, and its summary. The answer holds
// for a moment between the call and the return. The error is ErrUnavailable where the store is to
// be read instead, or why the store could not be asked.
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
		return summary, false, ErrUnavailable // it was found wanting since
	}
	v.stats.Reads++
	summary, exists = v.keys[name]
	return summary, exists, nil
}

// Lacks reports whether a key was found missing by the last round, which may be as long ago as the
// keep-alive interval. It is for what need not be exact; a view that is not loaded lacks nothing.
func (v *View[Summary]) Lacks(name string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, exists := v.keys[name]
	return v.keys != nil && !exists
}

// join returns the round that a read which begins now waits for, nil if the view is not loaded.
func (v *View[Summary]) join() *round {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.keys == nil {
		return nil
	}
	if v.next == nil {
		v.next = &round{done: make(chan struct{})}
	}
	select {
	case v.wake <- struct{}{}:
	default: // it is awake
	}
	return v.next
}

// Run keeps the view up to date until ctx ends.
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

// runRound brings the keys up to date and answers the reads that wait.
func (v *View[Summary]) runRound(ctx context.Context) {
	var current *round
	var floor uint64 // a revision that the store had reached when the request was sent
	changes, err := v.options.Store.ChangesSince(ctx, v.options.Prefix, v.revision, func() {
		current = v.begin()
		floor, _ = v.options.Store.Revision()
	})
	if current == nil { // it was not sent
		current = v.begin()
	}
	if err == nil {
		err = v.apply(changes, floor)
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

// readError is what a read is told of its round's error: what the store would have refused a read
// of its own as well stays, all else sends it there.
func readError(err error) error {
	if err == nil || errors.Is(err, kvstore.ErrRefused) {
		return err
	}
	return ErrUnavailable
}

// begin returns the round that is sent now. Reads that begin from here on join the one after.
func (v *View[Summary]) begin() *round {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stats.Rounds++
	current := v.next
	v.next = nil
	if current == nil {
		current = &round{done: make(chan struct{})} // nobody waits
	}
	return current
}

// errBehind says that the answer to a round is older than what this process knew when it asked.
var errBehind = errors.New("readindex: the change log is behind")

// apply takes in the changes that a round brought.
func (v *View[Summary]) apply(changes wire.WatchResponse, floor uint64) error {
	if _, incarnation := v.options.Store.Revision(); incarnation != v.incarnation {
		return kvstore.ErrCompacted // the keys are of data that the store lost
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
		return kvstore.ErrCompacted // listed again, which tells that they are too many
	}
	if changes.Revision < floor {
		return errBehind
	}
	return nil
}
