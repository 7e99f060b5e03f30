package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"rillflow/internal/audit"
	"rillflow/internal/keyring"
	"rillflow/internal/ledger"
)

type auditCmd struct {
	Verify auditVerifyCmd `cmd:"" help:"Check that nothing in the record was changed, removed, added or put in another order."`
	Show   auditShowCmd   `cmd:"" help:"Show the record, or what it tells of a job, a person or a machine."`
	Export auditExportCmd `cmd:"" help:"Write the record to segments in a folder, to be kept elsewhere."`
}

type auditVerifyCmd struct {
	auditSource
	Expect string `help:"A head that was written down, NUMBER:DIGEST: the record must contain it." placeholder:"HEAD"`
}

func (c *auditVerifyCmd) Run() error {
	ctx := context.Background()
	session, err := c.openSession()
	if err != nil {
		return err
	}
	var expected audit.Head
	if c.Expect != "" {
		if expected, err = audit.ParseHead(c.Expect); err != nil {
			return err
		}
	}
	// Read the reference before the log: the log grows meanwhile, and a block written after it
	// was read would look like a missing one.
	referringKey, newestBlock, err := c.newestReference(ctx, session)
	if err != nil {
		return err
	}
	history := audit.NewHistory()
	start, headFound := time.Now(), c.Expect == ""
	verifier, found, err := c.read(ctx, session, func(block *audit.Block) {
		headFound = headFound || block.Head() == expected
		for _, entry := range block.Entries {
			history.Add(entry)
		}
	})
	if err != nil {
		return err
	}
	if !headFound {
		found.add(fmt.Errorf("the head %s is not in the record: it was cut off, or written anew", c.Expect))
	}
	checkHistory(history, verifier, &found)
	if newestBlock > verifier.Head().Seq {
		found.add(fmt.Errorf("%s refers to block %d, and the record ends at %d: %w",
			referringKey, newestBlock, verifier.Head().Seq, audit.ErrGap))
	}
	fmt.Printf(
		"%d blocks, %d entries, %d jobs, in %v\nhead %s\n", verifier.Blocks(), history.Entries, len(history.Jobs),
		time.Since(start).Round(time.Millisecond), verifier.Head(),
	)
	if history.Missed > 0 {
		fmt.Printf("%d entries tell that others were left out for lack of room: audit show --act missed\n", history.Missed)
	}
	return printVerdict(found)
}

// checkHistory adds the faults in the histories of jobs. They can only be checked if the log is complete and
// valid.
func checkHistory(history *audit.History, verifier *audit.Verifier, found *faults) {
	if verifier.First() != 1 || len(*found) > 0 {
		fmt.Println("only the blocks were checked: what jobs did cannot be judged by a part of the record")
		return
	}
	for _, job := range history.Jobs {
		for _, fault := range job.Faults {
			found.add(fmt.Errorf("job %s: %s", job.Job, fault))
		}
	}
}

// printVerdict prints the faults, and returns an error if there are any.
func printVerdict(found faults) error {
	if len(found) == 0 {
		fmt.Println("sound")
		return nil
	}
	for _, fault := range found {
		fmt.Println("FAULT", fault)
	}
	return fmt.Errorf("audit log has %d faults", len(found))
}

// newestReference returns the newest block that a claim or an end record refers to, and the
// key of that record. If the audit log ends before this block, its newest blocks are missing.
func (c *auditVerifyCmd) newestReference(
	ctx context.Context, session *session,
) (key string, newestBlock uint64, err error) {
	if c.Offline {
		return "", 0, nil
	}
	for _, prefix := range []string{ledger.ChunkPrefix, ledger.EndedPrefix} {
		items, _, err := session.store.List(ctx, prefix)
		if err != nil {
			return "", 0, err
		}
		for _, item := range items {
			if block := ledger.AuditBlockOf(item.Value); block > newestBlock {
				key, newestBlock = item.Key, block
			}
		}
	}
	return key, newestBlock, nil
}

type auditShowCmd struct {
	auditSource
	Job   string    `help:"Of this job."`
	Who   string    `help:"By this identity; anonymous for those without one."`
	Host  string    `help:"Of this machine."`
	Act   string    `help:"Of this kind: accepted, withdrawn, refused, claimed, lost, stopped, done, returned..."`
	Since time.Time `help:"Not before, as 2026-12-01T20:00:00Z."`
}

