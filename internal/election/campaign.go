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

// leaderKey is the key that the leader writes under its lease.
const leaderKey = "lead"

// leaderRecord is the stored value of the leader key.
type leaderRecord struct {
	Controller string `json:"node"`
	Epoch      uint64 `json:"epoch"`
}

// Reasons for suspecting data loss. They are sent to peers and shown in /operator/status, so
// their spelling must not change.
const (
	reasonLeaderKeyUnreadable = "the leader's key cannot be read"
	reasonEpochKeyUnreadable  = "the epoch's key cannot be read"
)

// Errors of an election attempt that found no valid leader and won no term. Run backs off
// after each.
var (
	errCampaignPaused = errors.New("election: campaign paused after stepping down")
	errCampaignLost   = errors.New("election: another controller was elected")
	errStaleLeader    = errors.New("election: leader key is stale")
)

// observeOrCampaign reads the leader key, and campaigns if it is absent. It returns the term
// that this controller won, or else the leader key's mod revision, from which to watch it.
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

// campaignPause returns how much longer this controller must not campaign.
func (e *Elector) campaignPause() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Until(e.campaignAfter)
}

// observeLeader records the leader that the leader key names, or removes the key if it is
// stale.
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
		leader = "" // left over from before a restart; its lease will expire
	}
	e.setLeader(leader)
	return nil
}

// leaderObservation is the last observed leader record, whether data loss was suspected then,
// and since when neither has changed. It is guarded by the Elector's mutex.
type leaderObservation struct {
	record         leaderRecord
	suspected      bool
	unchangedSince time.Time
}

// update records a new observation, and returns for how long it has been unchanged.
func (o *leaderObservation) update(record leaderRecord, suspected bool) time.Duration {
	if record != o.record || suspected != o.suspected || o.unchangedSince.IsZero() {
		*o = leaderObservation{record: record, suspected: suspected, unchangedSince: time.Now()}
	}
	return time.Since(o.unchangedSince)
}

// isStaleLeader reports whether no controller leads under the leader key, because a restore of
// the store's data brought the key back: its lease may then never expire. The key counts as
// stale in two cases. Either its epoch has been below a known one for longer than a lease
// duration, while data loss is suspected or the latest shard map names another leader. Or the
// key has been unchanged for more than two lease durations, while data loss is suspected or
// the key names this controller, which does not lead.
func (e *Elector) isStaleLeader(record leaderRecord) bool {
	suspected := e.detector.Suspicion().Active
	e.mu.Lock()
	defer e.mu.Unlock()
	unchangedFor := e.observed.update(record, suspected)
	switch {
	case record.Epoch < e.epochs.highest():
		// This is normal for a short time between two terms.
		return unchangedFor > e.leaseDuration && (suspected || e.epochs.shardMap.Leader != record.Controller)
	case suspected || record.Controller == e.controller:
		return unchangedFor > 2*e.leaseDuration
	}
	return false
}

// removeStaleLeader deletes a leader key under which no controller leads. It always returns
// an error, so that Run reads the key again.
func (e *Elector) removeStaleLeader(ctx context.Context, item wire.KeyValue) error {
	e.log.Warn("removing stale leader key", "value", string(item.Value))
	_, _, err := e.store.Commit(ctx, wire.Txn{
		Compares:   []wire.Compare{{Key: leaderKey, ModRevision: item.ModRevision}},
		Operations: []wire.Operation{{Delete: leaderKey}},
	})
	return errors.Join(err, errStaleLeader)
}

// campaign tries to create the leader key and to take the next epoch. Both are written in one
// transaction, together with a new store incarnation if the term begins one.
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

// nextEpoch returns the epoch to campaign with, which is above all stored and known ones.
func (e *Elector) nextEpoch(stored ShardMap, epochRevision uint64) uint64 {
	epoch := max(stored.Epoch, e.highestEpoch()) + 1
	if epochRevision == 0 {
		// Nothing is stored: all data may have been lost, and workers may not yet have
		// reported the epochs that they have seen. Epochs never rise by one a second for
		// long, so the Unix time in seconds is above any that was issued.
		epoch = max(epoch, uint64(time.Now().Unix()))
	}
	return epoch
}

// commitCampaign writes the leader key under the lease, the shard map and the plan's
// operations, and returns the revision of the transaction. If it fails, the lease is revoked.
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
	// If the transaction was applied despite the error, revoking its lease deletes the leader
	// key again, and its epoch is skipped. If revoking fails too, the lease expires by itself.
	e.store.RevokeLease(ctx, leaseID)
	if err != nil {
		return 0, fmt.Errorf("election: campaign for epoch %d: %w", shardMap.Epoch, err)
	}
	return 0, errCampaignLost
}

// newTerm returns the term won by a campaign whose transaction was committed at revision.
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
