package identity

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"rillflow/internal/keyring/keyringtest"
	"rillflow/internal/kvstore"
	"rillflow/internal/wire"
)

// fakeStore is an in-memory store. Its next lostResponses commits take effect, but report an unknown
// outcome; later ones fail with refusal if it is set.
type fakeStore struct {
	items         map[string]wire.KeyValue
	revision      uint64
	lostResponses int
	refusal       error
}

func (store *fakeStore) Get(_ context.Context, key string) (wire.KeyValue, error) {
	item, ok := store.items[key]
	if !ok {
		return item, kvstore.ErrNotFound
	}
	return item, nil
}

func (store *fakeStore) List(_ context.Context, prefix string) (items []wire.KeyValue, revision uint64, err error) {
	for key, item := range store.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	return items, store.revision, nil
}

func (store *fakeStore) Commit(_ context.Context, txn wire.Txn) (uint64, []string, error) {
	if store.lostResponses == 0 && store.refusal != nil {
		return 0, nil, store.refusal
	}
	for _, compare := range txn.Compares {
		if store.items[compare.Key].ModRevision != compare.ModRevision {
			return 0, []string{compare.Key}, nil
		}
	}
	store.revision++
	for _, operation := range txn.Operations {
		store.items[operation.Put] = wire.KeyValue{Key: operation.Put, Value: operation.Value, ModRevision: store.revision}
	}
	if store.lostResponses > 0 {
		store.lostResponses--
		return 0, nil, fmt.Errorf("%w: response lost", kvstore.ErrOutcomeUnknown)
	}
	return store.revision, nil, nil
}

func TestTokens(t *testing.T) {
	ring, now := keyringtest.New(t), time.Unix(1_764_600_000, 0)
	store := &fakeStore{items: make(map[string]wire.KeyValue)}
	admin := &Admin{Store: store, Ring: ring, Actor: "test", Now: func() time.Time { return now }}
	issue := func(name string, lifetime time.Duration) string {
		token, err := admin.Issue(t.Context(), name, Record{Kind: "person", Teams: []string{"museum"}}, lifetime)
		if err != nil {
			t.Fatal(err)
		}
		return token
	}
	ana, ben := issue("ana", time.Hour), issue("ben", time.Hour)
	registry := New(ring, time.Minute, time.Second, slog.New(slog.DiscardHandler))
	clock := now
	registry.now = func() time.Time { return clock }
	load := func() {
		items, _, _ := store.List(t.Context(), Prefix)
		registry.replace(items, clock)
	}
	for _, tc := range []struct {
		name   string
		after  time.Duration // time of the check, after the issue
		load   bool
		before func()
		token  string
		want   error
	}{
		{"store never read", 0, false, nil, ana, ErrStale},
		{"valid token", 0, true, nil, ana, nil},
		{"ID and secret of different tokens", 0, true, nil, ben[:len(tokenPrefix)+8] + ana[len(tokenPrefix)+8:], ErrToken},
		{"truncated token", 0, true, nil, ana[:20], ErrToken},
		{"not a token", 0, true, nil, "hello", ErrToken},
		{"expires within the clock error", time.Hour - time.Second, true, nil, ana, ErrToken},
		{"before its time of issue", -time.Minute, true, nil, ana, ErrToken},
		{"copy at the cache lifetime", time.Minute, false, func() { clock = now; load() }, ana, nil},
		{"copy older than the cache lifetime", time.Minute + 1, false, func() { clock = now; load() }, ana, ErrStale},
		{"other identity revoked", 0, true, func() { admin.Revoke(t.Context(), "ben") }, ana, nil},
		{"identity revoked", 0, true, nil, ben, ErrToken},
		{"token revoked by its ID", 0, true, func() { admin.Revoke(t.Context(), ana[:len(tokenPrefix)+8]) }, ana, ErrToken},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if tc.before != nil {
				tc.before()
			}
			clock = now.Add(tc.after)
			if tc.load {
				load()
			}
			caller, err := registry.Check(tc.token)
			if !errors.Is(err, tc.want) || err == nil && (caller.Name != "ana" || len(caller.Compares) != 2) {
				t.Errorf("got caller %+v, error %v, want error %v", caller, err, tc.want)
			}
		})
	}
}

