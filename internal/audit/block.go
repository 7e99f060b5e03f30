package audit

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"rillflow/internal/codec"
	"rillflow/internal/keyring"
)

// Keys in the store. The block keys are in descending order of block number, so that a
// new leader finds the end of the chain by listing a single key.
const (
	BlockPrefix   = "a/b/"
	PendingPrefix = "a/s/"
	TrimKey       = "a/trim"
)

// BlockKey returns the store's key for the block with the given number.
func BlockKey(seq uint64) string { return fmt.Sprintf("%s%016x", BlockPrefix, math.MaxUint64-seq) }

// BlockSeq returns the block number of a store's key, and whether it is a block's key.
func BlockSeq(key string) (uint64, bool) {
	n, err := strconv.ParseUint(strings.TrimPrefix(key, BlockPrefix), 16, 64)
	return math.MaxUint64 - n, err == nil && strings.HasPrefix(key, BlockPrefix)
}

// Head identifies the end of a chain.
type Head struct {
	Seq  uint64             // number of the last block, 0 for an empty chain
	Hash [keyring.Size]byte // digest of the last block
}

// String formats a head as NUMBER:DIGEST, the form that operators record.
func (h Head) String() string { return fmt.Sprintf("%d:%x", h.Seq, h.Hash) }

// ParseHead parses the result of Head.String.
func ParseHead(s string) (h Head, err error) {
	seq, digits, _ := strings.Cut(s, ":")
	hash, err := hex.DecodeString(digits)
	n, seqErr := strconv.ParseUint(seq, 10, 64)
	if err != nil || seqErr != nil || len(hash) != len(h.Hash) {
		return h, errors.New("a head is a number, a colon and 64 hexadecimal digits")
	}
	copy(h.Hash[:], hash)
	h.Seq = n
	return h, nil
}

// Block is a link of the chain.
type Block struct {
	Seq     uint64 // block number, counted from 1 without gaps
	Epoch   uint64 // of the leader that wrote the block
	Writer  string // name of the controller that wrote the block
	At      time.Time
	Prev    [keyring.Size]byte // digest of the previous block, including its seal
	KeyID   uint32             // number of the key in the ring that seals the block
	Entries []Entry
	Raw     []byte // encoded form, including the seal
}

// A block is encoded as: format version (1 byte), key number (4), block number (8),
// epoch (8), time in Unix milliseconds (8), digest of the previous block (32), writer,
// whether the entries are compressed, entries, seal (32).
const (
	formatVersion   = 1
	blockFixedBytes = 1 + 4 + 8 + 8 + 8 + keyring.Size
	sealBytes       = keyring.Size
)

// ErrSeal means that a seal does not match the sealed data.
var ErrSeal = errors.New("audit: the seal does not hold")

// NewBlock returns a sealed block that follows head. It is sealed under the ring's active
// key, or under minKey if that is newer: minKey is the key of the previous block, and the
// clock of a new leader may be behind that of the previous one.
func NewBlock(
	ring *keyring.Ring, head Head, minKey uint32, epoch uint64, writer string, at time.Time, entries []Entry,
) (*Block, error) {
	block := &Block{
		Seq: head.Seq + 1, Epoch: epoch, Writer: writer, At: at, Prev: head.Hash,
		KeyID: max(ring.ActiveKeyID(), minKey), Entries: entries,
	}
	raw := make([]byte, 0, 256)
	raw = append(raw, formatVersion)
	raw = binary.BigEndian.AppendUint32(raw, block.KeyID)
	raw = binary.BigEndian.AppendUint64(raw, block.Seq)
	raw = binary.BigEndian.AppendUint64(raw, block.Epoch)
	raw = binary.BigEndian.AppendUint64(raw, uint64(at.UnixMilli()))
	raw = append(raw, block.Prev[:]...)
	encoder := codec.Encoder{B: raw}
	encoder.Str(writer)
	body := encodeEntries(entries)
	compressed := compress(body)
	encoder.Bool(len(compressed) < len(body))
	if len(compressed) < len(body) {
		body = compressed
	}
	encoder.Bytes(body)
	seal, err := ring.Seal(block.KeyID, keyring.ForAudit, encoder.B)
	if err != nil {
		return nil, err
	}
	block.Raw = append(encoder.B, seal[:]...)
	return block, nil
}

