package sim

import (
	"maps"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"rillflow/internal/wire"
)

// limitRates makes the store refuse requests and writes above the given rates per second.
func (s *fakeStore) limitRates(requests, writes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestRate = rate.NewLimiter(rate.Limit(requests), int(requests))
	s.writeRate = rate.NewLimiter(rate.Limit(writes), int(writes))
}

// lowerLimits applies the lower limits that were announced to the controllers.
func (s *fakeStore) lowerLimits(valueBytes, operations int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxValueBytes, s.maxOperations, s.limitsLowered = valueBytes, operations, true
}

// setOutage begins or ends an outage, in which all requests are refused. At its end, every
// lease has its full TTL again.
func (s *fakeStore) setOutage(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
	for leaseID, ttl := range s.leaseTTLs {
		if !unavailable && !s.leaseEnds[leaseID].IsZero() {
			s.leaseEnds[leaseID] = time.Now().Add(ttl)
		}
	}
	s.cond.Broadcast()
}

// delayTransactions makes the store apply a share of the transactions late and without a
// response.
func (s *fakeStore) delayTransactions(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateShare = share
}

// respondSlowly adds latency to requests and their responses; 0 removes it.
func (s *fakeStore) respondSlowly(maxLatency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = maxLatency
}

// applyLate commits a transaction after a delay, whether or not it was applied before.
func (s *fakeStore) applyLate(txn wire.Txn, delay time.Duration) {
	time.AfterFunc(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.expireLeases(); !s.unavailable {
			s.commit(txn)
		}
	})
}

// refuseController makes the store refuse the requests of a controller, or serve them again.
func (s *fakeStore) refuseController(controller string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedControllers[controller] = refused
	s.cond.Broadcast()
}

// loseData causes a loss of the given kind. age is the age of the restored backup, and
// keyPrefix selects the key whose value is corrupted.
func (s *fakeStore) loseData(kind string, age time.Duration, keyPrefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch kind {
	case allKeysLost:
		s.revision, s.keys, s.log, s.logTimes = 1, map[string]wire.KeyValue{}, nil, nil
		clear(s.leaseEnds)
	case restored:
		count := 0
		for count < len(s.log) && count < len(s.logTimes) && time.Since(s.logTimes[count]) > age {
			count++
		}
		s.revision, s.keys, s.log, s.logTimes = 1, map[string]wire.KeyValue{}, s.log[:count:count], s.logTimes[:count:count]
		for _, op := range s.log {
			s.revision = op.ModRevision
			s.apply(op)
		}
		clear(s.leaseEnds)
		for _, item := range s.keys { // leases are restored with the keys attached to them
			if item.LeaseID != 0 {
				s.leaseEnds[item.LeaseID] = time.Now().Add(s.leaseTTLs[item.LeaseID])
			}
		}
	case someKeysLost:
		keys := slices.Sorted(maps.Keys(s.keys))
		for i, key := range keys {
			if i%3 == 1 {
				delete(s.keys, key)
			}
		}
	case valueCorrupted:
		for _, key := range slices.Sorted(maps.Keys(s.keys)) {
			if strings.HasPrefix(key, keyPrefix) {
				item := s.keys[key]
				item.Value = []byte(`"rot"`)
				s.keys[key] = item
				break
			}
		}
	}
	s.cond.Broadcast()
}
