// Package identity knows people and services by their tokens. Identities and tokens
// are records of the state service, which every controller follows; of a token only a
// keyed hash is kept. What somebody does is committed on condition that these records
// are as they were when the token was checked, so a withdrawal holds from the moment
// it is committed, on every controller, however late that one hears of it.
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

// Keys of the state service.
const (
	Prefix         = "i/"
	IdentityPrefix = "i/p/"
	TokenPrefix    = "i/t/"
)

// Record is a person or service as stored.
type Record struct {
	Kind    string   `json:"kind"`
	Teams   []string `json:"teams,omitempty"`
	Roles   []string `json:"roles,omitempty"`
	Revoked bool     `json:"gone,omitempty"` // withdrawn: kept, so that the name is not given to another
}

// Token is a token as stored: what it is, not how it reads.
type Token struct {
	Identity    string `json:"who"`
	Key         uint32 `json:"key"`
	Hash        []byte `json:"hash"`
	IssuedUnix  int64  `json:"from"` // time of day it was issued, in seconds
	ExpiresUnix int64  `json:"till"` // and until when it holds
	Revoked     bool   `json:"gone,omitempty"`
}

// Errors of a token.
var (
	ErrToken = errors.New("identity: the token is not known, expired or withdrawn")
	ErrStale = errors.New("identity: the state service could not be asked for too long")
	ErrName  = errors.New("identity: a name has up to 64 letters, digits, dots, dashes and underscores")
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// ValidName tells whether an identity may be called so.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// tokenPrefix begins every token, so that one is known when it is found where it should
// not be.
const tokenPrefix = "rft_"

var tokenEncoding = base32.StdEncoding.WithPadding(base32.NoPadding)

// Lengths of a token's parts, in bytes.
const (
	idBytes     = 5
	secretBytes = 20
)

// Issue draws a token and what is to be stored of it.
func Issue(ring *keyring.Ring, who string, from, till time.Time) (token, id string, t Token, err error) {
	raw := make([]byte, idBytes+secretBytes)
	rand.Read(raw) // never fails
	id = strings.ToLower(tokenEncoding.EncodeToString(raw[:idBytes]))
	secret := strings.ToLower(tokenEncoding.EncodeToString(raw[idBytes:]))
	t = Token{Identity: who, Key: ring.Newest(), IssuedUnix: from.Unix(), ExpiresUnix: till.Unix()}
	hash, err := ring.Seal(t.Key, keyring.ForTokens, []byte(id), []byte{0}, []byte(secret))
	t.Hash = hash[:]
	return tokenPrefix + id + "_" + secret, id, t, err
}

// parse takes a token apart.
func parse(token string) (id, secret string, ok bool) {
	rest, ok := strings.CutPrefix(token, tokenPrefix)
	if !ok || len(token) > 128 {
		return "", "", false
	}
	id, secret, ok = strings.Cut(rest, "_")
	return id, secret, ok && id != "" && secret != ""
}

// Caller is who asks, as far as a token shows.
type Caller struct {
	rights.Identity
	// Compares are the conditions under which the caller still is who it is: every
	// change made for it carries them.
	Compares []wire.Compare
}

// revisioned is a record with its revision.
type revisioned[T any] struct {
	value       T
	modRevision uint64
}

// Registry is a controller's copy of the identities and tokens.
type Registry struct {
	ring          *keyring.Ring
	cacheLifetime time.Duration // for how long the copy holds without an answer
	skew          time.Duration // by which the clock may be wrong
	log           *slog.Logger
	now           func() time.Time

	mu         sync.Mutex
	identities map[string]revisioned[Record]
	tokens     map[string]revisioned[Token]
	completeAt time.Time // the copy was complete then
}

// New makes a registry that is empty until it follows the state service.
func New(ring *keyring.Ring, trust, skew time.Duration, log *slog.Logger) *Registry {
	return &Registry{
		ring: ring, cacheLifetime: trust, skew: skew, log: log, now: time.Now,
		identities: make(map[string]revisioned[Record]), tokens: make(map[string]revisioned[Token]),
	}
}

// Check tells whose a token is. The copy may be behind: whatever is changed for the
// caller carries its guards, and what is only told is told from a copy that is no
// older than the trust.
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
	t, ok := registry.tokens[id]
	latest := now.Add(registry.skew).Unix()
	if !ok || t.value.Revoked || latest >= t.value.ExpiresUnix || latest < t.value.IssuedUnix {
		return Caller{}, ErrToken
	}
	if ok, err := registry.ring.Check(
		t.value.Key, keyring.ForTokens, t.value.Hash, []byte(id), []byte{0}, []byte(secret),
	); err != nil || !ok {
		return Caller{}, errors.Join(ErrToken, err)
	}
	w, ok := registry.identities[t.value.Identity]
	if !ok || w.value.Revoked {
		return Caller{}, ErrToken
	}
	return Caller{
		Identity: rights.Identity{Name: t.value.Identity, Kind: w.value.Kind, Teams: w.value.Teams, Roles: w.value.Roles},
		Compares: []wire.Compare{
			{Key: TokenPrefix + id, ModRevision: t.modRevision},
			{Key: IdentityPrefix + t.value.Identity, ModRevision: w.modRevision},
		},
	}, nil
}

// ComparesFailed tells whether failed guards say that an identity or token has changed.
func ComparesFailed(failed []string) bool {
	for _, f := range failed {
		if strings.HasPrefix(f, Prefix) {
			return true
		}
	}
	return false
}

// Follow keeps the copy until ctx ends. every is how long a watch lasts: the copy is
// known to be whole at least that often.
func (registry *Registry) Follow(ctx context.Context, st *kvstore.Client, every time.Duration) error {
	return st.WatchPrefix(ctx, kvstore.Watcher{
		Prefix: Prefix, PollWait: every, BackoffBase: every / 16, BackoffLimit: every,
		OnSnapshot: registry.replace, OnChanges: registry.apply,
	})
}

func (registry *Registry) replace(items []wire.KeyValue, at time.Time) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	clear(registry.identities)
	clear(registry.tokens)
	for _, it := range items {
		registry.put(it.Key, it.Value, it.ModRevision)
	}
	registry.completeAt = at
}

func (registry *Registry) apply(log []wire.Operation, at time.Time) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	for _, c := range log {
		switch {
		case c.Put != "":
			registry.put(c.Put, c.Value, c.ModRevision)
		case strings.HasPrefix(c.Delete, IdentityPrefix):
			delete(registry.identities, c.Delete[len(IdentityPrefix):])
		case strings.HasPrefix(c.Delete, TokenPrefix):
			delete(registry.tokens, c.Delete[len(TokenPrefix):])
		}
	}
	registry.completeAt = at
}

// put takes a record in; one that cannot be read counts as withdrawn.
func (registry *Registry) put(key string, data json.RawMessage, stamp uint64) {
	var err error
	if name, ok := strings.CutPrefix(key, IdentityPrefix); ok {
		var v Record
		if err = json.Unmarshal(data, &v); err != nil {
			v.Revoked = true
		}
		if registry.identities[name].modRevision <= stamp {
			registry.identities[name] = revisioned[Record]{v, stamp}
		}
	} else if id, ok := strings.CutPrefix(key, TokenPrefix); ok {
		var v Token
		if err = json.Unmarshal(data, &v); err != nil {
			v.Revoked = true
		}
		if registry.tokens[id].modRevision <= stamp {
			registry.tokens[id] = revisioned[Token]{v, stamp}
		}
	}
	if err != nil {
		registry.log.Error("identity", "key", key, "err", fmt.Errorf("cannot be read: %w", err))
	}
}
