package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"rillflow/internal/audit"
	"rillflow/internal/keyring"
)

// auditSource is where the audit log is read from: exported segments first, then the store.
type auditSource struct {
	settingsFiles
	Segments string `help:"A folder of exported segments, that come before what the state service has." placeholder:"DIR"`
	Offline  bool   `help:"Read the segments alone."`
}

// faults are the errors found in an audit log.
type faults []error

func (f *faults) add(err error) { *f = append(*f, err) }

// read verifies the audit log and calls visit for each valid block, oldest first.
func (source *auditSource) read(
	ctx context.Context, session *session, visit func(*audit.Block),
) (*audit.Verifier, faults, error) {
	var found faults
	verifier := audit.NewVerifier(session.ring, audit.Head{})
	exported := make(map[uint64]audit.Head) // heads of the segments' blocks, by number
	if source.Segments != "" {
		visitExported := func(block *audit.Block) {
			exported[block.Seq] = block.Head()
			visit(block)
		}
		if err := readSegments(source.Segments, session.ring, verifier, visitExported, &found); err != nil {
			return nil, nil, err
		}
	}
	if source.Offline {
		return verifier, found, nil
	}
	archive, err := audit.Read(ctx, session.store, session.ring)
	if err != nil {
		return nil, nil, err
	}
	verifier = source.addStored(archive, verifier, exported, session.ring, visit, &found)
	return verifier, found, nil
}

// addStored verifies the blocks in the store, which follow those of the segments, and calls visit for each
// valid one that no segment has. It returns the verifier of the whole log. A block that was exported and
// not trimmed must be the exported one.
func (source *auditSource) addStored(
	archive *audit.Archive, verifier *audit.Verifier, exported map[uint64]audit.Head, ring *keyring.Ring,
	visit func(*audit.Block), found *faults,
) *audit.Verifier {
	for _, fault := range archive.Faults {
		found.add(fault)
	}
	if source.Segments == "" {
		verifier = audit.NewVerifier(ring, archive.TrimmedHead)
	} else if verifier.Head().Seq < archive.TrimmedHead.Seq {
		found.add(fmt.Errorf("blocks %d to %d, trimmed after their export, are in no segment here: %w",
			verifier.Head().Seq+1, archive.TrimmedHead.Seq, audit.ErrGap))
		verifier = audit.NewVerifier(ring, archive.TrimmedHead)
	}
	for _, raw := range archive.Blocks {
		if block, err := audit.Open(raw); err == nil && block.Seq <= verifier.Head().Seq && source.Segments != "" {
			if head, ok := exported[block.Seq]; ok && head != block.Head() {
				found.add(fmt.Errorf("block %d is not the one that was exported: %w", block.Seq, audit.ErrLink))
			}
			continue // already read from a segment: exported, but not trimmed yet
		}
		block, err := verifier.Add(raw)
		if err != nil {
			found.add(err)
			continue
		}
		visit(block)
	}
	return verifier
}

// readSegments verifies the segments in a directory and calls visit for each valid block. The
// fault of an invalid segment is added to found, and reading continues with the next segment.
func readSegments(
	dir string, ring *keyring.Ring, verifier *audit.Verifier, visit func(*audit.Block), found *faults,
) error {
	names, err := filepath.Glob(filepath.Join(dir, "*"+segmentSuffix))
	if err != nil {
		return err
	}
	slices.Sort(names)
	for _, name := range names {
		raw, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		segment, err := audit.OpenSegment(ring, raw)
		if err != nil {
			found.add(fmt.Errorf("%s: %w", filepath.Base(name), err))
			continue
		}
		segment.Verify(verifier, visit, func(err error) { found.add(fmt.Errorf("%s: %w", filepath.Base(name), err)) })
	}
	return nil
}

const segmentSuffix = ".rfseg"
