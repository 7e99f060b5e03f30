package audit

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rillflow/internal/keyring"
	"rillflow/internal/keyring/keyringtest"
)

var testTime = time.UnixMilli(1_764_600_000_123)

// newChain returns the encoded blocks of a chain of n blocks with two entries each.
func newChain(t testing.TB, ring *keyring.Ring, n int) [][]byte {
	var head Head
	var blocks [][]byte
	for i := range n {
		block, err := NewBlock(ring, head, 0, uint64(1+i/4), "host-0", testTime, []Entry{
			{At: testTime, Action: Accepted, Actor: "ana", Controller: "host-1", Subject: fmt.Sprintf("req-%d", i), Team: "museum", Priority: "urgent", Tasks: []Task{{Index: 9}}},
			{At: testTime.Add(time.Second), Action: Claimed, Subject: fmt.Sprintf("req-%d", i), Tasks: []Task{{0, 1, "i-000001"}, {1, 1, "i-000001"}, {2, 2, "i-000002"}}},
		})
		if err != nil {
			t.Fatal(err)
		}
		head = block.Head()
		blocks = append(blocks, block.Raw)
	}
	return blocks
}

// verifyChain verifies a chain from its beginning, and returns the first fault.
func verifyChain(ring *keyring.Ring, blocks [][]byte) (*Verifier, error) {
	verifier := NewVerifier(ring, Head{})
	var firstFault error
	for _, raw := range blocks {
		if _, err := verifier.Add(raw); err != nil && firstFault == nil {
			firstFault = err
		}
	}
	return verifier, firstFault
}

// Guards against tampering with the log that goes undetected, or is reported as the wrong
// fault or block.
func TestTampering(t *testing.T) {
	ring := keyringtest.New(t)
	intact := newChain(t, ring, 8)
	for _, tc := range []struct {
		name     string
		tamper   func(blocks [][]byte) [][]byte
		want     error
		wantText string
	}{
		{"unchanged", func(blocks [][]byte) [][]byte { return blocks }, nil, ""},
		{"block removed", func(blocks [][]byte) [][]byte { return slices.Delete(blocks, 3, 4) }, ErrGap, "blocks 4 to 4"},
		{"first blocks removed", func(blocks [][]byte) [][]byte { return blocks[2:] }, ErrGap, "blocks 1 to 2"},
		{"blocks swapped", func(blocks [][]byte) [][]byte { blocks[3], blocks[4] = blocks[4], blocks[3]; return blocks }, ErrGap, "blocks 4 to 4"},
		{"block duplicated", func(blocks [][]byte) [][]byte { return slices.Insert(blocks, 4, blocks[3]) }, ErrOrder, "block 4 after 4"},
		{"block of another chain under the same key", func(blocks [][]byte) [][]byte {
			other, err := NewBlock(ring, Head{Seq: 4}, 0, 2, "host-0", testTime, nil)
			if err != nil {
				t.Fatal(err)
			}
			blocks[4] = other.Raw
			return blocks
		}, ErrLink, "block 5"},
		{"block sealed under another key", func(blocks [][]byte) [][]byte {
			previous, _ := Open(blocks[3])
			other, err := NewBlock(keyringtest.New(t), previous.Head(), 0, 2, "host-0", testTime, nil)
			if err != nil {
				t.Fatal(err)
			}
			blocks[4] = other.Raw
			return blocks
		}, ErrSeal, "block 5"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := verifyChain(ring, tc.tamper(slices.Clone(intact)))
			if !errors.Is(err, tc.want) || err != nil && !bytes.Contains([]byte(err.Error()), []byte(tc.wantText)) {
				t.Errorf("got error %v, want %v with %q", err, tc.want, tc.wantText)
			}
		})
	}
}

