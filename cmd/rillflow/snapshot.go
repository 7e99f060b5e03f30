package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/replica"
	"rillflow/internal/settings"
	"rillflow/internal/snapshot"
)

type snapshotCmd struct {
	Save   snapshotSaveCmd   `cmd:"" help:"Save what the state service holds now."`
	Verify snapshotVerifyCmd `cmd:"" help:"Check every snapshot of a folder, and tell which state could be put together."`
	Show   snapshotShowCmd   `cmd:"" help:"Show what a folder's newest state holds."`
}

type snapshotSaveCmd struct {
	settingsFiles
	Dir string `arg:"" help:"The folder; a new whole snapshot is added to it."`
}

func (c *snapshotSaveCmd) Run() error {
	config, err := settings.Load(c.Config, c.Operator)
	if err != nil {
		return err
	}
	dialer := net.Dialer{Timeout: config.HeartbeatInterval()}
	limits := config.Facts.Store.Lowest()
	store := kvstore.New(kvstore.Options{
		Addr: config.Services.Store, RequestsPerSecond: limits.RPS / 8,
		Limits:  kvstore.Limits{WritesPerSecond: 1, MaxValueBytes: int(limits.ValueKB * 1024)},
		Timeout: 2 * config.HeartbeatInterval(), Dial: dialer.DialContext,
	})
	ctx, cancel := context.WithTimeout(context.Background(), 10*config.WorkerLease())
	defer cancel()
	tree, head, err := replica.ReadStore(ctx, store)
	if err != nil {
		return err
	}
	folder := snapshot.Folder{
		Dir: c.Dir, Deployment: config.DeploymentName(),
		FullSnapshots: max(2, config.Operator.Recovery.FullSnapshots),
	}
	name, err := folder.Save(tree, head, time.Now())
	if err != nil {
		return err
	}
	fmt.Printf(
		"saved %s: generation %d, epoch %d, %s\n", filepath.Join(c.Dir, name), head.Revision, head.Epoch,
		countsByKind(tree),
	)
	return nil
}

// countsByKind describes how many live jobs, claim chunks and end records a tree holds.
func countsByKind(tree *replica.Tree) string {
	counts := map[string]int{}
	tree.Root().Walk(func(key, _ []byte) bool {
		prefix, _, _ := bytes.Cut(key, []byte("/"))
		counts[string(prefix)+"/"]++
		return false
	})
	return fmt.Sprintf(
		"%d jobs alive, %d chunks of claims, %d ends", counts[ledger.LivePrefix], counts[ledger.ChunkPrefix],
		counts[ledger.EndedPrefix],
	)
}

type snapshotVerifyCmd struct {
	Dir    string `arg:"" help:"The folder."`
	Config string `help:"The platform's settings file: snapshots of another deployment are refused." placeholder:"FILE"`
}

func (c *snapshotVerifyCmd) Run() error {
	chain, err := loadChain(c.Dir, c.Config)
	if err != nil {
		return err
	}
	for _, refused := range chain.Refused {
		fmt.Printf("%s: refused: %v\n", refused.File, refused.Err)
	}
	if chain.Last == nil {
		return errors.New("no usable snapshot")
	}
	fmt.Printf("state of %s (generation %d, epoch %d, history %s) from %s: %s\n",
		chain.Last.At.UTC().Format(time.RFC3339), chain.Last.Revision, chain.Last.Epoch, chain.Last.Incarnation,
		strings.Join(chain.Files, ", "), countsByKind(chain.Tree))
	if len(chain.Refused) > 0 {
		return fmt.Errorf("%d snapshots refused", len(chain.Refused))
	}
	return nil
}

// loadChain restores the newest state of a directory. If a settings file is given, snapshots
// of other deployments are refused.
func loadChain(dir, settingsFile string) (snapshot.Chain, error) {
	folder := snapshot.Folder{Dir: dir}
	if settingsFile != "" {
		config, err := settings.Load(settingsFile, "")
		if err != nil {
			return snapshot.Chain{}, err
		}
		folder.Deployment = config.DeploymentName()
	}
	return folder.Load()
}

type snapshotShowCmd struct {
	Dir string `arg:"" help:"The folder."`
	Job string `help:"Show one job only." placeholder:"REF"`
}

func (c *snapshotShowCmd) Run() error {
	chain, err := loadChain(c.Dir, "")
	if err != nil {
		return err
	}
	if chain.Last == nil {
		return errors.New("no usable snapshot; `rillflow snapshot verify` shows why")
	}
	shown := 0
	chain.Tree.Root().Walk(func(key, value []byte) bool {
		_, job, _ := strings.Cut(string(key), "/")
		job, _, _ = strings.Cut(job, "/")
		if c.Job == "" || job == c.Job {
			shown++
			fmt.Fprintf(os.Stdout, "%s %s\n", key, value)
		}
		return false
	})
	if shown == 0 && c.Job != "" {
		return fmt.Errorf("no keys of job %s in the snapshot", c.Job)
	}
	return nil
}
