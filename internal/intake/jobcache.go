package intake

import "sync"

// jobCache caches immutable facts about a bounded number of jobs. It evicts the job that was
// added first. It is safe for concurrent use.
type jobCache struct {
	mu    sync.Mutex
	jobs  map[string]jobState
	order []string // ring buffer of IDs in insertion order
	next  int      // index of the next ID in the ring
}

func newJobCache(size int) *jobCache {
	return &jobCache{jobs: make(map[string]jobState), order: make([]string, size)}
}

func (cache *jobCache) get(id string) (jobState, bool) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	job, ok := cache.jobs[id]
	return job, ok
}

func (cache *jobCache) put(id string, job jobState) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if _, ok := cache.jobs[id]; !ok {
		delete(cache.jobs, cache.order[cache.next])
		cache.order[cache.next] = id
		cache.next = (cache.next + 1) % len(cache.order)
	}
	cache.jobs[id] = job
}
