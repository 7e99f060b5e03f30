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

// Keys of the store. Blocks are named so that the newest comes first in a
// list: a new leader finds the end of the chain by reading one key.
const (
	BlockPrefix   = "a/b/"
	PendingPrefix = "a/s/"
	TrimKey       = "a/trim"
)

// BlockKey is the key of a block.
func BlockKey(seq uint64) string { return fmt.Sprintf("%s%016x", BlockPrefix, math.MaxUint64-seq) }

// BlockSeq reads a block's number from its key.
func BlockSeq(key string) (uint64, bool) {
	n, err := strconv.ParseUint(strings.TrimPrefix(key, BlockPrefix), 16, 64)
	return math.MaxUint64 - n, err == nil && strings.HasPrefix(key, BlockPrefix)
}

// Head is the end of a chain: how many blocks it has, and the last one's digest.
type Head struct {
	Seq  uint64
	Hash [keyring.Size]byte
}

// String gives a head in the form that operators write down.
func (h Head) String() string { return fmt.Sprintf("%d:%x", h.Seq, h.Hash) }

// ParseHead reads what String wrote.
func ParseHead(s string) (h Head, err error) {
	seq, digits, _ := strings.Cut(s, ":")
	hash, err := hex.DecodeString(digits)
	n, err2 := strconv.ParseUint(seq, 10, 64)
	if err != nil || err2 != nil || len(hash) != len(h.Hash) {
		return h, errors.New("a head is a number, a colon and 64 hexadecimal digits")
	}
	copy(h.Hash[:], hash)
	h.Seq = n
	return h, nil
}

// Block is a link of the chain.
type Block struct {
	Seq     uint64 // from 1, without a gap
	Epoch   uint64 // of the leader that wrote it
	Writer  string // the controller that wrote it
	At      time.Time
	Prev    [keyring.Size]byte // digest of the block before, seal included
	Key     uint32             // of the ring, that seals it
	Entries []Entry
	Raw     []byte // as sealed
}

// A block is: format (1 byte), key (4), number (8), epoch (8), time in milliseconds
// (8), digest of the block before (32), writer, entries compressed or not, seal (32).
const (
	format          = 1
	blockFixedBytes = 1 + 4 + 8 + 8 + 8 + keyring.Size
	sealBytes       = keyring.Size
)

// ErrSeal says that a seal does not match what it seals.
var ErrSeal = errors.New("audit: the seal does not hold")

// NewBlock seals a block that follows a head, under the ring's newest key, or the one given
// if that is newer: no block is sealed under an older key than the one before, whatever
// the clocks of two leaders say.
func NewBlock(
	ring *keyring.Ring, head Head, minKey uint32, epoch uint64, writer string, at time.Time, entries []Entry,
) (*Block, error) {
	block := &Block{
		Seq: head.Seq + 1, Epoch: epoch, Writer: writer, At: at, Prev: head.Hash,
		Key: max(ring.Newest(), minKey), Entries: entries,
	}
	raw := make([]byte, 0, 256)
	raw = append(raw, format)
	raw = binary.BigEndian.AppendUint32(raw, block.Key)
	raw = binary.BigEndian.AppendUint64(raw, block.Seq)
	raw = binary.BigEndian.AppendUint64(raw, block.Epoch)
	raw = binary.BigEndian.AppendUint64(raw, uint64(at.UnixMilli()))
	raw = append(raw, block.Prev[:]...)
	e := codec.Encoder{B: raw}
	e.Str(writer)
	body := encode(entries)
	packed := compress(body)
	e.Bool(len(packed) < len(body))
	if len(packed) < len(body) {
		body = packed
	}
	e.Bytes(body)
	seal, err := ring.Seal(block.Key, keyring.ForAudit, e.B)
	if err != nil {
		return nil, err
	}
	block.Raw = append(e.B, seal[:]...)
	return block, nil
}

// Open reads a block without a look at its seal.
func Open(raw []byte) (*Block, error) {
	if len(raw) < blockFixedBytes+sealBytes || raw[0] != format {
		return nil, fmt.Errorf("audit: block: %w", codec.ErrFormat)
	}
	b := &Block{
		Key: binary.BigEndian.Uint32(raw[1:]), Seq: binary.BigEndian.Uint64(raw[5:]),
		Epoch: binary.BigEndian.Uint64(raw[13:]),
		At:    time.UnixMilli(int64(binary.BigEndian.Uint64(raw[21:]))), Prev: [keyring.Size]byte(raw[29:]), Raw: raw,
	}
	d := codec.Decoder{B: raw[blockFixedBytes : len(raw)-sealBytes]}
	b.Writer = d.Str()
	packed, body := d.Bool(), d.Bytes()
	if err := d.Done(); err != nil {
		return nil, fmt.Errorf("audit: block %d: %w", b.Seq, err)
	}
	var err error
	if packed {
		if body, err = decompress(body); err != nil {
			return nil, fmt.Errorf("audit: block %d: %w", b.Seq, err)
		}
	}
	if b.Entries, err = decode(body); err != nil {
		return nil, fmt.Errorf("audit: block %d: %w", b.Seq, err)
	}
	return b, nil
}

// VerifySeal checks a block's seal. A ring without the key cannot tell.
func (block *Block) VerifySeal(ring *keyring.Ring) error {
	body, seal := block.Raw[:len(block.Raw)-sealBytes], block.Raw[len(block.Raw)-sealBytes:]
	ok, err := ring.Check(block.Key, keyring.ForAudit, seal, body)
	if err == nil && !ok {
		err = ErrSeal
	}
	return err
}

// Head is the chain's end with this block as its last.
func (block *Block) Head() Head { return Head{block.Seq, keyring.Digest(block.Raw)} }

// stored is a block, pending entries or a mark as the store has it.
type stored struct {
	Raw string `json:"b"`
}

// Value is raw data as the store keeps it.
func Value(raw []byte) json.RawMessage {
	out := make([]byte, 0, ValueLen(len(raw)))
	out = append(out, `{"b":"`...)
	out = base64.StdEncoding.AppendEncode(out, raw)
	return append(out, `"}`...)
}

// ValueLen is how long the value of so many bytes is.
func ValueLen(n int) int { return len(`{"b":""}`) + base64.StdEncoding.EncodedLen(n) }

// Raw takes the data out of a value. There is only one text for each.
func Raw(value []byte) ([]byte, error) {
	var s stored
	if err := json.Unmarshal(value, &s); err != nil {
		return nil, fmt.Errorf("audit: value: %w", err)
	}
	raw, err := base64.StdEncoding.Strict().DecodeString(s.Raw)
	if err != nil {
		return nil, fmt.Errorf("audit: value: %w", err)
	}
	return raw, nil
}

// EqualsStored tells whether a value holds exactly a block.
func (block *Block) EqualsStored(value []byte) bool {
	raw, err := Raw(value)
	return err == nil && bytes.Equal(raw, block.Raw)
}
