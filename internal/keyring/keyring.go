// Package keyring holds the operator's secret keys, which hash tokens and seal the audit
// log. A ring is a file that every controller has a copy of. The newest key that has become
// active is used for new hashes and seals; older ones still verify what was made under them.
// For each purpose a separate key is derived from the ring's key.
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

// Purposes of derived keys. They are part of the stored formats and must never change.
const (
	ForAudit          = "rillflow 2026-12-01 audit chain v1"
	ForTokens         = "rillflow 2026-12-01 bearer tokens v1"
	ForPendingEntries = "rillflow 2026-12-01 notes of controllers v1"
)

// Errors of a ring.
var (
	ErrUnknown     = errors.New("keyring: no such key")
	ErrPermissions = errors.New("keyring: file is accessible to other users, its mode must be 0600")
)

// key is a numbered secret of a ring.
type key struct {
	id         uint32
	secret     [Size]byte
	activeFrom time.Time // new seals use the key from then on; until then the file is copied to all controllers
}

// Ring is a set of keys, read from a file. It is safe for concurrent use.
type Ring struct {
	path string
	now  func() time.Time

	mu          sync.Mutex
	keys        []key       // in ascending order of number
	lastRead    fileVersion // version of the file that keys were read from
	derivedKeys map[derivation][Size]byte
}

// fileVersion identifies a version of the ring's file. The modification time alone can be
// too coarse, but the size grows with every added key.
type fileVersion struct {
	modTime time.Time
	size    int64
}

func fileVersionOf(info os.FileInfo) fileVersion { return fileVersion{info.ModTime(), info.Size()} }

// derivation identifies a derived key.
type derivation struct {
	id      uint32
	purpose string
}

// Load reads a ring from a file.
func Load(path string) (*Ring, error) {
	ring := &Ring{path: path, now: time.Now, derivedKeys: make(map[derivation][Size]byte)}
	if err := ring.reload(); err != nil {
		return nil, err
	}
	return ring, nil
}

// newKey returns a key with a random secret. rand.Read never returns an error.
func newKey(id uint32) key {
	k := key{id: id}
	rand.Read(k.secret[:])
	return k
}

func (ring *Ring) reload() error {
	info, err := os.Stat(ring.path)
	if err != nil {
		return fmt.Errorf("keyring: %w", err)
	}
	if info.Mode().Perm()&0o077 != 0 {
		return fmt.Errorf("%w: %s", ErrPermissions, ring.path)
	}
	content, err := os.ReadFile(ring.path)
	if err != nil {
		return fmt.Errorf("keyring: %w", err)
	}
	keys, err := parseKeys(content)
	if err != nil {
		return fmt.Errorf("keyring: %s: %w", ring.path, err)
	}
	ring.keys, ring.lastRead = keys, fileVersionOf(info)
	return nil
}

// parseKeys parses a ring's file. Each key is a line with its number, its secret in
// hexadecimal and, for a key that replaces another, the time from which it is active. The
// numbers must increase from line to line. Lines that start with # are comments.
func parseKeys(content []byte) ([]key, error) {
	var keys []key
	scanner := bufio.NewScanner(bytes.NewReader(content))
	for lineNumber := 1; scanner.Scan(); lineNumber++ {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		// The error must not contain the line, which may hold most of a secret.
		syntaxErr := fmt.Errorf(
			"line %d must have a key number, %d bytes in hexadecimal and optionally an RFC 3339 time", lineNumber, Size,
		)
		fields := strings.Fields(line)
		if len(fields) < 2 || len(fields) > 3 {
			return nil, syntaxErr
		}
		id, err := strconv.ParseUint(fields[0], 10, 32)
		secret, secretErr := hex.DecodeString(fields[1])
		if err != nil || secretErr != nil || len(secret) != Size {
			return nil, syntaxErr
		}
		var activeFrom time.Time
		if len(fields) == 3 {
			if activeFrom, err = time.Parse(time.RFC3339, fields[2]); err != nil {
				return nil, syntaxErr
			}
		}
		if len(keys) > 0 && uint32(id) <= keys[len(keys)-1].id {
			return nil, fmt.Errorf("line %d: key numbers must increase", lineNumber)
		}
		keys = append(keys, key{uint32(id), [Size]byte(secret), activeFrom})
	}
	if err := scanner.Err(); err != nil {
		return nil, err
	}
	if len(keys) == 0 {
		return nil, errors.New("the file contains no key")
	}
	return keys, nil
}

// ActiveKeyID returns the number of the active key: the last one in the file whose activation
// time has passed, or the first one if there is none.
func (ring *Ring) ActiveKeyID() uint32 {
	ring.mu.Lock()
	defer ring.mu.Unlock()
	for i := len(ring.keys) - 1; i > 0; i-- {
		if !ring.now().Before(ring.keys[i].activeFrom) {
			return ring.keys[i].id
		}
	}
	return ring.keys[0].id
}

