package sim

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"rillflow/internal/wire"
)

// store stands in for the store.
type store struct {
	mu     sync.Mutex
	cond   *sync.Cond
	rnd    *rand.Rand
	rev    uint64
	keys   map[string]wire.KeyValue
	log    []wire.Operation
	grants map[uint64]time.Time
	lives  map[uint64]time.Duration
	next   uint64
	down   bool
	refuse map[string]bool // nodes that alone are refused
	value  int             // limits: bytes of a value, changes of a transaction
	ops    int
	fallen bool
	slow   time.Duration  // answers take up to so long, which is no outage
	late   float64        // share of transactions without an answer that are carried out much later
	refust map[string]int // transactions refused for their size
	broke  func(string, ...any)
	times  []time.Time // of the changes in the log
	// What was asked and changed, by the second, and what sees each transaction that is
	// carried out and may have its answer lost.
	asked, wrote map[int64]int
	done         func(node string, t wire.Txn) (lost bool)
	// Limits of the rates, with bursts of a second's worth; nil: none.
	requestRate, writeRate *rate.Limiter
	requestsRefused        int // for their rate
}

// limitRates has the store refuse what is above so many requests and writes a second.
func (s *store) limitRates(requests, writes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestRate = rate.NewLimiter(rate.Limit(requests), int(requests))
	s.writeRate = rate.NewLimiter(rate.Limit(writes), int(writes))
}

// withinRate takes so many from a limit, if it allows them; run it with the lock held.
func (s *store) withinRate(limit *rate.Limiter, n int) bool {
	if limit == nil || limit.AllowN(time.Now(), n) {
		return true
	}
	return false
}

// leaderChanges is how often a controller took the leader's key since a time.
func (s *store) leaderChanges(since time.Time) (changes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, c := range s.log {
		if c.Put == "lead" && s.times[i].After(since) {
			changes++
		}
	}
	return changes
}

// peakRates is the most requests and changes in a second since a time.
func (s *store) peakRates(since time.Time) (asked, wrote int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for sec, n := range s.asked {
		if sec >= since.Unix() {
			asked, wrote = max(asked, n), max(wrote, s.wrote[sec])
		}
	}
	return asked, wrote
}

