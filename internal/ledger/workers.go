package ledger

import (
	"slices"

	"rillflow/internal/wire"
)

// Resources is what tasks take of a worker.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

func (r *Resources) add(job *wire.Job, tasks float64) {
	r.CPUs += tasks * job.CPUs
	r.GPUs += tasks * job.GPUs
	r.MemoryGB += tasks * job.MemoryGB
}

// workerClaims are a worker's claims, with what those take whose tasks are not done.
type workerClaims struct {
	claims map[Task]*Claim
	used   Resources
}

// workerIndex finds claims by worker. Workers without a claim are not in it.
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

// finish frees the resources of a claim whose task is done; the claim itself stays.
func (w workerIndex) finish(claim *Claim) { w[claim.Worker].used.add(&claim.Job.Spec, -1) }

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

// ClaimsOnWorker are the claims on a worker. The map is the table's own: do not change it.
func (t *Table) ClaimsOnWorker(name string) map[Task]*Claim {
	if worker := t.workers[name]; worker != nil {
		return worker.claims
	}
	return nil
}

// UsedOnWorker is what the claims on a worker take of it. A finished task takes nothing,
// though its claim stands until that is durable.
func (t *Table) UsedOnWorker(name string) Resources {
	if worker := t.workers[name]; worker != nil {
		return worker.used
	}
	return Resources{}
}

// ClaimedWorkers are the names of all workers with a claim, in order.
func (t *Table) ClaimedWorkers() []string {
	var names []string
	for name := range t.workers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
