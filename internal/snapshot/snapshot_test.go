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

func tree(kv ...string) *replica.Tree {
	txn := iradix.New[[]byte]().Txn()
	for i := 0; i < len(kv); i += 2 {
		txn.Insert([]byte(kv[i]), []byte(kv[i+1]))
	}
	return txn.Commit()
}

func show(t *replica.Tree) string {
	s := ""
	t.Root().Walk(func(k, v []byte) bool { s += string(k) + "=" + string(v) + " "; return false })
	return s
}

var head = replica.Head{Incarnation: "h1", Epoch: 4, Seq: 9, Revision: 77}

func file(t testing.TB, s *Snapshot) []byte {
	b, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Every bit of a file counts, and so does its length.
func TestTampered(t *testing.T) {
	good := file(t, Take("a,b", head, time.UnixMilli(5), tree("c/r/0", `{"q":1}`, "j/r", `{"job":{}}`), nil, Sum{}))
	s, err := Decode(good)
	if err != nil || s.Head.Revision != 77 || s.Incarnation != "h1" || s.At.UnixMilli() != 5 || len(s.Entries) != 2 {
		t.Fatalf("%+v, %v", s, err)
	}
	for i := range good {
		bad := slices.Clone(good)
		bad[i] ^= 1 << (i % 8)
		if _, err := Decode(bad); err == nil {
			t.Fatalf("byte %d of %d may be changed", i, len(good))
		}
		if _, err := Decode(good[:i]); err == nil {
			t.Fatalf("cut to %d bytes it is taken", i)
		}
	}
	for _, tc := range []struct {
		name string
		data []byte
		want error
	}{
		{"empty", nil, ErrCut},
		{"half", good[:len(good)/2], ErrCut},
		{"another kind", []byte("PK\x03\x04 and so on, for as long as it takes to have a hash"), ErrKind},
		{"a later version", append([]byte(magic+"\x02"), good[len(magic)+1:]...), ErrVersion},
		{"a changed byte", append(append(slices.Clone(good[:len(good)-40]), good[len(good)-40]^1), good[len(good)-39:]...), ErrDamaged},
	} {
		if _, err := Decode(tc.data); !errors.Is(err, tc.want) {
			t.Errorf("%s: %v, want %v", tc.name, err, tc.want)
		}
	}
}

// The newest state that can be put together, with each file that is of no use named.
func TestFolder(t *testing.T) {
	states := []*replica.Tree{
		tree("j/a", "1"),
		tree("j/a", "1", "j/b", "2"),
		tree("d/a", "x", "j/b", "2"),
		tree("d/a", "x", "j/b", "3", "j/c", "4"),
		tree("d/a", "x", "d/b", "y", "j/c", "4"),
	}
	// Two steps follow a whole one: files 1 and 4 are whole.
	for _, tc := range []struct {
		name    string
		harm    func(dir string, names []string)
		want    int // state
		refused []error
	}{
		{"in order", func(string, []string) {}, 4, nil},
		{"the last is damaged", func(dir string, n []string) { damage(t, dir, n[4]) }, 3, []error{ErrDamaged}},
		{"the last whole one is damaged", func(dir string, n []string) { damage(t, dir, n[3]) }, 2, []error{ErrDamaged}},
		{"a step is cut short", func(dir string, n []string) { damage(t, dir, n[3]); cut(t, dir, n[2]) }, 1, []error{ErrCut, ErrDamaged}},
		{"a step is missing", func(dir string, n []string) { damage(t, dir, n[3]); remove(t, dir, n[1]) }, 0, []error{ErrDamaged, ErrBase}},
		{"one of another deployment among them", func(dir string, n []string) {
			write(filepath.Join(dir, "000000000009-whole"+suffix), file(t, Take("others", head, time.Now(), tree("j/z", "9"), nil, Sum{})))
		}, 4, []error{ErrForeign}},
		{"a step of another chain", func(dir string, n []string) {
			write(filepath.Join(dir, "000000000009-step"+suffix), file(t, Take("a,b", head, time.Now(), tree("j/z", "9"), tree(), Sum{1})))
		}, 4, []error{ErrBase}},
		{"nothing is of use", func(dir string, n []string) {
			for _, f := range n {
				cut(t, dir, f)
			}
		}, -1, []error{ErrCut, ErrCut, ErrCut, ErrCut, ErrCut}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			dir := t.TempDir()
			f := &Folder{Dir: dir, Deployment: "a,b", IncrementalSnapshots: 2, FullSnapshots: 4}
			var names []string
			for i, s := range states {
				h := head
				h.Revision += uint64(i)
				n, err := f.Save(s, h, time.UnixMilli(int64(i)))
				if err != nil {
					t.Fatal(err)
				}
				names = append(names, n)
			}
			if n, err := f.Save(states[4], head, time.Now()); n != "" || err != nil {
				t.Errorf("saved %q though nothing changed: %v", n, err)
			}
			tc.harm(dir, names)
			c, err := (&Folder{Dir: dir, Deployment: "a,b"}).Load()
			if err != nil {
				t.Fatal(err)
			}
			if tc.want < 0 {
				if c.Last != nil {
					t.Errorf("got %s", show(c.Tree))
				}
			} else if c.Last == nil || show(c.Tree) != show(states[tc.want]) || c.Last.Revision != head.Revision+uint64(tc.want) {
				t.Errorf("got %v, want state %d", c.Files, tc.want)
			}
			if len(c.Refused) != len(tc.refused) {
				t.Fatalf("refused %v, want %v", c.Refused, tc.refused)
			}
			for i, r := range c.Refused {
				if !errors.Is(r.Err, tc.refused[i]) {
					t.Errorf("%s is refused as %v, want %v", r.File, r.Err, tc.refused[i])
				}
			}
		})
	}
}

