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
	unavailable        bool            // nobody is served
	refusedControllers map[string]bool // controllers that alone are refused
	latency            time.Duration   // requests and their answers take up to so long
	lateShare          float64         // of transactions that get no answer and are carried out much later
	// onCommit sees each transaction that is carried out, and may have its answer lost; nil: none.
	onCommit func(controller string, txn wire.Txn) (lost bool)

	// What is checked and counted.
	recordViolation                  func(string, ...any)
	tooLargeCounts                   map[string]int // transactions refused for their size
	rateRefusals                     int            // for their rate
	requestsBySecond, writesBySecond map[int64]int  // requests and changes, by the second
}

func newFakeStore(rnd *rand.Rand, recordViolation func(string, ...any)) *fakeStore {
	s := &fakeStore{
		rnd: rnd, recordViolation: recordViolation, revision: 1, keys: map[string]wire.KeyValue{},
		leaseEnds: map[uint64]time.Time{}, leaseTTLs: map[uint64]time.Duration{},
		maxValueBytes: 16 << 10, maxOperations: 16, refusedControllers: map[string]bool{},
		tooLargeCounts: map[string]int{}, requestsBySecond: map[int64]int{}, writesBySecond: map[int64]int{},
	}
	s.cond = sync.NewCond(&s.mu)
	return s
}

// withinRate takes so many from a limit, if it allows them; run it with the lock held.
func (s *fakeStore) takeRate(limiter *rate.Limiter, n int) bool {
	return limiter == nil || limiter.AllowN(time.Now(), n)
}

// leaderChanges is how often a controller took the leader's key since a time.
func (s *fakeStore) leaderChanges(since time.Time) (changes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, op := range s.log {
		if op.Put == "lead" && s.logTimes[i].After(since) {
			changes++
		}
	}
	return changes
}

// peakRates is the most requests and changes in a second since a time.
func (s *fakeStore) peakRates(since time.Time) (requests, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for second, n := range s.requestsBySecond {
		if second >= since.Unix() {
			requests, writes = max(requests, n), max(writes, s.writesBySecond[second])
		}
	}
	return requests, writes
}

// recordEvent adds to the log; run it with the lock held.
func (s *fakeStore) recordEvent(op wire.Operation) {
	s.log, s.logTimes = append(s.log, op), append(s.logTimes, time.Now())
}

// apply carries a change out; run it with the lock held.
func (s *fakeStore) apply(op wire.Operation) {
	if op.Put != "" {
		s.keys[op.Put] = wire.KeyValue{Key: op.Put, Value: op.Value, ModRevision: op.ModRevision, LeaseID: op.LeaseID}
	} else {
		delete(s.keys, op.Delete)
	}
}

// expireLeases ends leases that ran out; run it with the lock held.
func (s *fakeStore) expireLeases() {
	if s.unavailable {
		return
	}
	for leaseID, expiry := range s.leaseEnds {
		if time.Now().After(expiry) {
			s.dropLease(leaseID)
		}
	}
}

// dropLease ends a lease, and removes the keys on it; run it with the lock held.
func (s *fakeStore) dropLease(leaseID uint64) {
	delete(s.leaseEnds, leaseID)
	for key, item := range s.keys {
		if item.LeaseID == leaseID {
			s.revision++
			delete(s.keys, key)
			s.recordEvent(wire.Operation{Delete: key, ModRevision: s.revision})
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
func (s *fakeStore) tooLarge(txn wire.Txn) bool {
	large := len(txn.Operations) > s.maxOperations || len(txn.Compares) > 4*s.maxOperations
	for _, op := range txn.Operations {
		large = large || len(op.Value) > s.maxValueBytes
	}
	if large {
		encoded, _ := json.Marshal(txn)
		if !s.limitsLowered || s.tooLargeCounts[string(encoded)] > 1 {
			s.recordViolation("a transaction of %d changes, %d guards and %d bytes", len(txn.Operations), len(txn.Compares), len(encoded))
		}
		s.tooLargeCounts[string(encoded)]++
	}
	return large
}

// commit carries a transaction out, or refuses it; run it with the lock held.
func (s *fakeStore) commit(txn wire.Txn) (int, any) {
	if s.tooLarge(txn) {
		return http.StatusBadRequest, wire.ErrorResponse{Error: "too large"}
	}
	var failed []string
	for _, compare := range txn.Compares {
		if s.keys[compare.Key].ModRevision != compare.ModRevision {
			failed = append(failed, compare.Key)
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, wire.TxnResponse{FailedKeys: failed, Revision: s.revision}
	}
	for _, op := range txn.Operations {
		if op.LeaseID != 0 && s.leaseEnds[op.LeaseID].IsZero() {
			return http.StatusBadRequest, wire.ErrorResponse{Error: "no such lease"}
		}
	}
	s.revision++
	for _, op := range txn.Operations {
		op.ModRevision = s.revision
		s.apply(op)
		s.recordEvent(op)
	}
	s.cond.Broadcast()
	return http.StatusOK, wire.TxnResponse{Revision: s.revision}
}
