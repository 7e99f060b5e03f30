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
func (s *fakeStore) lowerLimits(value, ops int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxValueBytes, s.maxOperations, s.limitsLowered = value, ops, true
}

// outage has the store refuse everybody; once it is over, every lease has its full time again.
func (s *fakeStore) setOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = on
	for t, life := range s.leaseTTLs {
		if !on && !s.leaseEnds[t].IsZero() {
			s.leaseEnds[t] = time.Now().Add(life)
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
func (s *fakeStore) respondSlowly(slow time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = slow
}

// applyLate carries a transaction out after a while, whatever came of it before.
func (s *fakeStore) applyLate(t wire.Txn, after time.Duration) {
	time.AfterFunc(after, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.expireLeases(); !s.unavailable {
			s.commit(t)
		}
	})
}

// refuseAlone has the store refuse a controller alone, or ends that.
func (s *fakeStore) refuseController(node string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedControllers[node] = on
	s.cond.Broadcast()
}

// loseData has the store lose data.
func (s *fakeStore) loseData(how string, ago time.Duration, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch how {
	case allKeysLost:
		s.revision, s.keys, s.log, s.logTimes = 1, map[string]wire.KeyValue{}, nil, nil
		clear(s.leaseEnds)
	case restoredFromBackup:
		n := 0
		for n < len(s.log) && n < len(s.logTimes) && time.Since(s.logTimes[n]) > ago {
			n++
		}
		s.revision, s.keys, s.log, s.logTimes = 1, map[string]wire.KeyValue{}, s.log[:n:n], s.logTimes[:n:n]
		for _, c := range s.log {
			s.revision = c.ModRevision
			s.apply(c)
		}
		clear(s.leaseEnds)
		for _, it := range s.keys { // grants come back with what is on them
			if it.LeaseID != 0 {
				s.leaseEnds[it.LeaseID] = time.Now().Add(s.leaseTTLs[it.LeaseID])
			}
		}
	case someKeysLost:
		ks := slices.Sorted(maps.Keys(s.keys))
		for i, k := range ks {
			if i%3 == 1 {
				delete(s.keys, k)
			}
		}
	case valueCorrupted:
		for _, k := range slices.Sorted(maps.Keys(s.keys)) {
			if strings.HasPrefix(k, key) {
				it := s.keys[k]
				it.Value = []byte(`"rot"`)
				s.keys[k] = it
				break
			}
		}
	}
	s.cond.Broadcast()
}