// Only so many whole ones are kept, with what follows; a folder that was used before is
// gone on with.
func TestPrune(t *testing.T) {
	dir := t.TempDir()
	for run := range 3 {
		f := &Folder{Dir: dir, Deployment: "a", IncrementalSnapshots: 1, FullSnapshots: 2}
		for i := range 6 {
			if _, err := f.Save(tree("j/a", fmt.Sprint(run, i)), head, time.Now()); err != nil {
				t.Fatal(err)
			}
		}
	}
	es, err := os.ReadDir(dir)
	if err != nil || len(es) != 4 {
		t.Errorf("%d files, %v", len(es), err)
	}
	c, err := (&Folder{Dir: dir, Deployment: "a"}).Load()
	if err != nil || c.Tree == nil || show(c.Tree) != "j/a=2 5 " || len(c.Refused) > 0 {
		t.Errorf("%+v, %v", c, err)
	}
}

func damage(t *testing.T, dir, name string) {
	b, err := os.ReadFile(filepath.Join(dir, name))
	if err != nil {
		t.Fatal(err)
	}
	b[len(b)-36] ^= 4
	if err := os.WriteFile(filepath.Join(dir, name), b, 0o600); err != nil {
		t.Fatal(err)
	}
}

func cut(t *testing.T, dir, name string) {
	if err := os.Truncate(filepath.Join(dir, name), 30); err != nil {
		t.Fatal(err)
	}
}

func remove(t *testing.T, dir, name string) {
	if err := os.Remove(filepath.Join(dir, name)); err != nil {
		t.Fatal(err)
	}
}

// Whatever a file holds, reading it neither fails nor takes what is not sound.
func FuzzDecode(f *testing.F) {
	f.Add(file(f, Take("a", head, time.UnixMilli(1), tree("j/a", "1", "d/b", "2"), nil, Sum{})))
	f.Add(file(f, Take("a", head, time.UnixMilli(1), tree("j/a", "2"), tree("j/a", "1", "j/b", "1"), Sum{1})))
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Decode(b)
		if err != nil {
			return
		}
		again, err := Decode(file(t, s))
		if err != nil || len(again.Entries) != len(s.Entries) {
			t.Fatalf("%v", err)
		}
	})
}
