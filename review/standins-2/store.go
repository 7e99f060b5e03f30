package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the state service: keys, transactions, leases and watches, as PROTOCOL describes it. Each
// controller has a listener of its own, so that one of them alone can be refused, held or dropped.
type store struct {
	mu      sync.Mutex
	keys    map[string]*storedKey
	gen     uint64
	log     []storeEvent
	leases  map[uint64]*storeLease
	nextID  uint64
	changed chan struct{}
	outage  bool

	rps, writeRPS   float64
	tokens, wtokens float64
	tokensAt        time.Time
	valueKB         float64
	txnOps          int
	latency         time.Duration
	nodes           map[int]*nodeLink
	late            int // transactions executed after their sender gave up
	onCommit        func(node int, txn *storeTxn, applied bool)
	responseDropper func(node int, r *http.Request, txn *storeTxn, applied bool) bool
	requestHolder   func(node int, r *http.Request, txn *storeTxn) time.Duration
	limitRefusals   int
}

type storedKey struct {
	data   json.RawMessage
	stamp  uint64
	ticket uint64
}

type storeEvent struct {
	Put    string          `json:"put,omitempty"`
	Remove string          `json:"remove,omitempty"`
	Data   json.RawMessage `json:"data,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

type storeLease struct {
	life    time.Duration
	expires time.Time
}

// nodeLink is the state of the path between one controller and a service.
type nodeLink struct {
	mu      sync.Mutex
	refused bool
	held    bool
	healed  chan struct{}
	flaky   float64 // share of requests whose response is dropped after the request was carried out
}

func newNodeLink() *nodeLink { return &nodeLink{healed: make(chan struct{})} }

func (l *nodeLink) set(refused, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused, l.held = refused, held
	close(l.healed)
	l.healed = make(chan struct{})
}

func (l *nodeLink) setFlaky(share float64) { l.mu.Lock(); l.flaky = share; l.mu.Unlock() }

func (l *nodeLink) state() (refused, held bool, healed chan struct{}, flaky float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refused, l.held, l.healed, l.flaky
}

// waitHeld blocks while the path holds packets, and reports whether it did.
func (l *nodeLink) waitHeld() bool {
	waited := false
	for {
		_, held, healed, _ := l.state()
		if !held {
			return waited
		}
		waited = true
		<-healed
	}
}

func newStore(rps, writeRPS, valueKB float64, txnOps int, latency time.Duration) *store {
	s := &store{
		keys: map[string]*storedKey{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{}),
		rps: rps, writeRPS: writeRPS, valueKB: valueKB, txnOps: txnOps, latency: latency,
		tokens: rps, wtokens: writeRPS, tokensAt: time.Now(), nodes: map[int]*nodeLink{},
	}
	go s.expireLoop()
	return s
}

func (s *store) listen(node int) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	s.nodes[node] = newNodeLink()
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(node, w, r) }))
	return listener.Addr().String()
}

func (s *store) setOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	if !on {
		for _, lease := range s.leases {
			lease.expires = time.Now().Add(lease.life)
		}
	}
	s.wake()
}

func (s *store) wake() { close(s.changed); s.changed = make(chan struct{}) }

func (s *store) expireLoop() {
	for {
		time.Sleep(5 * time.Millisecond)
		s.mu.Lock()
		now := time.Now()
		for id, lease := range s.leases {
			if !s.outage && now.After(lease.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var gone []string
	for key, item := range s.keys {
		if item.ticket == id {
			gone = append(gone, key)
		}
	}
	if len(gone) > 0 {
		s.gen++
		sort.Strings(gone)
		for _, key := range gone {
			delete(s.keys, key)
			s.append(storeEvent{Remove: key, Stamp: s.gen})
		}
		s.wake()
	}
}

func (s *store) append(event storeEvent) {
	s.log = append(s.log, event)
	if len(s.log) > 20000 {
		s.log = append([]storeEvent(nil), s.log[len(s.log)-10000:]...)
	}
}

type storeTxn struct {
	Guards []struct {
		Path  string `json:"path"`
		Stamp uint64 `json:"stamp"`
	} `json:"guards"`
	Apply []struct {
		Put    string          `json:"put"`
		Data   json.RawMessage `json:"data"`
		Ticket uint64          `json:"ticket"`
		Remove string          `json:"remove"`
	} `json:"apply"`
}

func reply(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	w.Write(data)
}

func dropConnection(w http.ResponseWriter) {
	if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
		conn.Close()
	}
}

func (s *store) serve(node int, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if len(body) > 64<<10 {
		reply(w, 400, map[string]string{"error": "too large"})
		return
	}
	var txn *storeTxn
	if r.URL.Path == "/commit" {
		txn = &storeTxn{}
		if json.Unmarshal(body, txn) != nil {
			reply(w, 400, map[string]string{"error": "malformed"})
			return
		}
	}
	link := s.nodes[node]
	held := link.waitHeld()
	if s.requestHolder != nil {
		if delay := s.requestHolder(node, r, txn); delay > 0 {
			time.Sleep(delay)
		}
	}
	if s.latency > 0 {
		time.Sleep(time.Duration(float64(s.latency) * (0.3 + 0.7*rand.Float64())))
	}
	refused, _, _, flaky := link.state()
	s.mu.Lock()
	down := s.outage || refused
	s.mu.Unlock()
	if down && r.URL.Path != "/changes" {
		reply(w, 503, map[string]string{"error": "trouble"})
		return
	}
	if !down {
		s.mu.Lock()
		ok := s.allow(txn)
		s.mu.Unlock()
		if !ok {
			reply(w, 429, map[string]string{"error": "too many"})
			return
		}
	} else {
		// A new watch is refused during an outage, open ones wait.
		reply(w, 503, map[string]string{"error": "trouble"})
		return
	}
	status, answer, applied := s.handle(node, r, body, txn, held)
	if link.waitHeld() { // the response is held too, and its receiver gave up
		dropConnection(w)
		return
	}
	if flaky > 0 && rand.Float64() < flaky || s.responseDropper != nil && s.responseDropper(node, r, txn, applied) {
		dropConnection(w)
		return
	}
	reply(w, status, answer)
}

func (s *store) allow(txn *storeTxn) bool {
	now := time.Now()
	passed := now.Sub(s.tokensAt).Seconds()
	s.tokensAt = now
	s.tokens = min(s.rps, s.tokens+passed*s.rps)
	s.wtokens = min(s.writeRPS, s.wtokens+passed*s.writeRPS)
	writes := 0.0
	if txn != nil {
		writes = float64(len(txn.Apply))
	}
	if s.tokens < 1 || s.wtokens < writes {
		s.limitRefusals++
		return false
	}
	s.tokens--
	s.wtokens -= writes
	return true
}

func (s *store) handle(node int, r *http.Request, body []byte, txn *storeTxn, held bool) (int, any, bool) {
	query := r.URL.Query()
	path := r.URL.Path
	switch {
	case path == "/commit" && r.Method == "POST":
		return s.commit(node, txn, held)
	case path == "/grants" && r.Method == "POST":
		var request struct {
			Life int64 `json:"life_ms"`
		}
		if json.Unmarshal(body, &request) != nil || request.Life < 100 || request.Life > 600000 {
			return 400, map[string]string{"error": "malformed"}, false
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.nextID++
		life := time.Duration(request.Life) * time.Millisecond
		s.leases[s.nextID] = &storeLease{life, time.Now().Add(life)}
		return 200, map[string]uint64{"ticket": s.nextID}, true
	case strings.HasPrefix(path, "/grants/"):
		parts := strings.Split(path, "/")
		id, _ := strconv.ParseUint(parts[2], 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		lease := s.leases[id]
		if lease == nil {
			return 404, map[string]string{"error": "no such lease"}, false
		}
		if r.Method == "DELETE" {
			s.endLease(id)
		} else {
			lease.expires = time.Now().Add(lease.life)
		}
		return 200, map[string]uint64{"ticket": id}, true
	case strings.HasPrefix(path, "/store/"):
		key := path[len("/store/"):]
		s.mu.Lock()
		defer s.mu.Unlock()
		item := s.keys[key]
		if item == nil {
			return 404, map[string]uint64{"generation": s.gen}, false
		}
		answer := map[string]any{"path": key, "data": item.data, "stamp": item.stamp}
		if item.ticket != 0 {
			answer["ticket"] = item.ticket
		}
		return 200, answer, false
	case path == "/store":
		limit, _ := strconv.Atoi(query.Get("limit"))
		if limit <= 0 || limit > 1000 {
			limit = 1000
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		var names []string
		for key := range s.keys {
			if strings.HasPrefix(key, query.Get("under")) && key > query.Get("after") {
				names = append(names, key)
			}
		}
		sort.Strings(names)
		more := false
		size := 0
		items := []any{}
		for _, key := range names {
			item := s.keys[key]
			if len(items) >= limit || size > 500<<10 {
				more = true
				break
			}
			size += len(item.data) + len(key) + 64
			items = append(items, map[string]any{"path": key, "data": item.data, "stamp": item.stamp})
		}
		return 200, map[string]any{"items": items, "more": more, "generation": s.gen}, false
	case path == "/changes":
		return s.watch(node, query.Get("under"), query.Get("after"), query.Get("wait_ms"))
	}
	return 400, map[string]string{"error": "malformed"}, false
}

func (s *store) watch(node int, prefix, afterText, waitText string) (int, any, bool) {
	after, _ := strconv.ParseUint(afterText, 10, 64)
	waitMS, _ := strconv.Atoi(waitText)
	deadline := time.Now().Add(time.Duration(min(waitMS, 60000)) * time.Millisecond)
	link := s.nodes[node]
	for {
		s.mu.Lock()
		refused, held, healed, _ := link.state()
		if !s.outage && !refused && !held {
			if len(s.log) > 0 && s.log[0].Stamp > after+1 && len(s.log) >= 10000 {
				s.mu.Unlock()
				return 410, map[string]uint64{"generation": s.gen}, false
			}
			first := sort.Search(len(s.log), func(i int) bool { return s.log[i].Stamp > after })
			found := []storeEvent{}
			for _, event := range s.log[first:] {
				if strings.HasPrefix(event.Put+event.Remove, prefix) {
					found = append(found, event)
				}
			}
			if len(found) > 0 || !time.Now().Before(deadline) {
				gen := s.gen
				s.mu.Unlock()
				return 200, map[string]any{"generation": gen, "log": found}, false
			}
		}
		changed := s.changed
		s.mu.Unlock()
		wait := time.Until(deadline)
		if wait < 5*time.Millisecond {
			wait = 5 * time.Millisecond
		}
		select {
		case <-changed:
		case <-healed:
		case <-time.After(wait):
		}
	}
}

func (s *store) commit(node int, txn *storeTxn, held bool) (int, any, bool) {
	if len(txn.Apply) > s.txnOps || len(txn.Guards) > 4*s.txnOps {
		return 400, map[string]string{"error": "too many"}, false
	}
	for _, op := range txn.Apply {
		if float64(len(op.Data)) > s.valueKB*1024 {
			return 400, map[string]string{"error": "value too large"}, false
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, op := range txn.Apply {
		if op.Put != "" && op.Ticket != 0 && s.leases[op.Ticket] == nil {
			return 400, map[string]string{"error": "no such lease"}, false
		}
	}
	failed := []string{}
	for _, guard := range txn.Guards {
		stamp := uint64(0)
		if item := s.keys[guard.Path]; item != nil {
			stamp = item.stamp
		}
		if stamp != guard.Stamp {
			failed = append(failed, guard.Path)
		}
	}
	applied := len(failed) == 0
	if s.onCommit != nil {
		s.onCommit(node, txn, applied)
	}
	if !applied {
		return 409, map[string]any{"failed": failed, "generation": s.gen}, false
	}
	if held {
		s.late++
	}
	if len(txn.Apply) > 0 {
		s.gen++
		for _, op := range txn.Apply {
			if op.Put != "" {
				s.keys[op.Put] = &storedKey{op.Data, s.gen, op.Ticket}
				s.append(storeEvent{Put: op.Put, Data: op.Data, Stamp: s.gen})
			} else if s.keys[op.Remove] != nil {
				delete(s.keys, op.Remove)
				s.append(storeEvent{Remove: op.Remove, Stamp: s.gen})
			}
		}
		s.wake()
	}
	return 200, map[string]uint64{"generation": s.gen}, true
}

func (s *store) get(key string) (json.RawMessage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if item := s.keys[key]; item != nil {
		return item.data, true
	}
	return nil, false
}

var _ = fmt.Sprint
