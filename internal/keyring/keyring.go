// Package keyring keeps the operator's secret keys: what tokens are hashed under
// and what the audit record is sealed with. A ring is a file that every controller
// has; its last key is the one in use, those before it still open what was made
// under them. Each purpose has a key of its own, derived from the ring's.
package keyring

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/blake3"
)

// Size is the length of a key, of a digest and of a seal, in bytes.
const Size = 32

// Purposes of a key. They are part of the formats: never change one.
const (
	ForAudit          = "rillflow 2026-12-01 audit chain v1"
	ForTokens         = "rillflow 2026-12-01 bearer tokens v1"
	ForPendingEntries = "rillflow 2026-12-01 notes of controllers v1"
)

// Errors of a ring.
var (
	ErrUnknown = errors.New("keyring: no such key")
	ErrOpen    = errors.New("keyring: the file can be read by others: its mode must be 0600")
)

// key is one secret with its number.
type key struct {
	id         uint32
	secret     [Size]byte
	activeFrom time.Time // in use from then on; until then the file can be copied to all
}

// Ring is a set of keys, read from a file. It is safe for concurrent use.
type Ring struct {
	path string
	now  func() time.Time

	mu          sync.Mutex
	keys        []key       // in order of age
	lastRead    fileVersion // the file as it was read
	derivedKeys map[derivation][Size]byte
}

// fileVersion tells versions of a file apart: a time alone is too coarse, and a ring that
// gets a key gets longer.
type fileVersion struct {
	at   time.Time
	size int64
}

func fileVersionOf(st os.FileInfo) fileVersion { return fileVersion{st.ModTime(), st.Size()} }

type derivation struct {
	id      uint32
	purpose string
}

// Load reads a ring.
func Load(path string) (*Ring, error) {
	r := &Ring{path: path, now: time.Now, derivedKeys: make(map[derivation][Size]byte)}
	if err := r.reload(); err != nil {
		return nil, err
	}
	return r, nil
}

// newKey draws a key. The random reader of the runtime never fails.
func newKey(id uint32) key {
	k := key{id: id}
	rand.Read(k.secret[:])
	return k
}

func (ring *Ring) reload() error {
	st, err := os.Stat(ring.path)
	if err != nil {
		return fmt.Errorf("keyring: %w", err)
	}
	if st.Mode().Perm()&0o077 != 0 {
		return fmt.Errorf("%w: %s", ErrOpen, ring.path)
	}
	b, err := os.ReadFile(ring.path)
	if err != nil {
		return fmt.Errorf("keyring: %w", err)
	}
	keys, err := parse(b)
	if err != nil {
		return fmt.Errorf("keyring: %s: %w", ring.path, err)
	}
	ring.keys, ring.lastRead = keys, fileVersionOf(st)
	return nil
}

// parse reads a ring's file: a line for each key, its number, its secret in hexadecimal
// and, for one that replaces another, from when on it is in use; what begins with # is a
// comment. Numbers rise.
func parse(b []byte) ([]key, error) {
	var keys []key
	sc := bufio.NewScanner(bytes.NewReader(b))
	for n := 1; sc.Scan(); n++ {
		line := strings.TrimSpace(sc.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		// The line is not told: it may be most of a secret.
		wrong := fmt.Errorf("line %d is not a number, %d bytes in hexadecimal and perhaps a time", n, Size)
		f := strings.Fields(line)
		if len(f) < 2 || len(f) > 3 {
			return nil, wrong
		}
		id, err := strconv.ParseUint(f[0], 10, 32)
		raw, err2 := hex.DecodeString(f[1])
		if err != nil || err2 != nil || len(raw) != Size {
			return nil, wrong
		}
		var from time.Time
		if len(f) == 3 {
			if from, err = time.Parse(time.RFC3339, f[2]); err != nil {
				return nil, wrong
			}
		}
		if len(keys) > 0 && uint32(id) <= keys[len(keys)-1].id {
			return nil, fmt.Errorf("line %d: numbers must rise", n)
		}
		keys = append(keys, key{uint32(id), [Size]byte(raw), from})
	}
	if err := sc.Err(); err != nil {
		return nil, err
	}
	if len(keys) == 0 {
		return nil, errors.New("no key")
	}
	return keys, nil
}

// Newest is the number of the key in use.
func (ring *Ring) Newest() uint32 {
	ring.mu.Lock()
	defer ring.mu.Unlock()
	for i := len(ring.keys) - 1; i > 0; i-- {
		if !ring.now().Before(ring.keys[i].activeFrom) {
			return ring.keys[i].id
		}
	}
	return ring.keys[0].id
}

// Follow takes up keys that are added to the file, until ctx ends. What cannot be read
// leaves the ring as it is.
func (ring *Ring) Follow(ctx context.Context, every time.Duration, log *slog.Logger) error {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		ring.mu.Lock()
		n := len(ring.keys)
		st, err := os.Stat(ring.path)
		if err == nil && fileVersionOf(st) != ring.lastRead {
			err = ring.reload()
		}
		now := len(ring.keys)
		ring.mu.Unlock()
		if err != nil {
			log.Error("the key ring is not read again", "err", err)
		} else if now != n {
			log.Info("key ring read again", "keys", now)
		}
	}
}

