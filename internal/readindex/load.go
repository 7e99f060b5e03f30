package readindex

import (
	"context"
	"errors"
	"strings"

	"rillflow/internal/kvstore"
	"rillflow/internal/retry"
	"rillflow/internal/wire"
)

// errTooManyKeys says that there are more keys than a view holds.
var errTooManyKeys = errors.New("readindex: too many keys")

// loaded tells whether reads can be answered from memory.
func (v *View[Summary]) loaded() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.keys != nil
}

// reset forgets the keys: they are to be listed anew.
func (v *View[Summary]) reset() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.keys = nil
}

// load lists the keys, and reports whether it could. Later pages may hold changes later than the
// revision of the first: the first round brings those again.
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
	v.noteOverflow(ctx, errors.Is(err, errTooManyKeys))
	if err != nil {
		return false
	}
	v.revision, v.incarnation = max(revision, 1), incarnation
	v.mu.Lock()
	defer v.mu.Unlock()
	v.keys = keys
	return true
}

// noteOverflow says when there begin or cease to be too many keys, and waits for a while if there
// are: a listing of so many is not to be repeated soon.
func (v *View[Summary]) noteOverflow(ctx context.Context, overflow bool) {
	v.mu.Lock()
	changed := overflow != v.overflow
	v.overflow = overflow
	v.mu.Unlock()
	if changed && overflow {
		v.options.Log.Warn("too many keys to read from memory",
			"prefix", v.options.Prefix, "limit", v.options.MaxKeys)
	}
	if overflow {
		retry.Sleep(ctx, overflowPause*v.options.KeepAlive)
	}
}
