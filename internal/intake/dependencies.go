package intake

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"

	"golang.org/x/sync/errgroup"

	"rillflow/internal/identity"
	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/rights"
	"rillflow/internal/wire"
)

// maxDependencies bounds the jobs that one job may depend on, so that they can be looked
// up while its user waits. That they fit a value is checked with the record.
const maxDependencies = 128

// maxParallelLookups bounds the reads that one submission has under way.
const maxParallelLookups = 8

// dependency is a job that a submission depends on, as it was found.
type dependency struct {
	team   string
	isOpen bool // still to be waited for
}

// resolveDependencies looks up the jobs that a submission depends on. Those that are done
// are left out of what is stored, for they will stay so. The error is a *rejectedError
// where the job can never run; any other says that it cannot be decided now.
func (api *API) resolveDependencies(ctx context.Context, caller identity.Caller, job *wire.Job) error {
	if len(job.DependsOn) == 0 {
		return nil
	}
	if len(job.DependsOn) > maxDependencies {
		return rejectDependency(fmt.Errorf("waits_on: more than %d jobs", maxDependencies))
	}
	if slices.Contains(job.DependsOn, job.ID) {
		return rejectDependency(errors.New("waits_on: the job itself"))
	}
	found := make([]dependency, len(job.DependsOn))
	rejections := make([]error, len(job.DependsOn))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelLookups)
	for i, id := range job.DependsOn {
		group.Go(func() (err error) {
			found[i], err = api.resolveDependency(ctx, id)
			if err == nil {
				// What is waited for inherits the priority of what waits: not everybody may.
				err = api.authorizeDependency(caller, job, id, found[i].team)
			}
			if rejected := (*rejectedError)(nil); errors.As(err, &rejected) {
				rejections[i] = rejected.reason
				return nil // the others are looked up all the same, and told together
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	if err := errors.Join(rejections...); err != nil {
		return rejectDependency(err)
	}
	job.DependsOn = openOnly(job.DependsOn, found)
	return nil
}

func openOnly(ids []string, found []dependency) []string {
	open := ids[:0:0]
	for i, id := range ids {
		if found[i].isOpen {
			open = append(open, id)
		}
	}
	return open
}

func rejectDependency(reason error) error {
	status := http.StatusUnprocessableEntity
	if errors.Is(reason, errDenied) {
		status = http.StatusForbidden
	}
	return &rejectedError{status: status, reason: reason}
}

// authorizeDependency returns a *rejectedError where a submission may not name a job that
// it depends on.
func (api *API) authorizeDependency(caller identity.Caller, job *wire.Job, id, team string) error {
	request := rights.Request{Action: rights.DependOn, Team: team, Priority: job.Priority}
	decision := api.authorizer.DecideAndAudit(caller, request, job.ID, "waits_on "+id+": ")
	if decision.Allowed {
		return nil
	}
	return rejectDependency(fmt.Errorf("%w: waits_on %s: %s", errDenied, id, decision.Rule))
}

// resolveDependency looks one job up. A cancelled one is still open: the leader sees to
// what becomes of those after it.
func (api *API) resolveDependency(ctx context.Context, id string) (dependency, error) {
	if job, ok := api.finished.get(id); ok && job.Phase == wire.PhaseDone {
		return dependency{team: job.team}, nil
	}
	if job, ok := api.finishedDuringRecovery(id); ok && job.Phase == wire.PhaseDone {
		return dependency{team: job.team}, nil
	}
	if job, ok := api.accepted.get(id); ok {
		// That it was accepted stays true; whether it has ended, the leader sees.
		return dependency{team: job.team, isOpen: true}, nil
	}
	if api.storeUnavailable() {
		return dependency{}, kvstore.ErrRefused
	}
	for attempt := 0; ; attempt++ {
		found, err := api.readDependency(ctx, id)
		if rejected := (*rejectedError)(nil); err == nil || errors.As(err, &rejected) ||
			!api.shouldRetry(ctx, err, attempt) {
			return found, err
		}
	}
}

// readDependency reads one job from the store.
func (api *API) readDependency(ctx context.Context, id string) (dependency, error) {
	before := api.replicaView(id)
	item, err := api.store.Get(ctx, ledger.LiveKey(id))
	if err == nil {
		record, err := ledger.DecodeJobRecord(item.Value)
		if err != nil {
			return dependency{}, err
		}
		if record.Job.Kind == wire.KindService {
			return dependency{}, rejectService(id)
		}
		api.accepted.put(id, knownJob{team: record.Job.Team})
		return dependency{team: record.Job.Team, isOpen: true}, nil
	}
	if !errors.Is(err, kvstore.ErrNotFound) {
		return dependency{}, err
	}
	// A job goes from live to ended, so what is neither was never accepted.
	item, err = api.store.Get(ctx, ledger.EndedKey(id))
	if errors.Is(err, kvstore.ErrNotFound) {
		if err := api.confirmUnknown(id, before); err != nil {
			return dependency{}, err
		}
		return dependency{}, rejectDependency(fmt.Errorf("waits_on: %s was never accepted", id))
	}
	if err != nil {
		return dependency{}, err
	}
	var end ledger.EndRecord
	if err := json.Unmarshal(item.Value, &end); err != nil {
		return dependency{}, fmt.Errorf("intake: end record of job %s: %w", id, err)
	}
	api.remember(id, end)
	if end.Job.Kind == wire.KindService {
		return dependency{}, rejectService(id)
	}
	return dependency{team: end.Team, isOpen: end.Phase != wire.PhaseDone}, nil
}

func rejectService(id string) error {
	return rejectDependency(fmt.Errorf("waits_on: %s is a service", id))
}
