package snapshot

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"rillflow/internal/replica"
)

const suffix = ".rillsnap"

// Folder holds snapshots, the newest last by name.
type Folder struct {
	Dir                  string
	Deployment           string
	IncrementalSnapshots int // snapshots of changes that follow a whole one at most
	FullSnapshots        int // whole ones that are kept, with what follows each

	last   *replica.Tree
	head   replica.Head
	sum    Sum
	number int
	steps  int
}

// Refused is a file that is of no use, and why.
type Refused struct {
	File string
	Err  error
}

// Chain is the newest state that a folder holds.
type Chain struct {
	Tree    *replica.Tree
	Last    *Snapshot // without it nothing was found
	Files   []string  // that it is made of
	Refused []Refused
}

func (f *Folder) files() ([]string, error) {
	es, err := os.ReadDir(f.Dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range es {
		if strings.HasSuffix(e.Name(), suffix) && !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

// Read reads one file, and refuses that of another deployment. Without a deployment of
// its own the folder takes any.
func (f *Folder) Read(name string) (*Snapshot, error) {
	b, err := os.ReadFile(filepath.Join(f.Dir, name))
	if err != nil {
		return nil, err
	}
	s, err := Decode(b)
	if err == nil && f.Deployment != "" && s.Deployment != f.Deployment {
		return nil, fmt.Errorf("%w: %s", ErrForeign, s.Deployment)
	}
	return s, err
}

// Load finds the newest state that can be put together: the last whole snapshot with as
// much of what follows as is in order, or the one before it. It names every file that
// it had to refuse on the way.
func (f *Folder) Load() (Chain, error) {
	var c Chain
	names, err := f.files()
	if err != nil {
		return c, fmt.Errorf("snapshots: %w", err)
	}
	snaps := make([]*Snapshot, len(names))
	for i, n := range names {
		s, err := f.Read(n)
		if err != nil {
			c.Refused = append(c.Refused, Refused{n, err})
			continue
		}
		snaps[i] = s
	}
	for i := len(names) - 1; i >= 0; i-- {
		if snaps[i] == nil || !snaps[i].Whole() {
			continue
		}
		c.Tree, c.Last, c.Files = snaps[i].Onto(nil), snaps[i], []string{names[i]}
		for k := i + 1; k < len(names); k++ {
			s := snaps[k]
			if s == nil || s.Whole() {
				break
			}
			if s.Base != c.Last.Sum || s.Incarnation != c.Last.Incarnation || s.Epoch < c.Last.Epoch {
				c.Refused = append(c.Refused, Refused{names[k], ErrBase})
				break
			}
			c.Tree, c.Last = s.Onto(c.Tree), s
			c.Files = append(c.Files, names[k])
		}
		return c, nil
	}
	return c, nil
}

// Save writes the next snapshot: whole at first, where the copy is of another leader,
// and after as many steps as there may be. Where nothing changed it writes nothing.
func (f *Folder) Save(tree *replica.Tree, head replica.Head, at time.Time) (string, error) {
	if f.number == 0 {
		if err := os.MkdirAll(f.Dir, 0o700); err != nil {
			return "", fmt.Errorf("snapshots: %w", err)
		}
		names, err := f.files()
		if err != nil {
			return "", fmt.Errorf("snapshots: %w", err)
		}
		for _, n := range names {
			var have int
			if _, err := fmt.Sscanf(n, "%d", &have); err == nil {
				f.number = max(f.number, have)
			}
		}
	}
	if f.last == tree {
		return "", nil
	}
	since := f.last
	if f.head.Incarnation != head.Incarnation || f.head.Epoch != head.Epoch || f.steps >= f.IncrementalSnapshots {
		since = nil
	}
	s := Take(f.Deployment, head, at, tree, since, f.sum)
	b, err := s.Encode()
	if err != nil {
		return "", err
	}
	kind := "step"
	if s.Whole() {
		kind = "whole"
	}
	name := fmt.Sprintf("%012d-%s%s", f.number+1, kind, suffix)
	if err := write(filepath.Join(f.Dir, name), b); err != nil {
		return "", fmt.Errorf("snapshots: %w", err)
	}
	f.number++
	f.last, f.head, f.sum = tree, head, s.Sum
	if f.steps++; s.Whole() {
		f.steps = 0
		return name, f.prune()
	}
	return name, nil
}

// write puts a file in place whole or not at all.
func write(path string, b []byte) (err error) {
	t, err := os.CreateTemp(filepath.Dir(path), ".new-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, os.Remove(t.Name()))
		}
	}()
	if _, err = t.Write(b); err == nil {
		err = t.Sync()
	}
	if err = errors.Join(err, t.Close()); err != nil {
		return err
	}
	if err = os.Rename(t.Name(), path); err != nil {
		return err
	}
	d, err := os.Open(filepath.Dir(path))
	if err != nil {
		return nil // the file is in place
	}
	return errors.Join(d.Sync(), d.Close())
}

// prune removes what lies before the whole snapshots that are kept.
func (f *Folder) prune() error {
	names, err := f.files()
	if err != nil {
		return err
	}
	wholes := 0
	for i := len(names) - 1; i >= 0; i-- {
		if wholes >= f.FullSnapshots {
			if err := os.Remove(filepath.Join(f.Dir, names[i])); err != nil && !errors.Is(err, fs.ErrNotExist) {
				return err
			}
		} else if strings.Contains(names[i], "-whole") {
			wholes++
		}
	}
	return nil
}

// Keep saves a copy every so often until ctx ends. A folder that cannot be written is
// told of and tried again: serving goes on.
func (f *Folder) Keep(ctx context.Context, c *replica.Replica, every time.Duration, log *slog.Logger) error {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		tree, head := c.Tree()
		if head.Epoch == 0 || tree.Len() == 0 && f.last == nil {
			continue // nothing was copied yet
		}
		name, err := f.Save(tree, head, time.Now())
		if err != nil {
			log.Error("no snapshot is saved", "err", err)
		} else if name != "" {
			log.Debug("snapshot", "file", name, "generation", head.Revision, "keys", tree.Len())
		}
	}
}
