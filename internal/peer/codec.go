// Package peer is the link between controllers: a binary format of our own
// over TCP on the back addresses, requests that are answered by number, and a
// steady exchange of who is alive and who still reaches the state service.
package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"iter"
	"math"
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
	kindBeat
	kindOffer
	kindUser
	kindCounts
	kindAnswer // to any of them
	kindRefuse // the request could not be served

	// Versions before 0.2 refuse what follows, by which they are known.
	kindVersion // the program's version, and the peer's in answer

	// Sent only to peers that are known to be of 0.3 or later.
	kindHearing // how well a node hears workers, and the peer in answer
)

// ErrFormat says that a frame breaks the format.
var ErrFormat = errors.New("peer: malformed")

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

// encoder appends values to a payload.
type encoder struct{ b []byte }

func (e *encoder) uint(v uint64)   { e.b = binary.AppendUvarint(e.b, v) }
func (e *encoder) int(v int64)     { e.b = binary.AppendVarint(e.b, v) }
func (e *encoder) float(v float64) { e.b = binary.BigEndian.AppendUint64(e.b, math.Float64bits(v)) }
func (e *encoder) str(s string)    { e.uint(uint64(len(s))); e.b = append(e.b, s...) }
func (e *encoder) bytes(s []byte)  { e.uint(uint64(len(s))); e.b = append(e.b, s...) }
func (e *encoder) strs(ss []string) {
	e.uint(uint64(len(ss)))
	for _, s := range ss {
		e.str(s)
	}
}

func (e *encoder) bool(v bool) {
	if v {
		e.b = append(e.b, 1)
	} else {
		e.b = append(e.b, 0)
	}
}

// decoder takes values off a payload. After the first error all values are
// zero and err is set, so that callers check once at the end.
type decoder struct {
	b   []byte
	err error
}

func (d *decoder) fail() {
	if d.err == nil {
		d.err = ErrFormat
	}
	d.b = nil
}

func (d *decoder) uint() uint64 {
	v, n := binary.Uvarint(d.b)
	if n <= 0 {
		d.fail()
		return 0
	}
	d.b = d.b[n:]
	return v
}

func (d *decoder) int() int64 {
	v, n := binary.Varint(d.b)
	if n <= 0 {
		d.fail()
		return 0
	}
	d.b = d.b[n:]
	return v
}

func (d *decoder) float() float64 {
	if len(d.b) < 8 {
		d.fail()
		return 0
	}
	v := math.Float64frombits(binary.BigEndian.Uint64(d.b))
	d.b = d.b[8:]
	return v
}

func (d *decoder) bool() bool {
	if len(d.b) == 0 || d.b[0] > 1 {
		d.fail()
		return false
	}
	v := d.b[0] == 1
	d.b = d.b[1:]
	return v
}

func (d *decoder) bytes() []byte {
	n := d.uint()
	if n > uint64(len(d.b)) {
		d.fail()
		return nil
	}
	v := d.b[:n]
	d.b = d.b[n:]
	return v
}

func (d *decoder) str() string { return string(d.bytes()) }

// count reads the length of a list whose elements take at least one byte, so
// that a false length cannot ask for much memory.
func (d *decoder) count() int {
	n := d.uint()
	if n > uint64(len(d.b)) {
		d.fail()
		return 0
	}
	return int(n)
}

// items ranges over a list's elements and stops at the first error.
func (d *decoder) items() iter.Seq[int] {
	n := d.count()
	return func(yield func(int) bool) {
		for i := 0; i < n && d.err == nil && yield(i); i++ {
		}
	}
}

func (d *decoder) strs() []string {
	var out []string
	for range d.items() {
		out = append(out, d.str())
	}
	return out
}

// done reports the first error; bytes left over are one.
func (d *decoder) done() error {
	if d.err == nil && len(d.b) > 0 {
		d.err = fmt.Errorf("%w: %d bytes left over", ErrFormat, len(d.b))
	}
	return d.err
}
