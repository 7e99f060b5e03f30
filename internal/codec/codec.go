// Package codec implements the binary encoding of messages between processes and of
// stored data: integers are varints, floats take 8 bytes, strings and lists are prefixed
// by their length. Every length is checked before memory is allocated for it.
package codec

import (
	"encoding/binary"
	"errors"
	"fmt"
	"iter"
	"math"
)

// ErrFormat reports a payload that violates the format.
var ErrFormat = errors.New("malformed")

// Encoder appends values to a payload, B.
type Encoder struct{ B []byte }

func (e *Encoder) Uint(v uint64)   { e.B = binary.AppendUvarint(e.B, v) }
func (e *Encoder) Int(v int64)     { e.B = binary.AppendVarint(e.B, v) }
func (e *Encoder) Float(v float64) { e.B = binary.BigEndian.AppendUint64(e.B, math.Float64bits(v)) }
func (e *Encoder) Str(s string)    { e.Uint(uint64(len(s))); e.B = append(e.B, s...) }
func (e *Encoder) Bytes(s []byte)  { e.Uint(uint64(len(s))); e.B = append(e.B, s...) }
func (e *Encoder) Strs(ss []string) {
	e.Uint(uint64(len(ss)))
	for _, s := range ss {
		e.Str(s)
	}
}

func (e *Encoder) Bool(v bool) {
	if v {
		e.B = append(e.B, 1)
	} else {
		e.B = append(e.B, 0)
	}
}

// Decoder reads values from the start of a payload, B. After the first error all values
// are zero, so that callers need to check only Done, at the end.
type Decoder struct {
	B   []byte
	err error
}

func (d *Decoder) fail() {
	if d.err == nil {
		d.err = ErrFormat
	}
	d.B = nil
}

// Uint reads an unsigned varint.
func (d *Decoder) Uint() uint64 {
	v, n := binary.Uvarint(d.B)
	if n <= 0 {
		d.fail()
		return 0
	}
	d.B = d.B[n:]
	return v
}

// Int reads a signed varint.
func (d *Decoder) Int() int64 {
	v, n := binary.Varint(d.B)
	if n <= 0 {
		d.fail()
		return 0
	}
	d.B = d.B[n:]
	return v
}

// Float reads a float of 8 bytes, big-endian.
func (d *Decoder) Float() float64 {
	if len(d.B) < 8 {
		d.fail()
		return 0
	}
	v := math.Float64frombits(binary.BigEndian.Uint64(d.B))
	d.B = d.B[8:]
	return v
}

// Bool reads a byte that must be 0 or 1.
func (d *Decoder) Bool() bool {
	if len(d.B) == 0 || d.B[0] > 1 {
		d.fail()
		return false
	}
	v := d.B[0] == 1
	d.B = d.B[1:]
	return v
}

// Bytes reads a length-prefixed byte string. The result shares the payload's memory.
func (d *Decoder) Bytes() []byte {
	n := d.Uint()
	if n > uint64(len(d.B)) {
		d.fail()
		return nil
	}
	v := d.B[:n]
	d.B = d.B[n:]
	return v
}

// Str reads a length-prefixed string.
func (d *Decoder) Str() string { return string(d.Bytes()) }

// Count reads the length of a list. Each element takes at least one byte, so a length
// beyond the rest of the payload is an error and cannot cause a large allocation.
func (d *Decoder) Count() int {
	n := d.Uint()
	if n > uint64(len(d.B)) {
		d.fail()
		return 0
	}
	return int(n)
}

// Items reads the length of a list and iterates over the indexes of its elements, up to
// the first error.
func (d *Decoder) Items() iter.Seq[int] {
	n := d.Count()
	return func(yield func(int) bool) {
		for i := 0; i < n && d.err == nil && yield(i); i++ {
		}
	}
}

// Strs reads a list of strings.
func (d *Decoder) Strs() []string {
	var out []string
	for range d.Items() {
		out = append(out, d.Str())
	}
	return out
}

// Done returns the first error. Bytes left over at the end are an error too.
func (d *Decoder) Done() error {
	if d.err == nil && len(d.B) > 0 {
		d.err = fmt.Errorf("%w: %d bytes left over", ErrFormat, len(d.B))
	}
	return d.err
}
