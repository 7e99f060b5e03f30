package sim

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"rillflow/internal/wire"
)

// store stands in for the key-value store of the protocol's page on the state service: keys with
// revisions, transactions, leases, watches, limits. It is as consistent as the real one.
type fakeStore struct {
	mu   sync.Mutex // guards what follows
	cond *sync.Cond // tells watches of changes
	rnd  *rand.Rand

	revision  uint64
	keys      map[string]wire.KeyValue
	log       []wire.Operation // every change
	logTimes  []time.Time      // of the changes in the log
	leaseEnds map[uint64]time.Time
	leaseTTLs map[uint64]time.Duration
	lastLease uint64

	// Limits. Nil rates are none; else bursts of a second's worth are allowed.
	maxValueBytes          int
	maxOperations          int // of a transaction
	limitsLowered          bool
	requestRate, writeRate *rate.Limiter

	// Faults.
	unavailable         bool            // nobody is served
	refusedControllers map[string]bool // controllers that alone are refused
	latency      time.Duration   // requests and their answers take up to so long
	lateShare    float64         // of transactions that get no answer and are carried out much later
	// onCommit sees each transaction that is carried out, and may have its answer lost; nil: none.
	onCommit func(controller string, txn wire.Txn) (lost bool)

	// What is checked and counted.
	recordViolation           func(string, ...any)
	tooLargeCounts    map[string]int // transactions refused for their size
	rateRefusals int            // for their rate
	requestsBySecond, writesBySecond    map[int64]int  // requests and changes, by the second
}

func newFakeStore(rnd *rand.Rand, broke func(string, ...any)) *fakeStore {
	s := &fakeStore{
		rnd: rnd, recordViolation: broke, revision: 1, keys: map[string]wire.KeyValue{},
		leaseEnds: map[uint64]time.Time{}, leaseTTLs: map[uint64]time.Duration{},
		maxValueBytes: 16 << 10, maxOperations: 16, refusedControllers: map[string]bool{},
		tooLargeCounts: map[string]int{}, requestsBySecond: map[int64]int{}, writesBySecond: map[int64]int{},
	}
	s.cond = sync.NewCond(&s.mu)
	return s
}

// withinRate takes so many from a limit, if it allows them; run it with the lock held.
func (s *fakeStore) takeRate(limit *rate.Limiter, n int) bool {
	return limit == nil || limit.AllowN(time.Now(), n)
}

// leaderChanges is how often a controller took the leader's key since a time.
func (s *fakeStore) leaderChanges(since time.Time) (changes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, c := range s.log {
		if c.Put == "lead" && s.logTimes[i].After(since) {
			changes++
		}
	}
	return changes
}

// peakRates is the most requests and changes in a second since a time.
func (s *fakeStore) peakRates(since time.Time) (asked, wrote int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for sec, n := range s.requestsBySecond {
		if sec >= since.Unix() {
			asked, wrote = max(asked, n), max(wrote, s.writesBySecond[sec])
		}
	}
	return asked, wrote
}

// recordEvent adds to the log; run it with the lock held.
func (s *fakeStore) recordEvent(c wire.Operation) {
	s.log, s.logTimes = append(s.log, c), append(s.logTimes, time.Now())
}

// apply carries a change out; run it with the lock held.
func (s *fakeStore) apply(c wire.Operation) {
	if c.Put != "" {
		s.keys[c.Put] = wire.KeyValue{Key: c.Put, Value: c.Value, ModRevision: c.ModRevision, LeaseID: c.LeaseID}
	} else {
		delete(s.keys, c.Delete)
	}
}

// expireLeases ends leases that ran out; run it with the lock held.
func (s *fakeStore) expireLeases() {
	if s.unavailable {
		return
	}
	for t, at := range s.leaseEnds {
		if time.Now().After(at) {
			s.dropLease(t)
		}
	}
}

// dropLease ends a lease, and removes the keys on it; run it with the lock held.
func (s *fakeStore) dropLease(leaseID uint64) {
	delete(s.leaseEnds, leaseID)
	for k, it := range s.keys {
		if it.LeaseID == leaseID {
			s.revision++
			delete(s.keys, k)
			s.recordEvent(wire.Operation{Delete: k, ModRevision: s.revision})
		}
	}
	s.cond.Broadcast()
}

// leads is the controller that the leader's key names; -1: none.
func (s *fakeStore) leaderIndex() int {
	n := -1
	fmt.Sscanf(s.get("lead"), `{"node":"host-%d"`, &n)
	return n
}

func (s *fakeStore) get(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.keys[key].Value)
}

// tooLarge tells whether a transaction is over the limits. Once they have fallen
// as announced, one may be sent that a controller could not know to be too large, but
// not again. Two may come: one whose packets were held is sent anew without an answer.
func (s *fakeStore) tooLarge(t wire.Txn) bool {
	large := len(t.Operations) > s.maxOperations || len(t.Compares) > 4*s.maxOperations
	for _, c := range t.Operations {
		large = large || len(c.Value) > s.maxValueBytes
	}
	if large {
		b, _ := json.Marshal(t)
		if !s.limitsLowered || s.tooLargeCounts[string(b)] > 1 {
			s.recordViolation("a transaction of %d changes, %d guards and %d bytes", len(t.Operations), len(t.Compares), len(b))
		}
		s.tooLargeCounts[string(b)]++
	}
	return large
}

// commit carries a transaction out, or refuses it; run it with the lock held.
func (s *fakeStore) commit(t wire.Txn) (int, any) {
	if s.tooLarge(t) {
		return http.StatusBadRequest, wire.ErrorResponse{Error: "too large"}
	}
	var failed []string
	for _, g := range t.Compares {
		if s.keys[g.Key].ModRevision != g.ModRevision {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, wire.TxnResponse{FailedKeys: failed, Revision: s.revision}
	}
	for _, c := range t.Operations {
		if c.LeaseID != 0 && s.leaseEnds[c.LeaseID].IsZero() {
			return http.StatusBadRequest, wire.ErrorResponse{Error: "no such lease"}
		}
	}
	s.revision++
	for _, c := range t.Operations {
		c.ModRevision = s.revision
		s.apply(c)
		s.recordEvent(c)
	}
	s.cond.Broadcast()
	return http.StatusOK, wire.TxnResponse{Revision: s.revision}
}
