package identity

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"rillflow/internal/audit"
	"rillflow/internal/keyring"
	"rillflow/internal/kvstore"
	"rillflow/internal/retry"
	"rillflow/internal/rights"
	"rillflow/internal/wire"
)

// Admin gives out and withdraws identities and tokens. Whoever has the key ring and
// reaches the state service may; the record says who it was.
type Admin struct {
	Store   audit.Store
	Ring    *keyring.Ring
	Actor   string // who does it
	Audited bool   // tell the audit record, in the same transaction
	Now     func() time.Time
}

// ErrChanged says that somebody else changed the same identity; try again.
var ErrChanged = errors.New("identity: changed by somebody else meanwhile")

// recordChange is one record to be written, on condition that it is as it was read.
type recordChange struct {
	key         string
	modRevision uint64
	value       any
}

func (admin *Admin) commit(ctx context.Context, cs []recordChange, e audit.Entry) error {
	var txn wire.Txn
	for _, c := range cs {
		data, err := json.Marshal(c.value)
		if err != nil {
			return err
		}
		txn.Compares = append(txn.Compares, wire.Compare{Key: c.key, ModRevision: c.modRevision})
		txn.Operations = append(txn.Operations, wire.Operation{Put: c.key, Value: data})
	}
	if admin.Audited {
		e.At, e.Actor = admin.Now(), admin.Actor
		// The name is used once: the records' stamps are in the guards.
		place := fmt.Sprintf("%s%s.%x", audit.PendingPrefix, e.Subject, admin.Now().UnixNano())
		s := audit.PendingEntries{Entries: []audit.Entry{e}}
		put, err := s.Put(admin.Ring, place)
		if err != nil {
			return err
		}
		txn.Operations = append(txn.Operations, put)
	}
	return admin.commitOnce(ctx, txn)
}

// maxAttempts bounds how often a change is sent whose fate is not known.
const maxAttempts = 5

// commitOnce commits a change and sees to it that its fate is known: a token that was
// stored but never shown is of use to nobody. Sent again it fails its guards if it went
// through, and what is stored then tells whose change it was.
func (admin *Admin) commitOnce(ctx context.Context, txn wire.Txn) error {
	unsure := false
	for try := 0; ; try++ {
		_, failed, err := admin.Store.Commit(ctx, txn)
		switch {
		case err == nil && len(failed) == 0:
			return nil
		case err == nil && unsure:
			var mine bool
			if mine, err = admin.isStored(ctx, txn.Operations[0]); mine {
				return nil
			}
			if err == nil {
				return ErrChanged
			}
		case err == nil:
			return ErrChanged
		case errors.Is(err, kvstore.ErrOutcomeUnknown):
			unsure = true
		case errors.Is(err, kvstore.ErrTooLarge):
			return err
		}
		if try == maxAttempts || !retry.Backoff(ctx, try, 100*time.Millisecond, 2*time.Second) {
			return fmt.Errorf("identity: whether this was done is not known, see token list: %w", err)
		}
	}
}

// isStored tells whether a key holds what a change put there.
func (admin *Admin) isStored(ctx context.Context, c wire.Operation) (bool, error) {
	it, err := admin.Store.Get(ctx, c.Put)
	if err != nil {
		return false, err
	}
	var have, want any
	err = errors.Join(json.Unmarshal(it.Value, &have), json.Unmarshal(c.Value, &want))
	return err == nil && reflect.DeepEqual(have, want), err
}