// loseData has the store lose data.
func (s *store) loseData(how string, ago time.Duration, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch how {
	case wiped:
		s.rev, s.keys, s.log, s.times = 1, map[string]wire.KeyValue{}, nil, nil
		clear(s.grants)
	case restored:
		n := 0
		for n < len(s.log) && n < len(s.times) && time.Since(s.times[n]) > ago {
			n++
		}
		s.rev, s.keys, s.log, s.times = 1, map[string]wire.KeyValue{}, s.log[:n:n], s.times[:n:n]
		for _, c := range s.log {
			s.rev = c.ModRevision
			if c.Put != "" {
				s.keys[c.Put] = wire.KeyValue{Key: c.Put, Value: c.Value, ModRevision: c.ModRevision, LeaseID: c.LeaseID}
			} else {
				delete(s.keys, c.Delete)
			}
		}
		clear(s.grants)
		for _, it := range s.keys { // grants come back with what is on them
			if it.LeaseID != 0 {
				s.grants[it.LeaseID] = time.Now().Add(s.lives[it.LeaseID])
			}
		}
	case holes:
		ks := slices.Sorted(maps.Keys(s.keys))
		for i, k := range ks {
			if i%3 == 1 {
				delete(s.keys, k)
			}
		}
	case rotten:
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

// recordEvent adds to the log; run it with the lock held.
func (s *store) recordEvent(c wire.Operation) {
	s.log, s.times = append(s.log, c), append(s.times, time.Now())
}

func newStore(rnd *rand.Rand, broke func(string, ...any)) *store {
	s := &store{rnd: rnd, rev: 1, keys: map[string]wire.KeyValue{}, grants: map[uint64]time.Time{}, lives: map[uint64]time.Duration{}, refuse: map[string]bool{}, value: 16 << 10, ops: 16, refust: map[string]int{}, broke: broke,
		asked: map[int64]int{}, wrote: map[int64]int{}}
	s.cond = sync.NewCond(&s.mu)
	return s
}

func (s *store) outage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = on
	for t, life := range s.lives {
		if !on && !s.grants[t].IsZero() {
			s.grants[t] = time.Now().Add(life)
		}
	}
	s.cond.Broadcast()
}

// delayTransactions has a share of the transactions get no answer and be carried out late.
func (s *store) delayTransactions(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = share
}

// respondSlowly has answers take up to so long.
func (s *store) respondSlowly(slow time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = slow
}

// expire ends leases that ran out; run it with the lock held.
func (s *store) expire() {
	if s.down {
		return
	}
	for t, at := range s.grants {
		if time.Now().After(at) {
			s.dropLease(t)
		}
	}
}

func (s *store) dropLease(ticket uint64) {
	delete(s.grants, ticket)
	for k, it := range s.keys {
		if it.LeaseID == ticket {
			s.rev++
			delete(s.keys, k)
			s.recordEvent(wire.Operation{Delete: k, ModRevision: s.rev})
		}
	}
	s.cond.Broadcast()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	node, _, _ := strings.Cut(r.RemoteAddr, ":")
	// Ahead of the lock: a body may come in several packets, and whoever waits for a lock
	// that is held meanwhile stops the simulation's clock.
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	slow := s.slow
	if slow > 0 {
		slow = slow/4 + time.Duration(s.rnd.Int64N(int64(slow)))
	}
	s.mu.Unlock()
	time.Sleep(slow / 4) // there
	if r.URL.Path != "/changes" {
		defer time.Sleep(3 * slow / 4) // and back: carried out, and not known yet
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.down || s.refuse[node] {
		answer(w, 503, wire.ErrorResponse{Error: "trouble"})
		return
	}
	s.asked[time.Now().Unix()]++
	if !s.withinRate(s.requestRate, 1) {
		s.requestsRefused++
		answer(w, http.StatusTooManyRequests, wire.ErrorResponse{Error: "rate"})
		return
	}
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/commit":
		var t wire.Txn
		json.Unmarshal(body, &t)
		if !s.withinRate(s.writeRate, len(t.Operations)) {
			answer(w, http.StatusTooManyRequests, wire.ErrorResponse{Error: "rate"})
			return
		}
		if s.late > 0 && s.rnd.Float64() < s.late {
			s.applyLate(t, 2*time.Second+time.Duration(s.rnd.Int64N(int64(10*time.Second))))
			if s.rnd.IntN(2) == 0 {
				panic(http.ErrAbortHandler)
			}
			s.mu.Unlock()
			<-r.Context().Done() // its sender gives up
			s.mu.Lock()
			return
		}
		status, res := s.commit(t)
		s.wrote[time.Now().Unix()] += len(t.Operations)
		if s.rnd.IntN(50) == 0 { // a copy of it comes once more, much later or at once
			s.applyLate(t, time.Duration(s.rnd.Int64N(int64(2*lease))))
		}
		if status == 200 && s.done != nil && s.done(node, t) || s.rnd.IntN(100) == 0 {
			panic(http.ErrAbortHandler) // executed, but the answer is lost
		}
		answer(w, status, res)
	case path == "/store":
		var p wire.RangeResponse
		for k, it := range s.keys {
			if strings.HasPrefix(k, q.Get("under")) && k > q.Get("after") {
				p.Items = append(p.Items, it)
			}
		}
		slices.SortFunc(p.Items, func(a, b wire.KeyValue) int { return strings.Compare(a.Key, b.Key) })
		if len(p.Items) > 10 {
			p.Items, p.More = p.Items[:10], true
		}
		p.Revision = s.rev
		answer(w, 200, p)
	case strings.HasPrefix(path, "/store/"):
		if it, ok := s.keys[path[len("/store/"):]]; ok {
			answer(w, 200, it)
		} else {
			answer(w, 404, wire.RangeResponse{Revision: s.rev})
		}
	case path == "/changes":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		ms, _ := strconv.Atoi(q.Get("wait_ms"))
		end := time.Now().Add(time.Duration(ms) * time.Millisecond)
		timer := time.AfterFunc(time.Until(end), func() { s.mu.Lock(); defer s.mu.Unlock(); s.cond.Broadcast() })
		defer timer.Stop()
		for {
			var l wire.WatchResponse
			for _, c := range s.log {
				if c.ModRevision > after && strings.HasPrefix(c.Put+c.Delete, q.Get("under")) {
					l.Events = append(l.Events, c)
				}
			}
			if !s.down && !s.refuse[node] && (len(l.Events) > 0 || !time.Now().Before(end)) {
				l.Revision = s.rev
				answer(w, 200, l)
				return
			}
			if r.Context().Err() != nil {
				return
			}
			s.cond.Wait()
			s.expire()
		}
	case path == "/grants":
		var g wire.Lease
		json.Unmarshal(body, &g)
		s.next++
		life := time.Duration(g.TTLMillis) * time.Millisecond
		s.grants[s.next], s.lives[s.next] = time.Now().Add(life), life
		answer(w, 200, wire.Lease{ID: s.next})
	default:
		f := strings.Split(path, "/")
		t, _ := strconv.ParseUint(f[2], 10, 64)
		if s.grants[t].IsZero() {
			answer(w, 404, struct{}{})
			return
		}
		if r.Method == http.MethodDelete {
			s.dropLease(t)
		} else {
			s.grants[t] = time.Now().Add(s.lives[t])
		}
		answer(w, 200, struct{}{})
	}
}

// applyLate carries a transaction out after a while, whatever came of it before.
func (s *store) applyLate(t wire.Txn, after time.Duration) {
	time.AfterFunc(after, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.expire(); !s.down {
			s.commit(t)
		}
	})
}

