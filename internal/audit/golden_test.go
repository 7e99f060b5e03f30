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

// goldenRing returns a ring with one fixed key.
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
	claimed := goldentest.Filled[Entry]()
	claimed.At, claimed.Action = testTime, Claimed
	claimed.Tasks = append(claimed.Tasks, Task{Index: 2, Attempt: 5, Worker: "i-1"}, Task{Index: 1, Attempt: 6, Worker: "i-1"})
	entries := []Entry{claimed, {At: testTime.Add(-time.Second), Action: Done, Subject: claimed.Subject}}
	for i := len(entries); i < n; i++ {
		later := testTime.Add(time.Duration(i) * time.Second)
		entries = append(entries, Entry{At: later, Action: Accepted, Actor: "ana", Subject: fmt.Sprintf("req-%d", i)})
	}
	return entries
}

// Guards against a change in the stored form of blocks, pending entries and actions, which
// would make existing logs unreadable. The block is too small to be compressed.
func TestGoldenStored(t *testing.T) {
	ring := goldenRing(t)
	head := Head{Seq: 6, Hash: keyring.Digest([]byte("before"))}
	block, err := NewBlock(ring, head, 0, 12, "host-0", testTime, goldenEntries(2))
	if err != nil {
		t.Fatal(err)
	}
	pending, err := (&PendingEntries{Entries: goldenEntries(2)}).Put(ring, PendingPrefix+"req-1")
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Open(block.Raw); err != nil || !reflect.DeepEqual(got.Entries, block.Entries) || got.Head() != block.Head() {
		t.Errorf("block decoded as %+v, %v, want %+v", got, err, block)
	}
	if got, err := ReadPending(ring, pending.Put, pending.Value); err != nil || !reflect.DeepEqual(got.Entries, block.Entries) {
		t.Errorf("pending entries decoded as %+v, %v, want %+v", got, err, block.Entries)
	}
	var out strings.Builder
	fmt.Fprintf(&out, "%s\t%s\n", BlockKey(block.Seq), EncodeValue(block.Raw))
	fmt.Fprintf(&out, "%s\t%s\n%s\n%s\n", pending.Put, pending.Value, TrimKey, block.Head())
	for action := Action(1); int(action) <= len(actionNames); action++ {
		fmt.Fprintf(&out, "%d %s\n", action, action)
	}
	goldentest.Check(t, "stored.txt", out.String())
}

// Guards against a change that makes existing compressed blocks or segments unreadable or
// their seals invalid. Their exact bytes depend on the compressors and are not compared.
func TestGoldenCompressed(t *testing.T) {
	ring := goldenRing(t)
	entries := goldenEntries(64)
	raw := goldentest.Read(t, "packed.block", func() []byte {
		block, err := NewBlock(ring, Head{}, 0, 12, "host-0", testTime, entries)
		if err != nil {
			t.Fatal(err)
		}
		return block.Raw
	})
	block, err := Open(raw)
	if err != nil {
		t.Fatal(err)
	}
	want := Block{Seq: 1, Epoch: 12, Writer: "host-0", At: time.UnixMilli(testTime.UnixMilli()), KeyID: 3, Entries: entries, Raw: raw}
	if !reflect.DeepEqual(*block, want) {
		t.Fatalf("block decoded as %+v, want %+v", block, want)
	}
	if err := block.VerifySeal(ring); err != nil {
		t.Error(err)
	}
	if uncompressedBytes := len(encodeEntries(entries)); len(raw) >= uncompressedBytes {
		t.Errorf("block of %d bytes for %d bytes of entries is not compressed, so the test checks nothing", len(raw), uncompressedBytes)
	}
	segment := &Segment{Last: block.Head(), Blocks: [][]byte{raw}}
	data := goldentest.Read(t, "segment", func() []byte {
		data, err := segment.Encode(ring)
		if err != nil {
			t.Fatal(err)
		}
		return data
	})
	if got, err := OpenSegment(ring, data); err != nil || !reflect.DeepEqual(got, segment) {
		t.Errorf("segment decoded as %+v, %v, want %+v", got, err, segment)
	}
}