func (admin *Admin) read(ctx context.Context, key string, v any) (uint64, error) {
	it, err := admin.Store.Get(ctx, key)
	if errors.Is(err, kvstore.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return it.ModRevision, json.Unmarshal(it.Value, v)
}

// Issue makes or changes an identity and gives it a token that holds for a while. The
// token is in no other place than the answer.
func (admin *Admin) Issue(ctx context.Context, name string, rec Record, life time.Duration) (token string, err error) {
	if !ValidName(name) {
		return "", ErrName
	}
	if life <= 0 {
		return "", errors.New("identity: a token must hold for some time")
	}
	var was Record
	stamp, err := admin.read(ctx, IdentityPrefix+name, &was)
	if err != nil {
		return "", err
	}
	if was.Revoked {
		return "", fmt.Errorf("identity: %s was withdrawn: a name is never given to another", name)
	}
	token, id, t, err := Issue(admin.Ring, name, admin.Now(), admin.Now().Add(life))
	if err != nil {
		return "", err
	}
	cs := []recordChange{{TokenPrefix + id, 0, t}}
	if stamp == 0 || rec.Kind != "" {
		if rec.Kind == "" {
			rec.Kind = rights.Person
		}
		cs = append(cs, recordChange{IdentityPrefix + name, stamp, rec})
	}
	why := fmt.Sprintf(
		"token %s until %s; teams %v, roles %v", id, time.Unix(t.ExpiresUnix, 0).UTC().Format(time.RFC3339),
		rec.Teams, rec.Roles,
	)
	return token, admin.commit(ctx, cs, audit.Entry{Action: audit.Issued, Subject: name, Reason: why})
}

// Rotate gives an identity a new token, and lets its others hold for a grace at most.
func (admin *Admin) Rotate(ctx context.Context, name string, life, grace time.Duration) (token string, err error) {
	if token, err = admin.Issue(ctx, name, Record{}, life); err != nil {
		return "", err
	}
	id, _, _ := parse(token)
	return token, admin.each(ctx, name, func(other string, t *Token) bool {
		till := admin.Now().Add(grace).Unix()
		if other == id || t.ExpiresUnix <= till {
			return false
		}
		t.ExpiresUnix = till
		return true
	}, "replaced")
}

// Revoke ends a token, or an identity with all its tokens.
func (admin *Admin) Revoke(ctx context.Context, name string) error {
	if id, ok := strings.CutPrefix(name, tokenPrefix); ok {
		id, _, _ = strings.Cut(id, "_") // the whole token will do
		var t Token
		stamp, err := admin.read(ctx, TokenPrefix+id, &t)
		if err == nil && stamp == 0 {
			err = fmt.Errorf("identity: no token %s", id)
		}
		if err != nil {
			return err
		}
		t.Revoked = true
		return admin.commit(
			ctx, []recordChange{{TokenPrefix + id, stamp, t}},
			audit.Entry{Action: audit.Revoked, Subject: t.Identity, Reason: "token " + id},
		)
	}
	var rec Record
	stamp, err := admin.read(ctx, IdentityPrefix+name, &rec)
	if err == nil && stamp == 0 {
		err = fmt.Errorf("identity: nobody is called %s", name)
	}
	if err != nil {
		return err
	}
	// The identity first: with it all its tokens are void at once.
	rec.Revoked = true
	if err := admin.commit(
		ctx, []recordChange{{IdentityPrefix + name, stamp, rec}},
		audit.Entry{Action: audit.Revoked, Subject: name, Reason: "with all tokens"},
	); err != nil {
		return err
	}
	return admin.each(ctx, name, func(_ string, t *Token) bool {
		was := t.Revoked
		t.Revoked = true
		return !was
	}, "withdrawn")
}

// each changes the tokens of an identity, one by one.
func (admin *Admin) each(ctx context.Context, name string, f func(id string, t *Token) bool, why string) error {
	items, _, err := admin.Store.List(ctx, TokenPrefix)
	if err != nil {
		return err
	}
	for _, it := range items {
		var t Token
		if err := json.Unmarshal(it.Value, &t); err != nil || t.Identity != name {
			continue
		}
		id := it.Key[len(TokenPrefix):]
		if !f(id, &t) {
			continue
		}
		if err := admin.commit(
			ctx, []recordChange{{it.Key, it.ModRevision, t}},
			audit.Entry{Action: audit.Revoked, Subject: name, Reason: "token " + id + " " + why},
		); err != nil {
			return err
		}
	}
	return nil
}

// IdentityInfo is an identity with its tokens, as an operator sees it.
type IdentityInfo struct {
	Name string
	Record
	Tokens map[string]Token
}

// List gives all identities by name.
func (admin *Admin) List(ctx context.Context) ([]IdentityInfo, error) {
	items, _, err := admin.Store.List(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	m := make(map[string]*IdentityInfo)
	at := func(name string) *IdentityInfo {
		if m[name] == nil {
			m[name] = &IdentityInfo{Name: name, Tokens: make(map[string]Token)}
		}
		return m[name]
	}
	for _, it := range items {
		if name, ok := strings.CutPrefix(it.Key, IdentityPrefix); ok {
			err = json.Unmarshal(it.Value, &at(name).Record)
		} else if id, ok := strings.CutPrefix(it.Key, TokenPrefix); ok {
			var t Token
			if err = json.Unmarshal(it.Value, &t); err == nil {
				at(t.Identity).Tokens[id] = t
			}
		}
		if err != nil {
			return nil, fmt.Errorf("identity: %s: %w", it.Key, err)
		}
	}
	var out []IdentityInfo
	for _, k := range m {
		out = append(out, *k)
	}
	slices.SortFunc(out, func(x, y IdentityInfo) int { return strings.Compare(x.Name, y.Name) })
	return out, nil
}
