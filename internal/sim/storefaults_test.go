package sim

import (
	"maps"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"rillflow/internal/wire"
)

// limitRates has the store refuse what is above so many requests and writes a second.
func (s *fakeStore) limitRates(requests, writes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestRate = rate.NewLimiter(rate.Limit(requests), int(requests))
	s.writeRate = rate.NewLimiter(rate.Limit(writes), int(writes))
}

// lowerLimits lets the limits fall, as was announced to the controllers.
func (s *fakeStore) lowerLimits(valueBytes, operations int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxValueBytes, s.maxOperations, s.limitsLowered = valueBytes, operations, true
}

// outage has the store refuse everybody; once it is over, every lease has its full time again.
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

// delayTransactions has a share of the transactions get no answer and be carried out late.
func (s *fakeStore) delayTransactions(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateShare = share
}

// respondSlowly has answers take up to so long.
func (s *fakeStore) respondSlowly(maxLatency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = maxLatency
}

// applyLate carries a transaction out after a while, whatever came of it before.
func (s *fakeStore) applyLate(txn wire.Txn, delay time.Duration) {
	time.AfterFunc(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.expireLeases(); !s.unavailable {
			s.commit(txn)
		}
	})
}

// refuseAlone has the store refuse a controller alone, or ends that.
func (s *fakeStore) refuseController(controller string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedControllers[controller] = refused
	s.cond.Broadcast()
}

// loseData has the store lose data.
func (s *fakeStore) loseData(kind string, age time.Duration, keyPrefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch kind {
	case allKeysLost:
		s.revision, s.keys, s.log, s.logTimes = 1, map[string]wire.KeyValue{}, nil, nil
		clear(s.leaseEnds)
	case restoredFromBackup:
		restored := 0
		for restored < len(s.log) && restored < len(s.logTimes) && time.Since(s.logTimes[restored]) > age {
			restored++
		}
		s.revision, s.keys, s.log, s.logTimes = 1, map[string]wire.KeyValue{}, s.log[:restored:restored], s.logTimes[:restored:restored]
		for _, op := range s.log {
			s.revision = op.ModRevision
			s.apply(op)
		}
		clear(s.leaseEnds)
		for _, item := range s.keys { // grants come back with what is on them
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
