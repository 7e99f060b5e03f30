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
	files
	Dir string `arg:"" help:"The folder; a new whole snapshot is added to it."`
}

func (c *snapshotSaveCmd) Run() error {
	set, err := settings.Load(c.Config, c.Operator)
	if err != nil {
		return err
	}
	d := net.Dialer{Timeout: set.HeartbeatInterval()}
	least := set.Facts.Store
	st := kvstore.New(kvstore.Options{
		Addr: set.Services.Store, RequestsPerSecond: least.RPS / 8,
		Limits:  kvstore.Limits{WritesPerSecond: 1, MaxValueBytes: int(least.ValueKB * 1024)},
		Timeout: 2 * set.HeartbeatInterval(), Dial: d.DialContext,
	})
	ctx, cancel := context.WithTimeout(context.Background(), 10*set.WorkerLease())
	defer cancel()
	tree, head, err := replica.ReadStore(ctx, st)
	if err != nil {
		return err
	}
	f := snapshot.Folder{
		Dir: c.Dir, Deployment: set.DeploymentName(),
		FullSnapshots: max(2, set.Operator.Recovery.FullSnapshots),
	}
	name, err := f.Save(tree, head, time.Now())
	if err != nil {
		return err
	}
	fmt.Printf(
		"saved %s: generation %d, epoch %d, %s\n", filepath.Join(c.Dir, name), head.Revision, head.Epoch,
		counts(tree),
	)
	return nil
}

// counts tells how much a tree holds.
func counts(t *replica.Tree) string {
	n := map[string]int{}
	t.Root().Walk(func(k, _ []byte) bool {
		p, _, _ := bytes.Cut(k, []byte("/"))
		n[string(p)+"/"]++
		return false
	})
	return fmt.Sprintf(
		"%d jobs alive, %d chunks of claims, %d ends", n[ledger.LivePrefix], n[ledger.ChunkPrefix],
		n[ledger.EndedPrefix],
	)
}

type snapshotVerifyCmd struct {
	Dir    string `arg:"" help:"The folder."`
	Config string `help:"The platform's settings file: snapshots of another deployment are refused." placeholder:"FILE"`
}

func (c *snapshotVerifyCmd) Run() error {
	ch, err := load(c.Dir, c.Config)
	if err != nil {
		return err
	}
	for _, r := range ch.Refused {
		fmt.Printf("%s: refused: %v\n", r.File, r.Err)
	}
	if ch.Last == nil {
		return errors.New("no snapshot is of use")
	}
	fmt.Printf("state of %s (generation %d, epoch %d, history %s) from %s: %s\n",
		ch.Last.At.UTC().Format(time.RFC3339), ch.Last.Revision, ch.Last.Epoch, ch.Last.Incarnation,
		strings.Join(ch.Files, ", "), counts(ch.Tree))
	if len(ch.Refused) > 0 {
		return fmt.Errorf("%d snapshots refused", len(ch.Refused))
	}
	return nil
}

func load(dir, config string) (snapshot.Chain, error) {
	f := snapshot.Folder{Dir: dir}
	if config != "" {
		set, err := settings.Load(config, "")
		if err != nil {
			return snapshot.Chain{}, err
		}
		f.Deployment = set.DeploymentName()
	}
	return f.Load()
}

type snapshotShowCmd struct {
	Dir string `arg:"" help:"The folder."`
	Job string `help:"Show one job only." placeholder:"REF"`
}

func (c *snapshotShowCmd) Run() error {
	ch, err := load(c.Dir, "")
	if err != nil {
		return err
	}
	if ch.Last == nil {
		return errors.New("no snapshot is of use; verify tells why")
	}
	shown := 0
	ch.Tree.Root().Walk(func(k, v []byte) bool {
		_, ref, _ := strings.Cut(string(k), "/")
		ref, _, _ = strings.Cut(ref, "/")
		if c.Job == "" || ref == c.Job {
			shown++
			fmt.Fprintf(os.Stdout, "%s %s\n", k, v)
		}
		return false
	})
	if shown == 0 && c.Job != "" {
		return fmt.Errorf("nothing is known of %s", c.Job)
	}
	return nil
}
