package audit

import (
	"encoding/binary"
	"fmt"

	"rillflow/internal/codec"
	"rillflow/internal/keyring"
	"rillflow/internal/wire"
)

// Slip is what a controller that does not lead writes in the transaction of what it
// did: the leader takes it into the chain and removes it. It is sealed, so that
// nobody without the key can slip anything in.
type Slip struct {
	Key     uint32
	Entries []Entry
}

const slipFixed = 1 + 4

// Encode seals a slip under the newest key. The place is where it is kept: a slip
// that is moved elsewhere does not hold.
func (s *Slip) Encode(ring *keyring.Ring, place string) ([]byte, error) {
	s.Key = ring.Newest()
	raw := append([]byte{format}, 0, 0, 0, 0)
	binary.BigEndian.PutUint32(raw[1:], s.Key)
	raw = append(raw, encode(s.Entries)...)
	seal, err := ring.Seal(s.Key, keyring.ForPendingEntries, []byte(place), []byte{0}, raw)
	if err != nil {
		return nil, err
	}
	return append(raw, seal[:]...), nil
}

// Change is what puts a slip into the state service.
func (s *Slip) Change(ring *keyring.Ring, place string) (wire.Operation, error) {
	raw, err := s.Encode(ring, place)
	return wire.Operation{Put: place, Value: Value(raw)}, err
}

// ReadSlip reads a slip from the value under its key, and checks its seal.
func ReadSlip(ring *keyring.Ring, key string, value []byte) (*Slip, error) {
	raw, err := Raw(value)
	if err != nil {
		return nil, err
	}
	return OpenSlip(ring, key, raw)
}

// OpenSlip reads a slip and checks its seal.
func OpenSlip(ring *keyring.Ring, place string, raw []byte) (*Slip, error) {
	if len(raw) < slipFixed+sealLen || raw[0] != format {
		return nil, fmt.Errorf("audit: slip: %w", codec.ErrFormat)
	}
	s := &Slip{Key: binary.BigEndian.Uint32(raw[1:])}
	body, seal := raw[:len(raw)-sealLen], raw[len(raw)-sealLen:]
	ok, err := ring.Check(s.Key, keyring.ForPendingEntries, seal, []byte(place), []byte{0}, body)
	if err != nil {
		return nil, fmt.Errorf("audit: slip: %w", err)
	}
	if !ok {
		return nil, fmt.Errorf("audit: slip: %w", ErrSeal)
	}
	if s.Entries, err = decode(body[slipFixed:]); err != nil {
		return nil, err
	}
	return s, nil
}
