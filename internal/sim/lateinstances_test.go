package sim

import (
	"fmt"
	"testing"
	"time"
)

// createUnasked creates instances that no controller has asked for, and returns their names.
func (c *fakeCloud) createUnasked(count int) (names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range count {
		names = append(names, c.create("m", zoneOf(i), false))
	}
	return names
}

// setLate makes the cloud carry out requests late, without an answer, or at once.
func (c *fakeCloud) setLate(late bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.late = late
}

// setBootTime sets how long instances take to boot from now on.
func (c *fakeCloud) setBootTime(bootTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bootTime = bootTime
}

// Guards against machines that run tasks which no controller knows of, or stay although they are not needed: rented or
// released late, up within a second, not asked for, or reported by a late heartbeat after their release.
func TestLateRentalsAndReturningMachines(t *testing.T) {
	late := func(m *scenario) {
		m.cloud.setLate(true)
		time.Sleep(60 * time.Second)
		m.cloud.setLate(false)
	}
	type lateInstancesTest struct {
		name  string
		fault func(m *scenario)
	}
	for _, tc := range []lateInstancesTest{
		{"requests carried out late", late},
		{"requests carried out late, leader crashes", func(m *scenario) {
			concurrently(func() { late(m) }, func() { time.Sleep(20 * time.Second); m.crashController(m.leaderIndex(), 5*time.Second) })
		}},
		{"workers fail, their release is carried out late", func(m *scenario) {
			concurrently(
				func() { late(m) },
				func() { m.injectWorkerFault(m.randomWorkers(0.3), 60*time.Second, dropHeartbeats) },
			)
		}},
		{"up within a second", func(m *scenario) {
			m.cloud.setBootTime(300 * time.Millisecond)
			for _, worker := range m.randomWorkers(0.5) {
				m.cloud.killInstance(worker)
			}
			late(m)
		}},
		{"not asked for", func(m *scenario) {
			m.cloud.setBootTime(500 * time.Millisecond)
			m.cloud.createUnasked(6)
			time.Sleep(30 * time.Second)
		}},
		{"heartbeats arrive after the release", func(m *scenario) {
			workers := m.randomWorkers(0.5)
			m.injectWorkerFault(workers, 7*time.Second, holdNextHeartbeat)
			m.cloud.mu.Lock()
			m.cloud.release(workers)
			m.cloud.mu.Unlock()
			time.Sleep(4 * leaseDuration)
			m.deliverHeldHeartbeats(workers)
		}},
	} {
		for seed := range seedCount(2) {
			t.Run(fmt.Sprintf("%s, seed %d", tc.name, seed), func(t *testing.T) {
				t.Parallel()
				faultPlan{seed: 700 + 10*seed, teamCPULimit: 40, jobs: arrays(12, 3, 20*time.Second, nil), recovery: 300 * time.Second, faults: func(m *scenario) {
					m.world.duplicateHeartbeats(0.5)
					for i := range 12 {
						m.world.submit(m.ctx, array(40+i, 4, 25*time.Second), time.Duration(4*i)*time.Second, time.Duration(i%3)*20*time.Second)
					}
					tc.fault(m)
					m.world.duplicateHeartbeats(0)
				}, check: func(m *scenario) {
					m.cloud.mu.Lock()
					defer m.cloud.mu.Unlock()
					if len(m.cloud.instances) > 0 {
						t.Errorf("%d of %d instances are left although no job needs them, want 0", len(m.cloud.instances), m.cloud.lastNumber)
					}
				}}.runOnce(t)
			})
		}
	}
}