// Guards against forgery with a stolen key that has been replaced: it must neither extend
// the log nor rewrite blocks before the rotation, to which the first block under the new
// key is linked.
func TestReplacedKey(t *testing.T) {
	path := t.TempDir() + "/ring"
	if err := keyring.Init(path); err != nil {
		t.Fatal(err)
	}
	stolenRing, err := keyring.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	blocks := newChain(t, stolenRing, 3)
	if _, err := keyring.Rotate(path, time.Time{}); err != nil {
		t.Fatal(err)
	}
	ring, err := keyring.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	last, _ := Open(blocks[2])
	next, err := NewBlock(ring, last.Head(), 0, 2, "host-0", testTime, nil)
	if err != nil {
		t.Fatal(err)
	}
	blocks = append(blocks, next.Raw)
	if _, err := verifyChain(ring, blocks); err != nil {
		t.Fatalf("chain across a key rotation: %v", err)
	}
	added, err := NewBlock(stolenRing, next.Head(), 0, 2, "host-0", testTime, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := verifyChain(ring, append(slices.Clone(blocks), added.Raw)); !errors.Is(err, ErrReplacedKey) {
		t.Errorf("block added under the replaced key: got error %v, want %v", err, ErrReplacedKey)
	}
	forged, err := NewBlock(stolenRing, Head{Seq: 2, Hash: last.Prev}, 0, 1, "host-0", testTime, []Entry{{At: testTime, Action: Done, Subject: "req-0"}})
	if err != nil {
		t.Fatal(err)
	}
	blocks[2] = forged.Raw
	if _, err := verifyChain(ring, blocks); !errors.Is(err, ErrLink) {
		t.Errorf("block rewritten under the replaced key: got error %v, want %v", err, ErrLink)
	}
}

// Guards against a part of a segment or block that no check covers: every flip of a single
// bit must be detected.
func TestEveryBitFlipIsDetected(t *testing.T) {
	ring := keyringtest.New(t)
	blocks := newChain(t, ring, 3)
	verifier, err := verifyChain(ring, blocks)
	if err != nil {
		t.Fatal(err)
	}
	segment := Segment{Last: verifier.Head(), Blocks: blocks}
	raw, err := segment.Encode(ring)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := OpenSegment(ring, raw)
	if err != nil {
		t.Fatal(err)
	}
	entries, faults := 0, 0
	decoded.Verify(NewVerifier(ring, Head{}), func(block *Block) { entries += len(block.Entries) }, func(error) { faults++ })
	if entries != 6 || faults != 0 {
		t.Fatalf("got %d entries and %d faults, want 6 entries and no faults", entries, faults)
	}
	for i := range len(raw) * 8 {
		raw[i/8] ^= 1 << (i % 8)
		if _, err := OpenSegment(ring, raw); err == nil {
			t.Fatalf("flipped bit %d of the segment is not detected", i)
		}
		raw[i/8] ^= 1 << (i % 8)
	}
	for i := range len(blocks[1]) * 8 {
		blocks[1][i/8] ^= 1 << (i % 8)
		if _, err := verifyChain(ring, blocks); err == nil {
			t.Fatalf("flipped bit %d of a block is not detected", i)
		}
		blocks[1][i/8] ^= 1 << (i % 8)
	}
}

// Guards against pending entries that are valid at another store key than their own, or
// under the seal of another ring.
func TestPendingEntriesAreBoundToTheirKey(t *testing.T) {
	ring := keyringtest.New(t)
	pending := PendingEntries{Entries: []Entry{{At: testTime, Action: Cancelled, Actor: "ana", Subject: "req-1"}}}
	raw, err := pending.Encode(ring, "a/s/req-1")
	if err != nil {
		t.Fatal(err)
	}
	if got, err := OpenPending(ring, "a/s/req-1", raw); err != nil || got.Entries[0].Actor != "ana" {
		t.Errorf("got %+v, %v, want an entry of ana", got, err)
	}
	if _, err := OpenPending(ring, "a/s/req-2", raw); !errors.Is(err, ErrSeal) {
		t.Errorf("at another store key: got error %v, want %v", err, ErrSeal)
	}
	if _, err := OpenPending(keyringtest.New(t), "a/s/req-1", raw); err == nil {
		t.Error("seal of another ring is accepted")
	}
}

func drawEntry(t *rapid.T) Entry {
	text := rapid.SampledFrom([]string{"", "ana", "host-0", "req-1", "req-22", "museum", "long " + string(bytes.Repeat([]byte("x"), 300))})
	entry := Entry{
		At: testTime.Add(time.Duration(rapid.IntRange(-1e6, 1e6).Draw(t, "at")) * time.Millisecond), Action: Action(rapid.IntRange(1, int(Trimmed)).Draw(t, "action")),
		Actor: text.Draw(t, "actor"), Controller: text.Draw(t, "controller"), Subject: text.Draw(t, "subject"), Purpose: text.Draw(t, "purpose"), Reason: text.Draw(t, "reason"), Team: text.Draw(t, "team"), Priority: text.Draw(t, "priority"),
	}
	for range rapid.IntRange(0, 40).Draw(t, "tasks") {
		entry.Tasks = append(entry.Tasks, Task{rapid.IntRange(0, 100_000).Draw(t, "index"), rapid.Uint64().Draw(t, "attempt"), text.Draw(t, "worker")})
	}
	return entry
}

// Guards against entries that are changed by encoding, and against tasks that Split loses
// without a Missed entry.
func TestSplitKeepsEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := rapid.SliceOfN(rapid.Custom(drawEntry), 1, 12).Draw(t, "entries")
		limit := rapid.IntRange(700, 4000).Draw(t, "limit")
		extraTasks, missed := 0, 0
		for _, part := range Split(in, limit) {
			if EstimateSize(part) > limit {
				t.Fatalf("part takes %d bytes, limit is %d", EstimateSize(part), limit)
			}
			decoded, err := decodeEntries(encodeEntries(part))
			if err != nil {
				t.Fatal(err)
			}
			for i, got := range decoded {
				want := part[i]
				if !got.At.Equal(want.At) || got.Action != want.Action || *got.strings()[0] != want.Actor || got.Subject != want.Subject || got.Reason != want.Reason || !slices.Equal(got.Tasks, want.Tasks) {
					t.Fatalf("got %+v, want %+v", got, want)
				}
				extraTasks += len(got.Tasks)
				if got.Action == Missed && got.Reason == "1" {
					missed++
				}
			}
		}
		for _, entry := range in {
			extraTasks -= len(entry.Tasks)
		}
		if extraTasks != 0 && missed == 0 {
			t.Fatalf("%d more tasks after splitting than before, and no Missed entry", extraTasks)
		}
	})
}

