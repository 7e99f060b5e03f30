// Package codec is the binary form of what passes between processes and of what
// is kept for good: counts are varints, amounts are 8 bytes, strings and lists
// carry their length first. Every length is checked before anything is made of it.
package codec

import (
	"encoding/binary"
	"errors"
	"fmt"
	"iter"
	"math"
)

// ErrFormat says that a payload breaks the format.
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

// Decoder takes values off a payload, B. After the first error all values are
// zero and err is set, so that callers check once at the end.
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

// Uint takes an unsigned varint.
func (d *Decoder) Uint() uint64 {
	v, n := binary.Uvarint(d.B)
	if n <= 0 {
		d.fail()
		return 0
	}
	d.B = d.B[n:]
	return v
}

// Int takes a signed varint.
func (d *Decoder) Int() int64 {
	v, n := binary.Varint(d.B)
	if n <= 0 {
		d.fail()
		return 0
	}
	d.B = d.B[n:]
	return v
}

// Float takes an amount.
func (d *Decoder) Float() float64 {
	if len(d.B) < 8 {
		d.fail()
		return 0
	}
	v := math.Float64frombits(binary.BigEndian.Uint64(d.B))
	d.B = d.B[8:]
	return v
}

// Bool takes a byte that is 0 or 1.
func (d *Decoder) Bool() bool {
	if len(d.B) == 0 || d.B[0] > 1 {
		d.fail()
		return false
	}
	v := d.B[0] == 1
	d.B = d.B[1:]
	return v
}

// Bytes takes a string of bytes, which stays part of the payload.
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

// Str takes a string.
func (d *Decoder) Str() string { return string(d.Bytes()) }

// Count reads the length of a list whose elements take at least one byte, so
// that a false length cannot ask for much memory.
func (d *Decoder) Count() int {
	n := d.Uint()
	if n > uint64(len(d.B)) {
		d.fail()
		return 0
	}
	return int(n)
}

// Items ranges over a list's elements and stops at the first error.
func (d *Decoder) Items() iter.Seq[int] {
	n := d.Count()
	return func(yield func(int) bool) {
		for i := 0; i < n && d.err == nil && yield(i); i++ {
		}
	}
}

// Strs takes a list of strings.
func (d *Decoder) Strs() []string {
	var out []string
	for range d.Items() {
		out = append(out, d.Str())
	}
	return out
}

// Done reports the first error; bytes left over are one.
func (d *Decoder) Done() error {
	if d.err == nil && len(d.B) > 0 {
		d.err = fmt.Errorf("%w: %d bytes left over", ErrFormat, len(d.B))
	}
	return d.err
}
