package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in of the state service: keys with stamps, guarded transactions, grants, changes
// and the limits of the settings. Each controller has a listener of its own, so that a case can tell
// who asks.
type Store struct {
	RPS, WriteRPS float64
	ValueKB       int
	TxnOps        int
	Latency       time.Duration
	rec           *Record
	mu            sync.Mutex
	changed       chan struct{} // closed and replaced on each change
	generation    uint64
	items         map[string]storeItem
	log           []storeChange
	dropped       uint64 // changes up to this generation are not kept any more
	grants        map[uint64]*storeGrant
	lastGrant     uint64
	requests      bucket
	writes        bucket
	outage        bool
	refused       map[string]bool // controllers that are refused alone
	rejections    int
	asked         map[string]int // requests by kind and key
}

type storeItem struct {
	data   json.RawMessage
	stamp  uint64
	ticket uint64
}

type storeChange struct {
	Put    string          `json:"put,omitempty"`
	Remove string          `json:"remove,omitempty"`
	Data   json.RawMessage `json:"data,omitempty"`
	Stamp  uint64          `json:"stamp"`
	Ticket uint64          `json:"ticket,omitempty"`
}

type storeGrant struct {
	life time.Duration
	ends time.Time
}

// bucket is a token bucket with a burst of one second's worth.
type bucket struct {
	rate, tokens float64
	at           time.Time
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

func newStore(rec *Record, rps, writeRPS float64, valueKB, txnOps int) *Store {
	now := time.Now()
	return &Store{
		RPS: rps, WriteRPS: writeRPS, ValueKB: valueKB, TxnOps: txnOps, Latency: 3 * time.Millisecond, rec: rec,
		changed: make(chan struct{}), generation: 1, items: map[string]storeItem{}, grants: map[uint64]*storeGrant{},
		asked: map[string]int{}, refused: map[string]bool{}, requests: bucket{rps, rps, now}, writes: bucket{writeRPS, writeRPS, now},
	}
}

// SetOutage begins or ends an outage for all. Every grant has its full time again at the end.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage && !on {
		for _, grant := range s.grants {
			grant.ends = time.Now().Add(grant.life)
		}
	}
	s.outage = on
	s.wake()
}

// counts returns the lists that were asked for most often.
func (s *Store) counts() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var kinds []string
	for kind, n := range s.asked {
		if n >= 50 {
			kinds = append(kinds, fmt.Sprintf("%d x %s", n, kind))
		}
	}
	sort.Strings(kinds)
	return strings.Join(kinds, "; ")
}

// Refuse begins or ends the refusal of one controller. Its open watches wait.
func (s *Store) Refuse(controller string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[controller] = on
	s.wake()
}

func (s *Store) wake() { close(s.changed); s.changed = make(chan struct{}) }

// expire removes ended grants and the keys attached to them.
func (s *Store) expire() {
	if s.outage {
		return
	}
	for id, grant := range s.grants {
		if time.Now().After(grant.ends) {
			s.dropGrant(id)
		}
	}
}

func (s *Store) dropGrant(id uint64) {
	delete(s.grants, id)
	for key, item := range s.items {
		if item.ticket == id {
			s.generation++
			delete(s.items, key)
			s.append(storeChange{Remove: key, Stamp: s.generation})
		}
	}
	s.wake()
}

func (s *Store) append(change storeChange) {
	s.log = append(s.log, change)
	if extra := len(s.log) - 10000; extra > 0 {
		s.dropped = s.log[extra-1].Stamp
		s.log = s.log[extra:]
	}
}

// Leader returns the controller that the project's leader key names. Only cases that disturb the
// leader use it.
func (s *Store) Leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var record struct {
		Node string `json:"node"`
	}
	json.Unmarshal(s.items["lead"].data, &record)
	return record.Node
}

func (s *Store) serve(listener net.Listener, controller string) {
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(w, r, controller) })}
	go server.Serve(listener)
}

func reply(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	w.Write(data)
}

func (s *Store) handle(w http.ResponseWriter, r *http.Request, controller string) {
	body, _ := io.ReadAll(r.Body)
	time.Sleep(s.Latency)
	s.mu.Lock()
	s.expire()
	if s.outage || s.refused[controller] {
		s.mu.Unlock()
		reply(w, 503, map[string]string{"error": "trouble"})
		return
	}
	if !s.requests.take(1) {
		s.rejections++
		s.mu.Unlock()
		reply(w, 429, map[string]string{"error": "too many requests"})
		return
	}
	if r.Method == "GET" && r.URL.Path == "/store" {
		s.asked["list "+r.URL.RawQuery]++
	}
	if r.URL.Path == "/changes" {
		s.changes(w, r, controller) // unlocks
		return
	}
	status, answer := s.answer(r, body)
	s.mu.Unlock()
	reply(w, status, answer)
}

