package leader

import (
	"context"
	"fmt"

	"rillflow/internal/ledger"
	"rillflow/internal/replica"
)

// maxEndingLookups bounds the end records that are read in one go.
const maxEndingLookups = 64

// compareWithReplica holds what was read against what this controller's replica has of the same
// incarnation. A key that nobody can have deleted and that is not there is proof of a loss. It
// costs a few reads where the replica is behind, and returns the end records that it lacks, by
// job.
func (l *loader) compareWithReplica(ctx context.Context, state *loadedState) (map[string][]byte, error) {
	endings := make(map[string][]byte)
	tree, head := l.replica.Tree()
	if head.Incarnation == "" || head.Incarnation != l.leadership.Incarnation().ID {
		return endings, nil
	}
	live := state.liveJobs()
	if key, lost := state.lostChunk(tree, live); lost {
		return nil, l.suspectDataLoss(fmt.Errorf("%s is gone though its job is not over", key))
	}
	for _, jobID := range jobsNotLive(tree, live) {
		end, err := l.storeReader.requireEnding(ctx, jobID)
		if err != nil {
			return nil, err
		}
		endings[jobID] = end
	}
	return endings, nil
}

// jobsNotLive returns jobs that are live in the replica and not in the store, the first of them.
func jobsNotLive(tree *replica.Tree, live map[string]bool) []string {
	var jobIDs []string
	tree.Root().WalkPrefix([]byte(ledger.LivePrefix), func(key, _ []byte) bool {
		if jobID := string(key[len(ledger.LivePrefix):]); !live[jobID] {
			jobIDs = append(jobIDs, jobID)
		}
		return len(jobIDs) >= maxEndingLookups
	})
	return jobIDs
}

// lostChunk returns a chunk of claims that the replica has and the store has not, though its
// job is live: chunks are deleted only once their job is over.
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
