package keyring

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestParse(t *testing.T) {
	secret := strings.Repeat("ab", Size)
	for _, tc := range []struct {
		name, in, want string
	}{
		{"one key", "1 " + secret + "\n", ""},
		{"comments and a rotation", "# mine\n\n1 " + secret + "\n7  " + secret, ""},
		{"nothing", "# nothing\n", "no key"},
		{"a key to come", "1 " + secret + "\n2 " + secret + " 2026-12-01T21:00:00Z", ""},
		{"no time", "1 " + secret + " tomorrow", "line 1"},
		{"short", "1 abcd", "line 1"},
		{"a number twice", "1 " + secret + "\n1 " + secret, "rise"},
		{"no number", secret, "line 1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := parse([]byte(tc.in))
			if (err == nil) != (tc.want == "") || err != nil && !strings.Contains(err.Error(), tc.want) {
				t.Errorf("got %v, want %q", err, tc.want)
			}
			if err != nil && strings.Contains(err.Error(), secret) {
				t.Error("the error tells the secret")
			}
		})
	}
}

// A ring serves through a rotation: a key that another process has already is found in
// the file, old seals still hold, and each purpose has a key of its own.
func TestRotation(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ring")
	if err := Init(path); err != nil {
		t.Fatal(err)
	}
	if err := Init(path); !errors.Is(err, os.ErrExist) {
		t.Errorf("written over: %v", err)
	}
	ring, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	old, _ := ring.Seal(ring.Newest(), ForAudit, []byte("x"))
	other, _ := ring.Seal(ring.Newest(), ForPendingEntries, []byte("x"))
	if bytes.Equal(old[:], other[:]) {
		t.Error("two purposes share a key")
	}
	from := time.Now().Add(time.Hour)
	id, err := Rotate(path, from)
	if err != nil || id != 2 {
		t.Fatalf("key %d, %v", id, err)
	}
	if ok, err := ring.Check(1, ForAudit, old[:], []byte("x")); !ok || err != nil {
		t.Errorf("an old seal: %v, %v", ok, err)
	}
	fresh, err := Load(path)
	if err != nil || fresh.Newest() != 1 {
		t.Fatalf("before its time: %d, %v", fresh.Newest(), err)
	}
	fresh.now = func() time.Time { return from.Add(time.Second) }
	if fresh.Newest() != 2 {
		t.Errorf("after its time: %d", fresh.Newest())
	}
	seal, _ := fresh.Seal(2, ForAudit, []byte("y"))
	if ok, err := ring.Check(2, ForAudit, seal[:], []byte("y")); !ok || err != nil {
		t.Errorf("a key from a rotation elsewhere: %v, %v", ok, err)
	}
	if _, err := ring.Derive(9, ForAudit); !errors.Is(err, ErrUnknown) {
		t.Errorf("an unknown key: %v", err)
	}
	if err := os.Chmod(path, 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path); !errors.Is(err, ErrOpen) {
		t.Errorf("open to all: %v", err)
	}
}
