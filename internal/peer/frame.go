// Package peer is the link between controllers: a binary format of our own over TCP,
// requests that are answered by number, and pings that tell who is alive and who still
// reaches the key-value store.
//
// A Mesh owns one Link to each peer, on which requests go out, and serves the requests
// that come in on connections the peers opened. Shard owners, the leader and the API use
// it through package serve, whose controller is the Handler. The package must not decide
// anything from what it carries: who leads and what may be told is for its users.
//
// Versions of the program that run side by side understand each other: a frame's layout
// never changes, and a kind that a peer's version does not know is not sent to it.
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
	formatVersion   = 1
	headerBytes     = 14
	maxPayloadBytes = 1 << 20
)

// kind tells what a frame carries.
type kind byte

const (
	kindPing kind = iota + 1
	kindHeartbeat
	kindOffer
	kindUser
	kindCounts
	kindAnswer  // to any of them
	kindRefusal // the request could not be served

	// Versions before 0.2 refuse what follows, by which they are known.
	kindVersion // the program's version, and the peer's in answer

	// Sent only to peers that are known to be of 0.3 or later.
	kindReachability // how well a controller hears workers, and the peer in answer

	// Sent only to peers that are known to be of 0.4 or later.
	kindUserWithToken // a user's request with its token

	// Sent only to peers that are known to be of 0.5 or later.
	kindStoreIncarnation // which incarnation of the store's data a controller knows, and the peer in answer
	kindReplicaPush      // the leader's replica of what is stored, or changes of it
	kindReplicaPage      // asks for a page of the peer's replica

	// Sent only to peers that are known to be of 0.6 or later.
	kindCancellations // cancellations that users are told of, and the peer's in answer
)

// ErrFormat says that a frame breaks the format.
var ErrFormat = codec.ErrFormat

type frame struct {
	kind kind
	id   uint64
	body []byte
}

func writeFrame(w io.Writer, out frame) error {
	if len(out.body) > maxPayloadBytes {
		return fmt.Errorf("%w: payload of %d bytes", ErrFormat, len(out.body))
	}
	buffer := make([]byte, headerBytes, headerBytes+len(out.body))
	buffer[0], buffer[1] = formatVersion, byte(out.kind)
	binary.BigEndian.PutUint64(buffer[2:], out.id)
	binary.BigEndian.PutUint32(buffer[10:], uint32(len(out.body)))
	_, err := w.Write(append(buffer, out.body...))
	return err
}

func readFrame(r io.Reader) (frame, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return frame{}, err
	}
	if header[0] != formatVersion {
		return frame{}, fmt.Errorf("%w: version %d", ErrFormat, header[0])
	}
	length := binary.BigEndian.Uint32(header[10:])
	if length > maxPayloadBytes {
		return frame{}, fmt.Errorf("%w: payload of %d bytes", ErrFormat, length)
	}
	in := frame{kind: kind(header[1]), id: binary.BigEndian.Uint64(header[2:]), body: make([]byte, length)}
	_, err := io.ReadFull(r, in.body)
	return in, err
}
