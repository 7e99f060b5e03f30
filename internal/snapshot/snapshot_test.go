package snapshot

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"rillflow/internal/replica"
)

func tree(keysAndValues ...string) *replica.Tree {
	txn := iradix.New[[]byte]().Txn()
	for i := 0; i < len(keysAndValues); i += 2 {
		txn.Insert([]byte(keysAndValues[i]), []byte(keysAndValues[i+1]))
	}
	return txn.Commit()
}

// format returns the keys and values of a tree as one line.
func format(tree *replica.Tree) string {
	text := ""
	tree.Root().Walk(func(key, value []byte) bool { text += string(key) + "=" + string(value) + " "; return false })
	return text
}

var head = replica.Head{Incarnation: "h1", Epoch: 4, Seq: 9, Revision: 77}

func encode(t testing.TB, snapshot *Snapshot) []byte {
	data, err := snapshot.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// A file with any single bit flipped, or cut to any length, must be refused.
func TestDecodeRefusesAlteredFile(t *testing.T) {
	good := encode(t, Take("a,b", head, time.UnixMilli(5), tree("c/r/0", `{"q":1}`, "j/r", `{"job":{}}`), nil, Sum{}))
	decoded, err := Decode(good)
	if err != nil || decoded.Head.Revision != 77 || decoded.Incarnation != "h1" || decoded.At.UnixMilli() != 5 || len(decoded.Entries) != 2 {
		t.Fatalf("decoded %+v, error %v", decoded, err)
	}
	for i := range good {
		altered := slices.Clone(good)
		altered[i] ^= 1 << (i % 8)
		if _, err := Decode(altered); err == nil {
			t.Fatalf("accepted with byte %d of %d altered", i, len(good))
		}
		if _, err := Decode(good[:i]); err == nil {
			t.Fatalf("accepted when cut to %d bytes", i)
		}
	}
	for _, tc := range []struct {
		name string
		data []byte
		want error
	}{
		{"empty", nil, ErrTruncated},
		{"first half", good[:len(good)/2], ErrTruncated},
		{"file of another kind", []byte("PK\x03\x04 and so on, for as long as it takes to have a hash"), ErrNotSnapshot},
		{"later version", append([]byte(magic+"\x02"), good[len(magic)+1:]...), ErrVersion},
		{"altered byte", append(append(slices.Clone(good[:len(good)-40]), good[len(good)-40]^1), good[len(good)-39:]...), ErrDamaged},
	} {
		if _, err := Decode(tc.data); !errors.Is(err, tc.want) {
			t.Errorf("%s: got error %v, want %v", tc.name, err, tc.want)
		}
	}
}

// Load must restore the newest state that the usable files allow, and name every refused file.
func TestLoadReturnsNewestRestorableState(t *testing.T) {
	states := []*replica.Tree{
		tree("j/a", "1"),
		tree("j/a", "1", "j/b", "2"),
		tree("d/a", "x", "j/b", "2"),
		tree("d/a", "x", "j/b", "3", "j/c", "4"),
		tree("d/a", "x", "d/b", "y", "j/c", "4"),
	}
	// Two incremental snapshots follow a full one: files 1 and 4 are full.
	for _, tc := range []struct {
		name    string
		corrupt func(dir string, names []string)
		want    int // index in states; -1: none
		refused []error
	}{
		{"intact", func(string, []string) {}, 4, nil},
		{"last file damaged", func(dir string, names []string) { damage(t, dir, names[4]) }, 3, []error{ErrDamaged}},
		{"last full snapshot damaged", func(dir string, names []string) { damage(t, dir, names[3]) }, 2, []error{ErrDamaged}},
		{"incremental snapshot cut short", func(dir string, names []string) { damage(t, dir, names[3]); truncate(t, dir, names[2]) }, 1, []error{ErrTruncated, ErrDamaged}},
		{"incremental snapshot missing", func(dir string, names []string) { damage(t, dir, names[3]); remove(t, dir, names[1]) }, 0, []error{ErrDamaged, ErrBase}},
		{"snapshot of another deployment", func(dir string, names []string) {
			writeAtomically(filepath.Join(dir, "000000000009-whole"+fileSuffix), encode(t, Take("others", head, time.Now(), tree("j/z", "9"), nil, Sum{})))
		}, 4, []error{ErrOtherDeployment}},
		{"incremental snapshot of another chain", func(dir string, names []string) {
			writeAtomically(filepath.Join(dir, "000000000009-step"+fileSuffix), encode(t, Take("a,b", head, time.Now(), tree("j/z", "9"), tree(), Sum{1})))
		}, 4, []error{ErrBase}},
		{"no usable file", func(dir string, names []string) {
			for _, name := range names {
				truncate(t, dir, name)
			}
		}, -1, []error{ErrTruncated, ErrTruncated, ErrTruncated, ErrTruncated, ErrTruncated}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			dir := t.TempDir()
			folder := &Folder{Dir: dir, Deployment: "a,b", IncrementalSnapshots: 2, FullSnapshots: 4}
			var names []string
			for i, state := range states {
				stateHead := head
				stateHead.Revision += uint64(i)
				name, err := folder.Save(state, stateHead, time.UnixMilli(int64(i)))
				if err != nil {
					t.Fatal(err)
				}
				names = append(names, name)
			}
			if name, err := folder.Save(states[4], head, time.Now()); name != "" || err != nil {
				t.Errorf("saved %q, error %v; want no file as nothing changed", name, err)
			}
			tc.corrupt(dir, names)
			chain, err := (&Folder{Dir: dir, Deployment: "a,b"}).Load()
			if err != nil {
				t.Fatal(err)
			}
			if tc.want < 0 {
				if chain.Last != nil {
					t.Errorf("got %s, want no state", format(chain.Tree))
				}
			} else if chain.Last == nil || format(chain.Tree) != format(states[tc.want]) || chain.Last.Revision != head.Revision+uint64(tc.want) {
				t.Errorf("got a state from files %v, want state %d", chain.Files, tc.want)
			}
			if len(chain.Refused) != len(tc.refused) {
				t.Fatalf("refused %v, want %v", chain.Refused, tc.refused)
			}
			for i, refused := range chain.Refused {
				if !errors.Is(refused.Err, tc.refused[i]) {
					t.Errorf("%s refused with %v, want %v", refused.File, refused.Err, tc.refused[i])
				}
			}
		})
	}
}

