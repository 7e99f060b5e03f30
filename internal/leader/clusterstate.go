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

// clusterState is what the leader knows of the cluster: the job table and the workers.
//
// One lock guards it, and with it the state of all components of a term. A decision reads
// jobs, claims, workers and quotas together and must find them unchanged when it enters its
// claim in the table: with a lock each, a claim could be made on a worker whose release was
// decided in between, or a task be freed on a proof that no longer holds. The lock is never
// held during a request to the store, the cloud or a worker.
//
// Methods are called with mu held.
type clusterState struct {
	mu            sync.Mutex
	jobs          *ledger.Table
	workers       map[string]*agent.Worker
	workersByName []*agent.Worker          // in order, so that decisions repeat
	released      map[string]time.Time     // when an instance was released; zero until that is answered
	instances     map[string]wire.Instance // as the cloud lists them
}

// addWorker adds a worker that is not there yet.
func (c *clusterState) addWorker(worker *agent.Worker) {
	c.workers[worker.Name] = worker
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
		return fmt.Errorf("%s: %w", key, err) // the text is kept as the reason of a suspected data loss
	}
	c.jobs.AddJob(key[len(ledger.LivePrefix):], record, modRevision)
	return nil
}
