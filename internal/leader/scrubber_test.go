package leader

import (
	"slices"
	"testing"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
	"pgregory.net/rapid"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// Only keys within the page's range count as missing: after its start, up to its last key and
// under its prefix.
func TestMissingKeysOfPage(t *testing.T) {
	tree := iradix.New[[]byte]().Txn()
	for _, key := range []string{"c/1/0", "d/1", "d/2", "d/3", "d/4", "j/1"} {
		tree.Insert([]byte(key), nil)
	}
	items := func(keys ...string) (items []wire.KeyValue) {
		for _, key := range keys {
			items = append(items, wire.KeyValue{Key: key})
		}
		return items
	}
	for _, tc := range []struct {
		name string
		page scrubPage
		want []string
	}{
		{"all present", scrubPage{prefix: "d/", items: items("d/1", "d/2", "d/3", "d/4")}, nil},
		{"to the end of the prefix", scrubPage{prefix: "d/", items: items("d/2")}, []string{"d/1", "d/3", "d/4"}},
		{"up to its last key", scrubPage{prefix: "d/", last: "d/3", items: items("d/3")}, []string{"d/1", "d/2"}},
		{"after its start", scrubPage{prefix: "d/", after: "d/2"}, []string{"d/3", "d/4"}},
		{"no keys under the prefix", scrubPage{prefix: "e/"}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.page.missingKeys(tree.Commit()); !slices.Equal(got, tc.want) {
				t.Errorf("got missing keys %q, want %q", got, tc.want)
			}
		})
	}
}

// Guards against keys that the comparison with the replica leaves out, or takes for lost, where job
// IDs continue one another with more digits.
func TestMissingKeysOfAnyIDs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.Map(rapid.StringMatching(`req-([019]{1,4}|[0-9]{1,40})`), ledger.EndedKey)
		replicated := rapid.SliceOfNDistinct(key, 1, 40, rapid.ID).Draw(t, "replicated")
		bounds := rapid.SliceOfN(key, 2, 2).Draw(t, "bounds")
		slices.Sort(bounds)
		txn := iradix.New[[]byte]().Txn()
		var want []string
		for _, key := range replicated {
			txn.Insert([]byte(key), nil)
			if key > bounds[0] && key <= bounds[1] {
				want = append(want, key)
			}
		}
		slices.Sort(want)
		page := scrubPage{prefix: ledger.EndedPrefix, after: bounds[0], last: bounds[1]}
		if got := page.missingKeys(txn.Commit()); !slices.Equal(got, want) {
			t.Errorf("page after %s up to %s: got missing keys %v, want %v", bounds[0], bounds[1], got, want)
		}
	})
}
