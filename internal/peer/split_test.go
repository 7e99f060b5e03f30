package peer

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"rillflow/internal/placement"
	"rillflow/internal/settings"
)

// An offer of any size gets all its rooms to the owner, in frames within the
// bound; picks that do not fit an answer are left for the next pass.
func TestOfferAtTheBound(t *testing.T) {
	long := strings.Repeat("x", 400)
	rooms := func(n int) []placement.Candidate {
		rs := make([]placement.Candidate, n)
		for i := range rs {
			rs[i] = placement.Candidate{Worker: fmt.Sprintf("i-%06d", i), InstanceType: long}
		}
		return rs
	}
	one := len(encodeOffer(&placement.Offer{Candidates: rooms(2)})) - len(encodeOffer(&placement.Offer{Candidates: rooms(1)}))
	fit := (maxPayloadBytes - 8) / one
	if len(encodeOffer(&placement.Offer{Candidates: rooms(fit)})) > maxPayloadBytes || len(encodeOffer(&placement.Offer{Candidates: rooms(fit + 1)})) <= maxPayloadBytes {
		t.Fatalf("%d rooms are not the most that fit", fit)
	}
	for _, tc := range []struct {
		name   string
		rooms  int
		ref    string
		frames int
		all    bool
	}{
		{"small", 10, "req-1", 1, true},
		{"as many as fit", fit, "req-1", 1, true},
		{"one more", fit + 1, "req-1", 2, true},
		{"five times as many", 5 * fit, "req-1", 8, true},
		{"an answer too large", fit, long + long, 1, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				frames := 0
				h := &node{pick: func(o placement.Offer) []placement.Pick {
					frames++
					var ps []placement.Pick
					for _, r := range o.Candidates {
						ps = append(ps, placement.Pick{Worker: r.Worker, JobID: tc.ref})
					}
					return ps
				}}
				far := NewMesh(nil, h, time.Second, 4, refuse, quiet())
				var there net.Conn
				dial := func(context.Context, string, string) (c net.Conn, err error) {
					c, there = net.Pipe()
					go far.serve(ctx, there)
					return c, nil
				}
				m := NewMesh([]settings.Peer{{Name: "n", Endpoint: "n:1"}}, h, time.Second, 4, dial, quiet())
				done := make(chan struct{})
				go func() { defer close(done); m.links["n"].dialLoop(ctx, h) }()
				time.Sleep(5 * time.Second)
				ps, err := m.Pick(ctx, "n", &placement.Offer{Candidates: rooms(tc.rooms)})
				if err != nil {
					t.Fatal(err)
				}
				seen := make(map[string]bool)
				for _, p := range ps {
					seen[p.Worker] = true
				}
				if all := len(seen) == tc.rooms; all != tc.all || len(seen) == 0 || frames != tc.frames {
					t.Errorf("%d of %d rooms picked for, in %d frames", len(seen), tc.rooms, frames)
				}
				cancel()
				<-done
				there.Close()
			})
		})
	}
}
