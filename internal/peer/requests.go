package peer

import (
	"context"
	"fmt"
	"slices"

	"rillflow/internal/cancellation"
	"rillflow/internal/placement"
	"rillflow/internal/replica"
	"rillflow/internal/wire"
)

// ForwardHeartbeat forwards a worker's heartbeat to the leader.
func (mesh *Mesh) ForwardHeartbeat(
	ctx context.Context, peer string, heartbeat *wire.Heartbeat,
) (HeartbeatAnswer, error) {
	body, err := mesh.call(ctx, peer, kindHeartbeat, encodeHeartbeat(heartbeat))
	if err != nil {
		return HeartbeatAnswer{}, err
	}
	return decodeHeartbeatAnswer(body)
}

// Pick sends an offer to a shard owner and returns its picks. An offer too large for one
// frame is split into halves, each with half of the candidates. The owner picks for each
// half independently, and the leader confirms the best of all picks, as it does for the
// picks of several owners.
func (mesh *Mesh) Pick(ctx context.Context, peer string, offer *placement.Offer) ([]placement.Pick, error) {
	request := encodeOffer(offer)
	if half := len(offer.Candidates) / 2; len(request) > maxPayloadBytes && half > 0 {
		first, err := mesh.Pick(ctx, peer, &placement.Offer{Candidates: offer.Candidates[:half], Queues: offer.Queues})
		if err != nil {
			return nil, err
		}
		second, err := mesh.Pick(ctx, peer, &placement.Offer{Candidates: offer.Candidates[half:], Queues: offer.Queues})
		return append(first, second...), err
	}
	body, err := mesh.call(ctx, peer, kindOffer, request)
	if err != nil {
		return nil, err
	}
	return decodePicks(body)
}

// ForwardUserRequest has a peer serve a user's request. The error wraps ErrDown if the
// request has a token and the peer's version does not support tokens: that peer
// would serve the request without knowing whose it is.
func (mesh *Mesh) ForwardUserRequest(ctx context.Context, peer string, request UserRequest) (UserAnswer, error) {
	kind, encoded := kindUser, request.encode()
	if request.Auth != "" {
		if link := mesh.links[peer]; link == nil || !link.atLeastVersion(minVersionTokens) {
			return UserAnswer{}, fmt.Errorf("%w: %s does not support tokens", ErrDown, peer)
		}
		kind, encoded = kindUserWithToken, request.encodeWithToken()
	}
	body, err := mesh.call(ctx, peer, kind, encoded)
	if err != nil {
		return UserAnswer{}, err
	}
	return decodeUserAnswer(body)
}

// Counts requests a job's task counts from the leader.
func (mesh *Mesh) Counts(ctx context.Context, peer, jobID string) (Counts, error) {
	body, err := mesh.call(ctx, peer, kindCounts, []byte(jobID))
	if err != nil {
		return Counts{}, err
	}
	return decodeCounts(body)
}

// SendCancellations sends cancellations to a peer. The error is
// cancellation.ErrUnsupported if the peer's version has no such message.
func (mesh *Mesh) SendCancellations(
	ctx context.Context, peer string, message *cancellation.Message,
) (cancellation.Ack, error) {
	link := mesh.links[peer]
	if link == nil || !link.hasKnownVersion() {
		return cancellation.Ack{}, fmt.Errorf("%w: %q", ErrDown, peer)
	}
	if !link.atLeastVersion(minVersionCancellations) {
		return cancellation.Ack{}, cancellation.ErrUnsupported
	}
	body, err := link.callWithTimeout(ctx, kindCancellations, message.Encode())
	if err != nil {
		return cancellation.Ack{}, err
	}
	return cancellation.DecodeAck(body)
}

// Followers returns the names of the live peers that keep replicas, in order.
func (mesh *Mesh) Followers() []string {
	var followers []string
	for name, link := range mesh.links {
		if link.atLeastVersion(minVersionReplicas) && link.status().Live {
			followers = append(followers, name)
		}
	}
	slices.Sort(followers)
	return followers
}

// Push sends a peer a full replica of the stored data, or changes to it.
func (mesh *Mesh) Push(ctx context.Context, peer string, push *replica.Push) (replica.Ack, error) {
	body, err := mesh.callForReplica(ctx, peer, kindReplicaPush, push.Encode())
	if err != nil {
		return replica.Ack{}, err
	}
	return replica.DecodeAck(body)
}

// FetchPage requests a page of a peer's replica.
func (mesh *Mesh) FetchPage(ctx context.Context, peer string, request replica.PageRequest) (replica.Page, error) {
	body, err := mesh.callForReplica(ctx, peer, kindReplicaPage, request.Encode())
	if err != nil {
		return replica.Page{}, err
	}
	return replica.DecodePage(body)
}

func (mesh *Mesh) callForReplica(ctx context.Context, peer string, kind frameKind, request []byte) ([]byte, error) {
	link := mesh.links[peer]
	if link == nil || !link.atLeastVersion(minVersionReplicas) {
		return nil, fmt.Errorf("%w: %q does not support replicas", ErrDown, peer)
	}
	return link.callWithTimeout(ctx, kind, request)
}

func (mesh *Mesh) call(ctx context.Context, peer string, kind frameKind, request []byte) ([]byte, error) {
	link := mesh.links[peer]
	if link == nil {
		return nil, fmt.Errorf("%w: %q", ErrDown, peer)
	}
	return link.call(ctx, kind, request)
}
