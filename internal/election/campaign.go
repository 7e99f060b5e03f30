package election

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"rillflow/internal/kvstore"
	"rillflow/internal/retry"
	"rillflow/internal/wire"
)

// leaderKey is the key that the leader holds under its lease.
const leaderKey = "lead"

// leaderRecord is what the leader key holds.
type leaderRecord struct {
	Controller string `json:"node"`
	Epoch      uint64 `json:"epoch"`
}

// Reasons for which data loss is suspected. Peers are sent them and /operator/status shows
// them, so their spelling stays.
const (
	reasonLeaderKeyUnreadable = "the leader's key cannot be read"
	reasonEpochKeyUnreadable  = "the epoch's key cannot be read"
)

// Why a look at the leader key gave neither a leader nor a term. Run backs off from each.
var (
	errCampaignPaused     = errors.New("election: campaign paused after stepping down")
	errCampaignLost       = errors.New("election: another controller was elected")
	errStaleLeaderRemoved = errors.New("election: leader key of an earlier leader")
)

// observeOrCampaign reads who leads, and campaigns if nobody does. It returns the term that
// this controller won, or else the leader key's mod revision, from which to watch the key.
func (e *Elector) observeOrCampaign(ctx context.Context) (*Term, uint64, error) {
	item, err := e.store.Get(ctx, leaderKey)
	if err == nil {
		return nil, item.ModRevision, e.observeLeader(ctx, item)
	}
	if !errors.Is(err, kvstore.ErrNotFound) {
		return nil, 0, fmt.Errorf("election: read %s: %w", leaderKey, err)
	}
	e.setLeader("")
	if pause := e.campaignPause(); pause > 0 {
		retry.Backoff(ctx, 0, min(pause, e.leaseDuration/4), e.leaseDuration)
		return nil, 0, errCampaignPaused
	}
	term, err := e.campaign(ctx)
	return term, 0, err
}

// campaignPause returns how long this controller is not to campaign yet.
func (e *Elector) campaignPause() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Until(e.campaignAfter)
}

// observeLeader takes in the leader key, and removes it if it is stale.
func (e *Elector) observeLeader(ctx context.Context, item wire.KeyValue) error {
	var record leaderRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		e.log.Error("leader key unreadable", "err", err)
		e.detector.Suspect(reasonLeaderKeyUnreadable)
	}
	if e.isStaleLeader(record) {
		return e.removeStaleLeader(ctx, item)
	}
	leader := record.Controller
	if leader == e.controller {
		leader = "" // left by this controller's last run: its lease will expire
	}
	e.setLeader(leader)
	return nil
}

// leaderObservation is what the leader key says, whether data loss is suspected meanwhile,
// and since when both are as they are. It is guarded by the Elector's mutex.
type leaderObservation struct {
	record    leaderRecord
	suspected bool
	since     time.Time
}

// note takes in what is observed now, and returns for how long it has been so.
func (o *leaderObservation) note(record leaderRecord, suspected bool) time.Duration {
	if record != o.record || suspected != o.suspected || o.since.IsZero() {
		*o = leaderObservation{record: record, suspected: suspected, since: time.Now()}
	}
	return time.Since(o.since)
}

// isStaleLeader reports whether the leader key is of an incarnation that was lost, so that
// nobody leads by it: it came back with a restore, and its lease may never expire. Either
// its epoch lies below one that is known, or data loss is suspected and for several lease
// durations the key has named the same controller, which does not lead.
func (e *Elector) isStaleLeader(record leaderRecord) bool {
	suspected := e.detector.Suspicion().Active
	e.mu.Lock()
	defer e.mu.Unlock()
	unchangedFor := e.observed.note(record, suspected)
	switch {
	case record.Epoch < e.epochs.highest():
		// Between one leader's end and the next one's start this is as it should be.
		return unchangedFor > e.leaseDuration && (suspected || e.epochs.shardMap.Leader != record.Controller)
	case suspected || record.Controller == e.controller:
		return unchangedFor > 2*e.leaseDuration
	}
	return false
}

// removeStaleLeader deletes a leader key that nobody leads by. It always returns an error,
// so that the key is looked at again.
func (e *Elector) removeStaleLeader(ctx context.Context, item wire.KeyValue) error {
	e.log.Warn("removing stale leader key", "value", string(item.Value))
	_, _, err := e.store.Commit(ctx, wire.Txn{
		Compares:   []wire.Compare{{Key: leaderKey, ModRevision: item.ModRevision}},
		Operations: []wire.Operation{{Delete: leaderKey}},
	})
	return errors.Join(err, errStaleLeaderRemoved)
}