// refuseAlone has the store refuse a controller alone, or ends that.
func (s *store) refuseAlone(node string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse[node] = on
	s.cond.Broadcast()
}

// leads is the controller that the leader's key names; -1: none.
func (s *store) leads() int {
	n := -1
	fmt.Sscanf(s.get("lead"), `{"node":"host-%d"`, &n)
	return n
}

func (s *store) get(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.keys[key].Value)
}

// lowerLimits lets the limits fall, as was announced to the controllers.
func (s *store) lowerLimits(value, ops int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value, s.ops, s.fallen = value, ops, true
}

// tooLarge tells whether a transaction is over the limits. Once they have fallen
// as announced, one may be sent that a controller could not know to be too large, but
// not again. Two may come: one whose packets were held is sent anew without an answer.
func (s *store) tooLarge(t wire.Txn) bool {
	large := len(t.Operations) > s.ops || len(t.Compares) > 4*s.ops
	for _, c := range t.Operations {
		large = large || len(c.Value) > s.value
	}
	if large {
		b, _ := json.Marshal(t)
		if !s.fallen || s.refust[string(b)] > 1 {
			s.broke("a transaction of %d changes, %d guards and %d bytes", len(t.Operations), len(t.Compares), len(b))
		}
		s.refust[string(b)]++
	}
	return large
}

func (s *store) commit(t wire.Txn) (int, any) {
	if s.tooLarge(t) {
		return 400, wire.ErrorResponse{Error: "too large"}
	}
	var failed []string
	for _, g := range t.Compares {
		if s.keys[g.Key].ModRevision != g.ModRevision {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 {
		return 409, wire.TxnResponse{FailedKeys: failed, Revision: s.rev}
	}
	for _, c := range t.Operations {
		if c.LeaseID != 0 && s.grants[c.LeaseID].IsZero() {
			return 400, wire.ErrorResponse{Error: "no such lease"}
		}
	}
	s.rev++
	for _, c := range t.Operations {
		c.ModRevision = s.rev
		if c.Put != "" {
			s.keys[c.Put] = wire.KeyValue{Key: c.Put, Value: c.Value, ModRevision: s.rev, LeaseID: c.LeaseID}
		} else {
			delete(s.keys, c.Delete)
		}
		s.recordEvent(c)
	}
	s.cond.Broadcast()
	return 200, wire.TxnResponse{Revision: s.rev}
}
