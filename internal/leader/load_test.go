package leader

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"rillflow/internal/election"
	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/replica"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// page is the state service's bound on a page: items and bytes.
const pageItems, pageBytes = 1000, 512 << 10

// fakeStore answers lists of what is stored, and counts them.
type fakeStore struct {
	keys     []string
	data     map[string][]byte
	requests int
	bytes    int
}

func (s *fakeStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	p := wire.RangeResponse{Revision: 9}
	size := 0
	i, _ := slices.BinarySearch(s.keys, max(q.Get("under"), q.Get("after")+"\x00"))
	for ; i < len(s.keys) && strings.HasPrefix(s.keys[i], q.Get("under")); i++ {
		if size += len(s.data[s.keys[i]]); len(p.Items) == pageItems || size > pageBytes {
			p.More = true
			break
		}
		p.Items = append(p.Items, wire.KeyValue{Key: s.keys[i], Value: s.data[s.keys[i]], ModRevision: 9})
	}
	b, err := json.Marshal(p)
	if err != nil {
		http.Error(w, err.Error(), 500)
		return
	}
	s.requests++
	s.bytes += len(b)
	w.Write(b)
}

// BenchmarkTakeover is a new leader's load: reading, decoding and rebuilding the
// claims of arrays of 45 tasks, 8 on a host. It reports what it asks of the state
// service.
func BenchmarkTakeover(b *testing.B) {
	for _, tasks := range []int{500, 5000, 50000} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			const size = 45
			store := &fakeStore{data: make(map[string][]byte)}
			teams := []settings.Team{{Name: "t", CPUs: 1e9, CPUsMax: 1e9}}
			table := ledger.New("w", teams)
			for n := range (tasks + size - 1) / size {
				record := ledger.JobRecord{Job: wire.Job{ID: fmt.Sprintf("req-%06d", n), Team: "t", Class: "tally-sweeps", Kind: wire.KindArray, Priority: "standard", TaskCount: size, CPUs: 1, MemoryGB: 1, Image: "b", ExpectedSeconds: 20}, SubmittedMS: 1, ChunkTasks: 64}
				data, err := ledger.Encode(record)
				if err != nil {
					b.Fatal(err)
				}
				store.data[ledger.LiveKey(record.Job.ID)] = data
				job := table.AddJob(record.Job.ID, record, 9)
				for i := range size {
					if _, err := table.Claim(job, fmt.Sprintf("i-%06d", (n*size+i)/8), 1, "zone-a"); err != nil {
						b.Fatal(err)
					}
				}
			}
			for {
				batch := table.NextBatch(ledger.BatchLimits{MaxOperations: 16, MaxBytes: 40 << 10, MaxValueBytes: 16 << 10}, time.Now())
				if batch == nil {
					break
				}
				for _, op := range batch.Operations {
					store.data[op.Put] = op.Value
				}
				table.BatchCommitted(batch, 9)
			}
			store.keys = slices.Sorted(maps.Keys(store.data))
			srv := httptest.NewServer(store)
			defer srv.Close()
			var d net.Dialer
			client := kvstore.New(kvstore.Options{Addr: strings.TrimPrefix(srv.URL, "http://"), RequestsPerSecond: 1e6, Limits: kvstore.Limits{WritesPerSecond: 1e6, MaxValueBytes: 16 << 10}, Timeout: time.Minute, Dial: d.DialContext})
			b.ReportAllocs()
			for b.Loop() {
				ctx, end := context.WithCancel(b.Context())
				g, ctx := errgroup.WithContext(ctx)
				env := &environment{settings: &settings.Settings{Node: "n"}, store: client, replica: replica.New(1 << 20), log: slog.New(slog.DiscardHandler), now: time.Now}
				leader := newLeaderTerm(ctx, env, &fakeLeadership{election.ShardMap{Epoch: 2, Leader: "n", Owners: []string{"n"}}}, 2, g)
				leader.jobs = ledger.New("v", teams)
				if _, err := leader.loader.load(ctx); err != nil {
					b.Fatal(err)
				}
				end()
				if got := len(leader.jobs.ClaimedWorkers()); got != (tasks+size-1)/size*size/8 && got != (tasks+size-1)/size*size/8+1 {
					b.Fatalf("%d hosts", got)
				}
			}
			b.ReportMetric(float64(store.requests)/float64(b.N), "requests/op")
			b.ReportMetric(float64(store.bytes)/float64(b.N)/1024, "KB/op")
		})
	}
}
