// Package keyringtest creates key rings for tests. Only test files may import it.
package keyringtest

import (
	"path/filepath"
	"testing"

	"rillflow/internal/keyring"
)

// New returns a ring with one new key. Its file is removed when the test ends.
func New(tb testing.TB) *keyring.Ring {
	tb.Helper()
	path := filepath.Join(tb.TempDir(), "keys")
	if err := keyring.Init(path); err != nil {
		tb.Fatal(err)
	}
	ring, err := keyring.Load(path)
	if err != nil {
		tb.Fatal(err)
	}
	return ring
}
