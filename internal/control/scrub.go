package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"rillflow/internal/copies"
	"rillflow/internal/ledger"
	"rillflow/internal/rebuild"
	"rillflow/internal/state"
	"rillflow/internal/wire"
)

// scrub looks for keys that were lost without a trace: it walks what this node
// remembers and asks for a few keys at a time.
func (r *reign) scrub(ctx context.Context) error {
	// Ends first, and fast: those before this term are known to nobody else if the
	// leader has just begun.
	prefixes := []string{ledger.EndedPrefix, ledger.LivePrefix, ledger.ClaimPrefix}
	after, at, every, many := "", 0, r.set.Report()/8, 5*scrubbed
	for sleep(ctx, every) {
		before, _ := r.copies.Tree()
		page, next, err := r.st.Page(ctx, prefixes[at], after, many)
		if err != nil {
			continue
		}
		if err := r.missing(ctx, before, prefixes[at], after, next, page); err != nil {
			return err
		}
		if prefixes[at] == ledger.EndedPrefix {
			r.learn(page)
		}
		if after = next; after == "" {
			at = (at + 1) % len(prefixes)
			every, many = r.set.Report(), scrubbed
		}
	}
	return ctx.Err()
}

// scrubbed is how many keys are looked at in a report interval.
const scrubbed = 200

// learn adds ends of earlier terms to the copy.
func (r *reign) learn(page []wire.KeyValue) {
	var add []wire.Operation
	for _, it := range page {
		if _, ok := r.copies.Get(it.Key); !ok {
			add = append(add, wire.Operation{Put: it.Key, Value: it.Value})
		}
	}
	r.copies.Apply(0, add...)
}

// missing finds what was remembered before a page was read, still is, and is not in it.
func (r *reign) missing(ctx context.Context, before *copies.Tree, under, after, next string, page []wire.KeyValue) error {
	have := make(map[string]bool, len(page))
	for _, it := range page {
		have[it.Key] = true
		if strings.HasPrefix(under, ledger.EndedPrefix) {
			continue
		}
		if old, ok := r.copies.Get(it.Key); ok && string(old) != string(it.Value) && !json.Valid(it.Value) {
			return r.doubt(fmt.Errorf("%s cannot be read", it.Key))
		}
	}
	var lost []string
	it := before.Root().Iterator()
	it.SeekLowerBound([]byte(max(under, after+"\x00")))
	for k, _, ok := it.Next(); ok && strings.HasPrefix(string(k), under) && (next == "" || string(k) <= next); k, _, ok = it.Next() {
		if !have[string(k)] {
			lost = append(lost, string(k))
		}
	}
	for _, k := range lost[:min(len(lost), 8)] {
		if under == ledger.EndedPrefix && r.unwrittenEnd(k) {
			continue
		}
		if _, err := r.st.Get(ctx, k); !errors.Is(err, state.ErrNotFound) {
			continue
		}
		// Removed by somebody meanwhile, and the copy is yet to be told?
		if !sleep(ctx, r.set.Report()/4) {
			return ctx.Err()
		}
		if _, still := r.copies.Get(k); !still || under == ledger.ClaimPrefix && r.over(k) {
			continue
		}
		if _, err := r.st.Get(ctx, k); errors.Is(err, state.ErrNotFound) {
			if ref, ok := strings.CutPrefix(k, ledger.LivePrefix); ok {
				if _, err := r.ending(ctx, ref); !errors.Is(err, state.ErrNotFound) {
					continue
				}
			}
			return r.doubt(fmt.Errorf("%s is gone though nobody removed it", k))
		}
	}
	return nil
}

// over tells whether the job of a chunk is over, so that the chunk may go.
func (r *reign) over(key string) bool {
	ref, _ := ledger.ChunkRef(key)
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.led.Job(ref)
	return j == nil || j.Withdrawn || j.Finished
}

// unwrittenEnd tells whether an end is yet to be stored again.
func (r *reign) unwrittenEnd(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.back != nil && slices.ContainsFunc(r.back.writes, func(w rebuild.Write) bool { return w.Key == key })
}