func FuzzOpen(f *testing.F) {
	ring := keyringtest.New(f)
	for _, raw := range newChain(f, ring, 2) {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		block, err := Open(raw)
		if err != nil {
			return
		}
		again, err := decodeEntries(encodeEntries(block.Entries))
		if err != nil || len(again) != len(block.Entries) {
			t.Fatalf("%d entries became %d when encoded again, %v", len(block.Entries), len(again), err)
		}
	})
}

func FuzzOpenSegment(f *testing.F) {
	ring := keyringtest.New(f)
	blocks := newChain(f, ring, 2)
	verifier, _ := verifyChain(ring, blocks)
	segment := Segment{Last: verifier.Head(), Blocks: blocks}
	raw, err := segment.Encode(ring)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		if segment, err := OpenSegment(nil, raw); err == nil {
			segment.Verify(NewVerifier(ring, Head{}), func(*Block) {}, func(error) {})
		}
	})
}

// BenchmarkVerify verifies a million entries in blocks of 16, and reports the entries per
// second and the stored bytes per entry.
func BenchmarkVerify(b *testing.B) {
	ring := keyringtest.New(b)
	var head Head
	var blocks [][]byte
	var entries []Entry
	for i := range 16 {
		entry := Entry{At: testTime.Add(time.Duration(i) * time.Millisecond), Action: Claimed, Subject: fmt.Sprintf("req-%06d", i)}
		for index := range 8 {
			entry.Tasks = append(entry.Tasks, Task{index, 1, fmt.Sprintf("i-%06d", i*8+index)})
		}
		entries = append(entries, entry)
	}
	for range 1_000_000 / len(entries) {
		block, err := NewBlock(ring, head, 0, 1, "host-0", testTime, entries)
		if err != nil {
			b.Fatal(err)
		}
		head = block.Head()
		blocks = append(blocks, block.Raw)
	}
	verified := 0
	for b.Loop() {
		if _, err := verifyChain(ring, blocks); err != nil {
			b.Fatal(err)
		}
		verified += len(blocks) * len(entries)
	}
	b.ReportMetric(float64(verified)/b.Elapsed().Seconds(), "entries/s")
	b.ReportMetric(float64(EncodedValueLen(len(blocks[0])))/float64(len(entries)), "B/entry")
}
