package leader

import (
	"cmp"
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
	"pgregory.net/rapid"

	"rillflow/internal/election"
	"rillflow/internal/kvstore"
	"rillflow/internal/ledger"
	"rillflow/internal/replica"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// The store's limits on a page of a list.
const (
	pageItems = 1000
	pageBytes = 512 << 10
)

// fakeStore is a store that only answers range reads, and counts requests and bytes.
type fakeStore struct {
	keys     []string
	data     map[string][]byte
	maxItems int // of a page; 0: pageItems
	requests int
	bytes    int
}

// newReader serves the store and returns a reader of it.
func (s *fakeStore) newReader(t *testing.T) *storeReader {
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	var dialer net.Dialer
	client := kvstore.New(kvstore.Options{
		Addr: strings.TrimPrefix(server.URL, "http://"), RequestsPerSecond: 1e6,
		Limits: kvstore.Limits{WritesPerSecond: 1e6}, Timeout: time.Minute, Dial: dialer.DialContext,
	})
	return &storeReader{&termScope{environment: &environment{store: client, settings: &settings.Settings{}}}}
}

func (s *fakeStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix, after := query.Get("under"), query.Get("after")
	page := wire.RangeResponse{Revision: 9}
	size := 0
	i, _ := slices.BinarySearch(s.keys, max(prefix, after+"\x00"))
	for ; i < len(s.keys) && strings.HasPrefix(s.keys[i], prefix); i++ {
		size += len(s.data[s.keys[i]])
		if len(page.Items) == cmp.Or(s.maxItems, pageItems) || size > pageBytes {
			page.More = true
			break
		}
		page.Items = append(page.Items, wire.KeyValue{Key: s.keys[i], Value: s.data[s.keys[i]], ModRevision: 9})
	}
	response, err := json.Marshal(page)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.requests++
	s.bytes += len(response)
	w.Write(response)
}

// Shape of the jobs in BenchmarkTakeover.
const (
	tasksPerJob    = 45
	tasksPerWorker = 8
)

// fill stores jobs with the given number of tasks in total, all of them claimed.
func (s *fakeStore) fill(b *testing.B, tasks int, teams []settings.Team) {
	table := ledger.New("w", teams)
	for n := range (tasks + tasksPerJob - 1) / tasksPerJob {
		record := ledger.JobRecord{
			Job: wire.Job{
				ID: fmt.Sprintf("req-%06d", n), Team: "t", Class: "tally-sweeps", Kind: wire.KindArray,
				Priority: "standard", TaskCount: tasksPerJob, CPUs: 1, MemoryGB: 1, Image: "b", ExpectedSeconds: 20,
			},
			SubmittedMS: 1, ChunkTasks: 64,
		}
		data, err := ledger.Encode(record)
		if err != nil {
			b.Fatal(err)
		}
		s.data[ledger.LiveKey(record.Job.ID)] = data
		job := table.AddJob(record.Job.ID, record, 9)
		for i := range tasksPerJob {
			worker := fmt.Sprintf("i-%06d", (n*tasksPerJob+i)/tasksPerWorker)
			if _, err := table.Claim(job, worker, 1, "zone-a"); err != nil {
				b.Fatal(err)
			}
		}
	}
	limits := ledger.BatchLimits{MaxOperations: 16, MaxBytes: 40 << 10, MaxValueBytes: 16 << 10}
	for batch := table.NextBatch(limits, time.Now()); batch != nil; batch = table.NextBatch(limits, time.Now()) {
		for _, op := range batch.Operations {
			s.data[op.Put] = op.Value
		}
		table.BatchCommitted(batch, 9)
	}
	s.keys = slices.Sorted(maps.Keys(s.data))
}

// BenchmarkTakeover measures how a new leader loads its state: it reads and decodes the claims of
// array jobs of 45 tasks, 8 on a worker, and adds them to the job table. It reports requests to
// the store and bytes read.
func BenchmarkTakeover(b *testing.B) {
	for _, tasks := range []int{500, 5000, 50000} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) { benchmarkTakeover(b, tasks) })
	}
}

