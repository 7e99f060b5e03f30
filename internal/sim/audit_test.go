package sim

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"rillflow/internal/audit"
	"rillflow/internal/keyring"
	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// Get, List and Commit serve the operators' tools, which use the store directly.

func (s *fakeStore) Get(_ context.Context, key string) (wire.KeyValue, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.keys[key]
	if !ok {
		return item, kvstore.ErrNotFound
	}
	return item, nil
}

func (s *fakeStore) List(_ context.Context, prefix string) (items []wire.KeyValue, revision uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, item := range s.keys {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b wire.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return items, s.revision, nil
}

func (s *fakeStore) Commit(_ context.Context, txn wire.Txn) (uint64, []string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, response := s.commit(txn)
	txnResponse := response.(wire.TxnResponse)
	return txnResponse.Revision, txnResponse.FailedKeys, nil
}

// newKeyring creates a key ring and returns it with the path of its file.
func newKeyring(t *testing.T) (*keyring.Ring, string) {
	path := filepath.Join(t.TempDir(), "keys")
	if err := keyring.Init(path); err != nil {
		t.Fatal(err)
	}
	ring, err := keyring.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	return ring, path
}

// readAuditLog reads and verifies the audit log that a run left in the store.
func readAuditLog(t *testing.T, w *world, ring *keyring.Ring) (*audit.History, *audit.Archive) {
	archive, err := audit.Read(context.Background(), w.store, ring)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range archive.Faults {
		t.Error(f)
	}
	history := audit.NewHistory()
	verifier := audit.NewVerifier(ring, archive.TrimmedHead)
	for _, raw := range archive.Blocks {
		b, err := verifier.Add(raw)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range b.Entries {
			history.Add(e)
		}
	}
	return history, archive
}

// Guards against an audit log that misses events or invents them. After a run of
// crashes, partitions and leader changes, the log holds every acceptance, cancellation
// and end, a claim for every task start, and nothing that did not happen.
func TestAuditLogMatchesEvents(t *testing.T) {
	for seed := range seedCount(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			ring, path := newKeyring(t)
			synctest.Test(t, func(t *testing.T) {
				if seed%3 == 0 {
					// The key is rotated during the run.
					rotate := time.AfterFunc(20*time.Second, func() { keyring.Rotate(path, time.Now().Add(2*leaseDuration)) })
					defer rotate.Stop()
				}
				violations, w := runRandomScenario(t, 100+seed, seed%2 == 1, fmt.Sprintf("<rillflow><access><audit>on</audit><keys>%s</keys></access></rillflow>", path), nil)
				for _, violation := range violations {
					t.Error(violation)
				}
				history, archive := readAuditLog(t, w, ring)
				checkAuditLog(t, w, history)
				if last, err := audit.Open(archive.Blocks[len(archive.Blocks)-1]); err != nil || (last.KeyID == 2) != (seed%3 == 0) {
					t.Errorf("the last block is sealed with key %d (error %v), want key 2 only after a rotation", last.KeyID, err)
				}
				leaders := 0
				for _, e := range history.Others {
					if e.Action == audit.TookOver {
						leaders++
					}
				}
				t.Logf("%d blocks, %d entries, %d leader changes, %d task starts", len(archive.Blocks), history.Entries, leaders, w.starts)
			})
		})
	}
}

// checkAuditLog compares an audit log with the true events of the run.
func checkAuditLog(t *testing.T, w *world, history *audit.History) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if history.Missed > 0 {
		t.Errorf("%d entries refer to missing entries", history.Missed)
	}
	for jobID := range w.jobs {
		recorded := history.Jobs[jobID]
		if recorded == nil {
			t.Errorf("job %s is not in the audit log", jobID)
			continue
		}
		for _, f := range recorded.Faults {
			t.Errorf("job %s: %s", jobID, f)
		}
		job := w.jobs[jobID]
		if e := recorded.Accepted; e == nil || e.Action != audit.Accepted || e.Team != job.Team || e.Priority != job.Priority || e.Tasks[0].Index != job.TaskCount || e.Controller == "" {
			t.Errorf("job %s: acceptance is logged as %+v", jobID, e)
		}
		if (w.lastPhase[jobID] == wire.PhaseCancelled) != (recorded.Cancelled != nil) || (w.lastPhase[jobID] == wire.PhaseDone) != (recorded.Done != nil) {
			t.Errorf("job %s is %s, but the log has cancellation %v, completion %v", jobID, w.lastPhase[jobID], recorded.Cancelled, recorded.Done)
		}
		// A job whose cancellation was requested may already have been cancelled with a dependency.
		if e := recorded.Cancelled; e != nil && (e.Controller != "" && !w.cancelRequested[jobID] || e.Controller == "" && e.Reason == "") {
			t.Errorf("job %s: cancellation requested %v, but logged as %s", jobID, w.cancelRequested[jobID], e.Describe())
		}
	}
	claimed := make(map[startedAttempt]bool)
	for jobID, recorded := range history.Jobs {
		if _, ok := w.jobs[jobID]; !ok {
			t.Errorf("job %s is in the audit log but was never submitted", jobID)
		}
		for _, e := range recorded.Entries {
			for _, c := range e.Tasks {
				if e.Action == audit.Claimed {
					claimed[startedAttempt{ledger.Task{JobID: jobID, Index: c.Index}, c.Attempt, c.Worker}] = true
				}
			}
		}
	}
	for started := range w.startedAttempts {
		if !claimed[started] {
			t.Errorf("%s ran as attempt %d on %s without a claim in the audit log", started.task, started.attempt, started.worker)
		}
	}
}
