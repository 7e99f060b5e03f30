// Package peer connects the controllers with each other: a binary protocol over TCP,
// requests matched to answers by number, and pings that report which peers are alive and
// which of them still reach the key-value store.
//
// A Mesh owns one Link to each peer for outgoing requests, and serves the requests that
// arrive on connections opened by peers. Shard owners, the leader and the API use it
// through package serve, which implements Handler. The package only transports messages
// and must not make decisions from their content, such as who leads or what a user may be
// told.
//
// Different versions of the program can run side by side: the layout of a frame never
// changes, and a peer is only sent request kinds that its version supports.
package peer

import (
	"encoding/binary"
	"fmt"
	"io"

	"rillflow/internal/codec"
)

// A frame consists of the format version (1 byte), the kind (1), the request number (8),
// the length of the payload (4, big-endian) and the payload, which is encoded by package
// codec: integers as varints, floats in 8 bytes, strings and lists prefixed by their length.
const (
	formatVersion   = 1
	headerBytes     = 14
	maxPayloadBytes = 1 << 20
)

// frameKind identifies the message that a frame carries.
type frameKind byte

const (
	kindPing frameKind = iota + 1
	kindHeartbeat
	kindOffer
	kindUser
	kindCounts
	kindAnswer  // answers a request of any kind
	kindRefusal // the request could not be served

	// Versions before 0.2 refuse this and all later kinds, which identifies them.
	kindVersion // the sender's program version, answered with the peer's

	// Sent only to peers known to run 0.3 or later.
	kindReachability // how well workers reach the sender, answered with the same for the peer

	// Sent only to peers known to run 0.4 or later.
	kindUserWithToken // a user's request with its token

	// Sent only to peers known to run 0.5 or later.
	kindStoreIncarnation // the store incarnation that the sender knows, answered with the peer's
	kindReplicaPush      // a full replica of the leader's stored data, or changes to it
	kindReplicaPage      // requests a page of the peer's replica

	// Sent only to peers known to run 0.6 or later.
	kindCancellations // cancellations that the peer must know, answered with an acknowledgement
)

// ErrFormat reports a frame or payload that violates the format.
var ErrFormat = codec.ErrFormat

type frame struct {
	kind frameKind
	id   uint64
	body []byte
}

func writeFrame(w io.Writer, out frame) error {
	if len(out.body) > maxPayloadBytes {
		return fmt.Errorf("%w: payload of %d bytes exceeds the limit of %d", ErrFormat, len(out.body), maxPayloadBytes)
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
		return frame{}, fmt.Errorf("%w: unsupported format version %d", ErrFormat, header[0])
	}
	length := binary.BigEndian.Uint32(header[10:])
	if length > maxPayloadBytes {
		return frame{}, fmt.Errorf("%w: payload of %d bytes exceeds the limit of %d", ErrFormat, length, maxPayloadBytes)
	}
	in := frame{kind: frameKind(header[1]), id: binary.BigEndian.Uint64(header[2:]), body: make([]byte, length)}
	_, err := io.ReadFull(r, in.body)
	return in, err
}
