// Package identity authenticates people and services by bearer tokens. Identities and
// tokens are records in the store, which every controller watches; only a keyed hash of
// a token is stored. The writes of a request are committed on condition that these
// records are unchanged since the token was checked. A revocation therefore takes effect
// on every controller when it is committed, even on those that learn of it late.
package identity

import (
	"context"
	"crypto/rand"
	"encoding/base32"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"regexp"
	"strings"
	"sync"
	"time"

	"rillflow/internal/keyring"
	"rillflow/internal/kvstore"
	"rillflow/internal/rights"
	"rillflow/internal/wire"
)

// Key prefixes in the store.
const (
	Prefix         = "i/"
	IdentityPrefix = "i/p/"
	TokenPrefix    = "i/t/"
)

// Record is the stored record of a person or service.
type Record struct {
	Kind    string   `json:"kind"`
	Teams   []string `json:"teams,omitempty"`
	Roles   []string `json:"roles,omitempty"`
	Revoked bool     `json:"gone,omitempty"` // the record is kept so that the name is never reused
}

// Token is the stored record of a token. It does not contain the token's secret.
type Token struct {
	Identity    string `json:"who"`
	Key         uint32 `json:"key"` // ID of the key ring's key that Hash is made with
	Hash        []byte `json:"hash"`
	IssuedUnix  int64  `json:"from"` // time of issue, in Unix seconds
	ExpiresUnix int64  `json:"till"` // end of validity, in Unix seconds
	Revoked     bool   `json:"gone,omitempty"`
}

