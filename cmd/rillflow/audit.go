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

// source is where a record is read from: segments in a folder, then the state service.
type source struct {
	files
	Segments string `help:"A folder of exported segments, that come before what the state service has." placeholder:"DIR"`
	Offline  bool   `help:"Read the segments alone."`
}

// faults are what was found wrong with a record.
type faults []error

func (f *faults) add(err error) { *f = append(*f, err) }

// read goes through the record in order.
func (s *source) read(ctx context.Context, d *desk, each func(*audit.Block)) (*audit.Verifier, faults, error) {
	var found faults
	v := audit.NewVerifier(d.ring, audit.Head{})
	if s.Segments != "" {
		if err := segments(s.Segments, d.ring, v, each, &found); err != nil {
			return nil, nil, err
		}
	}
	if s.Offline {
		return v, found, nil
	}
	a, err := audit.Read(ctx, d.st, d.ring)
	if err != nil {
		return nil, nil, err
	}
	for _, f := range a.Found {
		found.add(f)
	}
	if s.Segments == "" {
		v = audit.NewVerifier(d.ring, a.Before)
	} else if v.Head().Seq < a.Before.Seq {
		found.add(fmt.Errorf("blocks %d to %d, trimmed after their export, are in no segment here: %w",
			v.Head().Seq+1, a.Before.Seq, audit.ErrGap))
		v = audit.NewVerifier(d.ring, a.Before)
	}
	for _, raw := range a.Blocks {
		if b, err := audit.Open(raw); err == nil && b.Seq <= v.Head().Seq && s.Segments != "" {
			continue // exported, and not trimmed yet
		}
		b, err := v.Add(raw)
		if err != nil {
			found.add(err)
			continue
		}
		each(b)
	}
	return v, found, nil
}

func segments(dir string, ring *keyring.Ring, v *audit.Verifier, each func(*audit.Block), found *faults) error {
	names, err := filepath.Glob(filepath.Join(dir, "*"+segmentSuffix))
	if err != nil {
		return err
	}
	slices.Sort(names)
	for _, n := range names {
		raw, err := os.ReadFile(n)
		if err != nil {
			return err
		}
		s, err := audit.OpenSegment(ring, raw)
		if err != nil {
			found.add(fmt.Errorf("%s: %w", filepath.Base(n), err))
			continue
		}
		s.Follow(v, each, func(err error) { found.add(fmt.Errorf("%s: %w", filepath.Base(n), err)) })
	}
	return nil
}

const segmentSuffix = ".rfseg"

type auditVerifyCmd struct {
	source
	Expect string `help:"A head that was written down, NUMBER:DIGEST: the record must contain it." placeholder:"HEAD"`
}

func (c *auditVerifyCmd) Run() error {
	ctx := context.Background()
	d, err := c.desk()
	if err != nil {
		return err
	}
	var want audit.Head
	if c.Expect != "" {
		if want, err = audit.ParseHead(c.Expect); err != nil {
			return err
		}
	}
	// First what refers to the record: it goes on growing meanwhile.
	key, last, err := c.referred(ctx, d)
	if err != nil {
		return err
	}
	h := audit.NewHistory()
	began, met := time.Now(), c.Expect == ""
	v, found, err := c.read(ctx, d, func(b *audit.Block) {
		met = met || b.Head() == want
		for _, e := range b.Entries {
			h.Add(e)
		}
	})
	if err != nil {
		return err
	}
	if !met {
		found.add(fmt.Errorf("the head %s is not in the record: it was cut off, or written anew", c.Expect))
	}
	// What jobs did is judged where all of it is there.
	if whole := v.First() == 1 && len(found) == 0; whole {
		for _, s := range h.Jobs {
			for _, f := range s.Faults {
				found.add(fmt.Errorf("job %s: %s", s.Job, f))
			}
		}
	} else {
		fmt.Println("only the blocks were checked: what jobs did cannot be judged by a part of the record")
	}
	if last > v.Head().Seq {
		found.add(fmt.Errorf("%s refers to block %d, and the record ends at %d: %w", key, last, v.Head().Seq, audit.ErrGap))
	}
	fmt.Printf(
		"%d blocks, %d entries, %d jobs, in %v\nhead %s\n", v.Blocks(), h.Entries, len(h.Jobs),
		time.Since(began).Round(time.Millisecond), v.Head(),
	)
	if h.Missed > 0 {
		fmt.Printf("%d entries tell that others were left out for lack of room: audit show --act missed\n", h.Missed)
	}
	if len(found) == 0 {
		fmt.Println("sound")
		return nil
	}
	for _, f := range found {
		fmt.Println("FAULT", f)
	}
	return fmt.Errorf("%d faults", len(found))
}

