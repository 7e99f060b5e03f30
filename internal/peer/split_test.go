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

// Guards against an offer above the frame limit that is rejected or loses candidates: it
// must reach the owner in several frames. Picks that do not fit into an answer are left
// for the next placement pass.
func TestOfferIsSplitAtFrameLimit(t *testing.T) {
	longName := strings.Repeat("x", 400)
	candidates := func(n int) []placement.Candidate {
		list := make([]placement.Candidate, n)
		for i := range list {
			list[i] = placement.Candidate{Worker: fmt.Sprintf("i-%06d", i), InstanceType: longName}
		}
		return list
	}
	candidateBytes := len(encodeOffer(&placement.Offer{Candidates: candidates(2)})) - len(encodeOffer(&placement.Offer{Candidates: candidates(1)}))
	maxFitting := (maxPayloadBytes - 8) / candidateBytes
	if len(encodeOffer(&placement.Offer{Candidates: candidates(maxFitting)})) > maxPayloadBytes || len(encodeOffer(&placement.Offer{Candidates: candidates(maxFitting + 1)})) <= maxPayloadBytes {
		t.Fatalf("%d candidates are not the most that fit into a frame", maxFitting)
	}
	for _, tc := range []struct {
		name       string
		candidates int
		jobID      string
		frames     int
		allPicked  bool
	}{
		{"small offer", 10, "req-1", 1, true},
		{"largest offer of one frame", maxFitting, "req-1", 1, true},
		{"one candidate more", maxFitting + 1, "req-1", 2, true},
		{"five times as many", 5 * maxFitting, "req-1", 8, true},
		{"answer too large", maxFitting, longName + longName, 1, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				frames := 0
				handler := &fakeHandler{pick: func(offer placement.Offer) []placement.Pick {
					frames++
					var picks []placement.Pick
					for _, candidate := range offer.Candidates {
						picks = append(picks, placement.Pick{Worker: candidate.Worker, JobID: tc.jobID})
					}
					return picks
				}}
				peerMesh := NewMesh(nil, handler, time.Second, 4, refuseDial, discardLogger())
				var remote net.Conn
				dial := func(context.Context, string, string) (local net.Conn, err error) {
					local, remote = net.Pipe()
					go peerMesh.serve(ctx, remote)
					return local, nil
				}
				mesh := NewMesh([]settings.Peer{{Name: "n", Endpoint: "n:1"}}, handler, time.Second, 4, dial, discardLogger())
				done := make(chan struct{})
				go func() { defer close(done); mesh.links["n"].dialLoop(ctx, handler) }()
				time.Sleep(5 * time.Second)
				picks, err := mesh.Pick(ctx, "n", &placement.Offer{Candidates: candidates(tc.candidates)})
				if err != nil {
					t.Fatal(err)
				}
				pickedWorkers := make(map[string]bool)
				for _, pick := range picks {
					pickedWorkers[pick.Worker] = true
				}
				if all := len(pickedWorkers) == tc.candidates; all != tc.allPicked || len(pickedWorkers) == 0 || frames != tc.frames {
					t.Errorf("%d of %d candidates picked in %d frames, want all picked: %v, in %d frames", len(pickedWorkers), tc.candidates, frames, tc.allPicked, tc.frames)
				}
				cancel()
				<-done
				remote.Close()
			})
		})
	}
}
