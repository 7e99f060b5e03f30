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

// fakeStore is a linearizable in-memory fake of the key-value store: keys with revisions,
// transactions, leases, watches and limits, as in the protocol's description of the state
// service.
type fakeStore struct {
	mu   sync.Mutex // guards all fields below
	cond *sync.Cond // signals changes to watches
	rnd  *rand.Rand

	revision  uint64
	keys      map[string]wire.KeyValue
	log       []wire.Operation // every change
	logTimes  []time.Time      // of the changes in the log
	leaseEnds map[uint64]time.Time
	leaseTTLs map[uint64]time.Duration
	lastLease uint64

	// Limits. A nil rate is unlimited; others allow bursts of one second's worth.
	maxValueBytes          int
	maxOperations          int // per transaction
	limitsLowered          bool
	requestRate, writeRate *rate.Limiter

	// Faults.
	unavailable        bool            // all requests are refused
	refusedControllers map[string]bool // controllers whose requests are refused
	latency            time.Duration   // 0: none; else a request and its response take 1/4 to 5/4 of it
	lateShare          float64         // share of transactions that get no response and are applied much later
	// onCommit, if set, is called for each applied transaction and may drop its response.
	onCommit func(controller string, txn wire.Txn) (lost bool)

	// Checks and counters.
	recordViolation                  func(string, ...any)
	tooLargeCounts                   map[string]int // refusals for size, by encoded transaction
	rateRefusals                     int            // requests refused for their rate
	requestsBySecond, writesBySecond map[int64]int  // by Unix time
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

// takeRate takes n tokens from a rate limit and reports whether it allows them. The caller
// holds s.mu.
func (s *fakeStore) takeRate(limiter *rate.Limiter, n int) bool {
	return limiter == nil || limiter.AllowN(time.Now(), n)
}

// leaderChanges returns how often the leader key was written since a time.
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

// peakRates returns the most requests and the most writes in one second since a time.
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

// recordEvent appends a change to the log. The caller holds s.mu.
func (s *fakeStore) recordEvent(op wire.Operation) {
	s.log, s.logTimes = append(s.log, op), append(s.logTimes, time.Now())
}

// apply applies a change to the keys. The caller holds s.mu.
func (s *fakeStore) apply(op wire.Operation) {
	if op.Put != "" {
		s.keys[op.Put] = wire.KeyValue{Key: op.Put, Value: op.Value, ModRevision: op.ModRevision, LeaseID: op.LeaseID}
	} else {
		delete(s.keys, op.Delete)
	}
}

// expireLeases drops expired leases, but none during an outage. The caller holds s.mu.
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

// dropLease removes a lease and the keys attached to it. The caller holds s.mu.
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

// leaderIndex returns the index of the controller named by the leader key, or -1.
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

// tooLarge reports whether a transaction exceeds the limits, and records a violation if the
// controller should have known them. Just after the announced limits come into force, a
// controller may send a transaction that is too large, but not again once it was refused. Two
// copies are allowed, because a controller that got no response sends the transaction again.
func (s *fakeStore) tooLarge(txn wire.Txn) bool {
	large := len(txn.Operations) > s.maxOperations || len(txn.Compares) > 4*s.maxOperations
	for _, op := range txn.Operations {
		large = large || len(op.Value) > s.maxValueBytes
	}
	if large {
		encoded, _ := json.Marshal(txn)
		if !s.limitsLowered || s.tooLargeCounts[string(encoded)] > 1 {
			s.recordViolation("too_large: a transaction of %d operations, %d comparisons and %d bytes exceeds the limits", len(txn.Operations), len(txn.Compares), len(encoded))
		}
		s.tooLargeCounts[string(encoded)]++
	}
	return large
}

// commit applies a transaction or refuses it, and returns the status and body of the response.
// The caller holds s.mu.
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
