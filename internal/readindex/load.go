package readindex

import (
	"context"
	"errors"
	"strings"

	"rillflow/internal/kvstore"
	"rillflow/internal/retry"
	"rillflow/internal/wire"
)

// errTooManyKeys means that there are more keys than Options.MaxKeys.
var errTooManyKeys = errors.New("readindex: too many keys")

// loaded reports whether the keys are in memory, so that reads can be answered.
func (v *View[Summary]) loaded() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.keys != nil
}

// reset drops the keys, so that Run lists them anew.
func (v *View[Summary]) reset() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.keys = nil
}

// load lists the keys into memory, and reports whether that succeeded. Later pages may contain
// changes made after the revision of the first page; the first round applies those again.
func (v *View[Summary]) load(ctx context.Context) bool {
	_, incarnation := v.options.Store.Revision()
	keys := make(map[string]Summary)
	revision, err := v.options.Store.ListPages(ctx, v.options.Prefix, func(items []wire.KeyValue) error {
		for _, item := range items {
			keys[strings.TrimPrefix(item.Key, v.options.Prefix)] = v.options.Summarize(item.Value)
		}
		if len(keys) > v.options.MaxKeys {
			return errTooManyKeys
		}
		return nil
	})
	if _, now := v.options.Store.Revision(); err == nil && now != incarnation {
		err = kvstore.ErrCompacted
	}
	v.handleOverflow(ctx, errors.Is(err, errTooManyKeys))
	if err != nil {
		return false
	}
	v.revision, v.incarnation = max(revision, 1), incarnation
	v.mu.Lock()
	defer v.mu.Unlock()
	v.keys = keys
	return true
}

// handleOverflow records whether there are too many keys. If there are, it logs the change and pauses,
// so that so large a listing is not repeated soon.
func (v *View[Summary]) handleOverflow(ctx context.Context, overflow bool) {
	v.mu.Lock()
	changed := overflow != v.overflow
	v.overflow = overflow
	v.mu.Unlock()
	if changed && overflow {
		v.options.Log.Warn("too many keys to read from memory",
			"prefix", v.options.Prefix, "limit", v.options.MaxKeys)
	}
	if overflow {
		retry.Sleep(ctx, overflowPauseIntervals*v.options.KeepAlive)
	}
}
