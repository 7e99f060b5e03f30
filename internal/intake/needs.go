package intake

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"golang.org/x/sync/errgroup"

	"rillflow/internal/identity"
	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/rights"
	"rillflow/internal/wire"
)

// maxNeeds bounds the jobs that one job may wait for, so that they can be looked
// up while its user waits. That they fit a value is checked with the record.
const maxNeeds = 128

// lookups bounds the reads that one submission has under way.
const lookups = 8

// needs looks the jobs up that a submission names. Those that are done are left
// out of what is kept, for they will stay so. bad tells why the job can never
// run; err, that it cannot be decided now.
func (u *Users) needs(ctx context.Context, who identity.Caller, job *wire.Job) (bad, err error) {
	if len(job.DependsOn) == 0 {
		return nil, nil
	}
	if len(job.DependsOn) > maxNeeds {
		return fmt.Errorf("waits_on: more than %d jobs", maxNeeds), nil
	}
	if slices.Contains(job.DependsOn, job.ID) {
		return errors.New("waits_on: the job itself"), nil
	}
	open := make([]bool, len(job.DependsOn))
	bads := make([]error, len(job.DependsOn))
	g, gctx := errgroup.WithContext(ctx)
	g.SetLimit(lookups)
	for i, ref := range job.DependsOn {
		g.Go(func() (err error) {
			var owner string
			if open[i], owner, bads[i], err = u.need(gctx, ref); err == nil && bads[i] == nil {
				// What is waited for is lifted by what waits: not everybody may.
				bads[i] = u.lifts(who, job, ref, owner)
			}
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	if bad := errors.Join(bads...); bad != nil {
		return bad, nil
	}
	kept := job.DependsOn[:0:0]
	for i, ref := range job.DependsOn {
		if open[i] {
			kept = append(kept, ref)
		}
	}
	job.DependsOn = kept
	return nil, nil
}

// lifts tells why a submission may not name a job that it waits for.
func (u *Users) lifts(who identity.Caller, job *wire.Job, ref, owner string) error {
	dec := u.door.Judge(who, rights.Request{Do: rights.Need, Owner: owner, Rank: job.Priority}, job.ID, "waits_on "+ref+": ")
	if dec.Allowed {
		return nil
	}
	return fmt.Errorf("%w: waits_on %s: %s", errDenied, ref, dec.Rule)
}

// need looks one job up, and tells whether it is still to be waited for. A
// withdrawn one is: the leader sees to what becomes of those after it.
func (u *Users) need(ctx context.Context, ref string) (open bool, owner string, bad, err error) {
	if p, ok := u.ended.get(ref); ok && p.JobStatus.Phase == wire.PhaseDone {
		return false, p.owner, nil, nil
	}
	if p, ok := u.recall(ref); ok && p.JobStatus.Phase == wire.PhaseDone {
		return false, p.owner, nil, nil
	}
	if p, ok := u.batch.get(ref); ok {
		return true, p.owner, nil, nil // that it was accepted stays true; whether it is over, the leader sees
	}
	if u.down() {
		return false, "", nil, kvstore.ErrRefused
	}
	for try := 0; ; try++ {
		open, owner, bad, err = u.find(ctx, ref)
		if err == nil || !u.again(ctx, err, try) {
			return open, owner, bad, err
		}
	}
}

func (u *Users) find(ctx context.Context, ref string) (open bool, owner string, bad, err error) {
	service := fmt.Errorf("waits_on: %s is a service", ref)
	before := u.glance(ref)
	it, err := u.st.Get(ctx, ledger.LiveKey(ref))
	if err == nil {
		rec, err := ledger.DecodeJobRecord(it.Value)
		if err == nil && rec.Job.Kind == wire.KindService {
			return false, "", service, nil
		}
		if err == nil {
			u.batch.put(ref, known{owner: rec.Job.Team})
		}
		return true, rec.Job.Team, nil, err
	}
	if !errors.Is(err, kvstore.ErrNotFound) {
		return false, "", nil, err
	}
	// A job goes from live to ended, so what is neither was never accepted.
	it, err = u.st.Get(ctx, ledger.EndedKey(ref))
	if errors.Is(err, kvstore.ErrNotFound) {
		if err := u.sure(ref, before); err != nil {
			return false, "", nil, err
		}
		return false, "", fmt.Errorf("waits_on: %s was never accepted", ref), nil
	}
	if err != nil {
		return false, "", nil, err
	}
	var e ledger.EndRecord
	if err := json.Unmarshal(it.Value, &e); err != nil {
		return false, "", nil, fmt.Errorf("intake: %s: %w", ref, err)
	}
	u.remember(ref, e)
	if e.Job.Kind == wire.KindService {
		return false, "", service, nil
	}
	return e.Phase != wire.PhaseDone, e.Team, nil, nil
}
