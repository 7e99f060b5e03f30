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

var at = time.UnixMilli(1_764_600_000_123)

// chain makes a record of some blocks.
func chain(t testing.TB, ring *keyring.Ring, n int) [][]byte {
	var head Head
	var out [][]byte
	for i := range n {
		b, err := NewBlock(ring, head, 0, uint64(1+i/4), "host-0", at, []Entry{
			{At: at, Action: Accepted, Actor: "ana", Controller: "host-1", Subject: fmt.Sprintf("req-%d", i), Team: "museum", Priority: "urgent", Tasks: []Task{{Index: 9}}},
			{At: at.Add(time.Second), Action: Claimed, Subject: fmt.Sprintf("req-%d", i), Tasks: []Task{{0, 1, "i-000001"}, {1, 1, "i-000001"}, {2, 2, "i-000002"}}},
		})
		if err != nil {
			t.Fatal(err)
		}
		head = b.Head()
		out = append(out, b.Raw)
	}
	return out
}

// check verifies a record from its beginning, and returns the first fault.
func check(ring *keyring.Ring, blocks [][]byte) (*Verifier, error) {
	v := NewVerifier(ring, Head{})
	var first error
	for _, raw := range blocks {
		if _, err := v.Add(raw); err != nil && first == nil {
			first = err
		}
	}
	return v, first
}

// What is done to a record shows, by name.
func TestTampering(t *testing.T) {
	ring := keyringtest.New(t)
	whole := chain(t, ring, 8)
	for _, tc := range []struct {
		name   string
		tamper func(b [][]byte) [][]byte
		want   error
		says   string
	}{
		{"nothing", func(b [][]byte) [][]byte { return b }, nil, ""},
		{"one removed", func(b [][]byte) [][]byte { return slices.Delete(b, 3, 4) }, ErrGap, "blocks 4 to 4"},
		{"the beginning removed", func(b [][]byte) [][]byte { return b[2:] }, ErrGap, "blocks 1 to 2"},
		{"two swapped", func(b [][]byte) [][]byte { b[3], b[4] = b[4], b[3]; return b }, ErrGap, "blocks 4 to 4"},
		{"one twice", func(b [][]byte) [][]byte { return slices.Insert(b, 4, b[3]) }, ErrOrder, "block 4 after 4"},
		{"one of another record of the same key", func(b [][]byte) [][]byte {
			other, err := NewBlock(ring, Head{Seq: 4}, 0, 2, "host-0", at, nil)
			if err != nil {
				t.Fatal(err)
			}
			b[4] = other.Raw
			return b
		}, ErrLink, "block 5"},
		{"one written without the key", func(b [][]byte) [][]byte {
			o, _ := Open(b[3])
			other, err := NewBlock(keyringtest.New(t), o.Head(), 0, 2, "host-0", at, nil)
			if err != nil {
				t.Fatal(err)
			}
			b[4] = other.Raw
			return b
		}, ErrSeal, "block 5"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := check(ring, tc.tamper(slices.Clone(whole)))
			if !errors.Is(err, tc.want) || err != nil && !bytes.Contains([]byte(err.Error()), []byte(tc.says)) {
				t.Errorf("got %v, want %v, %q", err, tc.want, tc.says)
			}
		})
	}
}

