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

// scrubber detects keys that the store has lost silently: page by page, it compares the keys in
// the store with those of this controller's replica.
//
// Serve runs its loop, runScrubber, and nobody else calls it. Its only state is the loop's
// cursor. It takes mu to look up a job, and must not hold it during a request to the store. It
// writes nothing to the store: if data is lost it ends the term, and the next term recovers it.
type scrubber struct {
	*termScope
	recovery    *dataRecovery
	storeReader *storeReader
}

// Pace of the scrubber.
const (
	keysPerHeartbeat     = 200 // keys compared in a heartbeat interval
	firstRoundPageFactor = 5   // factor on the page size in the first pass over the end records
	maxSuspectsPerPage   = 8   // missing keys of a page that are looked up again
)

// scrubPrefixes are scanned in this order, repeatedly. End records come first: those of earlier
// terms may be missing from all replicas when a leader has just started, and the scan adds them.
var scrubPrefixes = []string{ledger.EndedPrefix, ledger.LivePrefix, ledger.ChunkPrefix}

// scrubCursor is the position and the pace of the scrubber.
type scrubCursor struct {
	prefixIndex int           // index in scrubPrefixes
	after       string        // the last key compared under the prefix; "" if none
	interval    time.Duration // between two pages
	pageSize    int           // number of keys requested per page
}

// scrubPage is a range of keys and values as read from the store.
type scrubPage struct {
	prefix string
	after  string // exclusive start of the range
	last   string // inclusive end of the range; "" if it extends to the end of the prefix
	items  []wire.KeyValue
}

// runScrubber compares the store with the replica, one page of keys at a time.
func (s *scrubber) runScrubber(ctx context.Context) error {
	cursor := scrubCursor{interval: s.settings.HeartbeatInterval() / 8, pageSize: firstRoundPageFactor * keysPerHeartbeat}
	for retry.Sleep(ctx, cursor.interval) {
		before, _ := s.replica.Tree()
		prefix := scrubPrefixes[cursor.prefixIndex]
		items, last, err := s.store.Page(ctx, prefix, cursor.after, cursor.pageSize)
		if err != nil {
			continue
		}
		page := scrubPage{prefix: prefix, after: cursor.after, last: last, items: items}
		if err := s.checkPage(ctx, before, page); err != nil {
			return err
		}
		if prefix == ledger.EndedPrefix {
			s.addEndRecords(items)
		}
		if cursor.after = last; last == "" {
			cursor.prefixIndex = (cursor.prefixIndex + 1) % len(scrubPrefixes)
			cursor.interval, cursor.pageSize = s.settings.HeartbeatInterval(), keysPerHeartbeat
		}
	}
	return ctx.Err()
}

// addEndRecords adds the end records that the replica lacks, those of earlier terms.
func (s *scrubber) addEndRecords(items []wire.KeyValue) {
	var ops []wire.Operation
	for _, item := range items {
		if _, inReplica := s.replica.Get(item.Key); !inReplica {
			ops = append(ops, wire.Operation{Put: item.Key, Value: item.Value})
		}
	}
	s.replica.Apply(0, ops...)
}

// checkPage ends the term if a value of a page is damaged or a key is lost. A lost key is one that
// the replica had before the page was read and still has, but that the page lacks.
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

// isDamaged reports whether a value differs from the replica's and is not valid JSON.
func (s *scrubber) isDamaged(item wire.KeyValue) bool {
	replicaValue, ok := s.replica.Get(item.Key)
	return ok && string(replicaValue) != string(item.Value) && !json.Valid(item.Value)
}

// missingKeys returns the keys of a tree that are within the range of a page but not in it.
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

// covers reports whether a key after the start of a page is within its range.
func (p *scrubPage) covers(key string) bool {
	return strings.HasPrefix(key, p.prefix) && (p.last == "" || key <= p.last)
}

// isLost reports whether a key missing from a page is certainly lost: neither just deleted nor
// still to be restored by the recovery. It reports false if the store does not answer.
func (s *scrubber) isLost(ctx context.Context, prefix, key string) (bool, error) {
	if prefix == ledger.EndedPrefix && s.endRecordPending(key) || !s.isAbsent(ctx, key) {
		return false, nil
	}
	// The key may have been deleted meanwhile: give the watch time to update the replica.
	if !retry.Sleep(ctx, s.settings.HeartbeatInterval()/4) {
		return false, ctx.Err()
	}
	_, inReplica := s.replica.Get(key)
	if !inReplica || prefix == ledger.ChunkPrefix && s.chunkRemovable(key) || !s.isAbsent(ctx, key) {
		return false, nil
	}
	jobID, isJob := strings.CutPrefix(key, ledger.LivePrefix)
	if !isJob {
		return true, nil
	}
	_, err := s.storeReader.readEndRecord(ctx, jobID)
	return errors.Is(err, kvstore.ErrNotFound), nil
}

// isAbsent reports whether the store answers that the key does not exist.
func (s *scrubber) isAbsent(ctx context.Context, key string) bool {
	_, err := s.store.Get(ctx, key)
	return errors.Is(err, kvstore.ErrNotFound)
}

// chunkRemovable reports whether a chunk of claims may have been deleted: its job is unknown,
// cancelled or finished.
func (s *scrubber) chunkRemovable(key string) bool {
	jobID, _ := ledger.JobIDOfChunkKey(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	job := s.jobs.Job(jobID)
	return job == nil || job.Cancelled || job.Finished
}

// endRecordPending reports whether the recovery has yet to restore an end record.
func (s *scrubber) endRecordPending(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recovery.progress == nil {
		return false
	}
	isOfKey := func(write recovery.Write) bool { return write.Key == key }
	return slices.ContainsFunc(s.recovery.progress.pending, isOfKey)
}