func FuzzCheck(f *testing.F) {
	ring := keyringtest.New(f)
	token, id, record, err := NewToken(ring, "ana", time.Unix(0, 0), time.Unix(1<<40, 0))
	if err != nil {
		f.Fatal(err)
	}
	registry := New(ring, time.Hour, 0, slog.New(slog.DiscardHandler))
	registry.completeAt = time.Now()
	registry.tokens[id] = revisioned[Token]{record, 1}
	registry.identities["ana"] = revisioned[Record]{Record{Kind: "person"}, 1}
	f.Add(token)
	f.Add(token[:len(token)-1])
	f.Fuzz(func(t *testing.T, input string) {
		if caller, err := registry.Check(input); (err == nil) != (input == token) {
			t.Fatalf("Check(%q): got caller %+v, error %v", input, caller, err)
		}
	})
}

// Guards against writes for a revoked token that was checked against a stale copy: the compares
// on its records must fail.
func TestComparesFailAfterRevocation(t *testing.T) {
	ring, now := keyringtest.New(t), time.Unix(1_764_600_000, 0)
	store := &fakeStore{items: make(map[string]wire.KeyValue)}
	admin := &Admin{Store: store, Ring: ring, Now: func() time.Time { return now }}
	store.lostResponses = 1 // Issue must still return the token that is stored
	token, err := admin.Issue(t.Context(), "ana", Record{Kind: "service"}, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	registry := New(ring, time.Hour, 0, slog.New(slog.DiscardHandler))
	registry.now = func() time.Time { return now }
	items, _, _ := store.List(t.Context(), Prefix)
	registry.replace(items, now)
	caller, err := registry.Check(token)
	if err != nil {
		t.Fatal(err)
	}
	if err := admin.Revoke(t.Context(), "ana"); err != nil {
		t.Fatal(err)
	}
	if _, err := registry.Check(token); err != nil {
		t.Fatalf("the stale copy rejects the token: %v", err)
	}
	_, failed, err := store.Commit(t.Context(), wire.Txn{Compares: caller.Compares, Operations: []wire.Operation{{Put: "j/x", Value: []byte("1")}}})
	if err != nil || !ComparesFailed(failed) {
		t.Errorf("commit for a revoked token: got failed compares %v, error %v, want a failed compare", failed, err)
	}
	if _, err := admin.Issue(t.Context(), "ana", Record{Kind: "person"}, time.Hour); err == nil {
		t.Error("the name of a revoked identity was issued again")
	}
}

// Guards against a change that is called refused although an earlier attempt may have stored it, and against one
// whose outcome is called unknown although every attempt was refused.
func TestOutcomeOfRefusedChange(t *testing.T) {
	ring, now := keyringtest.New(t), time.Unix(1_764_600_000, 0)
	for _, tc := range []struct {
		name          string
		lostResponses int
		refusal       error
		wantUnknown   bool
	}{
		{"refused for its size", 0, kvstore.ErrTooLarge, false},
		{"refused for its size after an attempt without an answer", 1, kvstore.ErrTooLarge, true},
		{"refused each time", 0, kvstore.ErrRefused, false},
		{"refused after an attempt without an answer", 1, kvstore.ErrRefused, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &fakeStore{items: map[string]wire.KeyValue{}, lostResponses: tc.lostResponses, refusal: tc.refusal}
				admin := &Admin{Store: store, Ring: ring, Now: func() time.Time { return now }}
				err := admin.commitOnce(t.Context(), wire.Txn{Operations: []wire.Operation{{Put: "i/p/ana", Value: []byte("{}")}}})
				if !errors.Is(err, tc.refusal) || strings.Contains(err.Error(), "unknown") != tc.wantUnknown {
					t.Errorf("got error %v, want one that calls the outcome unknown: %v", err, tc.wantUnknown)
				}
			})
		})
	}
}
