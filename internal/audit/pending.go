package audit

import (
	"encoding/binary"
	"fmt"

	"rillflow/internal/codec"
	"rillflow/internal/keyring"
	"rillflow/internal/wire"
)

// PendingEntries are what a controller that does not lead writes in the transaction of what it
// did: the leader takes them into the chain and removes them. They are sealed, so that
// nobody without the key can add anything.
type PendingEntries struct {
	Key     uint32
	Entries []Entry
}

const pendingFixedBytes = 1 + 4

// Encode seals pending entries under the newest key, for the store's key at which they are
// kept: the seal does not match if they are moved elsewhere.
func (pending *PendingEntries) Encode(ring *keyring.Ring, place string) ([]byte, error) {
	pending.Key = ring.Newest()
	raw := append([]byte{format}, 0, 0, 0, 0)
	binary.BigEndian.PutUint32(raw[1:], pending.Key)
	raw = append(raw, encode(pending.Entries)...)
	seal, err := ring.Seal(pending.Key, keyring.ForPendingEntries, []byte(place), []byte{0}, raw)
	if err != nil {
		return nil, err
	}
	return append(raw, seal[:]...), nil
}

// Put returns the operation that stores pending entries.
func (pending *PendingEntries) Put(ring *keyring.Ring, place string) (wire.Operation, error) {
	raw, err := pending.Encode(ring, place)
	return wire.Operation{Put: place, Value: Value(raw)}, err
}

// ReadPending reads pending entries from the value of their key, and checks the seal.
func ReadPending(ring *keyring.Ring, key string, value []byte) (*PendingEntries, error) {
	raw, err := Raw(value)
	if err != nil {
		return nil, err
	}
	return OpenPending(ring, key, raw)
}

// OpenPending reads pending entries and checks the seal.
func OpenPending(ring *keyring.Ring, place string, raw []byte) (*PendingEntries, error) {
	if len(raw) < pendingFixedBytes+sealBytes || raw[0] != format {
		return nil, fmt.Errorf("audit: slip: %w", codec.ErrFormat)
	}
	pending := &PendingEntries{Key: binary.BigEndian.Uint32(raw[1:])}
	body, seal := raw[:len(raw)-sealBytes], raw[len(raw)-sealBytes:]
	ok, err := ring.Check(pending.Key, keyring.ForPendingEntries, seal, []byte(place), []byte{0}, body)
	if err != nil {
		return nil, fmt.Errorf("audit: slip: %w", err)
	}
	if !ok {
		return nil, fmt.Errorf("audit: slip: %w", ErrSeal)
	}
	if pending.Entries, err = decode(body[pendingFixedBytes:]); err != nil {
		return nil, err
	}
	return pending, nil
}
