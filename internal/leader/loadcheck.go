package leader

import (
	"context"
	"fmt"

	"rillflow/internal/ledger"
	"rillflow/internal/replica"
)

// maxEndRecordLookUps bounds the end records that are looked up one after the other.
const maxEndRecordLookUps = 64

// compareWithReplica compares the loaded state with this controller's replica of the same
// incarnation. A key of the replica that is not in the store and that nobody can have deleted
// proves a data loss. If the replica is behind, compareWithReplica reads the end records that the
// replica lacks, which takes a few reads, and returns them by job.
func (l *loader) compareWithReplica(ctx context.Context, state *loadedState) (map[string][]byte, error) {
	endRecords := make(map[string][]byte)
	tree, head := l.replica.Tree()
	if head.Incarnation == "" || head.Incarnation != l.leadership.Incarnation().ID {
		return endRecords, nil
	}
	live := state.liveJobs()
	if key, lost := state.lostChunk(tree, live); lost {
		return nil, l.suspectDataLoss(fmt.Errorf("%s is gone though its job is not over", key))
	}
	for _, jobID := range jobsNotLive(tree, live) {
		end, err := l.storeReader.requireEndRecord(ctx, jobID)
		if err != nil {
			return nil, err
		}
		endRecords[jobID] = end
	}
	return endRecords, nil
}

// jobsNotLive returns the first maxEndRecordLookUps jobs that are live in the replica but not in the
// store.
func jobsNotLive(tree *replica.Tree, live map[string]bool) []string {
	var jobIDs []string
	tree.Root().WalkPrefix([]byte(ledger.LivePrefix), func(key, _ []byte) bool {
		if jobID := string(key[len(ledger.LivePrefix):]); !live[jobID] {
			jobIDs = append(jobIDs, jobID)
		}
		return len(jobIDs) >= maxEndRecordLookUps
	})
	return jobIDs
}

// lostChunk returns a chunk of claims that the replica has but the store lacks although its job is
// live: chunks are deleted only once their job has ended.
func (s *loadedState) lostChunk(tree *replica.Tree, live map[string]bool) (key string, lost bool) {
	stored := make(map[string]bool, len(s.chunks))
	for _, item := range s.chunks {
		stored[item.Key] = true
	}
	tree.Root().WalkPrefix([]byte(ledger.ChunkPrefix), func(chunk, _ []byte) bool {
		if jobID, ok := ledger.JobIDOfChunkKey(string(chunk)); ok && live[jobID] && !stored[string(chunk)] {
			key, lost = string(chunk), true
		}
		return lost
	})
	return key, lost
}
