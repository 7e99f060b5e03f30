package replica

import (
	"context"
	"fmt"
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// nextSourceMarker is the value of a page's After if the next page begins the next source.
const nextSourceMarker = "\x00"

// Collect fetches all records that the controllers hold and returns them as trees. missing
// names the controllers whose records could not be fetched completely; the pages received
// from them are included in the trees.
func Collect(ctx context.Context, peers Peers, controllers []string) (trees []*Tree, missing []string) {
	type answer struct {
		controller string
		trees      []*Tree
		err        error
	}
	answers := make(chan answer, len(controllers))
	for _, controller := range controllers {
		go func() {
			collected, err := collectFrom(ctx, peers, controller)
			answers <- answer{controller, collected, err}
		}()
	}
	for range controllers {
		received := <-answers
		trees = append(trees, received.trees...)
		if received.err != nil {
			missing = append(missing, received.controller)
		}
	}
	return trees, missing
}

// collectFrom fetches all records of one controller, page by page. On an error it also
// returns the records received before it.
func collectFrom(ctx context.Context, peers Peers, controller string) (trees []*Tree, err error) {
	txn := iradix.New[[]byte]().Txn()
	for request := (PageRequest{}); ; {
		page, err := peers.FetchPage(ctx, controller, request)
		if err != nil {
			return append(trees, txn.Commit()), fmt.Errorf("fetch page from %s: %w", controller, err)
		}
		for _, entry := range page.Entries {
			if entry.Data != nil && IsReplicated(entry.Key) {
				txn.Insert([]byte(entry.Key), entry.Data)
			}
		}
		if page.After == "" {
			return append(trees, txn.Commit()), nil
		}
		if page.Source != request.Source {
			trees = append(trees, txn.Commit())
			txn = iradix.New[[]byte]().Txn()
		}
		request = PageRequest{After: strings.TrimPrefix(page.After, nextSourceMarker), Source: page.Source}
	}
}

// ReadPage returns a page of the records that this controller holds, for a peer that collects
// them.
func (r *Replica) ReadPage(request PageRequest) Page {
	sources := r.Sources()
	page := Page{Source: request.Source}
	if request.Source < 0 || request.Source >= len(sources) {
		return page
	}
	page.Entries, page.After = readPage(sources[request.Source], request.After)
	if page.After == "" && request.Source+1 < len(sources) {
		page.Source++
		page.After = nextSourceMarker
	}
	return page
}

// readPage returns the entries after a key, up to the size of a page, and the key after which
// the next page begins, or "" if there are no more entries.
func readPage(tree *Tree, after string) (entries []Entry, next string) {
	iterator := tree.Root().Iterator()
	iterator.SeekLowerBound([]byte(after))
	for size := 0; ; {
		key, value, ok := iterator.Next()
		if !ok {
			return entries, ""
		}
		if string(key) == after {
			continue
		}
		entries = append(entries, Entry{string(key), value})
		if size += len(key) + len(value); size > maxPageBytes {
			return entries, string(key)
		}
	}
}
