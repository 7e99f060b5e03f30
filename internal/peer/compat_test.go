package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"rillflow/internal/cancellation"
	"rillflow/internal/placement"
	"rillflow/internal/replica"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// Guards against a change of a frame that version 0.1 sends and reads: its decoder rejects
// any other format version and any extra byte. testdata/production holds frames recorded
// from version 0.1, which must be encoded and decoded byte for byte.
func TestFramesOfVersion01(t *testing.T) {
	offerOfOneZone := testOffer
	queue := offerOfOneZone.Queues[0]
	queue.Jobs = append([]placement.WaitingJob(nil), queue.Jobs...)
	queue.Jobs[0].ZoneSlots = map[string]int{"a": 1} // one entry, as the order of a map's entries is random
	offerOfOneZone.Queues = []placement.Queue{queue}
	for _, tc := range []struct {
		name   string
		kind   frameKind
		body   []byte
		in     any
		decode func([]byte) (any, error)
	}{
		{"ping", kindPing, testPing.encode(), testPing, func(b []byte) (any, error) { return decodePing(b) }},
		{"beat", kindHeartbeat, encodeHeartbeat(testHeartbeat), testHeartbeat, func(b []byte) (any, error) { return decodeHeartbeat(b) }},
		{"beat-answer", kindAnswer, testHeartbeatAnswer.encode(), testHeartbeatAnswer, func(b []byte) (any, error) { return decodeHeartbeatAnswer(b) }},
		{"offer", kindOffer, encodeOffer(&offerOfOneZone), offerOfOneZone, func(b []byte) (any, error) { return decodeOffer(b) }},
		{"picks", kindAnswer, encodePicks(testPicks), testPicks, func(b []byte) (any, error) { return decodePicks(b) }},
		{"user", kindUser, testUserRequest.encode(), testUserRequest, func(b []byte) (any, error) { return decodeUserRequest(b) }},
		{"user-answer", kindAnswer, testUserAnswer.encode(), testUserAnswer, func(b []byte) (any, error) { return decodeUserAnswer(b) }},
		{"counts", kindCounts, []byte("req-1"), "req-1", func(b []byte) (any, error) { return string(b), nil }},
		{"counts-answer", kindAnswer, testCounts.encode(), testCounts, func(b []byte) (any, error) { return decodeCounts(b) }},
		{"refuse", kindRefusal, nil, "", func(b []byte) (any, error) { return string(b), nil }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			want, err := os.ReadFile(filepath.Join("testdata", "production", tc.name+".frame"))
			if err != nil {
				t.Fatal(err)
			}
			var out bytes.Buffer
			if err := writeFrame(&out, frame{kind: tc.kind, id: 77, body: tc.body}); err != nil || !bytes.Equal(out.Bytes(), want) {
				t.Errorf("frame encoded as %x, %v, want %x as of version 0.1", out.Bytes(), err, want)
			}
			f, err := readFrame(bytes.NewReader(want))
			if err != nil || f.kind != tc.kind || f.id != 77 {
				t.Fatalf("frame of version 0.1 read as %+v, %v, want kind %d, id 77", f, err, tc.kind)
			}
			if got, err := tc.decode(f.body); err != nil || !reflect.DeepEqual(got, tc.in) {
				t.Errorf("payload decoded as %+v, %v, want %+v", got, err, tc.in)
			}
		})
	}
}

// fakeHandler is a Handler that returns fixed answers, and picks by the pick function.
type fakeHandler struct {
	incarnationReceived atomic.Bool // a peer has reported its store incarnation
	version             string
	pick                func(placement.Offer) []placement.Pick
}

func (h *fakeHandler) OwnStatus() Ping        { return Ping{Node: "n"} }
func (h *fakeHandler) ObservePeerStatus(Ping) {}
func (h *fakeHandler) HandleHeartbeat(context.Context, *wire.Heartbeat) HeartbeatAnswer {
	return HeartbeatAnswer{}
}
func (h *fakeHandler) PickTypes(o placement.Offer) []placement.Pick              { return h.pick(o) }
func (h *fakeHandler) HandleUserRequest(context.Context, UserRequest) UserAnswer { return UserAnswer{} }
func (h *fakeHandler) TaskCounts(string) (Counts, error)                         { return Counts{}, nil }
func (h *fakeHandler) WorkerReachability() Reachability {
	return Reachability{SinceHeartbeat: time.Second, Isolated: true}
}
func (h *fakeHandler) Version() string                    { return h.version }
func (h *fakeHandler) StoreIncarnation() StoreIncarnation { return StoreIncarnation{} }
func (h *fakeHandler) ObservePeerStoreIncarnation(string, StoreIncarnation) {
	h.incarnationReceived.Store(true)
}
func (h *fakeHandler) ReceiveReplica(*replica.Push) replica.Ack         { return replica.Ack{} }
func (h *fakeHandler) ReadReplicaPage(replica.PageRequest) replica.Page { return replica.Page{} }
func (h *fakeHandler) ReceiveCancellations(*cancellation.Message) cancellation.Ack {
	return cancellation.Ack{Accepted: true}
}
func (h *fakeHandler) PeerConnected(context.Context, string) {}
func (h *fakeHandler) PeerSynced(context.Context, string)    {}

