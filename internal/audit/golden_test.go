package audit

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"rillflow/internal/goldentest"
	"rillflow/internal/keyring"
)

// goldenRing is a ring of one key that is always the same.
func goldenRing(t *testing.T) *keyring.Ring {
	t.Helper()
	path := filepath.Join(t.TempDir(), "keys")
	if err := os.WriteFile(path, []byte("3 "+strings.Repeat("5a", keyring.Size)+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	ring, err := keyring.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	return ring
}

func goldenEntries(n int) []Entry {
	e := goldentest.Filled[Entry]()
	e.At, e.Action = at, Claimed
	e.Tasks = append(e.Tasks, Task{Index: 2, Attempt: 5, Worker: "i-1"}, Task{Index: 1, Attempt: 6, Worker: "i-1"})
	es := []Entry{e, {At: at.Add(-time.Second), Action: Done, Subject: e.Subject}}
	for i := len(es); i < n; i++ {
		later := at.Add(time.Duration(i) * time.Second)
		es = append(es, Entry{At: later, Action: Accepted, Actor: "ana", Subject: fmt.Sprintf("req-%d", i)})
	}
	return es
}

// Blocks, slips and acts are stored as they are today. The block is small enough not to be
// packed.
func TestGoldenStored(t *testing.T) {
	ring := goldenRing(t)
	head := Head{Seq: 6, Hash: keyring.Digest([]byte("before"))}
	b, err := NewBlock(ring, head, 0, 12, "host-0", at, goldenEntries(2))
	if err != nil {
		t.Fatal(err)
	}
	slip, err := (&PendingEntries{Entries: goldenEntries(2)}).Put(ring, PendingPrefix+"req-1")
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Open(b.Raw); err != nil || !reflect.DeepEqual(got.Entries, b.Entries) || got.Head() != b.Head() {
		t.Errorf("the block reads back as %+v, %v", got, err)
	}
	if got, err := ReadPending(ring, slip.Put, slip.Value); err != nil || !reflect.DeepEqual(got.Entries, b.Entries) {
		t.Errorf("the slip reads back as %+v, %v", got, err)
	}
	var out strings.Builder
	fmt.Fprintf(&out, "%s\t%s\n", BlockKey(b.Seq), Value(b.Raw))
	fmt.Fprintf(&out, "%s\t%s\n%s\n%s\n", slip.Put, slip.Value, TrimKey, b.Head())
	for a := Action(1); int(a) <= len(actionNames); a++ {
		fmt.Fprintf(&out, "%d %s\n", a, a)
	}
	goldentest.Check(t, "stored.txt", out.String())
}

// A packed block and a segment as written today stay readable, seals included. Their bytes
// are the compressors' affair.
func TestGoldenPacked(t *testing.T) {
	ring := goldenRing(t)
	entries := goldenEntries(64)
	raw := goldentest.Read(t, "packed.block", func() []byte {
		b, err := NewBlock(ring, Head{}, 0, 12, "host-0", at, entries)
		if err != nil {
			t.Fatal(err)
		}
		return b.Raw
	})
	b, err := Open(raw)
	if err != nil {
		t.Fatal(err)
	}
	want := Block{Seq: 1, Epoch: 12, Writer: "host-0", At: time.UnixMilli(at.UnixMilli()), Key: 3, Entries: entries, Raw: raw}
	if !reflect.DeepEqual(*b, want) {
		t.Fatalf("reads as %+v", b)
	}
	if err := b.VerifySeal(ring); err != nil {
		t.Error(err)
	}
	if plain := len(encode(entries)); len(raw) >= plain {
		t.Errorf("a block of %d bytes for %d is not packed: the case shows nothing", len(raw), plain)
	}
	segment := &Segment{Last: b.Head(), Blocks: [][]byte{raw}}
	data := goldentest.Read(t, "segment", func() []byte {
		data, err := segment.Encode(ring)
		if err != nil {
			t.Fatal(err)
		}
		return data
	})
	if got, err := OpenSegment(ring, data); err != nil || !reflect.DeepEqual(got, segment) {
		t.Errorf("the segment reads as %+v, %v", got, err)
	}
}
