package identity

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"rillflow/internal/keyring/keyringtest"
	"rillflow/internal/kvstore"
	"rillflow/internal/wire"
)

// fakeStore is a state service of a few keys. Answers to its next commits are lost.
type fakeStore struct {
	items       map[string]wire.KeyValue
	revision    uint64
	lostAnswers int
}

func (s *fakeStore) Get(_ context.Context, key string) (wire.KeyValue, error) {
	it, ok := s.items[key]
	if !ok {
		return it, kvstore.ErrNotFound
	}
	return it, nil
}

func (s *fakeStore) List(_ context.Context, under string) (out []wire.KeyValue, gen uint64, err error) {
	for k, it := range s.items {
		if strings.HasPrefix(k, under) {
			out = append(out, it)
		}
	}
	return out, s.revision, nil
}

func (s *fakeStore) Commit(_ context.Context, t wire.Txn) (uint64, []string, error) {
	for _, g := range t.Compares {
		if s.items[g.Key].ModRevision != g.ModRevision {
			return 0, []string{g.Key}, nil
		}
	}
	s.revision++
	for _, c := range t.Operations {
		s.items[c.Put] = wire.KeyValue{Key: c.Put, Value: c.Value, ModRevision: s.revision}
	}
	if s.lostAnswers > 0 {
		s.lostAnswers--
		return 0, nil, fmt.Errorf("%w: lost", kvstore.ErrOutcomeUnknown)
	}
	return s.revision, nil, nil
}

func TestTokens(t *testing.T) {
	ring, now := keyringtest.New(t), time.Unix(1_764_600_000, 0)
	st := &fakeStore{items: make(map[string]wire.KeyValue)}
	admin := &Admin{Store: st, Ring: ring, Actor: "test", Now: func() time.Time { return now }}
	issue := func(name string, life time.Duration) string {
		tok, err := admin.Issue(t.Context(), name, Record{Kind: "person", Teams: []string{"museum"}}, life)
		if err != nil {
			t.Fatal(err)
		}
		return tok
	}
	ana, ben := issue("ana", time.Hour), issue("ben", time.Hour)
	r := New(ring, time.Minute, time.Second, slog.New(slog.DiscardHandler))
	clock := now
	r.now = func() time.Time { return clock }
	load := func() {
		items, _, _ := st.List(t.Context(), Prefix)
		r.replace(items, clock)
	}
	for _, tc := range []struct {
		name   string
		after  time.Duration // of the clock
		load   bool
		before func()
		token  string
		want   error
	}{
		{"nothing was ever read", 0, false, nil, ana, ErrStale},
		{"a token", 0, true, nil, ana, nil},
		{"another's id with her secret", 0, true, nil, ben[:len(tokenPrefix)+8] + ana[len(tokenPrefix)+8:], ErrToken},
		{"half a token", 0, true, nil, ana[:20], ErrToken},
		{"no token", 0, true, nil, "hello", ErrToken},
		{"within the clock's error of its end", time.Hour - time.Second, true, nil, ana, ErrToken},
		{"before its beginning", -time.Minute, true, nil, ana, ErrToken},
		{"the copy is as old as may be", time.Minute, false, func() { clock = now; load() }, ana, nil},
		{"and older", time.Minute + 1, false, func() { clock = now; load() }, ana, ErrStale},
		{"another withdrawn", 0, true, func() { admin.Revoke(t.Context(), "ben") }, ana, nil},
		{"the one withdrawn", 0, true, nil, ben, ErrToken},
		{"a token withdrawn by its beginning", 0, true, func() { admin.Revoke(t.Context(), ana[:len(tokenPrefix)+8]) }, ana, ErrToken},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if tc.before != nil {
				tc.before()
			}
			clock = now.Add(tc.after)
			if tc.load {
				load()
			}
			c, err := r.Check(tc.token)
			if !errors.Is(err, tc.want) || err == nil && (c.Name != "ana" || len(c.Compares) != 2) {
				t.Errorf("%+v, %v; want %v", c, err, tc.want)
			}
		})
	}
}

func FuzzCheck(f *testing.F) {
	ring := keyringtest.New(f)
	token, id, tok, err := NewToken(ring, "ana", time.Unix(0, 0), time.Unix(1<<40, 0))
	if err != nil {
		f.Fatal(err)
	}
	r := New(ring, time.Hour, 0, slog.New(slog.DiscardHandler))
	r.completeAt = time.Now()
	r.tokens[id] = revisioned[Token]{tok, 1}
	r.identities["ana"] = revisioned[Record]{Record{Kind: "person"}, 1}
	f.Add(token)
	f.Add(token[:len(token)-1])
	f.Fuzz(func(t *testing.T, s string) {
		if c, err := r.Check(s); (err == nil) != (s == token) {
			t.Fatalf("%q is taken for %+v, %v", s, c, err)
		}
	})
}

// What was checked by an old copy is not done once the token is withdrawn: its guards
// no longer hold.
func TestGuardsOutliveTheCopy(t *testing.T) {
	ring, now := keyringtest.New(t), time.Unix(1_764_600_000, 0)
	st := &fakeStore{items: make(map[string]wire.KeyValue)}
	admin := &Admin{Store: st, Ring: ring, Now: func() time.Time { return now }}
	st.lostAnswers = 1 // the answer is lost: the token that is shown is the one that is stored
	token, err := admin.Issue(t.Context(), "ana", Record{Kind: "service"}, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	r := New(ring, time.Hour, 0, slog.New(slog.DiscardHandler))
	r.now = func() time.Time { return now }
	items, _, _ := st.List(t.Context(), Prefix)
	r.replace(items, now)
	c, err := r.Check(token)
	if err != nil {
		t.Fatal(err)
	}
	if err := admin.Revoke(t.Context(), "ana"); err != nil {
		t.Fatal(err)
	}
	if _, err := r.Check(token); err != nil {
		t.Fatalf("the copy knows already: %v", err)
	}
	_, failed, err := st.Commit(t.Context(), wire.Txn{Compares: c.Compares, Operations: []wire.Operation{{Put: "j/x", Value: []byte("1")}}})
	if err != nil || !ComparesFailed(failed) {
		t.Errorf("done for a withdrawn token: %v, %v", failed, err)
	}
	if _, err := admin.Issue(t.Context(), "ana", Record{Kind: "person"}, time.Hour); err == nil {
		t.Error("her name is given to another")
	}
}
