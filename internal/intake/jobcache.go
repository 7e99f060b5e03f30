package intake

import "sync"

// jobCache keeps what never changes of jobs, up to a number of them: the oldest makes
// room. It is safe for concurrent use.
type jobCache struct {
	mu    sync.Mutex
	jobs  map[string]knownJob
	order []string // a ring of IDs in the order in which they came
	next  int      // where the next ID goes
}

func newJobCache(size int) *jobCache {
	return &jobCache{jobs: make(map[string]knownJob), order: make([]string, size)}
}

func (cache *jobCache) get(id string) (knownJob, bool) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	job, ok := cache.jobs[id]
	return job, ok
}

func (cache *jobCache) put(id string, job knownJob) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if _, ok := cache.jobs[id]; !ok {
		delete(cache.jobs, cache.order[cache.next])
		cache.order[cache.next] = id
		cache.next = (cache.next + 1) % len(cache.order)
	}
	cache.jobs[id] = job
}
