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

// Admin issues and revokes identities and tokens. It needs the key ring and access to the
// store; audit entries name the actor.
type Admin struct {
	Store   audit.Store
	Ring    *keyring.Ring
	Actor   string // named in audit entries
	Audited bool   // write an audit entry with each change, in its transaction
	Now     func() time.Time
}

// ErrChanged reports a concurrent change of the same record; the command may be repeated.
var ErrChanged = errors.New("identity: record was changed concurrently")

// recordChange is a record to be written if its revision is unchanged since it was read.
type recordChange struct {
	key         string
	modRevision uint64
	value       any
}

func (admin *Admin) commit(ctx context.Context, changes []recordChange, entry audit.Entry) error {
	var txn wire.Txn
	for _, change := range changes {
		data, err := json.Marshal(change.value)
		if err != nil {
			return err
		}
		txn.Compares = append(txn.Compares, wire.Compare{Key: change.key, ModRevision: change.modRevision})
		txn.Operations = append(txn.Operations, wire.Operation{Put: change.key, Value: data})
	}
	if admin.Audited {
		entry.At, entry.Actor = admin.Now(), admin.Actor
		// The key needs no compare of its own: a repeated transaction fails the compares on
		// the records.
		key := fmt.Sprintf("%s%s.%x", audit.PendingPrefix, entry.Subject, admin.Now().UnixNano())
		pending := audit.PendingEntries{Entries: []audit.Entry{entry}}
		put, err := pending.Put(admin.Ring, key)
		if err != nil {
			return err
		}
		txn.Operations = append(txn.Operations, put)
	}
	return admin.commitOnce(ctx, txn)
}

// maxAttempts bounds the retries of a transaction.
const maxAttempts = 5

// commitOnce commits a transaction and retries until its outcome is known, because a token
// that is stored but not shown to the operator is useless. If an earlier attempt took effect,
// a retry fails its compares; the stored record then shows whether it is this change.
func (admin *Admin) commitOnce(ctx context.Context, txn wire.Txn) error {
	outcomeUnknown := false
	for attempt := 0; ; attempt++ {
		_, failed, err := admin.Store.Commit(ctx, txn)
		switch {
		case err == nil && len(failed) == 0:
			return nil
		case err == nil && outcomeUnknown:
			var isOwnChange bool
			if isOwnChange, err = admin.isStored(ctx, txn.Operations[0]); isOwnChange {
				return nil
			}
			if err == nil {
				return ErrChanged
			}
		case err == nil:
			return ErrChanged
		case errors.Is(err, kvstore.ErrOutcomeUnknown):
			outcomeUnknown = true
		case errors.Is(err, kvstore.ErrTooLarge):
			return outcomeError(err, outcomeUnknown)
		}
		if attempt == maxAttempts || !retry.Backoff(ctx, attempt, 100*time.Millisecond, 2*time.Second) {
			return outcomeError(err, outcomeUnknown)
		}
	}
}

// outcomeError returns the error of a transaction that is not sent again. If an earlier attempt had no answer,
// the transaction may have been applied, or may yet be.
func outcomeError(err error, outcomeUnknown bool) error {
	if outcomeUnknown {
		return fmt.Errorf("identity: outcome of the change is unknown, see token list: %w", err)
	}
	return fmt.Errorf("identity: not changed: %w", err)
}

// isStored reports whether a key holds the value that an operation puts there.
func (admin *Admin) isStored(ctx context.Context, put wire.Operation) (bool, error) {
	item, err := admin.Store.Get(ctx, put.Put)
	if err != nil {
		return false, err
	}
	var stored, want any
	err = errors.Join(json.Unmarshal(item.Value, &stored), json.Unmarshal(put.Value, &want))
	return err == nil && reflect.DeepEqual(stored, want), err
}