// A key that was replaced cannot add to the record any more, nor write the past anew:
// the first block under the new one holds it fast.
func TestReplacedKey(t *testing.T) {
	dir := t.TempDir() + "/ring"
	if err := keyring.Init(dir); err != nil {
		t.Fatal(err)
	}
	stolen, err := keyring.Load(dir)
	if err != nil {
		t.Fatal(err)
	}
	blocks := chain(t, stolen, 3)
	if _, err := keyring.Rotate(dir, time.Time{}); err != nil {
		t.Fatal(err)
	}
	ring, err := keyring.Load(dir)
	if err != nil {
		t.Fatal(err)
	}
	last, _ := Open(blocks[2])
	next, err := NewBlock(ring, last.Head(), 0, 2, "host-0", at, nil)
	if err != nil {
		t.Fatal(err)
	}
	blocks = append(blocks, next.Raw)
	if _, err := check(ring, blocks); err != nil {
		t.Fatalf("the rotation itself: %v", err)
	}
	added, err := NewBlock(stolen, next.Head(), 0, 2, "host-0", at, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := check(ring, append(slices.Clone(blocks), added.Raw)); !errors.Is(err, ErrKeyBack) {
		t.Errorf("added under the old key: %v", err)
	}
	forged, err := NewBlock(stolen, Head{Seq: 2, Hash: last.Prev}, 0, 1, "host-0", at, []Entry{{At: at, Action: Done, Subject: "req-0"}})
	if err != nil {
		t.Fatal(err)
	}
	blocks[2] = forged.Raw
	if _, err := check(ring, blocks); !errors.Is(err, ErrLink) {
		t.Errorf("the past written anew: %v", err)
	}
}

// Every change of a single bit of a segment is found, and of every block of it too.
func TestEveryBit(t *testing.T) {
	ring := keyringtest.New(t)
	blocks := chain(t, ring, 3)
	v, err := check(ring, blocks)
	if err != nil {
		t.Fatal(err)
	}
	s := Segment{Last: v.Head(), Blocks: blocks}
	raw, err := s.Encode(ring)
	if err != nil {
		t.Fatal(err)
	}
	back, err := OpenSegment(ring, raw)
	if err != nil {
		t.Fatal(err)
	}
	n, faults := 0, 0
	back.Follow(NewVerifier(ring, Head{}), func(b *Block) { n += len(b.Entries) }, func(error) { faults++ })
	if n != 6 || faults != 0 {
		t.Fatalf("%d entries, %d faults", n, faults)
	}
	for i := range len(raw) * 8 {
		raw[i/8] ^= 1 << (i % 8)
		if _, err := OpenSegment(ring, raw); err == nil {
			t.Fatalf("bit %d of the segment is not found", i)
		}
		raw[i/8] ^= 1 << (i % 8)
	}
	for i := range len(blocks[1]) * 8 {
		blocks[1][i/8] ^= 1 << (i % 8)
		if _, err := check(ring, blocks); err == nil {
			t.Fatalf("bit %d of a block is not found", i)
		}
		blocks[1][i/8] ^= 1 << (i % 8)
	}
}

// A slip holds only where it was put.
func TestSlip(t *testing.T) {
	ring := keyringtest.New(t)
	s := PendingEntries{Entries: []Entry{{At: at, Action: Cancelled, Actor: "ana", Subject: "req-1"}}}
	raw, err := s.Encode(ring, "a/s/req-1")
	if err != nil {
		t.Fatal(err)
	}
	if got, err := OpenPending(ring, "a/s/req-1", raw); err != nil || got.Entries[0].Actor != "ana" {
		t.Errorf("%+v, %v", got, err)
	}
	if _, err := OpenPending(ring, "a/s/req-2", raw); !errors.Is(err, ErrSeal) {
		t.Errorf("moved: %v", err)
	}
	if _, err := OpenPending(keyringtest.New(t), "a/s/req-1", raw); err == nil {
		t.Error("another's seal holds")
	}
}

func entry(t *rapid.T) Entry {
	word := rapid.SampledFrom([]string{"", "ana", "host-0", "req-1", "req-22", "museum", "long " + string(bytes.Repeat([]byte("x"), 300))})
	e := Entry{
		At: at.Add(time.Duration(rapid.IntRange(-1e6, 1e6).Draw(t, "at")) * time.Millisecond), Action: Action(rapid.IntRange(1, int(Trimmed)).Draw(t, "act")),
		Actor: word.Draw(t, "who"), Controller: word.Draw(t, "via"), Subject: word.Draw(t, "on"), Purpose: word.Draw(t, "for"), Reason: word.Draw(t, "why"), Team: word.Draw(t, "owner"), Priority: word.Draw(t, "rank"),
	}
	for range rapid.IntRange(0, 40).Draw(t, "tasks") {
		e.Tasks = append(e.Tasks, Task{rapid.IntRange(0, 100_000).Draw(t, "index"), rapid.Uint64().Draw(t, "try"), word.Draw(t, "host")})
	}
	return e
}

// Entries come back as they went in, however they are parted to fit a value; nothing is
// lost but what is told to be.
func TestEntriesAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := rapid.SliceOfN(rapid.Custom(entry), 1, 12).Draw(t, "entries")
		limit := rapid.IntRange(700, 4000).Draw(t, "limit")
		tasks, missed := 0, 0
		for _, part := range Split(in, limit) {
			if Size(part) > limit {
				t.Fatalf("%d bytes of %d", Size(part), limit)
			}
			out, err := decode(encode(part))
			if err != nil {
				t.Fatal(err)
			}
			for i, e := range out {
				p := part[i]
				if !e.At.Equal(p.At) || e.Action != p.Action || *e.strings()[0] != p.Actor || e.Subject != p.Subject || e.Reason != p.Reason || !slices.Equal(e.Tasks, p.Tasks) {
					t.Fatalf("%+v came back as %+v", p, e)
				}
				tasks += len(e.Tasks)
				if e.Action == Missed && e.Reason == "1" {
					missed++
				}
			}
		}
		for _, e := range in {
			tasks -= len(e.Tasks)
		}
		if tasks != 0 && missed == 0 {
			t.Fatalf("%d tasks too many", tasks)
		}
	})
}

func FuzzOpen(f *testing.F) {
	ring := keyringtest.New(f)
	for _, b := range chain(f, ring, 2) {
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		b, err := Open(raw)
		if err != nil {
			return
		}
		again, err := decode(encode(b.Entries))
		if err != nil || len(again) != len(b.Entries) {
			t.Fatalf("%d entries, then %d, %v", len(b.Entries), len(again), err)
		}
	})
}

func FuzzOpenSegment(f *testing.F) {
	ring := keyringtest.New(f)
	blocks := chain(f, ring, 2)
	v, _ := check(ring, blocks)
	s := Segment{Last: v.Head(), Blocks: blocks}
	raw, err := s.Encode(ring)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		if s, err := OpenSegment(nil, raw); err == nil {
			s.Follow(NewVerifier(ring, Head{}), func(*Block) {}, func(error) {})
		}
	})
}

// BenchmarkVerify checks a million entries in blocks of 16; it reports their size and
// pace.
func BenchmarkVerify(b *testing.B) {
	ring := keyringtest.New(b)
	var head Head
	var blocks [][]byte
	var entries []Entry
	for i := range 16 {
		e := Entry{At: at.Add(time.Duration(i) * time.Millisecond), Action: Claimed, Subject: fmt.Sprintf("req-%06d", i)}
		for k := range 8 {
			e.Tasks = append(e.Tasks, Task{k, 1, fmt.Sprintf("i-%06d", i*8+k)})
		}
		entries = append(entries, e)
	}
	for range 1_000_000 / len(entries) {
		blk, err := NewBlock(ring, head, 0, 1, "host-0", at, entries)
		if err != nil {
			b.Fatal(err)
		}
		head = blk.Head()
		blocks = append(blocks, blk.Raw)
	}
	n := 0
	for b.Loop() {
		if _, err := check(ring, blocks); err != nil {
			b.Fatal(err)
		}
		n += len(blocks) * len(entries)
	}
	b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "entries/s")
	b.ReportMetric(float64(ValueLen(len(blocks[0])))/float64(len(entries)), "B/entry")
}