// Saving keeps the configured number of full snapshots with the incremental ones that follow
// them. A new process continues the numbering of the files that it finds.
func TestSavePrunesOldSnapshots(t *testing.T) {
	dir := t.TempDir()
	for run := range 3 {
		folder := &Folder{Dir: dir, Deployment: "a", IncrementalSnapshots: 1, FullSnapshots: 2}
		for round := range 6 {
			if _, err := folder.Save(tree("j/a", fmt.Sprint(run, round)), head, time.Now()); err != nil {
				t.Fatal(err)
			}
		}
	}
	entries, err := os.ReadDir(dir)
	if err != nil || len(entries) != 4 {
		t.Errorf("%d files, error %v, want 4 files", len(entries), err)
	}
	chain, err := (&Folder{Dir: dir, Deployment: "a"}).Load()
	if err != nil || chain.Tree == nil || format(chain.Tree) != "j/a=2 5 " || len(chain.Refused) > 0 {
		t.Errorf("loaded %+v, error %v, want the last saved state", chain, err)
	}
}

func damage(t *testing.T, dir, name string) {
	data, err := os.ReadFile(filepath.Join(dir, name))
	if err != nil {
		t.Fatal(err)
	}
	data[len(data)-36] ^= 4
	if err := os.WriteFile(filepath.Join(dir, name), data, 0o600); err != nil {
		t.Fatal(err)
	}
}

func truncate(t *testing.T, dir, name string) {
	if err := os.Truncate(filepath.Join(dir, name), 30); err != nil {
		t.Fatal(err)
	}
}

func remove(t *testing.T, dir, name string) {
	if err := os.Remove(filepath.Join(dir, name)); err != nil {
		t.Fatal(err)
	}
}

// Decoding arbitrary bytes must not panic, and what it accepts must survive another encoding
// and decoding.
func FuzzDecode(f *testing.F) {
	f.Add(encode(f, Take("a", head, time.UnixMilli(1), tree("j/a", "1", "d/b", "2"), nil, Sum{})))
	f.Add(encode(f, Take("a", head, time.UnixMilli(1), tree("j/a", "2"), tree("j/a", "1", "j/b", "1"), Sum{1})))
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Decode(encode(t, decoded))
		if err != nil || len(again.Entries) != len(decoded.Entries) {
			t.Fatalf("decoded again: error %v", err)
		}
	})
}
