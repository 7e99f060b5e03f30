package leader

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// clusterState is the leader's view of the cluster: the job table and the workers.
//
// One lock guards it, and with it the state of all components of a term. A decision reads
// jobs, claims, workers and quotas together, and none may change before its claim is entered in
// the table: with separate locks, a claim could be made on a worker whose release was decided in
// between, or a task be freed on a proof that no longer holds. The lock is never held during a
// request to the store, the cloud or a worker.
//
// Methods are called with mu held.
type clusterState struct {
	mu            sync.Mutex
	jobs          *ledger.Table
	workers       map[string]*agent.Worker
	workersByName []*agent.Worker          // sorted, so that decisions are deterministic
	released      map[string]time.Time     // when an instance was released; zero until the cloud confirmed it
	instances     map[string]wire.Instance // latest list from the cloud, by name
}

// addWorker adds a worker, which must not be present yet.
func (c *clusterState) addWorker(worker *agent.Worker) {
	c.workers[worker.Name] = worker
	worker.ClaimMayBeStored = func(task ledger.Task) bool { return c.jobs.MayBeStored(task) }
	i, _ := slices.BinarySearchFunc(c.workersByName, worker.Name, compareName)
	c.workersByName = slices.Insert(c.workersByName, i, worker)
}

// removeWorker removes a worker. Its command loop ends when it is next woken.
func (c *clusterState) removeWorker(worker *agent.Worker) {
	delete(c.workers, worker.Name)
	if i, ok := slices.BinarySearchFunc(c.workersByName, worker.Name, compareName); ok {
		c.workersByName = slices.Delete(c.workersByName, i, i+1)
	}
}

// compareName orders workers by name.
func compareName(worker *agent.Worker, name string) int { return strings.Compare(worker.Name, name) }

// addJob adds the stored record of a live job to the job table.
func (c *clusterState) addJob(key string, data []byte, modRevision uint64) error {
	record, err := ledger.DecodeJobRecord(data)
	if err != nil {
		return fmt.Errorf("%s: %w", key, err) // shown as the reason of a suspected data loss
	}
	c.jobs.AddJob(key[len(ledger.LivePrefix):], record, modRevision)
	return nil
}
