// Package snapshot keeps copies of what the state service holds in files: whole ones
// and, between them, what changed. Each is compressed, names the deployment and history
// that it is of, and ends with a hash of all before it.
package snapshot

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/zeebo/blake3"

	"rillflow/internal/codec"
	"rillflow/internal/replica"
)

// Reasons to refuse a snapshot.
var (
	ErrCut     = errors.New("cut short")
	ErrDamaged = errors.New("damaged")
	ErrVersion = errors.New("of another version")
	ErrForeign = errors.New("of another deployment")
	ErrBase    = errors.New("its predecessor is missing or another")
	ErrKind    = errors.New("no snapshot")
)

const (
	magic   = "rillsnap"
	version = 1
	// maxBody bounds what a snapshot may unpack to, in bytes.
	maxBody = 1 << 30
)

// Sum is a snapshot's hash.
type Sum [32]byte

// Snapshot is what the state service held at a generation, or what changed since the
// snapshot before.
type Snapshot struct {
	Deployment string
	replica.Head
	At   time.Time
	Base Sum // of the snapshot that this one continues; zero: it is whole
	// Entries are sorted by key; one without data was removed.
	Entries []replica.Entry

	Sum Sum // of the file; set by Encode and Decode
}

// Whole tells whether the snapshot stands by itself.
func (s *Snapshot) Whole() bool { return s.Base == Sum{} }

// Encode gives the file.
func (s *Snapshot) Encode() ([]byte, error) {
	var body codec.Encoder
	body.Uint(uint64(len(s.Entries)))
	for _, x := range s.Entries {
		body.Str(x.Key)
		body.Bool(x.Data != nil)
		if x.Data != nil {
			body.Bytes(x.Data)
		}
	}
	z, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(256<<10))
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	defer z.Close()
	var e codec.Encoder
	e.B = append(e.B, magic...)
	e.B = append(e.B, version)
	e.Str(s.Deployment)
	e.Str(s.Incarnation)
	for _, v := range []uint64{s.Epoch, s.Seq, s.Revision, uint64(s.Keys)} {
		e.Uint(v)
	}
	e.Int(s.At.UnixMilli())
	e.Bytes(s.Base[:])
	e.Bytes(z.EncodeAll(body.B, nil))
	s.Sum = blake3.Sum256(e.B)
	return append(e.B, s.Sum[:]...), nil
}

// Decode reads a file. The error says in which of the ways it is of no use.
func Decode(b []byte) (*Snapshot, error) {
	if len(b) < len(magic)+1 {
		return nil, ErrCut
	}
	if string(b[:len(magic)]) != magic {
		return nil, ErrKind
	}
	if v := b[len(magic)]; v != version {
		return nil, fmt.Errorf("%w: %d", ErrVersion, v)
	}
	if len(b) < len(magic)+1+len(Sum{}) {
		return nil, ErrCut
	}
	data := b[:len(b)-len(Sum{})]
	s := &Snapshot{Sum: Sum(b[len(data):])}
	intact := blake3.Sum256(data) == s.Sum
	d := codec.Decoder{B: data[len(magic)+1:]}
	s.Deployment, s.Incarnation = d.Str(), d.Str()
	s.Epoch, s.Seq, s.Revision = d.Uint(), d.Uint(), d.Uint()
	s.Keys = int(d.Uint())
	s.At = time.UnixMilli(d.Int())
	base, body := d.Bytes(), d.Bytes()
	switch err := d.Done(); {
	case !intact && err != nil:
		return nil, ErrCut
	case !intact, err != nil, len(base) != len(s.Base):
		return nil, ErrDamaged
	}
	s.Base = Sum(base)
	z, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxBody))
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	defer z.Close()
	raw, err := z.DecodeAll(body, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	d = codec.Decoder{B: raw}
	last := ""
	for range d.Items() {
		x := replica.Entry{Key: d.Str()}
		if d.Bool() {
			x.Data = d.Bytes()
		}
		if x.Key <= last || !replica.IsReplicated(x.Key) {
			return nil, fmt.Errorf("%w: key %q", ErrDamaged, x.Key)
		}
		last = x.Key
		s.Entries = append(s.Entries, x)
	}
	if err := d.Done(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return s, nil
}

// Take makes a snapshot of a tree: of what changed since another, or whole if there is
// none. It reads trees only, so whoever writes goes on.
func Take(deployment string, head replica.Head, at time.Time, now, since *replica.Tree, base Sum) *Snapshot {
	s := &Snapshot{Deployment: deployment, Head: head, At: at}
	s.Keys = now.Len()
	if since == nil {
		now.Root().Walk(func(k, v []byte) bool {
			s.Entries = append(s.Entries, replica.Entry{Key: string(k), Data: v})
			return false
		})
		return s
	}
	s.Base = base
	a, b := since.Root().Iterator(), now.Root().Iterator()
	ka, va, oka := a.Next()
	kb, vb, okb := b.Next()
	for oka || okb {
		switch c := bytes.Compare(ka, kb); {
		case !okb || oka && c < 0:
			s.Entries = append(s.Entries, replica.Entry{Key: string(ka)})
			ka, va, oka = a.Next()
		case !oka || c > 0:
			s.Entries = append(s.Entries, replica.Entry{Key: string(kb), Data: vb})
			kb, vb, okb = b.Next()
		default:
			if !bytes.Equal(va, vb) {
				s.Entries = append(s.Entries, replica.Entry{Key: string(kb), Data: vb})
			}
			ka, va, oka = a.Next()
			kb, vb, okb = b.Next()
		}
	}
	return s
}

// Onto gives what was held: the snapshot's entries over those of the one before.
func (s *Snapshot) Onto(before *replica.Tree) *replica.Tree {
	if before == nil {
		before = iradix.New[[]byte]()
	}
	txn := before.Txn()
	for _, x := range s.Entries {
		if x.Data == nil {
			txn.Delete([]byte(x.Key))
		} else {
			txn.Insert([]byte(x.Key), x.Data)
		}
	}
	return txn.Commit()
}