func benchmarkTakeover(b *testing.B, tasks int) {
	teams := []settings.Team{{Name: "t", CPUs: 1e9, CPUsMax: 1e9}}
	store := &fakeStore{data: make(map[string][]byte)}
	store.fill(b, tasks, teams)
	server := httptest.NewServer(store)
	defer server.Close()
	var dialer net.Dialer
	client := kvstore.New(kvstore.Options{
		Addr: strings.TrimPrefix(server.URL, "http://"), RequestsPerSecond: 1e6,
		Limits:  kvstore.Limits{WritesPerSecond: 1e6, MaxValueBytes: 16 << 10},
		Timeout: time.Minute, Dial: dialer.DialContext,
	})
	leadership := &fakeLeadership{election.ShardMap{Epoch: 2, Leader: "n", Owners: []string{"n"}}}
	wantWorkers := (tasks + tasksPerJob - 1) / tasksPerJob * tasksPerJob / tasksPerWorker
	b.ReportAllocs()
	for b.Loop() {
		ctx, cancel := context.WithCancel(b.Context())
		group, ctx := errgroup.WithContext(ctx)
		env := &environment{
			settings: &settings.Settings{Name: "n"}, store: client, replica: replica.New(1 << 20),
			log: slog.New(slog.DiscardHandler), now: time.Now,
		}
		leader := newLeaderTerm(ctx, env, leadership, 2, group)
		leader.jobs = ledger.New("v", teams)
		if _, err := leader.loader.load(ctx); err != nil {
			b.Fatal(err)
		}
		cancel()
		if workers := len(leader.jobs.ClaimedWorkers()); workers != wantWorkers && workers != wantWorkers+1 {
			b.Fatalf("got %d claimed workers, want %d or %d", workers, wantWorkers, wantWorkers+1)
		}
	}
	b.ReportMetric(float64(store.requests)/float64(b.N), "requests/op")
	b.ReportMetric(float64(store.bytes)/float64(b.N)/1024, "KB/op")
}

// Guards against takeovers that take one read per ended job with chunks left, and there may be
// many of these.
func TestEndRecordsAreReadInPages(t *testing.T) {
	const ended, pages = 2500, 3
	store := &fakeStore{data: make(map[string][]byte)}
	var all []string
	for i := range ended {
		jobID := fmt.Sprintf("req-%06d", 7*i)
		all = append(all, jobID)
		store.data[ledger.EndedKey(jobID)] = []byte(fmt.Sprint(i))
	}
	store.keys = slices.Sorted(maps.Keys(store.data))
	reader := store.newReader(t)
	for _, tc := range []struct {
		name     string
		jobs     []string
		found    int
		requests int
	}{
		{"none", nil, 0, 0},
		{"one", all[1234:1235], 1, 1},
		{"the first and the last", []string{all[0], all[ended-1]}, 2, 2},
		{"one without a record", []string{"req-000001"}, 0, 1},
		{"one after all records", []string{"req-999999"}, 0, 1},
		{"all", all, ended, pages},
		{"all, and some without a record", append([]string{"req-000001", "req-999999"}, all...), ended, pages + 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			store.requests = 0
			endRecords, err := reader.readEndRecords(t.Context(), tc.jobs)
			if err != nil || len(endRecords) != tc.found || store.requests != tc.requests {
				t.Errorf("got %d end records in %d requests, error %v; want %d in %d",
					len(endRecords), store.requests, err, tc.found, tc.requests)
			}
			for jobID, end := range endRecords {
				if string(end) != string(store.data[ledger.EndedKey(jobID)]) {
					t.Errorf("%s: got end record %s, want %s", jobID, end, store.data[ledger.EndedKey(jobID)])
				}
			}
		})
	}
}

// Guards against a leader that never finishes loading: where IDs continue one another with more
// digits, a page of end records that begins too early may hold none of the wanted ones.
func TestEndRecordsOfAnyIDsAreRead(t *testing.T) {
	store := &fakeStore{maxItems: 3}
	reader := store.newReader(t)
	rapid.Check(t, func(t *rapid.T) {
		id := rapid.StringMatching(`req-([019]{1,4}|[0-9]{1,40})`)
		ended := rapid.SliceOfN(id, 1, 60).Draw(t, "ended")
		wanted := rapid.SliceOfNDistinct(rapid.OneOf(rapid.SampledFrom(ended), id), 1, 20, rapid.ID).Draw(t, "wanted")
		store.data = make(map[string][]byte)
		for _, jobID := range ended {
			store.data[ledger.EndedKey(jobID)] = []byte(fmt.Sprintf("%q", jobID))
		}
		store.keys, store.requests = slices.Sorted(maps.Keys(store.data)), 0
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		got, err := reader.readEndRecords(ctx, wanted)
		if err != nil || store.requests > len(wanted) {
			t.Fatalf("%d requests for %d jobs, error %v; want at most one for each job, no error", store.requests, len(wanted), err)
		}
		for _, jobID := range wanted {
			if want := store.data[ledger.EndedKey(jobID)]; string(got[jobID]) != string(want) {
				t.Errorf("%s: got end record %s, want %s", jobID, got[jobID], want)
			}
		}
	})
}