func (s *Store) answer(r *http.Request, body []byte) (int, any) {
	query := r.URL.Query()
	path := r.URL.Path
	switch {
	case r.Method == "GET" && path == "/store":
		return s.list(query.Get("under"), query.Get("after"), query.Get("limit"))
	case r.Method == "GET" && strings.HasPrefix(path, "/store/"):
		key := path[len("/store/"):]
		item, ok := s.items[key]
		if !ok {
			return 404, map[string]any{"generation": s.generation}
		}
		return 200, map[string]any{"path": key, "data": item.data, "stamp": item.stamp, "ticket": item.ticket}
	case r.Method == "POST" && path == "/commit":
		return s.commit(body)
	case r.Method == "POST" && path == "/grants":
		var grant struct {
			LifeMS int64 `json:"life_ms"`
		}
		if json.Unmarshal(body, &grant) != nil || grant.LifeMS < 100 || grant.LifeMS > 600000 {
			return 400, map[string]string{"error": "malformed"}
		}
		s.lastGrant++
		life := time.Duration(grant.LifeMS) * time.Millisecond
		s.grants[s.lastGrant] = &storeGrant{life, time.Now().Add(life)}
		return 200, map[string]any{"ticket": s.lastGrant}
	case strings.HasPrefix(path, "/grants/"):
		id, _ := strconv.ParseUint(strings.Split(path, "/")[2], 10, 64)
		grant := s.grants[id]
		switch {
		case grant == nil:
			return 404, map[string]any{"error": "no such lease"}
		case r.Method == "DELETE":
			s.dropGrant(id)
		default:
			grant.ends = time.Now().Add(grant.life)
		}
		return 200, map[string]any{"ticket": id}
	}
	return 400, map[string]string{"error": "malformed"}
}

// list answers with up to limit items, 1,000 and 512 KiB at most.
func (s *Store) list(under, after, limitText string) (int, any) {
	limit := 1000
	if n, err := strconv.Atoi(limitText); err == nil && n > 0 {
		limit = min(n, 1000)
	}
	keys := make([]string, 0, len(s.items))
	for key := range s.items {
		if strings.HasPrefix(key, under) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, more, size := []map[string]any{}, false, 0
	for _, key := range keys {
		item := s.items[key]
		itemSize := len(key) + len(item.data) + 60
		if len(items) == limit || len(items) > 0 && size+itemSize > 512<<10 {
			more = true
			break
		}
		size += itemSize
		items = append(items, map[string]any{"path": key, "data": item.data, "stamp": item.stamp, "ticket": item.ticket})
	}
	return 200, map[string]any{"items": items, "more": more, "generation": s.generation}
}

func (s *Store) commit(body []byte) (int, any) {
	var txn struct {
		Guards []struct {
			Path  string `json:"path"`
			Stamp uint64 `json:"stamp"`
		} `json:"guards"`
		Apply []storeChange `json:"apply"`
	}
	malformed := map[string]string{"error": "malformed"}
	if len(body) > 64<<10 || json.Unmarshal(body, &txn) != nil ||
		len(txn.Apply) > s.TxnOps || len(txn.Guards) > 4*s.TxnOps {
		return 400, malformed
	}
	for _, change := range txn.Apply {
		key := change.Put + change.Remove
		if (change.Put == "") == (change.Remove == "") || len(key) > 200 || strings.Contains(key, " ") ||
			len(change.Data) > s.ValueKB<<10 {
			return 400, malformed
		}
	}
	if len(txn.Apply) > 0 && !s.writes.take(float64(len(txn.Apply))) {
		s.rejections++
		return 429, map[string]string{"error": "too many changes"}
	}
	for _, change := range txn.Apply {
		if change.Ticket != 0 && s.grants[change.Ticket] == nil {
			return 400, map[string]string{"error": "no such lease"}
		}
	}
	failed := []string{}
	for _, guard := range txn.Guards {
		if s.items[guard.Path].stamp != guard.Stamp {
			failed = append(failed, guard.Path)
		}
	}
	if len(failed) > 0 {
		return 409, map[string]any{"failed": failed, "generation": s.generation}
	}
	if len(txn.Apply) > 0 {
		s.generation++
		for _, change := range txn.Apply {
			change.Stamp = s.generation
			if change.Put != "" {
				s.items[change.Put] = storeItem{change.Data, s.generation, change.Ticket}
			} else {
				delete(s.items, change.Remove)
				change.Data = nil
			}
			s.append(change)
		}
		s.wake()
	}
	return 200, map[string]any{"generation": s.generation}
}

// changes answers a watch. It is called with s.mu held and unlocks it.
func (s *Store) changes(w http.ResponseWriter, r *http.Request, controller string) {
	query := r.URL.Query()
	under := query.Get("under")
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(waitMS, 60000)) * time.Millisecond)
	defer timer.Stop()
	expired := waitMS == 0
	for {
		if after < s.dropped {
			s.mu.Unlock()
			reply(w, 410, map[string]string{"error": "too old"})
			return
		}
		if !s.outage && !s.refused[controller] {
			log := []storeChange{}
			first := sort.Search(len(s.log), func(i int) bool { return s.log[i].Stamp > after })
			for _, change := range s.log[first:] {
				if strings.HasPrefix(change.Put+change.Remove, under) {
					log = append(log, change)
				}
			}
			if len(log) > 0 || expired {
				generation := s.generation
				s.mu.Unlock()
				reply(w, 200, map[string]any{"generation": generation, "log": log})
				return
			}
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
	}
}
