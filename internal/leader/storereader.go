package leader

import (
	"context"
	"errors"
	"slices"
	"strings"

	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// storeReader retries reads that a term cannot continue without until the store answers, however
// long that takes. The loader, the recovery, the job watcher, the claim writer and the scrubber
// call it, none with mu held. It has no state of its own.
type storeReader struct {
	*termScope
}

// retry repeats a request until its error is final or ctx ends, and returns that error.
func (r *storeReader) retry(ctx context.Context, isFinal func(error) bool, request func() error) error {
	for attempt := 0; ; attempt++ {
		if err := request(); isFinal(err) {
			return err
		}
		if !r.backOffRead(ctx, attempt) {
			return ctx.Err()
		}
	}
}

// listAll reads all keys under a prefix, and returns them with the revision of the read.
func (r *storeReader) listAll(ctx context.Context, prefix string) (items []wire.KeyValue, revision uint64, err error) {
	succeeded := func(err error) bool { return err == nil }
	err = r.retry(ctx, succeeded, func() error {
		var err error
		items, revision, err = r.store.List(ctx, prefix)
		return err
	})
	return items, revision, err
}

// first reads the first key under a prefix. The error is kvstore.ErrNotFound if there is none.
func (r *storeReader) first(ctx context.Context, prefix string) (wire.KeyValue, error) {
	return r.readOne(ctx, func() (wire.KeyValue, error) { return r.store.First(ctx, prefix) })
}

// readEndRecord reads the end record of a job. The error is kvstore.ErrNotFound if there is none.
func (r *storeReader) readEndRecord(ctx context.Context, jobID string) ([]byte, error) {
	item, err := r.readOne(ctx, func() (wire.KeyValue, error) { return r.store.Get(ctx, ledger.EndedKey(jobID)) })
	return item.Value, err
}

// readOne reads one key. The error is kvstore.ErrNotFound if the key does not exist.
func (r *storeReader) readOne(ctx context.Context, read func() (wire.KeyValue, error)) (item wire.KeyValue, err error) {
	isFinal := func(err error) bool { return err == nil || errors.Is(err, kvstore.ErrNotFound) }
	err = r.retry(ctx, isFinal, func() error {
		var err error
		item, err = read()
		return err
	})
	return item, err
}

// endRecordPageSize is the maximum number of end records read with one request.
const endRecordPageSize = 1000

// readEndRecords reads the end records of several jobs. Each request reads a page of consecutive
// end records, so there are no more requests than jobs, and not many more than pages of all end
// records. Jobs without an end record are left out of the result.
func (r *storeReader) readEndRecords(ctx context.Context, jobIDs []string) (map[string][]byte, error) {
	wanted := slices.Sorted(slices.Values(jobIDs))
	endRecords := make(map[string][]byte, len(wanted))
	last := "" // the last key read; every page begins after it
	for len(wanted) > 0 {
		page, err := r.readEndRecordPage(ctx, max(last, keyBefore(ledger.EndedKey(wanted[0]))))
		if err != nil {
			return nil, err
		}
		if len(page) == 0 {
			break
		}
		for _, item := range page {
			jobID := strings.TrimPrefix(item.Key, ledger.EndedPrefix)
			if at, isWanted := slices.BinarySearch(wanted, jobID); isWanted {
				endRecords[wanted[at]] = item.Value
			}
		}
		last = page[len(page)-1].Key
		wanted = slices.DeleteFunc(wanted, func(jobID string) bool { return ledger.EndedKey(jobID) <= last })
	}
	return endRecords, nil
}

// keyBefore returns a string that sorts before the key of a job, and between which and that key no
// key of another job sorts. That includes IDs that continue a smaller one with more digits, such as
// req-0004121 before req-000413.
func keyBefore(key string) string {
	const afterDigits = ":" // sorts after all digits
	lastIndex := len(key) - 1
	return key[:lastIndex] + string(key[lastIndex]-1) + afterDigits
}

// readEndRecordPage reads a page of the end records that come after a key.
func (r *storeReader) readEndRecordPage(ctx context.Context, after string) (page []wire.KeyValue, err error) {
	succeeded := func(err error) bool { return err == nil }
	err = r.retry(ctx, succeeded, func() error {
		var err error
		page, _, err = r.store.Page(ctx, ledger.EndedPrefix, after, endRecordPageSize)
		return err
	})
	return page, err
}

// requireEndRecord reads the end record of a job whose live key is deleted. The transaction that
// deletes a live key writes the end record, so a missing one was lost: the error then ends the
// term.
func (r *storeReader) requireEndRecord(ctx context.Context, jobID string) ([]byte, error) {
	end, err := r.readEndRecord(ctx, jobID)
	if errors.Is(err, kvstore.ErrNotFound) {
		return nil, r.suspectDataLoss(&missingEndError{jobID})
	}
	return end, err
}

// endOperations returns the operations of the transaction that ended a job.
func endOperations(jobID string, end []byte) []wire.Operation {
	return []wire.Operation{{Put: ledger.EndedKey(jobID), Value: end}, {Delete: ledger.LiveKey(jobID)}}
}
