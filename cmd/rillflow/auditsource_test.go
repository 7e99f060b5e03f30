package main

import (
	"errors"
	"testing"
	"time"

	"rillflow/internal/audit"
	"rillflow/internal/keyring/keyringtest"
)

// Guards against a block that was changed in the store after its export and passes as verified, since the
// exported one is read in its place.
func TestStoredBlockMustBeTheExportedOne(t *testing.T) {
	ring, now := keyringtest.New(t), time.UnixMilli(1_764_600_000_123)
	newBlock := func(after audit.Head, subject string) *audit.Block {
		t.Helper()
		block, err := audit.NewBlock(ring, after, 0, 1, "host-0", now, []audit.Entry{
			{At: now, Action: audit.Accepted, Actor: "ana", Controller: "host-0", Subject: subject, Team: "a", Priority: "urgent"},
		})
		if err != nil {
			t.Fatal(err)
		}
		return block
	}
	exported := newBlock(audit.Head{}, "req-1")
	next := newBlock(exported.Head(), "req-2")
	for _, tc := range []struct {
		name   string
		stored *audit.Block // in place of the exported block
		want   error
	}{
		{"the exported block", exported, nil},
		{"another block with its number", newBlock(audit.Head{}, "req-9"), audit.ErrLink},
	} {
		t.Run(tc.name, func(t *testing.T) {
			verifier := audit.NewVerifier(ring, audit.Head{})
			if _, err := verifier.Add(exported.Raw); err != nil {
				t.Fatal(err)
			}
			var found faults
			source, archive := auditSource{Segments: "DIR"}, &audit.Archive{Blocks: [][]byte{tc.stored.Raw, next.Raw}}
			heads := map[uint64]audit.Head{exported.Seq: exported.Head()}
			verifier = source.addStored(archive, verifier, heads, ring, func(*audit.Block) {}, &found)
			if got := errors.Join(found...); !errors.Is(got, tc.want) || (got == nil) != (tc.want == nil) {
				t.Errorf("got faults %v, want %v", got, tc.want)
			}
			if verifier.Blocks() != 2 {
				t.Errorf("got %d blocks, want 2", verifier.Blocks())
			}
		})
	}
}
