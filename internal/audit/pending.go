package audit

import (
	"encoding/binary"
	"fmt"

	"rillflow/internal/codec"
	"rillflow/internal/keyring"
	"rillflow/internal/wire"
)

// PendingEntries are entries that a controller other than the leader stores in the same
// transaction as the change that they record. The leader moves them into the chain. They
// are sealed, so that nobody without the key can add entries.
type PendingEntries struct {
	KeyID   uint32 // number of the key in the ring that seals them
	Entries []Entry
}

const pendingFixedBytes = 1 + 4

// Encode encodes pending entries and seals them under the ring's active key. The seal
// covers the store's key at which they are stored, and does not match at any other.
func (pending *PendingEntries) Encode(ring *keyring.Ring, storeKey string) ([]byte, error) {
	pending.KeyID = ring.ActiveKeyID()
	raw := append([]byte{formatVersion}, 0, 0, 0, 0)
	binary.BigEndian.PutUint32(raw[1:], pending.KeyID)
	raw = append(raw, encodeEntries(pending.Entries)...)
	seal, err := ring.Seal(pending.KeyID, keyring.ForPendingEntries, []byte(storeKey), []byte{0}, raw)
	if err != nil {
		return nil, err
	}
	return append(raw, seal[:]...), nil
}

// Put returns the operation that stores pending entries at a key of the store.
func (pending *PendingEntries) Put(ring *keyring.Ring, storeKey string) (wire.Operation, error) {
	raw, err := pending.Encode(ring, storeKey)
	return wire.Operation{Put: storeKey, Value: EncodeValue(raw)}, err
}

// ReadPending decodes pending entries from the value at a key of the store, and checks their
// seal.
func ReadPending(ring *keyring.Ring, storeKey string, value []byte) (*PendingEntries, error) {
	raw, err := DecodeValue(value)
	if err != nil {
		return nil, err
	}
	return OpenPending(ring, storeKey, raw)
}

// OpenPending decodes pending entries that were stored at a key of the store, and checks
// their seal.
func OpenPending(ring *keyring.Ring, storeKey string, raw []byte) (*PendingEntries, error) {
	if len(raw) < pendingFixedBytes+sealBytes || raw[0] != formatVersion {
		return nil, fmt.Errorf("audit: slip: %w", codec.ErrFormat)
	}
	pending := &PendingEntries{KeyID: binary.BigEndian.Uint32(raw[1:])}
	body, seal := raw[:len(raw)-sealBytes], raw[len(raw)-sealBytes:]
	matches, err := ring.Check(pending.KeyID, keyring.ForPendingEntries, seal, []byte(storeKey), []byte{0}, body)
	if err != nil {
		return nil, fmt.Errorf("audit: slip: %w", err)
	}
	if !matches {
		return nil, fmt.Errorf("audit: slip: %w", ErrSeal)
	}
	if pending.Entries, err = decodeEntries(body[pendingFixedBytes:]); err != nil {
		return nil, err
	}
	return pending, nil
}