// Errors of tokens and names.
var (
	ErrToken = errors.New("identity: the token is not known, expired or withdrawn")
	ErrStale = errors.New("identity: the state service could not be asked for too long")
	ErrName  = errors.New("identity: a name must consist of up to 64 letters, digits, dots, dashes and underscores")
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// ValidName reports whether a name is valid for an identity.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// tokenPrefix is the prefix of every token. It makes leaked tokens recognizable, for example
// in logs or source code.
const tokenPrefix = "rft_"

var tokenEncoding = base32.StdEncoding.WithPadding(base32.NoPadding)

// Lengths of a token's parts, in bytes.
const (
	idBytes     = 5
	secretBytes = 20
)

// NewToken creates a random token for an identity, with the token's ID and the record to store.
func NewToken(
	ring *keyring.Ring, name string, issuedAt, expiresAt time.Time,
) (token, id string, record Token, err error) {
	random := make([]byte, idBytes+secretBytes)
	rand.Read(random) // never fails
	id = strings.ToLower(tokenEncoding.EncodeToString(random[:idBytes]))
	secret := strings.ToLower(tokenEncoding.EncodeToString(random[idBytes:]))
	record = Token{Identity: name, Key: ring.ActiveKeyID(), IssuedUnix: issuedAt.Unix(), ExpiresUnix: expiresAt.Unix()}
	hash, err := ring.Seal(record.Key, keyring.ForTokens, []byte(id), []byte{0}, []byte(secret))
	record.Hash = hash[:]
	return tokenPrefix + id + "_" + secret, id, record, err
}

// parse splits a token into its ID and its secret.
func parse(token string) (id, secret string, ok bool) {
	rest, ok := strings.CutPrefix(token, tokenPrefix)
	if !ok || len(token) > 128 {
		return "", "", false
	}
	id, secret, ok = strings.Cut(rest, "_")
	return id, secret, ok && id != "" && secret != ""
}

// Caller is the sender of a request, as identified by its token.
type Caller struct {
	rights.Identity
	// Compares succeed while the caller's identity and token are unchanged. Every write
	// made for the caller includes them.
	Compares []wire.Compare
}

// revisioned is a record with its modification revision.
type revisioned[T any] struct {
	value       T
	modRevision uint64
}

// Registry is a controller's copy of the identities and tokens.
type Registry struct {
	ring          *keyring.Ring
	cacheLifetime time.Duration // how long the copy may be used without a response from the store
	clockError    time.Duration // maximum error of the clock
	log           *slog.Logger
	now           func() time.Time

	mu         sync.Mutex
	identities map[string]revisioned[Record]
	tokens     map[string]revisioned[Token]
	completeAt time.Time // when the copy was last known to be complete
}

// New creates a registry, which is empty until Follow reads the store.
func New(ring *keyring.Ring, cacheLifetime, clockError time.Duration, log *slog.Logger) *Registry {
	return &Registry{
		ring: ring, cacheLifetime: cacheLifetime, clockError: clockError, log: log, now: time.Now,
		identities: make(map[string]revisioned[Record]), tokens: make(map[string]revisioned[Token]),
	}
}

// Check returns the caller that a token belongs to. The copy may be stale: writes for the caller
// therefore include its compares, and reads rely on a copy no older than the cache lifetime. The
// error is ErrToken if the token is invalid, and ErrStale if the copy is too old.
func (registry *Registry) Check(token string) (Caller, error) {
	id, secret, ok := parse(token)
	if !ok {
		return Caller{}, ErrToken
	}
	registry.mu.Lock()
	defer registry.mu.Unlock()
	now := registry.now()
	if registry.completeAt.IsZero() || now.Sub(registry.completeAt) > registry.cacheLifetime {
		return Caller{}, ErrStale
	}
	stored, ok := registry.tokens[id]
	latest := now.Add(registry.clockError).Unix()
	if !ok || stored.value.Revoked || latest >= stored.value.ExpiresUnix || latest < stored.value.IssuedUnix {
		return Caller{}, ErrToken
	}
	if ok, err := registry.ring.Check(
		stored.value.Key, keyring.ForTokens, stored.value.Hash, []byte(id), []byte{0}, []byte(secret),
	); err != nil || !ok {
		return Caller{}, errors.Join(ErrToken, err)
	}
	owner, ok := registry.identities[stored.value.Identity]
	if !ok || owner.value.Revoked {
		return Caller{}, ErrToken
	}
	return Caller{
		Identity: rights.Identity{
			Name: stored.value.Identity, Kind: owner.value.Kind, Teams: owner.value.Teams, Roles: owner.value.Roles,
		},
		Compares: []wire.Compare{
			{Key: TokenPrefix + id, ModRevision: stored.modRevision},
			{Key: IdentityPrefix + stored.value.Identity, ModRevision: owner.modRevision},
		},
	}, nil
}

// ComparesFailed reports whether the keys of failed compares include an identity or token.
func ComparesFailed(failed []string) bool {
	for _, key := range failed {
		if strings.HasPrefix(key, Prefix) {
			return true
		}
	}
	return false
}

// Follow keeps the copy up to date until ctx ends. pollWait is the duration of a long poll;
// the copy is confirmed to be complete at least that often.
func (registry *Registry) Follow(ctx context.Context, store *kvstore.Client, pollWait time.Duration) error {
	return store.WatchPrefix(ctx, kvstore.Watcher{
		Prefix: Prefix, PollWait: pollWait, BackoffBase: pollWait / 16, BackoffLimit: pollWait,
		OnSnapshot: registry.replace, OnChanges: registry.apply,
	})
}

func (registry *Registry) replace(items []wire.KeyValue, at time.Time) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	clear(registry.identities)
	clear(registry.tokens)
	for _, item := range items {
		registry.put(item.Key, item.Value, item.ModRevision)
	}
	registry.completeAt = at
}

func (registry *Registry) apply(changes []wire.Operation, at time.Time) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	for _, change := range changes {
		switch {
		case change.Put != "":
			registry.put(change.Put, change.Value, change.ModRevision)
		case strings.HasPrefix(change.Delete, IdentityPrefix):
			delete(registry.identities, change.Delete[len(IdentityPrefix):])
		case strings.HasPrefix(change.Delete, TokenPrefix):
			delete(registry.tokens, change.Delete[len(TokenPrefix):])
		}
	}
	registry.completeAt = at
}

// put adds a record to the copy. A record that cannot be decoded counts as revoked.
func (registry *Registry) put(key string, data json.RawMessage, modRevision uint64) {
	var err error
	if name, ok := strings.CutPrefix(key, IdentityPrefix); ok {
		var record Record
		if err = json.Unmarshal(data, &record); err != nil {
			record.Revoked = true
		}
		if registry.identities[name].modRevision <= modRevision {
			registry.identities[name] = revisioned[Record]{record, modRevision}
		}
	} else if id, ok := strings.CutPrefix(key, TokenPrefix); ok {
		var token Token
		if err = json.Unmarshal(data, &token); err != nil {
			token.Revoked = true
		}
		if registry.tokens[id].modRevision <= modRevision {
			registry.tokens[id] = revisioned[Token]{token, modRevision}
		}
	}
	if err != nil {
		registry.log.Error("identity", "key", key, "err", fmt.Errorf("cannot decode record, treated as revoked: %w", err))
	}
}
