// Package keyring keeps the operator's secret keys: what tokens are hashed under
// and what the audit record is sealed with. A ring is a file that every controller
// has; its last key is the one in use, those before it still open what was made
// under them. Each purpose has a key of its own, derived from the ring's.
package keyring

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
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
	ForAudit  = "rillflow 2026-12-01 audit chain v1"
	ForTokens = "rillflow 2026-12-01 bearer tokens v1"
	ForNotes  = "rillflow 2026-12-01 notes of controllers v1"
)

// Errors of a ring.
var (
	ErrUnknown = errors.New("keyring: no such key")
	ErrOpen    = errors.New("keyring: the file can be read by others: its mode must be 0600")
)

// key is one secret with its number.
type key struct {
	id     uint32
	secret [Size]byte
}

// Ring is a set of keys, read from a file. It is safe for concurrent use.
type Ring struct {
	path string

	mu   sync.Mutex
	keys []key // in order of age
	read time.Time
	made map[derived][Size]byte
}

type derived struct {
	id      uint32
	purpose string
}

// Load reads a ring.
func Load(path string) (*Ring, error) {
	r := &Ring{path: path, made: make(map[derived][Size]byte)}
	if err := r.reload(); err != nil {
		return nil, err
	}
	return r, nil
}

// Fresh is a ring of one new key that is in no file.
func Fresh() *Ring {
	r := &Ring{made: make(map[derived][Size]byte)}
	r.keys = append(r.keys, newKey(1))
	return r
}

// newKey draws a key. The random reader of the runtime never fails.
func newKey(id uint32) key {
	k := key{id: id}
	rand.Read(k.secret[:])
	return k
}

func (r *Ring) reload() error {
	st, err := os.Stat(r.path)
	if err != nil {
		return fmt.Errorf("keyring: %w", err)
	}
	if st.Mode().Perm()&0o077 != 0 {
		return fmt.Errorf("%w: %s", ErrOpen, r.path)
	}
	b, err := os.ReadFile(r.path)
	if err != nil {
		return fmt.Errorf("keyring: %w", err)
	}
	keys, err := parse(b)
	if err != nil {
		return fmt.Errorf("keyring: %s: %w", r.path, err)
	}
	r.keys, r.read = keys, st.ModTime()
	return nil
}

// parse reads a ring's file: a line for each key, its number and its secret in
// hexadecimal; what begins with # is a comment. Numbers rise.
func parse(b []byte) ([]key, error) {
	var keys []key
	sc := bufio.NewScanner(bytes.NewReader(b))
	for n := 1; sc.Scan(); n++ {
		line := strings.TrimSpace(sc.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		num, secret, _ := strings.Cut(line, " ")
		id, err := strconv.ParseUint(num, 10, 32)
		raw, err2 := hex.DecodeString(strings.TrimSpace(secret))
		if err != nil || err2 != nil || len(raw) != Size {
			// The line is not told: it may be most of a secret.
			return nil, fmt.Errorf("line %d is not a number and %d bytes in hexadecimal", n, Size)
		}
		if len(keys) > 0 && uint32(id) <= keys[len(keys)-1].id {
			return nil, fmt.Errorf("line %d: numbers must rise", n)
		}
		keys = append(keys, key{uint32(id), [Size]byte(raw)})
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
func (r *Ring) Newest() uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keys[len(r.keys)-1].id
}

// Derive gives a key of the ring for a purpose. A key that is not known may have
// come with a rotation: the file is read once more if it changed.
func (r *Ring) Derive(id uint32, purpose string) ([Size]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if k, ok := r.made[derived{id, purpose}]; ok {
		return k, nil
	}
	k := r.find(id)
	if k == nil && r.path != "" {
		if st, err := os.Stat(r.path); err == nil && !st.ModTime().Equal(r.read) && r.reload() == nil {
			k = r.find(id)
		}
	}
	var out [Size]byte
	if k == nil {
		return out, fmt.Errorf("%w: %d", ErrUnknown, id)
	}
	blake3.DeriveKey(purpose, k.secret[:], out[:])
	r.made[derived{id, purpose}] = out
	return out, nil
}

func (r *Ring) find(id uint32) *key {
	for i := range r.keys {
		if r.keys[i].id == id {
			return &r.keys[i]
		}
	}
	return nil
}

// Seal is a keyed digest of some data under a key of the ring.
func (r *Ring) Seal(id uint32, purpose string, data ...[]byte) (out [Size]byte, err error) {
	k, err := r.Derive(id, purpose)
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
func (r *Ring) Check(id uint32, purpose string, seal []byte, data ...[]byte) (bool, error) {
	want, err := r.Seal(id, purpose, data...)
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
	_, err = fmt.Fprintf(f, "# rillflow's key ring: keep it secret, keep a copy, and give every controller the same.\n%d %x\n", k.id, k.secret)
	return errors.Join(err, f.Sync(), f.Close())
}

// Rotate adds a key to the ring's file, which is replaced whole, and returns its
// number.
func Rotate(path string) (uint32, error) {
	r, err := Load(path)
	if err != nil {
		return 0, err
	}
	old, err := os.ReadFile(path)
	if err != nil {
		return 0, fmt.Errorf("keyring: %w", err)
	}
	k := newKey(r.Newest() + 1)
	tmp, err := os.CreateTemp(filepath.Dir(path), ".keyring-*") // of mode 0600
	if err != nil {
		return 0, fmt.Errorf("keyring: %w", err)
	}
	_, err = fmt.Fprintf(tmp, "%s\n%d %x\n", bytes.TrimRight(old, "\n"), k.id, k.secret)
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

// Missing tells whether an error says that there is no ring's file.
func Missing(err error) bool { return errors.Is(err, fs.ErrNotExist) }
