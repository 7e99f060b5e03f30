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

const fileSuffix = ".rillsnap"

// Folder is a directory of snapshot files. Their names begin with a sequence number, so
// that they sort from the oldest to the newest.
type Folder struct {
	Dir                  string
	Deployment           string
	IncrementalSnapshots int // at most this many follow a full snapshot
	FullSnapshots        int // kept, each with the incremental ones that follow it

	// The last saved snapshot; lastNumber is 0 before the first one.
	lastTree     *replica.Tree
	lastHead     replica.Head
	lastSum      Sum
	lastNumber   int // sequence number in its file name
	incrementals int // saved since the last full one
}

// RefusedFile is a file that cannot be used, with the reason.
type RefusedFile struct {
	File string
	Err  error
}

// Chain is the newest state in a folder that can be restored.
type Chain struct {
	Tree    *replica.Tree
	Last    *Snapshot // nil if no snapshot can be used
	Files   []string  // the full snapshot and the incremental ones applied to it
	Refused []RefusedFile
}

func (folder *Folder) files() ([]string, error) {
	entries, err := os.ReadDir(folder.Dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		if strings.HasSuffix(entry.Name(), fileSuffix) && !entry.IsDir() {
			names = append(names, entry.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

// Read decodes one file. It refuses a snapshot of another deployment, unless the folder's
// Deployment is empty.
func (folder *Folder) Read(name string) (*Snapshot, error) {
	data, err := os.ReadFile(filepath.Join(folder.Dir, name))
	if err != nil {
		return nil, err
	}
	snapshot, err := Decode(data)
	if err == nil && folder.Deployment != "" && snapshot.Deployment != folder.Deployment {
		return nil, fmt.Errorf("%w: %s", ErrOtherDeployment, snapshot.Deployment)
	}
	return snapshot, err
}

// Load returns the newest state that can be restored: the last readable full snapshot with
// the unbroken sequence of incremental ones that follows it. It also returns every file
// that it refused.
func (folder *Folder) Load() (Chain, error) {
	var chain Chain
	names, err := folder.files()
	if err != nil {
		return chain, fmt.Errorf("snapshots: %w", err)
	}
	snapshots := make([]*Snapshot, len(names))
	for i, name := range names {
		snapshot, err := folder.Read(name)
		if err != nil {
			chain.Refused = append(chain.Refused, RefusedFile{name, err})
			continue
		}
		snapshots[i] = snapshot
	}
	for i := len(names) - 1; i >= 0; i-- {
		if snapshots[i] == nil || !snapshots[i].IsFull() {
			continue
		}
		chain.Tree, chain.Last, chain.Files = snapshots[i].ApplyTo(nil), snapshots[i], []string{names[i]}
		for next := i + 1; next < len(names); next++ {
			snapshot := snapshots[next]
			if snapshot == nil || snapshot.IsFull() {
				break
			}
			if snapshot.Base != chain.Last.Sum || snapshot.Incarnation != chain.Last.Incarnation ||
				snapshot.Epoch < chain.Last.Epoch {
				chain.Refused = append(chain.Refused, RefusedFile{names[next], ErrBase})
				break
			}
			chain.Tree, chain.Last = snapshot.ApplyTo(chain.Tree), snapshot
			chain.Files = append(chain.Files, names[next])
		}
		return chain, nil
	}
	return chain, nil
}

// Save writes the next snapshot and returns its file name. The snapshot is full if it is
// the first one, if the tree belongs to another incarnation or epoch than the last one, and
// after IncrementalSnapshots incremental ones. If nothing changed, Save writes nothing and
// returns "".
func (folder *Folder) Save(tree *replica.Tree, head replica.Head, takenAt time.Time) (string, error) {
	if folder.lastNumber == 0 {
		if err := os.MkdirAll(folder.Dir, 0o700); err != nil {
			return "", fmt.Errorf("snapshots: %w", err)
		}
		names, err := folder.files()
		if err != nil {
			return "", fmt.Errorf("snapshots: %w", err)
		}
		for _, existing := range names {
			var number int
			if _, err := fmt.Sscanf(existing, "%d", &number); err == nil {
				folder.lastNumber = max(folder.lastNumber, number)
			}
		}
	}
	if folder.lastTree == tree {
		return "", nil
	}
	previous := folder.lastTree
	if folder.lastHead.Incarnation != head.Incarnation || folder.lastHead.Epoch != head.Epoch ||
		folder.incrementals >= folder.IncrementalSnapshots {
		previous = nil
	}
	snapshot := Take(folder.Deployment, head, takenAt, tree, previous, folder.lastSum)
	data, err := snapshot.Encode()
	if err != nil {
		return "", err
	}
	kind := "step"
	if snapshot.IsFull() {
		kind = "whole"
	}
	name := fmt.Sprintf("%012d-%s%s", folder.lastNumber+1, kind, fileSuffix)
	if err := writeAtomically(filepath.Join(folder.Dir, name), data); err != nil {
		return "", fmt.Errorf("snapshots: %w", err)
	}
	folder.lastNumber++
	folder.lastTree, folder.lastHead, folder.lastSum = tree, head, snapshot.Sum
	if folder.incrementals++; snapshot.IsFull() {
		folder.incrementals = 0
		return name, folder.prune()
	}
	return name, nil
}

// writeAtomically creates a file with all of its content or not at all.
func writeAtomically(path string, data []byte) (err error) {
	temp, err := os.CreateTemp(filepath.Dir(path), ".new-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, os.Remove(temp.Name()))
		}
	}()
	if _, err = temp.Write(data); err == nil {
		err = temp.Sync()
	}
	if err = errors.Join(err, temp.Close()); err != nil {
		return err
	}
	if err = os.Rename(temp.Name(), path); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return nil // the file has been renamed already; only the sync of the directory is skipped
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// prune removes the files older than the oldest full snapshot that is to be kept.
func (folder *Folder) prune() error {
	names, err := folder.files()
	if err != nil {
		return err
	}
	fullSnapshots := 0
	for i := len(names) - 1; i >= 0; i-- {
		if fullSnapshots >= folder.FullSnapshots {
			if err := os.Remove(filepath.Join(folder.Dir, names[i])); err != nil && !errors.Is(err, fs.ErrNotExist) {
				return err
			}
		} else if strings.Contains(names[i], "-whole") {
			fullSnapshots++
		}
	}
	return nil
}

// SavePeriodically saves a snapshot of the replica at each interval until ctx ends. A failed
// write is logged and retried at the next interval, so that a full or broken disk does not stop
// the controller.
func (folder *Folder) SavePeriodically(
	ctx context.Context, source *replica.Replica, interval time.Duration, log *slog.Logger,
) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		tree, head := source.Tree()
		if head.Epoch == 0 || tree.Len() == 0 && folder.lastTree == nil {
			continue // the replica is still empty
		}
		name, err := folder.Save(tree, head, time.Now())
		if err != nil {
			log.Error("snapshot not saved", "err", err)
		} else if name != "" {
			log.Debug("snapshot", "file", name, "generation", head.Revision, "keys", tree.Len())
		}
	}
}
