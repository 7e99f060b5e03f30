package ledger

import (
	"slices"

	"rillflow/internal/wire"
)

// Resources are the resources of a worker that tasks use.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

func (r *Resources) add(job *wire.Job, tasks float64) {
	r.CPUs += tasks * job.CPUs
	r.GPUs += tasks * job.GPUs
	r.MemoryGB += tasks * job.MemoryGB
}

// workerClaims holds a worker's claims and the resources used by those whose tasks are not done.
type workerClaims struct {
	claims map[Task]*Claim
	used   Resources
}

// workerIndex indexes claims by worker name. Workers without a claim are not in it.
type workerIndex map[string]*workerClaims

func (w workerIndex) add(claim *Claim) {
	worker := w[claim.Worker]
	if worker == nil {
		worker = &workerClaims{claims: make(map[Task]*Claim)}
		w[claim.Worker] = worker
	}
	worker.claims[claim.Task()] = claim
	worker.used.add(&claim.Job.Spec, 1)
}

// releaseResources releases the resources of a claim whose task is done; the claim itself remains.
func (w workerIndex) releaseResources(claim *Claim) { w[claim.Worker].used.add(&claim.Job.Spec, -1) }

func (w workerIndex) remove(claim *Claim) {
	worker := w[claim.Worker]
	delete(worker.claims, claim.Task())
	if !claim.Finished {
		worker.used.add(&claim.Job.Spec, -1)
	}
	if len(worker.claims) == 0 {
		delete(w, claim.Worker)
	}
}

// ClaimsOnWorker returns the claims on a worker. The map belongs to the table and must not be
// modified.
func (t *Table) ClaimsOnWorker(name string) map[Task]*Claim {
	if worker := t.workers[name]; worker != nil {
		return worker.claims
	}
	return nil
}

// UsedOnWorker returns the resources that the claims on a worker use. A finished task uses none,
// though its claim remains until the finish is durable.
func (t *Table) UsedOnWorker(name string) Resources {
	if worker := t.workers[name]; worker != nil {
		return worker.used
	}
	return Resources{}
}

// ClaimedWorkers returns the names of all workers with a claim, sorted.
func (t *Table) ClaimedWorkers() []string {
	var names []string
	for name := range t.workers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
