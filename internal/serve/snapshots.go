package serve

import (
	"context"
	"errors"
	"io/fs"
	"path/filepath"
	"time"

	"rillflow/internal/snapshot"
)

// openSnapshots returns the folder of this controller's snapshots, or nil if snapshots are
// off. It loads the newest one as the replica of an earlier process, which does no harm if
// the store still holds the same data.
func (controller *controller) openSnapshots() *snapshot.Folder {
	recovery := controller.settings.Operator.Recovery
	if recovery.SnapshotFolder == "" {
		return nil
	}
	folder := &snapshot.Folder{
		Dir:                  filepath.Join(recovery.SnapshotFolder, controller.settings.Name),
		Deployment:           controller.settings.DeploymentName(),
		IncrementalSnapshots: recovery.IncrementalSnapshots, FullSnapshots: recovery.FullSnapshots,
	}
	controller.loadSnapshot(folder)
	return folder
}

func (controller *controller) loadSnapshot(folder *snapshot.Folder) {
	loaded, err := folder.Load()
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		controller.log.Error("snapshots unreadable", "err", err)
	}
	for _, refused := range loaded.Refused {
		controller.log.Error("snapshot refused", "file", refused.File, "err", refused.Err)
	}
	if loaded.Last == nil {
		return
	}
	controller.log.Info("snapshot loaded", "files", loaded.Files, "incarnation", loaded.Last.Incarnation,
		"revision", loaded.Last.Revision, "keys", loaded.Tree.Len(), "age_s", time.Since(loaded.Last.At).Seconds())
	controller.elector.ObserveEpoch(loaded.Last.Epoch)
	controller.replica.LoadPrevious(loaded.Tree)
}

func (controller *controller) writeSnapshots(ctx context.Context, folder *snapshot.Folder) error {
	interval := controller.settings.Operator.Recovery.SnapshotInterval * float64(controller.settings.WorkerLease())
	return folder.SavePeriodically(ctx, controller.replica, time.Duration(interval), controller.log)
}
