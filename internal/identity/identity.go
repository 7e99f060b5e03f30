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
	Prefix      = "i/"
	WhoPrefix   = "i/p/"
	TokenPrefix = "i/t/"
)

// Record is a person or service as stored.
type Record struct {
	Kind  string   `json:"kind"`
	Teams []string `json:"teams,omitempty"`
	Roles []string `json:"roles,omitempty"`
	Gone  bool     `json:"gone,omitempty"` // withdrawn: kept, so that the name is not given to another
}

// Token is a token as stored: what it is, not how it reads.
type Token struct {
	Who   string `json:"who"`
	Key   uint32 `json:"key"`
	Hash  []byte `json:"hash"`
	FromS int64  `json:"from"` // time of day it was issued, in seconds
	TillS int64  `json:"till"` // and until when it holds
	Gone  bool   `json:"gone,omitempty"`
}

// Errors of a token.
var (
	ErrToken = errors.New("identity: the token is not known, expired or withdrawn")
	ErrStale = errors.New("identity: the state service could not be asked for too long")
	ErrName  = errors.New("identity: a name has up to 64 letters, digits, dots, dashes and underscores")
)

var nameForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// ValidName tells whether an identity may be called so.
func ValidName(s string) bool { return nameForm.MatchString(s) }

// mark begins every token, so that one is known when it is found where it should
// not be.
const mark = "rft_"

var text = base32.StdEncoding.WithPadding(base32.NoPadding)

// Lengths of a token's parts, in bytes.
const (
	idLen     = 5
	secretLen = 20
)

// Issue draws a token and what is to be stored of it.
func Issue(ring *keyring.Ring, who string, from, till time.Time) (token, id string, t Token, err error) {
	raw := make([]byte, idLen+secretLen)
	rand.Read(raw) // never fails
	id = strings.ToLower(text.EncodeToString(raw[:idLen]))
	secret := strings.ToLower(text.EncodeToString(raw[idLen:]))
	t = Token{Who: who, Key: ring.Newest(), FromS: from.Unix(), TillS: till.Unix()}
	hash, err := ring.Seal(t.Key, keyring.ForTokens, []byte(id), []byte{0}, []byte(secret))
	t.Hash = hash[:]
	return mark + id + "_" + secret, id, t, err
}

// parse takes a token apart.
func parse(token string) (id, secret string, ok bool) {
	rest, ok := strings.CutPrefix(token, mark)
	if !ok || len(token) > 128 {
		return "", "", false
	}
	id, secret, ok = strings.Cut(rest, "_")
	return id, secret, ok && id != "" && secret != ""
}

// Caller is who asks, as far as a token shows.
type Caller struct {
	rights.Identity
	// Guards are the conditions under which the caller still is who it is: every
	// change made for it carries them.
	Guards []wire.Compare
}

// stamped is a record with its revision.
type stamped[T any] struct {
	v     T
	stamp uint64
}

// Registry is a controller's copy of the identities and tokens.
type Registry struct {
	ring  *keyring.Ring
	trust time.Duration // for how long the copy holds without an answer
	skew  time.Duration // by which the clock may be wrong
	log   *slog.Logger
	now   func() time.Time

	mu     sync.Mutex
	who    map[string]stamped[Record]
	tokens map[string]stamped[Token]
	fresh  time.Time // the copy was complete then
}

// New makes a registry that is empty until it follows the state service.
func New(ring *keyring.Ring, trust, skew time.Duration, log *slog.Logger) *Registry {
	return &Registry{ring: ring, trust: trust, skew: skew, log: log, now: time.Now, who: make(map[string]stamped[Record]), tokens: make(map[string]stamped[Token])}
}

// Check tells whose a token is. The copy may be behind: whatever is changed for the
// caller carries its guards, and what is only told is told from a copy that is no
// older than the trust.
func (r *Registry) Check(token string) (Caller, error) {
	id, secret, ok := parse(token)
	if !ok {
		return Caller{}, ErrToken
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if r.fresh.IsZero() || now.Sub(r.fresh) > r.trust {
		return Caller{}, ErrStale
	}
	t, ok := r.tokens[id]
	if !ok || t.v.Gone || now.Add(r.skew).Unix() >= t.v.TillS || now.Add(r.skew).Unix() < t.v.FromS {
		return Caller{}, ErrToken
	}
	if ok, err := r.ring.Check(t.v.Key, keyring.ForTokens, t.v.Hash, []byte(id), []byte{0}, []byte(secret)); err != nil || !ok {
		return Caller{}, errors.Join(ErrToken, err)
	}
	w, ok := r.who[t.v.Who]
	if !ok || w.v.Gone {
		return Caller{}, ErrToken
	}
	return Caller{
		Identity: rights.Identity{Name: t.v.Who, Kind: w.v.Kind, Teams: w.v.Teams, Roles: w.v.Roles},
		Guards:   []wire.Compare{{Key: TokenPrefix + id, ModRevision: t.stamp}, {Key: WhoPrefix + t.v.Who, ModRevision: w.stamp}},
	}, nil
}

// Touched tells whether failed guards say that an identity or token has changed.
func Touched(failed []string) bool {
	for _, f := range failed {
		if strings.HasPrefix(f, Prefix) {
			return true
		}
	}
	return false
}

// Follow keeps the copy until ctx ends. every is how long a watch lasts: the copy is
// known to be whole at least that often.
func (r *Registry) Follow(ctx context.Context, st *kvstore.Client, every time.Duration) error {
	return st.WatchPrefix(ctx, kvstore.Watcher{Prefix: Prefix, PollWait: every, BackoffBase: every / 16, BackoffLimit: every, OnSnapshot: r.replace, OnChanges: r.apply})
}

func (r *Registry) replace(items []wire.KeyValue, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.who)
	clear(r.tokens)
	for _, it := range items {
		r.put(it.Key, it.Value, it.ModRevision)
	}
	r.fresh = at
}

func (r *Registry) apply(log []wire.Operation, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range log {
		switch {
		case c.Put != "":
			r.put(c.Put, c.Value, c.ModRevision)
		case strings.HasPrefix(c.Delete, WhoPrefix):
			delete(r.who, c.Delete[len(WhoPrefix):])
		case strings.HasPrefix(c.Delete, TokenPrefix):
			delete(r.tokens, c.Delete[len(TokenPrefix):])
		}
	}
	r.fresh = at
}

// put takes a record in; one that cannot be read counts as withdrawn.
func (r *Registry) put(key string, data json.RawMessage, stamp uint64) {
	var err error
	if name, ok := strings.CutPrefix(key, WhoPrefix); ok {
		var v Record
		if err = json.Unmarshal(data, &v); err != nil {
			v.Gone = true
		}
		if r.who[name].stamp <= stamp {
			r.who[name] = stamped[Record]{v, stamp}
		}
	} else if id, ok := strings.CutPrefix(key, TokenPrefix); ok {
		var v Token
		if err = json.Unmarshal(data, &v); err != nil {
			v.Gone = true
		}
		if r.tokens[id].stamp <= stamp {
			r.tokens[id] = stamped[Token]{v, stamp}
		}
	}
	if err != nil {
		r.log.Error("identity", "key", key, "err", fmt.Errorf("cannot be read: %w", err))
	}
}
