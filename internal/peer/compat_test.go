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

// testdata/production holds frames as version 0.1 sends them. Its decoder takes
// no other version and no byte more, so what is sent to it stays as it was, byte
// for byte.
func TestFramesOfProduction(t *testing.T) {
	one := offer
	q := one.Queues[0]
	q.Jobs = append([]placement.WaitingJob(nil), q.Jobs...)
	q.Jobs[0].ZoneSlots = map[string]int{"a": 1} // a map has no order to compare
	one.Queues = []placement.Queue{q}
	for _, tc := range []struct {
		name   string
		kind   kind
		body   []byte
		in     any
		decode func([]byte) (any, error)
	}{
		{"ping", kindPing, ping.encode(), ping, func(b []byte) (any, error) { return decodePing(b) }},
		{"beat", kindHeartbeat, encodeHeartbeat(report), report, func(b []byte) (any, error) { return decodeHeartbeat(b) }},
		{"beat-answer", kindAnswer, answer.encode(), answer, func(b []byte) (any, error) { return decodeHeartbeatAnswer(b) }},
		{"offer", kindOffer, encodeOffer(&one), one, func(b []byte) (any, error) { return decodeOffer(b) }},
		{"picks", kindAnswer, encodePicks(picks), picks, func(b []byte) (any, error) { return decodePicks(b) }},
		{"user", kindUser, user.encode(), user, func(b []byte) (any, error) { return decodeUserRequest(b) }},
		{"user-answer", kindAnswer, useranswer.encode(), useranswer, func(b []byte) (any, error) { return decodeUserAnswer(b) }},
		{"counts", kindCounts, []byte("req-1"), "req-1", func(b []byte) (any, error) { return string(b), nil }},
		{"counts-answer", kindAnswer, counts.encode(), counts, func(b []byte) (any, error) { return decodeCounts(b) }},
		{"refuse", kindRefusal, nil, "", func(b []byte) (any, error) { return string(b), nil }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			want, err := os.ReadFile(filepath.Join("testdata", "production", tc.name+".frame"))
			if err != nil {
				t.Fatal(err)
			}
			var out bytes.Buffer
			if err := writeFrame(&out, frame{kind: tc.kind, id: 77, body: tc.body}); err != nil || !bytes.Equal(out.Bytes(), want) {
				t.Errorf("sent as %x, %v; version 0.1 takes %x", out.Bytes(), err, want)
			}
			f, err := readFrame(bytes.NewReader(want))
			if err != nil || f.kind != tc.kind || f.id != 77 {
				t.Fatalf("read as %+v, %v", f, err)
			}
			if got, err := tc.decode(f.body); err != nil || !reflect.DeepEqual(got, tc.in) {
				t.Errorf("read as %+v, %v", got, err)
			}
		})
	}
}

// node is a handler that only tells how it stands, and picks as told.
type node struct {
	told    atomic.Bool // a peer said how it takes the history
	version string
	pick    func(placement.Offer) []placement.Pick
}

func (n *node) OwnStatus() Ping { return Ping{Node: "n"} }
func (n *node) PeerStatus(Ping) {}
func (n *node) HandleHeartbeat(context.Context, *wire.Heartbeat) HeartbeatAnswer {
	return HeartbeatAnswer{}
}
func (n *node) PickTypes(o placement.Offer) []placement.Pick              { return n.pick(o) }
func (n *node) HandleUserRequest(context.Context, UserRequest) UserAnswer { return UserAnswer{} }
func (n *node) TaskCounts(string) (Counts, error)                         { return Counts{}, nil }
func (n *node) WorkerReachability() Reachability {
	return Reachability{SinceHeartbeat: time.Second, Isolated: true}
}
func (n *node) Version() string                                  { return n.version }
func (n *node) StoreIncarnation() StoreIncarnation               { return StoreIncarnation{} }
func (n *node) PeerStoreIncarnation(string, StoreIncarnation)    { n.told.Store(true) }
func (n *node) ReceiveReplica(*replica.Push) replica.Ack         { return replica.Ack{} }
func (n *node) ReadReplicaPage(replica.PageRequest) replica.Page { return replica.Page{} }
func (n *node) ReceiveCancellations(*cancellation.Message) cancellation.Ack {
	return cancellation.Ack{Accepted: true}
}
func (n *node) PeerConnected(context.Context, string) {}
func (n *node) PeerSynced(context.Context, string)    {}

func refuse(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed }

func quiet() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// old answers a request as version 0.1 does.
func old(ctx context.Context, m *Mesh, f frame) frame {
	if f.kind < kindVersion {
		if body, err := m.answer(ctx, f); err == nil {
			return frame{kind: kindAnswer, id: f.id, body: body}
		}
	}
	return frame{kind: kindRefusal, id: f.id}
}

// How a node hears is asked of peers that are known to tell, and of no others.
func TestHearingOfPeer(t *testing.T) {
	for _, tc := range []struct {
		version string
		known   bool
		tokens  bool
		copies  bool
		notes   bool
	}{{"0.2.0", false, false, false, false}, {"0.3.0", true, false, false, false}, {"0.4.0", true, true, false, false}, {"0.5.0", true, true, true, false}, {"0.6.0", true, true, true, true}, {"0.10.1", true, true, true, true}, {"odd", false, false, false, false}} {
		t.Run(tc.version, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				far := NewMesh(nil, &node{version: tc.version}, time.Second, 4, refuse, quiet())
				dial := func(context.Context, string, string) (net.Conn, error) {
					near, there := net.Pipe()
					go far.serve(ctx, there)
					return near, nil
				}
				h := &node{version: "0.3.0"}
				m := NewMesh([]settings.Peer{{Name: "n", Endpoint: "n:1"}}, h, time.Second, 4, dial, quiet())
				done := make(chan struct{})
				go func() { defer close(done); m.links["n"].dialLoop(ctx, m.handler) }()
				time.Sleep(10 * time.Second)
				if s := m.Peers()["n"]; s.ReachabilityKnown != tc.known || s.Reachability.Isolated != tc.known {
					t.Errorf("%+v", s)
				}
				// A token goes to those that know tokens: the others would take the
				// request for somebody else's.
				if _, err := m.ForwardUserRequest(ctx, "n", UserRequest{Method: "GET", Auth: "Bearer x"}); (err == nil) != tc.tokens {
					t.Errorf("a request with a token: %v", err)
				}
				if _, err := m.ForwardUserRequest(ctx, "n", UserRequest{Method: "GET"}); err != nil {
					t.Errorf("a request without: %v", err)
				}
				// Copies, and what is made of the history, go to those that know of them.
				_, err := m.Push(ctx, "n", &replica.Push{})
				_, err2 := m.FetchPage(ctx, "n", replica.PageRequest{})
				if (err == nil) != tc.copies || (err2 == nil) != tc.copies || (len(m.Followers()) == 1) != tc.copies || h.told.Load() != tc.copies {
					t.Errorf("a copy: %v, %v; followers %v, told of the history: %v", err, err2, m.Followers(), h.told.Load())
				}
				// Notes of withdrawals go to those that know of them; of the others it is known
				// that they do not, which is not the same as not reaching them.
				if a, err := m.SendCancellations(ctx, "n", &cancellation.Message{JobIDs: []string{"req-1"}}); a.Accepted != tc.notes || errors.Is(err, cancellation.ErrUnsupported) == tc.notes {
					t.Errorf("a note: %+v, %v", a, err)
				}
				cancel()
				<-done
				if _, err := m.SendCancellations(context.Background(), "n", &cancellation.Message{}); !errors.Is(err, ErrDown) {
					t.Errorf("a note without a link: %v", err)
				}
			})
		})
	}
}

// A peer's version is known from its answer, an old one by its refusal, and a
// peer that comes back as the other is known as that: connection by connection.
func TestVersionOfPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		far := NewMesh(nil, &node{version: "0.2.0"}, time.Second, 4, refuse, quiet())
		var isOld bool
		var conn net.Conn
		dial := func(context.Context, string, string) (net.Conn, error) {
			near, there := net.Pipe()
			conn = there
			if !isOld {
				go far.serve(ctx, there)
				return near, nil
			}
			go func() {
				defer there.Close()
				for {
					f, err := readFrame(there)
					if err != nil {
						return
					}
					if writeFrame(there, old(ctx, far, f)) != nil {
						return
					}
				}
			}()
			return near, nil
		}
		m := NewMesh([]settings.Peer{{Name: "n", Endpoint: "n:1"}}, &node{version: "0.2.0"}, time.Second, 4, dial, quiet())
		done := make(chan struct{})
		go func() { defer close(done); m.links["n"].dialLoop(ctx, m.handler) }()
		for i, want := range []string{"0.2.0", "", "0.2.0"} {
			time.Sleep(10 * time.Second)
			s := m.Peers()["n"]
			if !s.Live || s.Version != want {
				t.Errorf("connection %d: live %v, version %q, want %q", i, s.Live, s.Version, want)
			}
			isOld = !isOld
			conn.Close()
		}
		cancel()
		<-done
		conn.Close()
	})
}