// Watch checks the file for changes at each interval and reloads it, until ctx ends. The
// ring stays as it is if the file cannot be read.
func (ring *Ring) Watch(ctx context.Context, interval time.Duration, log *slog.Logger) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		ring.mu.Lock()
		countBefore := len(ring.keys)
		info, err := os.Stat(ring.path)
		if err == nil && fileVersionOf(info) != ring.lastRead {
			err = ring.reload()
		}
		count := len(ring.keys)
		ring.mu.Unlock()
		if err != nil {
			log.Error("key ring not reloaded", "err", err)
		} else if count != countBefore {
			log.Info("key ring reloaded", "keys", count)
		}
	}
}

// Derive derives the key for a purpose from a key of the ring. An unknown key may have been
// added by a rotation, so the file is reloaded if it has changed.
func (ring *Ring) Derive(id uint32, purpose string) ([Size]byte, error) {
	ring.mu.Lock()
	defer ring.mu.Unlock()
	if cached, ok := ring.derivedKeys[derivation{id, purpose}]; ok {
		return cached, nil
	}
	source := ring.findKey(id)
	if source == nil && ring.path != "" {
		if info, err := os.Stat(ring.path); err == nil && fileVersionOf(info) != ring.lastRead && ring.reload() == nil {
			source = ring.findKey(id)
		}
	}
	var derived [Size]byte
	if source == nil {
		return derived, fmt.Errorf("%w: %d", ErrUnknown, id)
	}
	blake3.DeriveKey(purpose, source.secret[:], derived[:])
	ring.derivedKeys[derivation{id, purpose}] = derived
	return derived, nil
}

func (ring *Ring) findKey(id uint32) *key {
	for i := range ring.keys {
		if ring.keys[i].id == id {
			return &ring.keys[i]
		}
	}
	return nil
}

// Seal returns the keyed digest of the concatenated data, under the key for a purpose that
// is derived from a key of the ring.
func (ring *Ring) Seal(id uint32, purpose string, data ...[]byte) (seal [Size]byte, err error) {
	derived, err := ring.Derive(id, purpose)
	if err != nil {
		return seal, err
	}
	hash, err := blake3.NewKeyed(derived[:])
	if err != nil {
		return seal, fmt.Errorf("keyring: %w", err)
	}
	for _, part := range data {
		hash.Write(part)
	}
	hash.Sum(seal[:0])
	return seal, nil
}

// Check reports whether a seal matches the data.
func (ring *Ring) Check(id uint32, purpose string, seal []byte, data ...[]byte) (bool, error) {
	want, err := ring.Seal(id, purpose, data...)
	return err == nil && subtle.ConstantTimeCompare(want[:], seal) == 1, err
}

// Digest returns the digest of the concatenated data, without a key.
func Digest(data ...[]byte) (digest [Size]byte) {
	hash := blake3.New()
	for _, part := range data {
		hash.Write(part)
	}
	hash.Sum(digest[:0])
	return digest
}

// Init creates the file of a new ring with one key. It fails if the file exists.
func Init(path string) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return fmt.Errorf("keyring: %w", err)
	}
	first := newKey(1)
	_, err = fmt.Fprintf(
		file, "# rillflow's key ring: keep it secret, keep a copy, and give every controller the same.\n%d %x\n",
		first.id, first.secret,
	)
	return errors.Join(err, file.Sync(), file.Close())
}

// Rotate adds a key to the ring's file, which is replaced atomically, and returns the key's
// number. The key becomes active at activeFrom. Every controller must have the new file by
// then: one without it can neither verify nor continue what another has sealed.
func Rotate(path string, activeFrom time.Time) (uint32, error) {
	ring, err := Load(path)
	if err != nil {
		return 0, err
	}
	old, err := os.ReadFile(path)
	if err != nil {
		return 0, fmt.Errorf("keyring: %w", err)
	}
	added := newKey(ring.keys[len(ring.keys)-1].id + 1)
	tmp, err := os.CreateTemp(filepath.Dir(path), ".keyring-*") // of mode 0600
	if err != nil {
		return 0, fmt.Errorf("keyring: %w", err)
	}
	_, err = fmt.Fprintf(
		tmp, "%s\n%d %x %s\n", bytes.TrimRight(old, "\n"), added.id, added.secret, activeFrom.UTC().Format(time.RFC3339),
	)
	err = errors.Join(err, tmp.Sync(), tmp.Close())
	if err == nil {
		err = os.Rename(tmp.Name(), path)
	}
	if err != nil {
		os.Remove(tmp.Name())
		return 0, fmt.Errorf("keyring: %w", err)
	}
	return added.id, nil
}