func (c *auditShowCmd) Run() error {
	session, err := c.openSession()
	if err != nil {
		return err
	}
	_, found, err := c.read(context.Background(), session, func(block *audit.Block) {
		for _, entry := range block.Entries {
			if c.matches(&entry) {
				fmt.Printf("%8d  %s\n", block.Seq, entry.Describe())
			}
		}
	})
	if err != nil {
		return err
	}
	for _, fault := range found {
		fmt.Println("FAULT", fault)
	}
	if len(found) > 0 {
		return errors.New("audit log has faults")
	}
	return nil
}

func (c *auditShowCmd) matches(entry *audit.Entry) bool {
	actor := entry.Actor
	if actor == "" && entry.Controller != "" {
		actor = "anonymous"
	}
	onHost := entry.Subject == c.Host ||
		slices.ContainsFunc(entry.Tasks, func(task audit.Task) bool { return task.Worker == c.Host })
	return (c.Job == "" || entry.Subject == c.Job || entry.Purpose == c.Job) &&
		(c.Who == "" || actor == c.Who) && (c.Host == "" || onHost) &&
		(c.Act == "" || strings.EqualFold(entry.Action.String(), c.Act)) && !entry.At.Before(c.Since)
}

type auditExportCmd struct {
	settingsFiles
	Dir    string `arg:"" help:"The folder; segments that are there are gone on from."`
	Blocks int    `default:"4096" help:"Blocks in a segment at most."`
	Trim   bool   `help:"Then remove what was exported from the state service, the newest block aside."`
}

func (c *auditExportCmd) Run() error {
	ctx := context.Background()
	session, err := c.openSession()
	if err != nil {
		return err
	}
	if c.Blocks < 1 {
		return errors.New("--blocks must be at least 1")
	}
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		return err
	}
	var found faults
	verifier := audit.NewVerifier(session.ring, audit.Head{})
	if err := readSegments(c.Dir, session.ring, verifier, func(*audit.Block) {}, &found); err != nil {
		return err
	}
	if len(found) > 0 {
		return fmt.Errorf("existing segments have faults: %w", found[0])
	}
	archive, err := audit.Read(ctx, session.store, session.ring)
	if err != nil {
		return err
	}
	if len(archive.Faults) > 0 {
		return fmt.Errorf("audit log not exported: %w", archive.Faults[0])
	}
	if verifier.Blocks() == 0 {
		verifier = audit.NewVerifier(session.ring, archive.TrimmedHead)
	}
	exported := 0
	segment := audit.Segment{Before: verifier.Head()}
	for i, raw := range archive.Blocks {
		if block, err := audit.Open(raw); err == nil && block.Seq <= verifier.Head().Seq {
			continue
		}
		if _, err := verifier.Add(raw); err != nil {
			return fmt.Errorf("audit log not exported: %w", err)
		}
		segment.Blocks, segment.Last = append(segment.Blocks, raw), verifier.Head()
		if len(segment.Blocks) == c.Blocks || i == len(archive.Blocks)-1 {
			if err := c.writeSegment(session.ring, &segment); err != nil {
				return err
			}
			exported += len(segment.Blocks)
			segment = audit.Segment{Before: verifier.Head()}
		}
	}
	fmt.Printf("%d blocks exported, up to %s\n", exported, verifier.Head())
	if !c.Trim {
		return nil
	}
	removed, err := archive.Trim(ctx, session.store, session.ring, verifier.Head().Seq,
		session.settings.Facts.Store.Lowest().TxnOps)
	fmt.Printf("%d blocks removed from the state service\n", removed)
	return err
}

// writeSegment writes a segment to its file and verifies the file, as the exported blocks may
// then be removed from the store.
func (c *auditExportCmd) writeSegment(ring *keyring.Ring, segment *audit.Segment) error {
	raw, err := segment.Encode(ring)
	if err != nil {
		return err
	}
	name := filepath.Join(c.Dir, fmt.Sprintf("%016d-%016d%s", segment.Before.Seq+1, segment.Last.Seq, segmentSuffix))
	file, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(raw)
	if err = errors.Join(err, file.Sync(), file.Close()); err != nil {
		return err
	}
	stored, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	_, err = audit.OpenSegment(ring, stored)
	return err
}
