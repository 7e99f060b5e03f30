package kvstore

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// grantLog records the priorities of granted requests, in order.
type grantLog struct {
	mu     sync.Mutex
	grants []Priority
}

func (g *grantLog) add(priority Priority) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grants = append(g.grants, priority)
}

// emptyLimiter returns a limiter that gains a token every 10 ms and has none now.
func emptyLimiter() *priorityLimiter {
	limiter := newPriorityLimiter(100, 1)
	limiter.bucket.AllowN(time.Now(), 1)
	return limiter
}

// waitInBackground starts a request in a goroutine, and returns once it waits or is granted.
func (l *priorityLimiter) waitInBackground(ctx context.Context, log *grantLog, priority Priority) {
	go func() {
		if l.wait(ctx, priority, 1, 0) == nil {
			log.add(priority)
		}
	}()
	synctest.Wait()
}

func TestHigherPriorityIsGrantedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter, log := emptyLimiter(), &grantLog{}
		arrivals := []Priority{PriorityStatusRead, PriorityUserWrite, PriorityLeader, PriorityStatusRead, PriorityCoordination}
		for _, priority := range arrivals {
			limiter.waitInBackground(t.Context(), log, priority)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if want := slices.Sorted(slices.Values(arrivals)); !slices.Equal(log.grants, want) {
			t.Errorf("granted %v, want %v", log.grants, want)
		}
	})
}

func TestLowerPriorityDelaysByOneRequestAtMost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		arrivals := rapid.SliceOfN(rapid.IntRange(0, priorityCount-1), 1, 120).Draw(rt, "priorities")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 30), len(arrivals), len(arrivals)).Draw(rt, "pauses")
		synctest.Test(t, func(t *testing.T) {
			limiter, log := emptyLimiter(), &grantLog{}
			var wg sync.WaitGroup
			for i, arrival := range arrivals {
				priority := Priority(arrival)
				wg.Go(func() {
					grantsBefore := len(log.snapshot())
					if err := limiter.wait(t.Context(), priority, 1, 0); err != nil {
						rt.Errorf("wait with priority %v: %v", priority, err)
						return
					}
					lower, notLower := 0, 0
					for _, granted := range log.snapshot()[grantsBefore:] {
						if granted > priority {
							lower++
						} else {
							notLower++
						}
					}
					if lower > 1+notLower/starvationInterval {
						rt.Errorf("a %v request was passed by %d requests of lower priority and %d others, want at most 1+%d/%d of lower priority",
							priority, lower, notLower, notLower, starvationInterval)
					}
					log.add(priority)
				})
				synctest.Wait()
				time.Sleep(time.Duration(pauses[i]) * time.Millisecond)
			}
			wg.Wait()
			if len(log.grants) != len(arrivals) {
				rt.Errorf("%d of %d requests were granted, want all", len(log.grants), len(arrivals))
			}
		})
	})
}

func (g *grantLog) snapshot() []Priority {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.grants)
}

func TestLowestPriorityIsNotStarvedForever(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		limiter, log := emptyLimiter(), &grantLog{}
		for priority := range Priority(priorityCount) {
			for range 3 { // each requests the next token as soon as it has one
				go func() {
					for limiter.wait(ctx, priority, 1, 0) == nil {
						log.add(priority)
					}
				}()
			}
		}
		time.Sleep(10 * time.Second)
		cancel()
		synctest.Wait()
		granted := make(map[Priority]int)
		for _, priority := range log.grants {
			granted[priority]++
		}
		for _, priority := range Priorities()[1:] {
			if granted[priority] < len(log.grants)/(4*starvationInterval) {
				t.Errorf("priority %v got %d of %d grants, want at least 1/%d of them",
					priority, granted[priority], len(log.grants), 4*starvationInterval)
			}
		}
		if lower := len(log.grants) - granted[PriorityCoordination]; lower > len(log.grants)/starvationInterval+1 {
			t.Errorf("lower priorities got %d of %d grants, want at most 1/%d of them",
				lower, len(log.grants), starvationInterval)
		}
	})
}

func TestWaitFailsAtOnceIfExpectedTooLong(t *testing.T) {
	for _, test := range []struct {
		name     string
		waiting  int
		deadline time.Duration
		maxWait  time.Duration
		want     error
	}{
		{"within the deadline", 4, time.Second, 0, nil},
		{"beyond the deadline", 4, 30 * time.Millisecond, 0, errDeadlineTooClose},
		{"beyond the maximum wait", 4, time.Second, 30 * time.Millisecond, errQueueFull},
		{"exactly the maximum wait", 2, time.Second, 30 * time.Millisecond, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limiter, log := emptyLimiter(), &grantLog{}
				for range test.waiting {
					limiter.waitInBackground(t.Context(), log, PriorityStatusRead)
				}
				ctx, cancel := context.WithTimeout(t.Context(), test.deadline)
				defer cancel()
				startedAt := time.Now()
				err := limiter.wait(ctx, PriorityStatusRead, 1, test.maxWait)
				if !errors.Is(err, test.want) {
					t.Errorf("got %v, want %v", err, test.want)
				}
				if waited := time.Since(startedAt); test.want != nil && waited > 0 {
					t.Errorf("failed after %v, want at once", waited)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

func TestCancelledWaitLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter, log := emptyLimiter(), &grantLog{}
		ctx, cancel := context.WithCancel(t.Context())
		limiter.waitInBackground(ctx, log, PriorityLeader)
		limiter.waitInBackground(t.Context(), log, PriorityStatusRead)
		cancel()
		time.Sleep(15 * time.Millisecond)
		synctest.Wait()
		if want := []Priority{PriorityStatusRead}; !slices.Equal(log.grants, want) {
			t.Errorf("granted %v, want %v", log.grants, want)
		}
	})
}

func TestGrantsStayWithinTheRate(t *testing.T) {
	for _, rates := range [][]float64{{100}, {50, 200, 50}, {200, 20}} {
		t.Run(fmt.Sprint(rates), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				limiter, log := newPriorityLimiter(rates[0], 10), &grantLog{}
				for range 8 {
					go func() {
						for limiter.wait(ctx, PriorityUserWrite, 2, 0) == nil {
							log.add(PriorityUserWrite)
						}
					}()
				}
				allowed := 10.0
				for _, perSecond := range rates {
					limiter.setRate(perSecond, 10)
					time.Sleep(2 * time.Second)
					allowed += 2 * perSecond
					if granted := float64(2 * len(log.snapshot())); granted > allowed || granted < 0.9*(allowed-10) {
						t.Errorf("%v tokens granted at rates %v, want between %v and %v", granted, rates, 0.9*(allowed-10), allowed)
					}
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

func BenchmarkBudgetWait(b *testing.B) {
	budget := newBudget(Options{RequestsPerSecond: 1e9, Limits: Limits{WritesPerSecond: 1e9}, Timeout: time.Second})
	ctx := WithPriority(b.Context(), PriorityStatusRead)
	for b.Loop() {
		if err := budget.wait(ctx, 0); err != nil {
			b.Fatal(err)
		}
	}
}
