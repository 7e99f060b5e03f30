package peer

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"rillflow/internal/cancellation"
	"rillflow/internal/connlimit"
	"rillflow/internal/placement"
	"rillflow/internal/replica"
	"rillflow/internal/wire"
)

// Handler serves the requests of peers and keeps what they report. All methods must be
// safe for concurrent use.
type Handler interface {
	// OwnStatus returns this controller's status for a ping. ObservePeerStatus processes the
	// status in a ping from a peer.
	OwnStatus() Ping
	ObservePeerStatus(Ping)
	// HandleHeartbeat answers, as the leader, a heartbeat that a shard owner forwarded.
	HandleHeartbeat(ctx context.Context, heartbeat *wire.Heartbeat) HeartbeatAnswer
	// PickTypes selects, as a shard owner, jobs for the workers in the leader's offer.
	PickTypes(offer placement.Offer) []placement.Pick
	HandleUserRequest(ctx context.Context, request UserRequest) UserAnswer
	TaskCounts(jobID string) (Counts, error)
	// WorkerReachability returns how well workers reach this controller.
	WorkerReachability() Reachability
	Version() string
	// StoreIncarnation returns the incarnation of the store's data that this controller
	// knows. ObservePeerStoreIncarnation processes the one that a peer reports.
	StoreIncarnation() StoreIncarnation
	ObservePeerStoreIncarnation(peer string, incarnation StoreIncarnation)
	ReceiveReplica(push *replica.Push) replica.Ack
	ReadReplicaPage(request replica.PageRequest) replica.Page
	// ReceiveCancellations processes cancellations sent by a peer. PeerConnected is called
	// on each new connection once the peer's version is known, usually before the first
	// ping, and PeerSynced after each ping and the exchanges that follow it. Both make sure
	// that the peer knows all cancellations.
	ReceiveCancellations(message *cancellation.Message) cancellation.Ack
	PeerConnected(ctx context.Context, peer string)
	PeerSynced(ctx context.Context, peer string)
}

// Limits on a connection that a peer opened, in ping intervals: the time between two
// requests, as a live peer pings at every interval, and the time to write an answer. The
// connection is closed when either passes.
const (
	readTimeoutIntervals        = 16
	answerWriteTimeoutIntervals = 4
)

