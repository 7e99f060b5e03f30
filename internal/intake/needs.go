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

// maxDependencies bounds the jobs that one job may wait for, so that they can be looked
// up while its user waits. That they fit a value is checked with the record.
const maxDependencies = 128

// maxParallelLookups bounds the reads that one submission has under way.
const maxParallelLookups = 8

// resolveDependencies looks the jobs up that a submission names. Those that are done are left
// out of what is kept, for they will stay so. bad tells why the job can never
// run; err, that it cannot be decided now.
func (api *API) resolveDependencies(ctx context.Context, who identity.Caller, job *wire.Job) (bad, err error) {
	if len(job.DependsOn) == 0 {
		return nil, nil
	}
	if len(job.DependsOn) > maxDependencies {
		return fmt.Errorf("waits_on: more than %d jobs", maxDependencies), nil
	}
	if slices.Contains(job.DependsOn, job.ID) {
		return errors.New("waits_on: the job itself"), nil
	}
	open := make([]bool, len(job.DependsOn))
	bads := make([]error, len(job.DependsOn))
	g, gctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelLookups)
	for i, ref := range job.DependsOn {
		g.Go(func() (err error) {
			var owner string
			if open[i], owner, bads[i], err = api.resolveDependency(gctx, ref); err == nil && bads[i] == nil {
				// What is waited for is lifted by what waits: not everybody may.
				bads[i] = api.authorizeDependency(who, job, ref, owner)
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

// authorizeDependency tells why a submission may not name a job that it waits for.
func (api *API) authorizeDependency(who identity.Caller, job *wire.Job, ref, owner string) error {
	dec := api.authorizer.Judge(who, rights.Request{Do: rights.Need, Owner: owner, Rank: job.Priority}, job.ID, "waits_on "+ref+": ")
	if dec.Allowed {
		return nil
	}
	return fmt.Errorf("%w: waits_on %s: %s", errDenied, ref, dec.Rule)
}

// resolveDependency looks one job up, and tells whether it is still to be waited for. A
// withdrawn one is: the leader sees to what becomes of those after it.
func (api *API) resolveDependency(ctx context.Context, ref string) (open bool, owner string, bad, err error) {
	if p, ok := api.finished.get(ref); ok && p.JobStatus.Phase == wire.PhaseDone {
		return false, p.team, nil, nil
	}
	if p, ok := api.finishedDuringRecovery(ref); ok && p.JobStatus.Phase == wire.PhaseDone {
		return false, p.team, nil, nil
	}
	if p, ok := api.accepted.get(ref); ok {
		return true, p.team, nil, nil // that it was accepted stays true; whether it is over, the leader sees
	}
	if api.storeUnavailable() {
		return false, "", nil, kvstore.ErrRefused
	}
	for try := 0; ; try++ {
		open, owner, bad, err = api.readDependency(ctx, ref)
		if err == nil || !api.shouldRetry(ctx, err, try) {
			return open, owner, bad, err
		}
	}
}

func (api *API) readDependency(ctx context.Context, ref string) (open bool, owner string, bad, err error) {
	service := fmt.Errorf("waits_on: %s is a service", ref)
	before := api.replicaView(ref)
	it, err := api.store.Get(ctx, ledger.LiveKey(ref))
	if err == nil {
		rec, err := ledger.DecodeJobRecord(it.Value)
		if err == nil && rec.Job.Kind == wire.KindService {
			return false, "", service, nil
		}
		if err == nil {
			api.accepted.put(ref, knownJob{team: rec.Job.Team})
		}
		return true, rec.Job.Team, nil, err
	}
	if !errors.Is(err, kvstore.ErrNotFound) {
		return false, "", nil, err
	}
	// A job goes from live to ended, so what is neither was never accepted.
	it, err = api.store.Get(ctx, ledger.EndedKey(ref))
	if errors.Is(err, kvstore.ErrNotFound) {
		if err := api.confirmUnknown(ref, before); err != nil {
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
	api.remember(ref, e)
	if e.Job.Kind == wire.KindService {
		return false, "", service, nil
	}
	return e.Phase != wire.PhaseDone, e.Team, nil, nil
}
