package sim

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"rillflow/internal/wire"
)

// ServeHTTP serves the store's protocol. It models no connection limits and no body limits.
func (s *fakeStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	controller, _, _ := strings.Cut(r.RemoteAddr, ":")
	// The body is read before locking: it may arrive in several packets, and a goroutine that
	// waits for a mutex held meanwhile would stop the simulated clock.
	body, _ := io.ReadAll(r.Body)
	latency := s.drawLatency()
	time.Sleep(latency / 4) // request latency
	if r.URL.Path != "/changes" {
		defer time.Sleep(3 * latency / 4) // response latency, after the request was applied
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if s.unavailable || s.refusedControllers[controller] {
		writeJSON(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "trouble"})
		return
	}
	s.requestsBySecond[time.Now().Unix()]++
	if !s.takeRate(s.requestRate, 1) {
		s.rateRefusals++
		writeJSON(w, http.StatusTooManyRequests, wire.ErrorResponse{Error: "rate"})
		return
	}
	switch path := r.URL.Path; {
	case path == "/commit":
		s.serveCommit(w, r, controller, body)
	case path == "/store":
		s.serveRange(w, r)
	case strings.HasPrefix(path, "/store/"):
		s.serveGet(w, path[len("/store/"):])
	case path == "/changes":
		s.serveWatch(w, r, controller)
	case path == "/grants":
		s.serveGrant(w, body)
	default:
		s.serveLease(w, r)
	}
}

// drawLatency draws the total latency of a request and its response.
func (s *fakeStore) drawLatency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latency == 0 {
		return 0
	}
	return s.latency/4 + time.Duration(s.rnd.Int64N(int64(s.latency)))
}

// serveCommit commits a transaction, unless an injected fault delays it. The caller holds
// s.mu, as for all handlers below.
func (s *fakeStore) serveCommit(w http.ResponseWriter, r *http.Request, controller string, body []byte) {
	var txn wire.Txn
	json.Unmarshal(body, &txn)
	if !s.takeRate(s.writeRate, len(txn.Operations)) {
		writeJSON(w, http.StatusTooManyRequests, wire.ErrorResponse{Error: "rate"})
		return
	}
	if s.lateShare > 0 && s.rnd.Float64() < s.lateShare {
		s.applyLate(txn, 2*time.Second+time.Duration(s.rnd.Int64N(int64(10*time.Second))))
		if s.rnd.IntN(2) == 0 {
			panic(http.ErrAbortHandler)
		}
		s.mu.Unlock()
		<-r.Context().Done() // until the sender gives up
		s.mu.Lock()
		return
	}
	status, result := s.commit(txn)
	s.writesBySecond[time.Now().Unix()] += len(txn.Operations)
	if s.rnd.IntN(50) == 0 { // a duplicate arrives later
		s.applyLate(txn, time.Duration(s.rnd.Int64N(int64(2*leaseDuration))))
	}
	if status == http.StatusOK && s.onCommit != nil && s.onCommit(controller, txn) || s.rnd.IntN(100) == 0 {
		panic(http.ErrAbortHandler) // applied, but the response is lost
	}
	writeJSON(w, status, result)
}

// rangeLimit is the page size of listings, small enough for most to need several pages.
const rangeLimit = 10

func (s *fakeStore) serveRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	var page wire.RangeResponse
	for key, item := range s.keys {
		if strings.HasPrefix(key, query.Get("under")) && key > query.Get("after") {
			page.Items = append(page.Items, item)
		}
	}
	slices.SortFunc(page.Items, func(a, b wire.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Items) > rangeLimit {
		page.Items, page.More = page.Items[:rangeLimit], true
	}
	page.Revision = s.revision
	writeJSON(w, http.StatusOK, page)
}

func (s *fakeStore) serveGet(w http.ResponseWriter, key string) {
	if item, ok := s.keys[key]; ok {
		writeJSON(w, http.StatusOK, item)
	} else {
		writeJSON(w, http.StatusNotFound, wire.RangeResponse{Revision: s.revision})
	}
}

// serveWatch responds once there are changes or the requested wait has passed. While the store
// is unavailable or refuses the controller, it keeps waiting.
func (s *fakeStore) serveWatch(w http.ResponseWriter, r *http.Request, controller string) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMillis, _ := strconv.Atoi(query.Get("wait_ms"))
	end := time.Now().Add(time.Duration(waitMillis) * time.Millisecond)
	timer := time.AfterFunc(time.Until(end), func() { s.mu.Lock(); defer s.mu.Unlock(); s.cond.Broadcast() })
	defer timer.Stop()
	for {
		var changes wire.WatchResponse
		for _, change := range s.log {
			if change.ModRevision > after && strings.HasPrefix(change.Put+change.Delete, query.Get("under")) {
				changes.Events = append(changes.Events, change)
			}
		}
		isServed := !s.unavailable && !s.refusedControllers[controller]
		if isServed && (len(changes.Events) > 0 || !time.Now().Before(end)) {
			changes.Revision = s.revision
			writeJSON(w, http.StatusOK, changes)
			return
		}
		if r.Context().Err() != nil {
			return
		}
		s.cond.Wait()
		s.expireLeases()
	}
}

func (s *fakeStore) serveGrant(w http.ResponseWriter, body []byte) {
	var request wire.Lease
	json.Unmarshal(body, &request)
	s.lastLease++
	ttl := time.Duration(request.TTLMillis) * time.Millisecond
	s.leaseEnds[s.lastLease], s.leaseTTLs[s.lastLease] = time.Now().Add(ttl), ttl
	writeJSON(w, http.StatusOK, wire.Lease{ID: s.lastLease})
}

// serveLease renews or revokes a lease.
func (s *fakeStore) serveLease(w http.ResponseWriter, r *http.Request) {
	leaseID, _ := strconv.ParseUint(strings.Split(r.URL.Path, "/")[2], 10, 64)
	if s.leaseEnds[leaseID].IsZero() {
		writeJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	if r.Method == http.MethodDelete {
		s.dropLease(leaseID)
	} else {
		s.leaseEnds[leaseID] = time.Now().Add(s.leaseTTLs[leaseID])
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