// referred finds the newest block that a claim or an end refers to. Should the record
// end before it, its newest blocks are gone.
func (c *auditVerifyCmd) referred(ctx context.Context, d *desk) (key string, last uint64, err error) {
	if c.Offline {
		return "", 0, nil
	}
	for _, under := range []string{ledger.ChunkPrefix, ledger.EndedPrefix} {
		items, _, err := d.st.List(ctx, under)
		if err != nil {
			return "", 0, err
		}
		for _, it := range items {
			if n := ledger.AuditBlockOf(it.Value); n > last {
				key, last = it.Key, n
			}
		}
	}
	return key, last, nil
}

type auditShowCmd struct {
	source
	Job   string    `help:"Of this job."`
	Who   string    `help:"By this identity; anonymous for those without one."`
	Host  string    `help:"Of this machine."`
	Act   string    `help:"Of this kind: accepted, withdrawn, refused, claimed, lost, stopped, done, returned..."`
	Since time.Time `help:"Not before, as 2026-12-01T20:00:00Z."`
}

func (c *auditShowCmd) Run() error {
	d, err := c.desk()
	if err != nil {
		return err
	}
	_, found, err := c.read(context.Background(), d, func(b *audit.Block) {
		for _, e := range b.Entries {
			if c.wants(&e) {
				fmt.Printf("%8d  %s\n", b.Seq, e.Describe())
			}
		}
	})
	if err != nil {
		return err
	}
	for _, f := range found {
		fmt.Println("FAULT", f)
	}
	if len(found) > 0 {
		return errors.New("the record is not sound")
	}
	return nil
}

func (c *auditShowCmd) wants(e *audit.Entry) bool {
	who := e.Actor
	if who == "" && e.Controller != "" {
		who = "anonymous"
	}
	onHost := e.Subject == c.Host || slices.ContainsFunc(e.Tasks, func(t audit.Task) bool { return t.Worker == c.Host })
	return (c.Job == "" || e.Subject == c.Job || e.Purpose == c.Job) &&
		(c.Who == "" || who == c.Who) && (c.Host == "" || onHost) &&
		(c.Act == "" || strings.EqualFold(e.Action.String(), c.Act)) && !e.At.Before(c.Since)
}

type auditExportCmd struct {
	files
	Dir    string `arg:"" help:"The folder; segments that are there are gone on from."`
	Blocks int    `default:"4096" help:"Blocks in a segment at most."`
	Trim   bool   `help:"Then remove what was exported from the state service, the newest block aside."`
}

func (c *auditExportCmd) Run() error {
	ctx := context.Background()
	d, err := c.desk()
	if err != nil {
		return err
	}
	if c.Blocks < 1 {
		return errors.New("a segment has at least one block")
	}
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		return err
	}
	var found faults
	v := audit.NewVerifier(d.ring, audit.Head{})
	if err := segments(c.Dir, d.ring, v, func(*audit.Block) {}, &found); err != nil {
		return err
	}
	if len(found) > 0 {
		return fmt.Errorf("the segments that are there are not sound: %w", found[0])
	}
	a, err := audit.Read(ctx, d.st, d.ring)
	if err != nil {
		return err
	}
	if len(a.Found) > 0 {
		return fmt.Errorf("not exported: %w", a.Found[0])
	}
	if v.Blocks() == 0 {
		v = audit.NewVerifier(d.ring, a.Before)
	}
	n := 0
	seg := audit.Segment{Before: v.Head()}
	for i, raw := range a.Blocks {
		if b, err := audit.Open(raw); err == nil && b.Seq <= v.Head().Seq {
			continue
		}
		if _, err := v.Add(raw); err != nil {
			return fmt.Errorf("not exported: %w", err)
		}
		seg.Blocks, seg.Last = append(seg.Blocks, raw), v.Head()
		if len(seg.Blocks) == c.Blocks || i == len(a.Blocks)-1 {
			if err := c.write(d.ring, &seg); err != nil {
				return err
			}
			n += len(seg.Blocks)
			seg = audit.Segment{Before: v.Head()}
		}
	}
	fmt.Printf("%d blocks exported, up to %s\n", n, v.Head())
	if !c.Trim {
		return nil
	}
	removed, err := a.Trim(ctx, d.st, d.ring, v.Head().Seq, d.set.Facts.Store.Lowest().TxnOps)
	fmt.Printf("%d blocks removed from the state service\n", removed)
	return err
}

// write writes a segment and reads it back: what it has may then be removed elsewhere.
func (c *auditExportCmd) write(ring *keyring.Ring, s *audit.Segment) error {
	raw, err := s.Encode(ring)
	if err != nil {
		return err
	}
	name := filepath.Join(c.Dir, fmt.Sprintf("%016d-%016d%s", s.Before.Seq+1, s.Last.Seq, segmentSuffix))
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(raw)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	back, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	_, err = audit.OpenSegment(ring, back)
	return err
}
