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
		{"no key", "# nothing\n", "no key"},
		{"key with a later activation time", "1 " + secret + "\n2 " + secret + " 2026-12-01T21:00:00Z", ""},
		{"invalid time", "1 " + secret + " tomorrow", "line 1"},
		{"short secret", "1 abcd", "line 1"},
		{"repeated number", "1 " + secret + "\n1 " + secret, "increase"},
		{"missing number", secret, "line 1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := parseKeys([]byte(tc.in))
			if (err == nil) != (tc.want == "") || err != nil && !strings.Contains(err.Error(), tc.want) {
				t.Errorf("got error %v, want %q", err, tc.want)
			}
			if err != nil && strings.Contains(err.Error(), secret) {
				t.Error("error contains the secret")
			}
		})
	}
}

// Guards against a rotation that breaks a running ring: it must find in the file a key that
// another process already uses, keep verifying old seals, and not use a new key before its
// activation time.
func TestRotation(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ring")
	if err := Init(path); err != nil {
		t.Fatal(err)
	}
	if err := Init(path); !errors.Is(err, os.ErrExist) {
		t.Errorf("Init of an existing file: got error %v, want %v", err, os.ErrExist)
	}
	ring, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	oldSeal, _ := ring.Seal(ring.ActiveKeyID(), ForAudit, []byte("x"))
	otherPurpose, _ := ring.Seal(ring.ActiveKeyID(), ForPendingEntries, []byte("x"))
	if bytes.Equal(oldSeal[:], otherPurpose[:]) {
		t.Error("two purposes have the same key")
	}
	activeFrom := time.Now().Add(time.Hour)
	id, err := Rotate(path, activeFrom)
	if err != nil || id != 2 {
		t.Fatalf("got key %d, %v, want key 2", id, err)
	}
	if ok, err := ring.Check(1, ForAudit, oldSeal[:], []byte("x")); !ok || err != nil {
		t.Errorf("seal from before the rotation: got %v, %v, want a match", ok, err)
	}
	reloaded, err := Load(path)
	if err != nil || reloaded.ActiveKeyID() != 1 {
		t.Fatalf("before the activation time: got key %d, %v, want 1", reloaded.ActiveKeyID(), err)
	}
	reloaded.now = func() time.Time { return activeFrom.Add(time.Second) }
	if reloaded.ActiveKeyID() != 2 {
		t.Errorf("after the activation time: got key %d, want 2", reloaded.ActiveKeyID())
	}
	seal, _ := reloaded.Seal(2, ForAudit, []byte("y"))
	if ok, err := ring.Check(2, ForAudit, seal[:], []byte("y")); !ok || err != nil {
		t.Errorf("seal under a key added by another process: got %v, %v, want a match", ok, err)
	}
	if _, err := ring.Derive(9, ForAudit); !errors.Is(err, ErrUnknown) {
		t.Errorf("unknown key: got error %v, want %v", err, ErrUnknown)
	}
	if err := os.Chmod(path, 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path); !errors.Is(err, ErrPermissions) {
		t.Errorf("file of mode 0644: got error %v, want %v", err, ErrPermissions)
	}
}
