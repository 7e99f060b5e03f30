// Package peer is the link between controllers: a binary format of our own
// over TCP on the back addresses, requests that are answered by number, and a
// steady exchange of who is alive and who still reaches the state service.
package peer

import (
	"encoding/binary"
	"fmt"
	"io"

	"rillflow/internal/codec"
)

// A frame is version (1 byte), kind (1), request number (8), length of the
// payload (4, big-endian), payload. Within a payload, counts are varints,
// amounts are 8 bytes, strings and lists carry their length first.
const (
	version    = 1
	headerLen  = 14
	maxPayload = 1 << 20
)

// kind tells what a frame carries.
type kind byte

const (
	kindPing kind = iota + 1
	kindHeartbeat
	kindOffer
	kindUser
	kindCounts
	kindAnswer // to any of them
	kindRefuse // the request could not be served

	// Versions before 0.2 refuse what follows, by which they are known.
	kindVersion // the program's version, and the peer's in answer

	// Sent only to peers that are known to be of 0.3 or later.
	kindReachability // how well a node hears workers, and the peer in answer

	// Sent only to peers that are known to be of 0.4 or later.
	kindUserAs // a user's request with its token

	// Sent only to peers that are known to be of 0.5 or later.
	kindStoreIncarnation // how a node takes the state service's history, and the peer in answer
	kindReplicaPush      // the leader's copy of what is stored, or changes of it
	kindReplicaPage      // asks for a page of what the peer remembers

	// Sent only to peers that are known to be of 0.6 or later.
	kindCancellations // withdrawals that users are told of, and the peer's in answer
)

// ErrFormat says that a frame breaks the format.
var ErrFormat = codec.ErrFormat

type frame struct {
	kind kind
	id   uint64
	body []byte
}

func writeFrame(w io.Writer, f frame) error {
	if len(f.body) > maxPayload {
		return fmt.Errorf("%w: payload of %d bytes", ErrFormat, len(f.body))
	}
	b := make([]byte, headerLen, headerLen+len(f.body))
	b[0], b[1] = version, byte(f.kind)
	binary.BigEndian.PutUint64(b[2:], f.id)
	binary.BigEndian.PutUint32(b[10:], uint32(len(f.body)))
	_, err := w.Write(append(b, f.body...))
	return err
}

func readFrame(r io.Reader) (frame, error) {
	var h [headerLen]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return frame{}, err
	}
	if h[0] != version {
		return frame{}, fmt.Errorf("%w: version %d", ErrFormat, h[0])
	}
	n := binary.BigEndian.Uint32(h[10:])
	if n > maxPayload {
		return frame{}, fmt.Errorf("%w: payload of %d bytes", ErrFormat, n)
	}
	f := frame{kind: kind(h[1]), id: binary.BigEndian.Uint64(h[2:]), body: make([]byte, n)}
	_, err := io.ReadFull(r, f.body)
	return f, err
}