func refuseDial(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed }

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// answerAsVersion01 answers a request as version 0.1 does: it refuses all kinds from
// kindVersion on.
func answerAsVersion01(ctx context.Context, mesh *Mesh, request frame) frame {
	if request.kind < kindVersion {
		if body, err := mesh.answer(ctx, request); err == nil {
			return frame{kind: kindAnswer, id: request.id, body: body}
		}
	}
	return frame{kind: kindRefusal, id: request.id}
}

// Guards against sending a peer a request kind that its version does not support, and
// against withholding one that it does.
func TestRequestsMatchPeerVersion(t *testing.T) {
	for _, tc := range []struct {
		version       string
		reachability  bool
		tokens        bool
		replicas      bool
		cancellations bool
	}{{"0.2.0", false, false, false, false}, {"0.3.0", true, false, false, false}, {"0.4.0", true, true, false, false}, {"0.5.0", true, true, true, false}, {"0.6.0", true, true, true, true}, {"0.10.1", true, true, true, true}, {"odd", false, false, false, false}} {
		t.Run(tc.version, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				peerMesh := NewMesh(nil, &fakeHandler{version: tc.version}, time.Second, 4, refuseDial, discardLogger())
				dial := func(context.Context, string, string) (net.Conn, error) {
					local, remote := net.Pipe()
					go peerMesh.serve(ctx, remote)
					return local, nil
				}
				handler := &fakeHandler{version: "0.3.0"}
				mesh := NewMesh([]settings.Peer{{Name: "n", Endpoint: "n:1"}}, handler, time.Second, 4, dial, discardLogger())
				done := make(chan struct{})
				go func() { defer close(done); mesh.links["n"].dialLoop(ctx, mesh.handler) }()
				time.Sleep(10 * time.Second)
				if status := mesh.Peers()["n"]; status.ReachabilityKnown != tc.reachability || status.Reachability.Isolated != tc.reachability {
					t.Errorf("status is %+v, want reachability known: %v", status, tc.reachability)
				}
				// A peer without support for tokens would serve the request without
				// knowing whose it is.
				if _, err := mesh.ForwardUserRequest(ctx, "n", UserRequest{Method: "GET", Auth: "Bearer x"}); (err == nil) != tc.tokens {
					t.Errorf("request with a token: error %v, want success: %v", err, tc.tokens)
				}
				if _, err := mesh.ForwardUserRequest(ctx, "n", UserRequest{Method: "GET"}); err != nil {
					t.Errorf("request without a token: %v", err)
				}
				// Replicas and store incarnations are supported since the same version.
				_, pushErr := mesh.Push(ctx, "n", &replica.Push{})
				_, fetchErr := mesh.FetchPage(ctx, "n", replica.PageRequest{})
				if (pushErr == nil) != tc.replicas || (fetchErr == nil) != tc.replicas || (len(mesh.Followers()) == 1) != tc.replicas || handler.incarnationReceived.Load() != tc.replicas {
					t.Errorf("push error %v, fetch error %v, followers %v, incarnation received %v, want all to succeed: %v", pushErr, fetchErr, mesh.Followers(), handler.incarnationReceived.Load(), tc.replicas)
				}
				// A peer known not to support cancellations gives ErrUnsupported, one that
				// is not connected ErrDown.
				if ack, err := mesh.SendCancellations(ctx, "n", &cancellation.Message{JobIDs: []string{"req-1"}}); ack.Accepted != tc.cancellations || errors.Is(err, cancellation.ErrUnsupported) == tc.cancellations {
					t.Errorf("cancellations: got %+v, %v, want accepted: %v", ack, err, tc.cancellations)
				}
				cancel()
				<-done
				if _, err := mesh.SendCancellations(context.Background(), "n", &cancellation.Message{}); !errors.Is(err, ErrDown) {
					t.Errorf("cancellations without a connection: got error %v, want %v", err, ErrDown)
				}
			})
		})
	}
}

// Guards against keeping a peer's version from an earlier connection: the peer may have
// been restarted with another version, and one before 0.2 refuses to report its version.
func TestPeerVersionPerConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		peerMesh := NewMesh(nil, &fakeHandler{version: "0.2.0"}, time.Second, 4, refuseDial, discardLogger())
		var isOld bool
		var conn net.Conn
		dial := func(context.Context, string, string) (net.Conn, error) {
			local, remote := net.Pipe()
			conn = remote
			if !isOld {
				go peerMesh.serve(ctx, remote)
				return local, nil
			}
			go func() {
				defer remote.Close()
				for {
					request, err := readFrame(remote)
					if err != nil {
						return
					}
					if writeFrame(remote, answerAsVersion01(ctx, peerMesh, request)) != nil {
						return
					}
				}
			}()
			return local, nil
		}
		mesh := NewMesh([]settings.Peer{{Name: "n", Endpoint: "n:1"}}, &fakeHandler{version: "0.2.0"}, time.Second, 4, dial, discardLogger())
		done := make(chan struct{})
		go func() { defer close(done); mesh.links["n"].dialLoop(ctx, mesh.handler) }()
		for i, want := range []string{"0.2.0", "", "0.2.0"} {
			time.Sleep(10 * time.Second)
			status := mesh.Peers()["n"]
			if !status.Live || status.Version != want {
				t.Errorf("connection %d: live %v, version %q, want live with version %q", i, status.Live, status.Version, want)
			}
			isOld = !isOld
			conn.Close()
		}
		cancel()
		<-done
		conn.Close()
	})
}
