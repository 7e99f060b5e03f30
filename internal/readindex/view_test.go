package readindex

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"rillflow/internal/kvstore"
)

// Guards against stale answers from memory: each answer must have been true at some moment between
// the start and the end of its read.
func TestReadsAreLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Uint32(), 20, 200).Draw(rt, "steps")
		var violation string
		synctest.Test(t, func(t *testing.T) { violation = runSteps(t, steps) })
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

// runSteps writes, deletes and reads keys as encoded in the bits of the steps. It returns a
// description of an answer that was never true during its read, or "" if there is none.
func runSteps(t *testing.T, steps []uint32) (violation string) {
	const names = 4
	store := newFakeStore()
	view, _, stop := startView(t, store, nil)
	defer stop()
	time.Sleep(100 * time.Millisecond)
	var mu sync.Mutex
	var readers sync.WaitGroup
	answered := 0
	for _, step := range steps {
		name, other := fmt.Sprint(step>>4%names), fmt.Sprint(step>>6%names)
		time.Sleep(time.Duration(step>>8%16) * time.Millisecond)
		if step%4 < 2 {
			store.set(name, step%2 == 0)
			continue
		}
		readers.Go(func() {
			readStart := time.Now()
			_, exists, err := view.Read(t.Context(), name)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				return
			}
			answered++
			latest, stillExists, err := view.Latest(other)
			if err == nil && !store.wasInState(other, stillExists, readStart, time.Now()) {
				violation = fmt.Sprintf("stale after a read: %s exists=%v (%v), read started at %v",
					other, stillExists, latest, readStart.Sub(store.startedAt))
			}
			if !store.wasInState(name, exists, readStart, time.Now()) {
				violation = fmt.Sprintf("stale answer: %s exists=%v, read started at %v, ended at %v",
					name, exists, readStart.Sub(store.startedAt), time.Since(store.startedAt))
			}
		})
	}
	readers.Wait()
	if violation == "" && answered == 0 && len(steps) > 100 {
		violation = "no read was answered from memory"
	}
	return violation
}

// Guards against a number of requests that grows with the number of readers.
func TestRoundsDoNotGrowWithReaders(t *testing.T) {
	for _, readers := range []int{1, 5, 20} {
		synctest.Test(t, func(t *testing.T) {
			store := newFakeStore()
			store.set("a", true)
			view, _, stop := startView(t, store, nil)
			defer stop()
			time.Sleep(100 * time.Millisecond)
			before := store.requestCount()
			var waiting sync.WaitGroup
			for range readers {
				waiting.Go(func() {
					for range 50 {
						if _, exists, err := view.Read(t.Context(), "a"); err != nil || !exists {
							t.Errorf("exists %v, error %v, want true, no error", exists, err)
						}
						time.Sleep(10 * time.Millisecond)
					}
				})
			}
			waiting.Wait()
			if got := store.requestCount() - before; got > 51 {
				t.Errorf("%d requests for %d readers of 50 reads each, want at most 51, one per round", got, readers)
			}
		})
	}
}

func TestViewUnavailable(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(*Options[int])
		fault  func(*fakeStore, *kvstore.Client)
		want   error
	}{
		{"rounds hang", nil, func(s *fakeStore, _ *kvstore.Client) { s.withLock(func() { s.latency = time.Hour }) }, ErrUnavailable},
		{"the store refuses requests", nil, func(s *fakeStore, _ *kvstore.Client) { s.withLock(func() { s.status = http.StatusServiceUnavailable }) }, kvstore.ErrRefused},
		{"too many keys", func(o *Options[int]) { o.MaxKeys = 1 }, nil, ErrUnavailable},
		{"the change log is compacted", nil, func(s *fakeStore, _ *kvstore.Client) { s.withLock(func() { s.status = http.StatusGone }) }, ErrUnavailable},
		{"the change log is behind", nil, func(s *fakeStore, c *kvstore.Client) {
			s.withLock(func() { s.frozenAt = s.revision })
			s.set("c", true)
			c.Probe(context.Background())
			c.List(context.Background(), testPrefix)
		}, ErrUnavailable},
		{"the store's incarnation ended", nil, func(_ *fakeStore, c *kvstore.Client) { c.StartIncarnation() }, ErrUnavailable},
		{"the new incarnation has passed the view's revision", nil, func(s *fakeStore, c *kvstore.Client) {
			s.loseData(s.revision)
			s.set("c", true)
			c.StartIncarnation()
			c.List(context.Background(), testPrefix)
		}, ErrUnavailable},
		{"the store's revision went back", nil, func(s *fakeStore, c *kvstore.Client) {
			s.loseData(1)
			c.List(context.Background(), testPrefix)
		}, ErrUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				store.set("a", true)
				store.set("b", true)
				view, client, stop := startView(t, store, tc.change)
				defer stop()
				time.Sleep(100 * time.Millisecond)
				if tc.fault != nil {
					tc.fault(store, client)
				}
				startedAt := time.Now()
				if _, exists, err := view.Read(t.Context(), "a"); !errors.Is(err, tc.want) {
					t.Errorf("exists %v, error %v, want %v", exists, err, tc.want)
				}
				if waited := time.Since(startedAt); waited > 400*time.Millisecond {
					t.Errorf("waited for %v, want at most 400ms", waited)
				}
			})
		})
	}
}

// Guards against a view that stays unavailable or keeps lost keys after the store lost data.
func TestViewReloads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.set("a", true)
		view, client, stop := startView(t, store, nil)
		defer stop()
		time.Sleep(100 * time.Millisecond)
		store.loseData(1)
		store.set("b", true)
		client.StartIncarnation()
		view.Read(t.Context(), "a")
		time.Sleep(10 * time.Second)
		for name, want := range map[string]bool{"a": false, "b": true} {
			if _, exists, err := view.Read(t.Context(), name); err != nil || exists != want {
				t.Errorf("%s: exists %v, error %v, want %v", name, exists, err, want)
			}
		}
	})
}

// BenchmarkMemory measures the memory per key of 50,000 live keys.
func BenchmarkMemory(b *testing.B) {
	const names = 50_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		keys := make(map[string]string)
		for i := range names {
			keys[fmt.Sprintf("req-%06d", i)] = ""
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/names, "B/key")
		runtime.KeepAlive(keys)
	}
}