// Open decodes a block without checking its seal.
func Open(raw []byte) (*Block, error) {
	if len(raw) < blockFixedBytes+sealBytes || raw[0] != formatVersion {
		return nil, fmt.Errorf("audit: block: %w", codec.ErrFormat)
	}
	block := &Block{
		KeyID: binary.BigEndian.Uint32(raw[1:]), Seq: binary.BigEndian.Uint64(raw[5:]),
		Epoch: binary.BigEndian.Uint64(raw[13:]),
		At:    time.UnixMilli(int64(binary.BigEndian.Uint64(raw[21:]))), Prev: [keyring.Size]byte(raw[29:]), Raw: raw,
	}
	decoder := codec.Decoder{B: raw[blockFixedBytes : len(raw)-sealBytes]}
	block.Writer = decoder.Str()
	compressed, body := decoder.Bool(), decoder.Bytes()
	if err := decoder.Done(); err != nil {
		return nil, fmt.Errorf("audit: block %d: %w", block.Seq, err)
	}
	var err error
	if compressed {
		if body, err = decompress(body); err != nil {
			return nil, fmt.Errorf("audit: block %d: %w", block.Seq, err)
		}
	}
	if block.Entries, err = decodeEntries(body); err != nil {
		return nil, fmt.Errorf("audit: block %d: %w", block.Seq, err)
	}
	return block, nil
}

// VerifySeal checks a block's seal. It returns ErrSeal if the seal does not match, and
// keyring.ErrUnknown if the ring has no such key.
func (block *Block) VerifySeal(ring *keyring.Ring) error {
	body, seal := block.Raw[:len(block.Raw)-sealBytes], block.Raw[len(block.Raw)-sealBytes:]
	matches, err := ring.Check(block.KeyID, keyring.ForAudit, seal, body)
	if err == nil && !matches {
		err = ErrSeal
	}
	return err
}

// Head returns the head of the chain that ends with this block.
func (block *Block) Head() Head { return Head{block.Seq, keyring.Digest(block.Raw)} }

// stored is the JSON form of a store's value: a block, pending entries or the trim mark.
type stored struct {
	Raw string `json:"b"`
}

// EncodeValue encodes raw data as a value for the store.
func EncodeValue(raw []byte) json.RawMessage {
	out := make([]byte, 0, EncodedValueLen(len(raw)))
	out = append(out, `{"b":"`...)
	out = base64.StdEncoding.AppendEncode(out, raw)
	return append(out, `"}`...)
}

// EncodedValueLen returns the length of the store's value for n bytes of raw data.
func EncodedValueLen(n int) int { return len(`{"b":""}`) + base64.StdEncoding.EncodedLen(n) }

// DecodeValue decodes the data of a store's value. It accepts only the canonical base64 form, so
// that no two base64 strings decode to the same data.
func DecodeValue(value []byte) ([]byte, error) {
	var wrapper stored
	if err := json.Unmarshal(value, &wrapper); err != nil {
		return nil, fmt.Errorf("audit: value: %w", err)
	}
	raw, err := base64.StdEncoding.Strict().DecodeString(wrapper.Raw)
	if err != nil {
		return nil, fmt.Errorf("audit: value: %w", err)
	}
	return raw, nil
}

// EqualsStored reports whether a store's value holds exactly this block.
func (block *Block) EqualsStored(value []byte) bool {
	raw, err := DecodeValue(value)
	return err == nil && bytes.Equal(raw, block.Raw)
}
