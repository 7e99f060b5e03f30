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

// maxDependencies bounds the jobs that one job may depend on, so that all of them can be
// looked up while the user waits. encodeRecord checks that they fit in a value of the store.
const maxDependencies = 128

// maxParallelLookups bounds the concurrent reads of one submission.
const maxParallelLookups = 8

// dependency is the result of looking up a job that a submission depends on.
type dependency struct {
	team   string
	isOpen bool // not done yet
}

// resolveDependencies looks up the jobs that a submission depends on and removes those that
// are done, a final state, from the job. The error is a *rejectedError if the job can never
// run; with any other error this cannot be decided now.
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
				// The dependency inherits the priority of this job, so the caller needs the
				// right to depend on it.
				err = api.authorizeDependency(caller, job, id, found[i].team)
			}
			if rejected := (*rejectedError)(nil); errors.As(err, &rejected) {
				rejections[i] = rejected.reason
				return nil // the others are still looked up, to report all faults at once
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
	job.DependsOn = openDependencies(job.DependsOn, found)
	return nil
}

func openDependencies(ids []string, found []dependency) []string {
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

// authorizeDependency returns a *rejectedError if the caller may not make its job depend on
// the given one.
func (api *API) authorizeDependency(caller identity.Caller, job *wire.Job, id, team string) error {
	request := rights.Request{Action: rights.DependOn, Team: team, Priority: job.Priority}
	decision := api.authorizer.DecideAndAudit(caller, request, job.ID, "waits_on "+id+": ")
	if decision.Allowed {
		return nil
	}
	return rejectDependency(fmt.Errorf("%w: waits_on %s: %s", errDenied, id, decision.Rule))
}

// resolveDependency looks up one job. A cancelled job counts as open: the leader then cancels
// its dependents.
func (api *API) resolveDependency(ctx context.Context, id string) (dependency, error) {
	if job, ok := api.finished.get(id); ok && job.Phase == wire.PhaseDone {
		return dependency{team: job.team}, nil
	}
	if job, ok := api.finishedDuringRecovery(id); ok && job.Phase == wire.PhaseDone {
		return dependency{team: job.team}, nil
	}
	if job, ok := api.accepted.get(id); ok {
		// An accepted job may have ended since; the leader finds that out.
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
		api.accepted.put(id, jobState{team: record.Job.Team})
		return dependency{team: record.Job.Team, isOpen: true}, nil
	}
	if !errors.Is(err, kvstore.ErrNotFound) {
		return dependency{}, err
	}
	// A job only changes from live to ended, so one that is neither was never accepted.
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
