// Package snapshot saves the store's content in files: full snapshots and, between them,
// incremental ones with the changes. Each file is compressed, names the deployment and the
// incarnation of the store that it was taken of, and ends with a hash of all bytes before
// the hash.
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

// Reasons to refuse a snapshot. `rillflow snapshot verify` prints their texts.
var (
	ErrTruncated       = errors.New("cut short")
	ErrDamaged         = errors.New("damaged")
	ErrVersion         = errors.New("of another version")
	ErrOtherDeployment = errors.New("of another deployment")
	ErrBase            = errors.New("its predecessor is missing or another")
	ErrNotSnapshot     = errors.New("no snapshot")
)

const (
	magic   = "rillsnap"
	version = 1
	// maxBodyBytes bounds the decompressed body of a snapshot.
	maxBodyBytes = 1 << 30
)

// Sum is the BLAKE3 hash of a snapshot file.
type Sum [32]byte

// Snapshot is the store's content at a revision, or the changes since the previous
// snapshot.
type Snapshot struct {
	Deployment string
	replica.Head
	At   time.Time
	Base Sum // of the previous snapshot, that the changes apply to; zero in a full snapshot
	// Entries are sorted by key; nil data marks a removed key.
	Entries []replica.Entry

	Sum Sum // of the file; set by Encode and Decode
}

// IsFull reports whether the snapshot can be restored without a previous one.
func (s *Snapshot) IsFull() bool { return s.Base == Sum{} }

// Encode returns the content of the snapshot's file and sets Sum.
func (s *Snapshot) Encode() ([]byte, error) {
	var body codec.Encoder
	body.Uint(uint64(len(s.Entries)))
	for _, entry := range s.Entries {
		body.Str(entry.Key)
		body.Bool(entry.Data != nil)
		if entry.Data != nil {
			body.Bytes(entry.Data)
		}
	}
	compressor, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(256<<10))
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	defer compressor.Close()
	var encoder codec.Encoder
	encoder.B = append(encoder.B, magic...)
	encoder.B = append(encoder.B, version)
	encoder.Str(s.Deployment)
	encoder.Str(s.Incarnation)
	for _, value := range []uint64{s.Epoch, s.Seq, s.Revision, uint64(s.Keys)} {
		encoder.Uint(value)
	}
	encoder.Int(s.At.UnixMilli())
	encoder.Bytes(s.Base[:])
	encoder.Bytes(compressor.EncodeAll(body.B, nil))
	s.Sum = blake3.Sum256(encoder.B)
	return append(encoder.B, s.Sum[:]...), nil
}

// Decode reads the content of a file. If the file cannot be used, the error wraps
// ErrTruncated, ErrNotSnapshot, ErrVersion or ErrDamaged.
func Decode(contents []byte) (*Snapshot, error) {
	if len(contents) < len(magic)+1 {
		return nil, ErrTruncated
	}
	if string(contents[:len(magic)]) != magic {
		return nil, ErrNotSnapshot
	}
	if fileVersion := contents[len(magic)]; fileVersion != version {
		return nil, fmt.Errorf("%w: %d", ErrVersion, fileVersion)
	}
	if len(contents) < len(magic)+1+len(Sum{}) {
		return nil, ErrTruncated
	}
	hashed := contents[:len(contents)-len(Sum{})]
	s := &Snapshot{Sum: Sum(contents[len(hashed):])}
	intact := blake3.Sum256(hashed) == s.Sum
	decoder := codec.Decoder{B: hashed[len(magic)+1:]}
	s.Deployment, s.Incarnation = decoder.Str(), decoder.Str()
	s.Epoch, s.Seq, s.Revision = decoder.Uint(), decoder.Uint(), decoder.Uint()
	s.Keys = int(decoder.Uint())
	s.At = time.UnixMilli(decoder.Int())
	base, body := decoder.Bytes(), decoder.Bytes()
	switch err := decoder.Done(); {
	case !intact && err != nil:
		return nil, ErrTruncated
	case !intact, err != nil, len(base) != len(s.Base):
		return nil, ErrDamaged
	}
	s.Base = Sum(base)
	decompressor, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxBodyBytes))
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	defer decompressor.Close()
	decompressed, err := decompressor.DecodeAll(body, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	decoder = codec.Decoder{B: decompressed}
	lastKey := ""
	for range decoder.Items() {
		entry := replica.Entry{Key: decoder.Str()}
		if decoder.Bool() {
			entry.Data = decoder.Bytes()
		}
		if entry.Key <= lastKey || !replica.IsReplicated(entry.Key) {
			return nil, fmt.Errorf("%w: key %q", ErrDamaged, entry.Key)
		}
		lastKey = entry.Key
		s.Entries = append(s.Entries, entry)
	}
	if err := decoder.Done(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return s, nil
}

// Take makes a snapshot of the current tree: a full one if previous is nil, else one of the
// changes since previous, whose file has the hash base. Trees are immutable, so writers are
// not blocked.
func Take(
	deployment string, head replica.Head, takenAt time.Time, current, previous *replica.Tree, base Sum,
) *Snapshot {
	s := &Snapshot{Deployment: deployment, Head: head, At: takenAt}
	s.Keys = current.Len()
	if previous == nil {
		current.Root().Walk(func(key, value []byte) bool {
			s.Entries = append(s.Entries, replica.Entry{Key: string(key), Data: value})
			return false
		})
		return s
	}
	s.Base = base
	previousItems, currentItems := previous.Root().Iterator(), current.Root().Iterator()
	previousKey, previousValue, previousOK := previousItems.Next()
	currentKey, currentValue, currentOK := currentItems.Next()
	for previousOK || currentOK {
		switch order := bytes.Compare(previousKey, currentKey); {
		case !currentOK || previousOK && order < 0:
			s.Entries = append(s.Entries, replica.Entry{Key: string(previousKey)})
			previousKey, previousValue, previousOK = previousItems.Next()
		case !previousOK || order > 0:
			s.Entries = append(s.Entries, replica.Entry{Key: string(currentKey), Data: currentValue})
			currentKey, currentValue, currentOK = currentItems.Next()
		default:
			if !bytes.Equal(previousValue, currentValue) {
				s.Entries = append(s.Entries, replica.Entry{Key: string(currentKey), Data: currentValue})
			}
			previousKey, previousValue, previousOK = previousItems.Next()
			currentKey, currentValue, currentOK = currentItems.Next()
		}
	}
	return s
}

// ApplyTo returns the tree that results from applying the snapshot's entries to that of the
// previous snapshot, which is nil for a full one.
func (s *Snapshot) ApplyTo(previous *replica.Tree) *replica.Tree {
	if previous == nil {
		previous = iradix.New[[]byte]()
	}
	txn := previous.Txn()
	for _, entry := range s.Entries {
		if entry.Data == nil {
			txn.Delete([]byte(entry.Key))
		} else {
			txn.Insert([]byte(entry.Key), entry.Data)
		}
	}
	return txn.Commit()
}