func (admin *Admin) read(ctx context.Context, key string, record any) (uint64, error) {
	item, err := admin.Store.Get(ctx, key)
	if errors.Is(err, kvstore.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return item.ModRevision, json.Unmarshal(item.Value, record)
}

// Issue creates or updates an identity and issues a token for it that is valid for the given
// lifetime. The token itself is only returned, never stored.
func (admin *Admin) Issue(
	ctx context.Context, name string, record Record, lifetime time.Duration,
) (token string, err error) {
	if !ValidName(name) {
		return "", ErrName
	}
	if lifetime <= 0 {
		return "", errors.New("identity: token lifetime must be positive")
	}
	var stored Record
	modRevision, err := admin.read(ctx, IdentityPrefix+name, &stored)
	if err != nil {
		return "", err
	}
	if stored.Revoked {
		return "", fmt.Errorf("identity: %s was revoked and its name cannot be reused", name)
	}
	token, id, tokenRecord, err := NewToken(admin.Ring, name, admin.Now(), admin.Now().Add(lifetime))
	if err != nil {
		return "", err
	}
	changes := []recordChange{{TokenPrefix + id, 0, tokenRecord}}
	if modRevision == 0 || record.Kind != "" {
		if record.Kind == "" {
			record.Kind = rights.Person
		}
		changes = append(changes, recordChange{IdentityPrefix + name, modRevision, record})
	}
	reason := fmt.Sprintf(
		"token %s until %s; teams %v, roles %v", id, time.Unix(tokenRecord.ExpiresUnix, 0).UTC().Format(time.RFC3339),
		record.Teams, record.Roles,
	)
	return token, admin.commit(ctx, changes, audit.Entry{Action: audit.Issued, Subject: name, Reason: reason})
}

// Rotate issues a new token for an identity and lets its other tokens expire after a grace
// period at the latest.
func (admin *Admin) Rotate(ctx context.Context, name string, lifetime, grace time.Duration) (token string, err error) {
	if token, err = admin.Issue(ctx, name, Record{}, lifetime); err != nil {
		return "", err
	}
	id, _, _ := parse(token)
	return token, admin.updateTokens(ctx, name, func(tokenID string, stored *Token) bool {
		graceEnd := admin.Now().Add(grace).Unix()
		if tokenID == id || stored.ExpiresUnix <= graceEnd {
			return false
		}
		stored.ExpiresUnix = graceEnd
		return true
	}, "replaced")
}

// Revoke revokes a token, or an identity with all its tokens. name is a token, a token's
// prefix and ID, or the name of an identity.
func (admin *Admin) Revoke(ctx context.Context, name string) error {
	if id, ok := strings.CutPrefix(name, tokenPrefix); ok {
		id, _, _ = strings.Cut(id, "_") // a complete token is accepted as well
		var token Token
		modRevision, err := admin.read(ctx, TokenPrefix+id, &token)
		if err == nil && modRevision == 0 {
			err = fmt.Errorf("identity: token %s does not exist", id)
		}
		if err != nil {
			return err
		}
		token.Revoked = true
		return admin.commit(
			ctx, []recordChange{{TokenPrefix + id, modRevision, token}},
			audit.Entry{Action: audit.Revoked, Subject: token.Identity, Reason: "token " + id},
		)
	}
	var record Record
	modRevision, err := admin.read(ctx, IdentityPrefix+name, &record)
	if err == nil && modRevision == 0 {
		err = fmt.Errorf("identity: identity %s does not exist", name)
	}
	if err != nil {
		return err
	}
	// The identity is revoked first, which invalidates all its tokens at once.
	record.Revoked = true
	if err := admin.commit(
		ctx, []recordChange{{IdentityPrefix + name, modRevision, record}},
		audit.Entry{Action: audit.Revoked, Subject: name, Reason: "with all tokens"},
	); err != nil {
		return err
	}
	return admin.updateTokens(ctx, name, func(_ string, token *Token) bool {
		wasRevoked := token.Revoked
		token.Revoked = true
		return !wasRevoked
	}, "withdrawn")
}

// updateTokens updates the tokens of an identity, each in its own transaction. update reports
// whether it changed the token.
func (admin *Admin) updateTokens(
	ctx context.Context, name string, update func(id string, token *Token) bool, reason string,
) error {
	items, _, err := admin.Store.List(ctx, TokenPrefix)
	if err != nil {
		return err
	}
	for _, item := range items {
		var token Token
		if err := json.Unmarshal(item.Value, &token); err != nil || token.Identity != name {
			continue
		}
		id := item.Key[len(TokenPrefix):]
		if !update(id, &token) {
			continue
		}
		if err := admin.commit(
			ctx, []recordChange{{item.Key, item.ModRevision, token}},
			audit.Entry{Action: audit.Revoked, Subject: name, Reason: "token " + id + " " + reason},
		); err != nil {
			return err
		}
	}
	return nil
}

// IdentityInfo is an identity with its tokens, as listed for operators.
type IdentityInfo struct {
	Name string
	Record
	Tokens map[string]Token
}

// List returns all identities, sorted by name.
func (admin *Admin) List(ctx context.Context) ([]IdentityInfo, error) {
	items, _, err := admin.Store.List(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	byName := make(map[string]*IdentityInfo)
	entry := func(name string) *IdentityInfo {
		if byName[name] == nil {
			byName[name] = &IdentityInfo{Name: name, Tokens: make(map[string]Token)}
		}
		return byName[name]
	}
	for _, item := range items {
		if name, ok := strings.CutPrefix(item.Key, IdentityPrefix); ok {
			err = json.Unmarshal(item.Value, &entry(name).Record)
		} else if id, ok := strings.CutPrefix(item.Key, TokenPrefix); ok {
			var token Token
			if err = json.Unmarshal(item.Value, &token); err == nil {
				entry(token.Identity).Tokens[id] = token
			}
		}
		if err != nil {
			return nil, fmt.Errorf("identity: %s: %w", item.Key, err)
		}
	}
	var infos []IdentityInfo
	for _, info := range byName {
		infos = append(infos, *info)
	}
	slices.SortFunc(infos, func(a, b IdentityInfo) int { return strings.Compare(a.Name, b.Name) })
	return infos, nil
}
