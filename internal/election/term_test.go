package election

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"rillflow/internal/dataloss"
	"rillflow/internal/kvstore"
	"rillflow/internal/wire"
)

// Every write of a leader compares the leader key and the store incarnation. If the store has
// no incarnation, because only versions before 0.5 wrote to it, only the leader key is compared.
func TestTermCompares(t *testing.T) {
	incarnation := dataloss.Incarnation{ID: "A", Revision: 7}
	term := &Term{leaderRevision: 3, incarnation: dataloss.IncarnationState{Incarnation: incarnation}}
	want := []wire.Compare{{Key: leaderKey, ModRevision: 3}, {Key: "history/id/A", ModRevision: 7}}
	if got := term.Compares(); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if got := (&Term{leaderRevision: 3}).Compares(); !slices.Equal(got, want[:1]) {
		t.Errorf("got %v, want %v", got, want[:1])
	}
}

// Guards against a deposed leader that goes on under its successor's epoch: between its attempt to raise the epoch
// and the read of what is stored, its lease expired and another controller was elected.
func TestRaiseEpochAfterSuccessor(t *testing.T) {
	for _, tc := range []struct {
		name, stored string
		wantEpoch    uint64
		wantErr      error
	}{
		{"earlier attempt", `{"n":6,"leader":"a","parts":["a","b"]}`, 6, nil},
		{"successor", `{"n":6,"leader":"b","parts":["b"]}`, 5, ErrDeposed},
		{"successor that has raised it again", `{"n":7,"leader":"b","parts":["b"]}`, 5, ErrDeposed},
		{"a later term of the same controller", `{"n":8,"leader":"a","parts":["a"]}`, 5, ErrDeposed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPost {
					w.WriteHeader(http.StatusConflict)
					fmt.Fprintf(w, `{"failed":[%q],"generation":40}`, epochKey)
					return
				}
				fmt.Fprintf(w, `{"path":%q,"stamp":39,"data":%s}`, epochKey, tc.stored)
			}))
			defer server.Close()
			var dialer net.Dialer
			log := slog.New(slog.DiscardHandler)
			store := kvstore.New(kvstore.Options{
				Addr: strings.TrimPrefix(server.URL, "http://"), RequestsPerSecond: 1e4,
				Limits: kvstore.Limits{WritesPerSecond: 1e4}, Timeout: time.Second, Dial: dialer.DialContext, Log: log,
			})
			elector := New(Options{Store: store, Controller: "a", LeaseDuration: time.Second, Detector: dataloss.NewDetector(store, nil, log), Log: log})
			term := &Term{elector: elector, store: store, leaderRevision: 3, epochRevision: 38, shardMap: ShardMap{Epoch: 5, Leader: "a"}}
			err := term.RaiseEpoch(t.Context(), []string{"a", "b"})
			if !errors.Is(err, tc.wantErr) || term.Epoch() != tc.wantEpoch {
				t.Errorf("got epoch %d, error %v; want %d, %v", term.Epoch(), err, tc.wantEpoch, tc.wantErr)
			}
		})
	}
}
