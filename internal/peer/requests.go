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

// ForwardHeartbeat passes a worker's heartbeat on to the leader.
func (mesh *Mesh) ForwardHeartbeat(
	ctx context.Context, peer string, heartbeat *wire.Heartbeat,
) (HeartbeatAnswer, error) {
	body, err := mesh.ask(ctx, peer, kindHeartbeat, encodeHeartbeat(heartbeat))
	if err != nil {
		return HeartbeatAnswer{}, err
	}
	return decodeHeartbeatAnswer(body)
}

// Pick asks a shard owner to pick. An offer too large for a frame goes in halves, each
// with some of the candidates: the owner then picks for each as if alone, and the leader
// confirms the best of all, as it does over several owners.
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
	body, err := mesh.ask(ctx, peer, kindOffer, request)
	if err != nil {
		return nil, err
	}
	return decodePicks(body)
}

// ForwardUserRequest has a peer serve a user's request. The error wraps ErrDown where the
// request has a token and the peer does not know tokens: it would take the request for
// somebody else's.
func (mesh *Mesh) ForwardUserRequest(ctx context.Context, peer string, request UserRequest) (UserAnswer, error) {
	k, encoded := kindUser, request.encode()
	if request.Auth != "" {
		if link := mesh.links[peer]; link == nil || !link.atLeastVersion(sinceTokens) {
			return UserAnswer{}, fmt.Errorf("%w: %s knows no tokens", ErrDown, peer)
		}
		k, encoded = kindUserWithToken, request.encodeWithToken()
	}
	body, err := mesh.ask(ctx, peer, k, encoded)
	if err != nil {
		return UserAnswer{}, err
	}
	return decodeUserAnswer(body)
}

// Counts asks the leader for a job's counts of tasks.
func (mesh *Mesh) Counts(ctx context.Context, peer, job string) (Counts, error) {
	body, err := mesh.ask(ctx, peer, kindCounts, []byte(job))
	if err != nil {
		return Counts{}, err
	}
	return decodeCounts(body)
}

// SendCancellations tells a peer of cancellations. The error is
// cancellation.ErrUnsupported where the peer is too old to keep them.
func (mesh *Mesh) SendCancellations(
	ctx context.Context, peer string, message *cancellation.Message,
) (cancellation.Ack, error) {
	link := mesh.links[peer]
	if link == nil || !link.hasKnownVersion() {
		return cancellation.Ack{}, fmt.Errorf("%w: %q", ErrDown, peer)
	}
	if !link.atLeastVersion(sinceCancellations) {
		return cancellation.Ack{}, cancellation.ErrUnsupported
	}
	body, err := link.askWithTimeout(ctx, kindCancellations, message.Encode())
	if err != nil {
		return cancellation.Ack{}, err
	}
	return cancellation.DecodeAck(body)
}

// Followers returns the live peers that keep replicas, by name.
func (mesh *Mesh) Followers() []string {
	var followers []string
	for name, link := range mesh.links {
		if link.atLeastVersion(sinceReplicas) && link.status().Live {
			followers = append(followers, name)
		}
	}
	slices.Sort(followers)
	return followers
}

// Push sends a peer a replica of what is stored, or changes of it.
func (mesh *Mesh) Push(ctx context.Context, peer string, push *replica.Push) (replica.Ack, error) {
	body, err := mesh.askReplica(ctx, peer, kindReplicaPush, push.Encode())
	if err != nil {
		return replica.Ack{}, err
	}
	return replica.DecodeAck(body)
}

// FetchPage asks a peer for a page of its replica.
func (mesh *Mesh) FetchPage(ctx context.Context, peer string, request replica.PageRequest) (replica.Page, error) {
	body, err := mesh.askReplica(ctx, peer, kindReplicaPage, request.Encode())
	if err != nil {
		return replica.Page{}, err
	}
	return replica.DecodePage(body)
}

func (mesh *Mesh) askReplica(ctx context.Context, peer string, k kind, request []byte) ([]byte, error) {
	link := mesh.links[peer]
	if link == nil || !link.atLeastVersion(sinceReplicas) {
		return nil, fmt.Errorf("%w: %q keeps no replica", ErrDown, peer)
	}
	return link.askWithTimeout(ctx, k, request)
}

func (mesh *Mesh) ask(ctx context.Context, peer string, k kind, request []byte) ([]byte, error) {
	link := mesh.links[peer]
	if link == nil {
		return nil, fmt.Errorf("%w: %q", ErrDown, peer)
	}
	return link.ask(ctx, k, request)
}