// campaign tries to take the leader key, and with it the next epoch. Both are written in one
// transaction, together with the incarnation that the term begins, if it begins one.
func (e *Elector) campaign(ctx context.Context) (*Term, error) {
	stored, epochRevision, err := e.readEpoch(ctx)
	if err != nil {
		return nil, err
	}
	epoch := e.nextEpoch(stored, epochRevision)
	plan, err := e.chooseIncarnation(ctx, stored, epoch)
	if err != nil {
		return nil, err
	}
	sentAt := time.Now()
	leaseID, err := e.store.GrantLease(ctx, e.leaseDuration)
	if err != nil {
		return nil, fmt.Errorf("election: grant lease: %w", err)
	}
	shardMap := ShardMap{
		Epoch:        epoch,
		Leader:       e.controller,
		Owners:       e.shardOwners(),
		ZoneFallback: true,
		Incarnation:  plan.incarnation.ID,
	}
	revision, err := e.commitCampaign(ctx, plan, shardMap, epochRevision, leaseID)
	if err != nil {
		return nil, err
	}
	term := e.newTerm(plan, shardMap, revision, leaseID)
	term.leaseRenewed(sentAt, e.leaseDuration)
	return term, nil
}

// nextEpoch returns the epoch to campaign with: above every one that is stored or known.
func (e *Elector) nextEpoch(stored ShardMap, epochRevision uint64) uint64 {
	epoch := max(stored.Epoch, e.highestEpoch()) + 1
	if epochRevision == 0 {
		// Nothing is stored: all may have been lost, and what workers have seen is yet to
		// be heard. Epochs never rise by one a second for long, so the time of day lies
		// above any that was given out.
		epoch = max(epoch, uint64(time.Now().Unix()))
	}
	return epoch
}

// commitCampaign writes the leader key under the lease, the shard map and the changes of
// the plan, and returns the revision of the transaction. If it fails, the lease is revoked.
func (e *Elector) commitCampaign(
	ctx context.Context, plan incarnationPlan, shardMap ShardMap, epochRevision, leaseID uint64,
) (uint64, error) {
	leaderValue, leaderErr := json.Marshal(leaderRecord{Controller: e.controller, Epoch: shardMap.Epoch})
	epochValue, epochErr := json.Marshal(shardMap)
	if err := errors.Join(leaderErr, epochErr); err != nil {
		return 0, fmt.Errorf("election: encode campaign of epoch %d: %w", shardMap.Epoch, err)
	}
	revision, failed, err := e.store.Commit(ctx, wire.Txn{
		Compares: append(plan.compares,
			wire.Compare{Key: leaderKey},
			wire.Compare{Key: epochKey, ModRevision: epochRevision}),
		Operations: append(plan.operations,
			wire.Operation{Put: leaderKey, Value: leaderValue, LeaseID: leaseID},
			wire.Operation{Put: epochKey, Value: epochValue}),
	})
	if err == nil && len(failed) == 0 {
		return revision, nil
	}
	// Should the transaction have been applied after all, revoking its lease deletes the
	// leader key again; the epoch that it used up is never used again. If revoking fails too,
	// the lease expires by itself.
	e.store.RevokeLease(ctx, leaseID)
	if err != nil {
		return 0, fmt.Errorf("election: campaign for epoch %d: %w", shardMap.Epoch, err)
	}
	return 0, errCampaignLost
}

// newTerm returns the term of a campaign that was won by a transaction of a revision.
func (e *Elector) newTerm(plan incarnationPlan, shardMap ShardMap, revision, leaseID uint64) *Term {
	incarnation := plan.incarnation
	if plan.beginsIncarnation() {
		incarnation.Revision = revision
		e.log.Info("store incarnation begun",
			"incarnation", incarnation.ID, "phase", incarnation.Phase, "epoch", shardMap.Epoch)
		e.detector.IncarnationBegun(incarnation.Incarnation)
	}
	previousMap := e.ShardMap()
	e.LearnShardMap(shardMap)
	return &Term{
		FirstEpoch:     shardMap.Epoch,
		incarnation:    incarnation,
		previousMap:    previousMap,
		store:          e.store,
		leaderRevision: revision,
		leaseID:        leaseID,
		elector:        e,
		shardMap:       shardMap,
		epochRevision:  revision,
	}
}
