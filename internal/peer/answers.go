package peer

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"rillflow/internal/cancellation"
	"rillflow/internal/placement"
	"rillflow/internal/replica"
	"rillflow/internal/wire"
)

// Handler serves what peers ask of this controller. All methods are called from many
// goroutines at once.
type Handler interface {
	// OwnStatus is what this controller tells of itself in a ping, and PeerStatus takes in
	// what a peer tells.
	OwnStatus() Ping
	PeerStatus(Ping)
	// HandleHeartbeat answers, as the leader, a heartbeat that a shard owner passed on.
	HandleHeartbeat(ctx context.Context, heartbeat *wire.Heartbeat) HeartbeatAnswer
	// PickTypes picks, as a shard owner, from the leader's offer.
	PickTypes(offer placement.Offer) []placement.Pick
	HandleUserRequest(ctx context.Context, request UserRequest) UserAnswer
	TaskCounts(job string) (Counts, error)
	// WorkerReachability tells how well this controller hears workers.
	WorkerReachability() Reachability
	Version() string
	// StoreIncarnation tells which incarnation of the store's data this controller knows,
	// and PeerStoreIncarnation takes in what a peer knows.
	StoreIncarnation() StoreIncarnation
	PeerStoreIncarnation(peer string, known StoreIncarnation)
	ReceiveReplica(push *replica.Push) replica.Ack
	ReadReplicaPage(request replica.PageRequest) replica.Page
	// ReceiveCancellations takes a peer's cancellations in. PeerConnected is run on each
	// new connection to a peer ahead of anything else, and PeerSynced after each round of
	// pings: both see to it that the peer knows of cancellations.
	ReceiveCancellations(message *cancellation.Message) cancellation.Ack
	PeerConnected(ctx context.Context, peer string)
	PeerSynced(ctx context.Context, peer string)
}

// A peer pings all the time, so one that is silent for this many ping intervals is gone,
// and so is one that takes an answer no sooner than in the second.
const (
	silentIntervals = 16
	writeIntervals  = 4
)

// serve answers one peer's requests, each in a goroutine of its own.
func (mesh *Mesh) serve(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	var writeMu sync.Mutex
	reader := bufio.NewReader(conn)
	for {
		conn.SetReadDeadline(time.Now().Add(silentIntervals * mesh.pingInterval))
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
			writeMu.Lock()
			defer writeMu.Unlock()
			conn.SetWriteDeadline(time.Now().Add(writeIntervals * mesh.pingInterval))
			if writeFrame(conn, answer) != nil {
				conn.Close()
			}
		}()
	}
}

// answerFrame answers a request, or refuses it.
func (mesh *Mesh) answerFrame(ctx context.Context, request frame) frame {
	body, err := mesh.answer(ctx, request)
	if err != nil {
		mesh.log.Debug("peer request refused", "kind", request.kind, "err", err)
		return frame{kind: kindRefusal, id: request.id}
	}
	return frame{kind: kindAnswer, id: request.id, body: body}
}

// answer has the handler answer a request. Its errors are those of decoding, of a kind
// that this version does not know, and of counts that the leader cannot tell.
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
	return nil, fmt.Errorf("%w: kind %d", ErrFormat, request.kind)
}

func (mesh *Mesh) answerPing(body []byte) ([]byte, error) {
	ping, err := decodePing(body)
	if err != nil {
		return nil, err
	}
	mesh.handler.PeerStatus(ping)
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
	known, err := decodeStoreIncarnation(body)
	if err != nil {
		return nil, err
	}
	mesh.handler.PeerStoreIncarnation("a peer", known)
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

// limitToFrame leaves out the last picks where all do not fit a frame; their candidates
// are offered again with the next pass.
func limitToFrame(picks []placement.Pick) []placement.Pick {
	size := 0
	for i := range picks {
		if size += maxPickBytes + len(picks[i].Worker) + len(picks[i].JobID); size > maxPayloadBytes-headerBytes {
			return picks[:i]
		}
	}
	return picks
}

// maxPickBytes is what a pick takes at most, its strings aside: their lengths and the
// tier as varints, two amounts.
const maxPickBytes = 3*10 + 2*8