// Derive gives a key of the ring for a purpose. A key that is not known may have
// come with a rotation: the file is read once more if it changed.
func (ring *Ring) Derive(id uint32, purpose string) ([Size]byte, error) {
	ring.mu.Lock()
	defer ring.mu.Unlock()
	if k, ok := ring.derivedKeys[derivation{id, purpose}]; ok {
		return k, nil
	}
	k := ring.find(id)
	if k == nil && ring.path != "" {
		if st, err := os.Stat(ring.path); err == nil && fileVersionOf(st) != ring.lastRead && ring.reload() == nil {
			k = ring.find(id)
		}
	}
	var out [Size]byte
	if k == nil {
		return out, fmt.Errorf("%w: %d", ErrUnknown, id)
	}
	blake3.DeriveKey(purpose, k.secret[:], out[:])
	ring.derivedKeys[derivation{id, purpose}] = out
	return out, nil
}

func (ring *Ring) find(id uint32) *key {
	for i := range ring.keys {
		if ring.keys[i].id == id {
			return &ring.keys[i]
		}
	}
	return nil
}

// Seal is a keyed digest of some data under a key of the ring.
func (ring *Ring) Seal(id uint32, purpose string, data ...[]byte) (out [Size]byte, err error) {
	k, err := ring.Derive(id, purpose)
	if err != nil {
		return out, err
	}
	h, err := blake3.NewKeyed(k[:])
	if err != nil {
		return out, fmt.Errorf("keyring: %w", err)
	}
	for _, d := range data {
		h.Write(d)
	}
	h.Sum(out[:0])
	return out, nil
}

// Check tells whether a seal is that of the data.
func (ring *Ring) Check(id uint32, purpose string, seal []byte, data ...[]byte) (bool, error) {
	want, err := ring.Seal(id, purpose, data...)
	return err == nil && subtle.ConstantTimeCompare(want[:], seal) == 1, err
}

// Digest is a digest of some data without a key.
func Digest(data ...[]byte) (out [Size]byte) {
	h := blake3.New()
	for _, d := range data {
		h.Write(d)
	}
	h.Sum(out[:0])
	return out
}

// Init writes a new ring of one key. A file that is there is never overwritten.
func Init(path string) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return fmt.Errorf("keyring: %w", err)
	}
	k := newKey(1)
	_, err = fmt.Fprintf(
		f, "# rillflow's key ring: keep it secret, keep a copy, and give every controller the same.\n%d %x\n",
		k.id, k.secret,
	)
	return errors.Join(err, f.Sync(), f.Close())
}

// Rotate adds a key to the ring's file, which is replaced whole, and returns its
// number. It is in use from a time on, by when every controller must have the file: one
// without it could not go on where another left off.
func Rotate(path string, from time.Time) (uint32, error) {
	r, err := Load(path)
	if err != nil {
		return 0, err
	}
	old, err := os.ReadFile(path)
	if err != nil {
		return 0, fmt.Errorf("keyring: %w", err)
	}
	k := newKey(r.keys[len(r.keys)-1].id + 1)
	tmp, err := os.CreateTemp(filepath.Dir(path), ".keyring-*") // of mode 0600
	if err != nil {
		return 0, fmt.Errorf("keyring: %w", err)
	}
	_, err = fmt.Fprintf(
		tmp, "%s\n%d %x %s\n", bytes.TrimRight(old, "\n"), k.id, k.secret, from.UTC().Format(time.RFC3339),
	)
	err = errors.Join(err, tmp.Sync(), tmp.Close())
	if err == nil {
		err = os.Rename(tmp.Name(), path)
	}
	if err != nil {
		os.Remove(tmp.Name())
		return 0, fmt.Errorf("keyring: %w", err)
	}
	return k.id, nil
}
