package leader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/recovery"
	"rillflow/internal/replica"
	"rillflow/internal/retry"
	"rillflow/internal/wire"
)

// scrubber looks for keys that the store has lost without a trace: it walks the keys that this
// controller's replica has, and reads a few at a time from the store.
//
// Serve runs its loop, runAntiEntropy, and nobody else calls it. Its only state is the loop's
// cursor. It takes mu for a look at a job, and must not hold it during a request to the store.
// It writes nothing to the store: it ends the term if data is lost, and the next one recovers it.
type scrubber struct {
	*termScope
	recovery    *dataRecovery
	storeReader *storeReader
}

// Pace of the scrubber.
const (
	keysPerHeartbeat       = 200 // looked at in a heartbeat interval
	firstRoundAcceleration = 5   // times as many keys at once in the first look at the end records
	maxSuspectsPerPage     = 8   // keys of a page that are looked up again
)

// scrubPrefixes are walked in this order, over and over. End records come first: those of
// before this term are known to nobody else if the leader has just begun.
var scrubPrefixes = []string{ledger.EndedPrefix, ledger.LivePrefix, ledger.ChunkPrefix}

// scrubCursor is how far the scrubber has come.
type scrubCursor struct {
	prefix   int    // index in scrubPrefixes
	after    string // the last key looked at under it; "": none
	interval time.Duration
	keys     int // to be looked at in an interval
}

// scrubPage is a range of keys as the store has them.
type scrubPage struct {
	prefix string
	after  string // the range begins behind this key
	last   string // its last key; "": it goes to the end of the prefix
	items  []wire.KeyValue
}

// runAntiEntropy compares one page of keys after the other.
func (s *scrubber) runAntiEntropy(ctx context.Context) error {
	cursor := scrubCursor{interval: s.settings.HeartbeatInterval() / 8, keys: firstRoundAcceleration * keysPerHeartbeat}
	for retry.Sleep(ctx, cursor.interval) {
		before, _ := s.replica.Tree()
		prefix := scrubPrefixes[cursor.prefix]
		items, last, err := s.store.Page(ctx, prefix, cursor.after, cursor.keys)
		if err != nil {
			continue
		}
		page := scrubPage{prefix: prefix, after: cursor.after, last: last, items: items}
		if err := s.checkPage(ctx, before, page); err != nil {
			return err
		}
		if prefix == ledger.EndedPrefix {
			s.addEndings(items)
		}
		if cursor.after = last; last == "" {
			cursor.prefix = (cursor.prefix + 1) % len(scrubPrefixes)
			cursor.interval, cursor.keys = s.settings.HeartbeatInterval(), keysPerHeartbeat
		}
	}
	return ctx.Err()
}

// addEndings adds end records of earlier terms to the replica.
func (s *scrubber) addEndings(items []wire.KeyValue) {
	var ops []wire.Operation
	for _, item := range items {
		if _, known := s.replica.Get(item.Key); !known {
			ops = append(ops, wire.Operation{Put: item.Key, Value: item.Value})
		}
	}
	s.replica.Apply(0, ops...)
}

// checkPage ends the term if a value of a page cannot be read, or a key is lost: the replica had
// it before the page was read, still has it, and the page has not.
func (s *scrubber) checkPage(ctx context.Context, before *replica.Tree, page scrubPage) error {
	if page.prefix != ledger.EndedPrefix {
		for _, item := range page.items {
			if s.isDamaged(item) {
				return s.suspectDataLoss(fmt.Errorf("%s cannot be read", item.Key))
			}
		}
	}
	missing := page.missingKeys(before)
	for _, key := range missing[:min(len(missing), maxSuspectsPerPage)] {
		lost, err := s.isLost(ctx, page.prefix, key)
		if err != nil {
			return err
		}
		if lost {
			return s.suspectDataLoss(fmt.Errorf("%s is gone though nobody removed it", key))
		}
	}
	return nil
}

// isDamaged tells whether a value is not what the replica has, and no JSON.
func (s *scrubber) isDamaged(item wire.KeyValue) bool {
	known, ok := s.replica.Get(item.Key)
	return ok && string(known) != string(item.Value) && !json.Valid(item.Value)
}

// missingKeys returns the keys of a tree that belong in a page and are not there.
func (p *scrubPage) missingKeys(tree *replica.Tree) []string {
	present := make(map[string]bool, len(p.items))
	for _, item := range p.items {
		present[item.Key] = true
	}
	var missing []string
	iterator := tree.Root().Iterator()
	iterator.SeekLowerBound([]byte(max(p.prefix, p.after+"\x00")))
	for key, _, ok := iterator.Next(); ok && p.covers(string(key)); key, _, ok = iterator.Next() {
		if !present[string(key)] {
			missing = append(missing, string(key))
		}
	}
	return missing
}

// covers tells whether a key behind the beginning of a page belongs in it.
func (p *scrubPage) covers(key string) bool {
	return strings.HasPrefix(key, p.prefix) && (p.last == "" || key <= p.last)
}

// isLost tells whether a key that was missing in a page is surely lost: not just deleted, nor
// yet to be stored again. A store that does not answer proves nothing.
func (s *scrubber) isLost(ctx context.Context, prefix, key string) (bool, error) {
	if prefix == ledger.EndedPrefix && s.endingPending(key) || !s.isAbsent(ctx, key) {
		return false, nil
	}
	// Deleted by somebody meanwhile, and the replica is yet to be told?
	if !retry.Sleep(ctx, s.settings.HeartbeatInterval()/4) {
		return false, ctx.Err()
	}
	_, remembered := s.replica.Get(key)
	if !remembered || prefix == ledger.ChunkPrefix && s.chunkRemovable(key) || !s.isAbsent(ctx, key) {
		return false, nil
	}
	jobID, isJob := strings.CutPrefix(key, ledger.LivePrefix)
	if !isJob {
		return true, nil
	}
	_, err := s.storeReader.readEnding(ctx, jobID)
	return errors.Is(err, kvstore.ErrNotFound), nil
}

// isAbsent tells whether the store says that it has no such key.
func (s *scrubber) isAbsent(ctx context.Context, key string) bool {
	_, err := s.store.Get(ctx, key)
	return errors.Is(err, kvstore.ErrNotFound)
}

// chunkRemovable tells whether the job of a chunk of claims is over, so that the chunk may go.
func (s *scrubber) chunkRemovable(key string) bool {
	jobID, _ := ledger.JobIDOfChunkKey(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	job := s.jobs.Job(jobID)
	return job == nil || job.Cancelled || job.Finished
}

// endingPending tells whether an end record is yet to be stored again.
func (s *scrubber) endingPending(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recovery.progress == nil {
		return false
	}
	isOfKey := func(write recovery.Write) bool { return write.Key == key }
	return slices.ContainsFunc(s.recovery.progress.pending, isOfKey)
}
