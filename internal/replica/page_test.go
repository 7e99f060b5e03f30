package replica

import (
	"slices"
	"strings"
	"testing"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
	"pgregory.net/rapid"

	"rillflow/internal/ledger"
)

// Guards against pages that repeat or leave out records where job IDs continue one another with more
// digits: all pages together are a plain scan of the tree.
func TestPagesOfAnyIDsAreComplete(t *testing.T) {
	value := []byte(strings.Repeat("x", maxPageBytes/3))
	rapid.Check(t, func(t *rapid.T) {
		txn := iradix.New[[]byte]().Txn()
		var want []string
		for _, jobID := range rapid.SliceOfNDistinct(rapid.StringMatching(`req-([019]{1,4}|[0-9]{1,40})`), 1, 30, rapid.ID).Draw(t, "jobs") {
			txn.Insert([]byte(ledger.EndedKey(jobID)), value)
			want = append(want, ledger.EndedKey(jobID))
		}
		slices.Sort(want)
		tree := txn.Commit()
		var got []string
		for after, pages := "", 0; pages == 0 || after != ""; pages++ {
			entries, next := readPage(tree, after)
			for _, entry := range entries {
				got = append(got, entry.Key)
			}
			if pages > len(want) {
				t.Fatalf("%d pages for %d records", pages, len(want))
			}
			after = next
		}
		if !slices.Equal(got, want) {
			t.Errorf("pages hold %v, want %v", got, want)
		}
	})
}