// serve answers the requests on a connection that a peer opened, each in its own goroutine.
func (mesh *Mesh) serve(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	var writeMu sync.Mutex
	reader := bufio.NewReader(conn)
	for {
		conn.SetReadDeadline(time.Now().Add(readTimeoutIntervals * mesh.pingInterval))
		request, err := readFrame(reader)
		if err != nil {
			return
		}
		select {
		case mesh.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		go func() {
			defer func() { <-mesh.slots }()
			answer := mesh.answerFrame(ctx, request)
			if answer.kind == kindAnswer {
				connlimit.RequestReceived(conn)
			}
			writeMu.Lock()
			defer writeMu.Unlock()
			conn.SetWriteDeadline(time.Now().Add(answerWriteTimeoutIntervals * mesh.pingInterval))
			if writeFrame(conn, answer) != nil {
				conn.Close()
			}
		}()
	}
}

// answerFrame returns the answer to a request, or a refusal if it cannot be served.
func (mesh *Mesh) answerFrame(ctx context.Context, request frame) frame {
	body, err := mesh.answer(ctx, request)
	if err != nil {
		mesh.log.Debug("peer request refused", "kind", request.kind, "err", err)
		return frame{kind: kindRefusal, id: request.id}
	}
	return frame{kind: kindAnswer, id: request.id, body: body}
}

// answer passes a request to the handler and encodes the result. It fails if the request
// is malformed, if this version does not know its kind, or if the handler cannot look up
// the task counts.
func (mesh *Mesh) answer(ctx context.Context, request frame) ([]byte, error) {
	body := request.body
	switch request.kind {
	case kindPing:
		return mesh.answerPing(body)
	case kindHeartbeat:
		return mesh.answerHeartbeat(ctx, body)
	case kindOffer:
		return mesh.answerOffer(body)
	case kindUser:
		return mesh.answerUser(ctx, body, decodeUserRequest)
	case kindUserWithToken:
		return mesh.answerUser(ctx, body, decodeUserRequestWithToken)
	case kindCounts:
		return mesh.answerCounts(body)
	case kindStoreIncarnation:
		return mesh.answerStoreIncarnation(body)
	case kindReplicaPush:
		return mesh.answerReplicaPush(body)
	case kindReplicaPage:
		return mesh.answerReplicaPage(body)
	case kindCancellations:
		return mesh.answerCancellations(body)
	case kindVersion:
		return []byte(mesh.handler.Version()), nil
	case kindReachability:
		return mesh.answerReachability(body)
	}
	return nil, fmt.Errorf("%w: unknown request kind %d", ErrFormat, request.kind)
}

func (mesh *Mesh) answerPing(body []byte) ([]byte, error) {
	ping, err := decodePing(body)
	if err != nil {
		return nil, err
	}
	mesh.handler.ObservePeerStatus(ping)
	own := mesh.handler.OwnStatus()
	return own.encode(), nil
}

func (mesh *Mesh) answerHeartbeat(ctx context.Context, body []byte) ([]byte, error) {
	heartbeat, err := decodeHeartbeat(body)
	if err != nil {
		return nil, err
	}
	answer := mesh.handler.HandleHeartbeat(ctx, heartbeat)
	return answer.encode(), nil
}

func (mesh *Mesh) answerOffer(body []byte) ([]byte, error) {
	offer, err := decodeOffer(body)
	if err != nil {
		return nil, err
	}
	return encodePicks(limitToFrame(mesh.handler.PickTypes(offer))), nil
}

func (mesh *Mesh) answerUser(
	ctx context.Context, body []byte, decode func([]byte) (UserRequest, error),
) ([]byte, error) {
	request, err := decode(body)
	if err != nil {
		return nil, err
	}
	answer := mesh.handler.HandleUserRequest(ctx, request)
	return answer.encode(), nil
}

func (mesh *Mesh) answerCounts(body []byte) ([]byte, error) {
	counts, err := mesh.handler.TaskCounts(string(body))
	if err != nil {
		return nil, err
	}
	return counts.encode(), nil
}

func (mesh *Mesh) answerStoreIncarnation(body []byte) ([]byte, error) {
	incarnation, err := decodeStoreIncarnation(body)
	if err != nil {
		return nil, err
	}
	mesh.handler.ObservePeerStoreIncarnation("a peer", incarnation)
	own := mesh.handler.StoreIncarnation()
	return own.encode(), nil
}

func (mesh *Mesh) answerReplicaPush(body []byte) ([]byte, error) {
	push, err := replica.DecodePush(body)
	if err != nil {
		return nil, err
	}
	ack := mesh.handler.ReceiveReplica(&push)
	return ack.Encode(), nil
}

func (mesh *Mesh) answerReplicaPage(body []byte) ([]byte, error) {
	request, err := replica.DecodePageRequest(body)
	if err != nil {
		return nil, err
	}
	page := mesh.handler.ReadReplicaPage(request)
	return page.Encode(), nil
}

func (mesh *Mesh) answerCancellations(body []byte) ([]byte, error) {
	message, err := cancellation.DecodeMessage(body)
	if err != nil {
		return nil, err
	}
	ack := mesh.handler.ReceiveCancellations(&message)
	return ack.Encode(), nil
}

func (mesh *Mesh) answerReachability(body []byte) ([]byte, error) {
	if _, err := decodeReachability(body); err != nil {
		return nil, err
	}
	own := mesh.handler.WorkerReachability()
	return own.encode(), nil
}

// limitToFrame drops the last picks if all of them do not fit into one frame. The
// candidates of dropped picks are offered again in the next placement pass.
func limitToFrame(picks []placement.Pick) []placement.Pick {
	size := 0
	for i := range picks {
		if size += maxPickBytes + len(picks[i].Worker) + len(picks[i].JobID); size > maxPayloadBytes-headerBytes {
			return picks[:i]
		}
	}
	return picks
}

// maxPickBytes bounds the encoded size of a pick without the bytes of its strings: two
// string lengths and the tier as varints, and two floats.
const maxPickBytes = 3*10 + 2*8
