package sim

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"rillflow/internal/wire"
)

// Jobs bound to a zone, to one place, or spread over zones lose workers: what replaces
// them never is elsewhere, nor while what was lost may live, and nothing waits once the
// zone has room.
func TestZoneConstraints(t *testing.T) {
	bound := map[string]func(i int, j *wire.Job){
		"a zone":          func(i int, j *wire.Job) { j.Zone = "a" },
		"a zone, on spot": func(i int, j *wire.Job) { j.Zone, j.AllowSpot = "a", true },
		"one place":       func(i int, j *wire.Job) { j.SingleZone = true },
		"one place, services": func(i int, j *wire.Job) {
			j.SingleZone, j.Kind, j.Priority = true, wire.KindService, "production"
		},
		"spread":           func(i int, j *wire.Job) { j.SpreadZones = true },
		"spread, services": func(i int, j *wire.Job) { j.SpreadZones, j.Kind, j.Priority = true, wire.KindService, "production" },
		"a type":           func(i int, j *wire.Job) { j.InstanceTypes = []string{"m"}; j.Zone = "b" },
	}
	for _, tc := range []struct {
		name string
		lose func(m *scenario)
	}{
		{"machines die", func(m *scenario) {
			for i, h := range m.busyWorkers() {
				if i%2 == 0 {
					m.cloud.killInstance(h)
				}
			}
		}},
		{"machines can't be reached for longer than a lease", func(m *scenario) {
			m.partition(m.randomWorkers(0.5), m.controllerNames(), leaseDuration+leaseDuration/2)
		}},
		{"machines die, and the zone has no more", func(m *scenario) {
			m.limitCapacity("a", 0)
			for _, h := range m.workerNames("a") {
				m.cloud.killInstance(h)
			}
			time.Sleep(2 * leaseDuration)
			m.limitCapacity("a", -1)
		}},
		{"a zone dies while the leader changes", func(m *scenario) {
			for _, h := range m.workerNames("a") {
				m.cloud.killInstance(h)
			}
			m.crashController(m.initialLeader, 8*time.Second)
		}},
	} {
		for _, b := range slices.Sorted(maps.Keys(bound)) {
			t.Run(tc.name+", "+b, func(t *testing.T) {
				t.Parallel()
				runFaultPlan(t, faultPlan{seed: 1, jobs: arrays(6, 5, 40*time.Second, bound[b]), faults: tc.lose})
			})
		}
	}
}

// A zone with workers and a controller is cut off for longer than a lease: nothing is on
// two workers, what is cancelled meanwhile is gone in time, and the cut heals in any order.
func TestZonePartition(t *testing.T) {
	for _, tc := range []struct {
		name  string
		zone  string
		first string // what is back before the rest: workers, controllers; "": all at once
	}{
		{"heals at once", "b", ""},
		{"workers first", "b", "workers"},
		{"the controller first", "b", "controllers"},
		{"the zone of two controllers", "a", ""},
		{"the zone of two controllers, workers first", "a", "workers"},
	} {
		for _, duration := range []time.Duration{leaseDuration + 4*time.Second, 3 * leaseDuration} {
			t.Run(fmt.Sprint(tc.name, " after ", duration), func(t *testing.T) {
				t.Parallel()
				runFaultPlan(t, faultPlan{seed: 3, jobs: arrays(8, 3, 120*time.Second, nil), recovery: 330 * time.Second, faults: func(m *scenario) {
					m.w.partitionZone(m.cloud, tc.zone, true)
					outside := 0
					for zoneOf(outside) == tc.zone {
						outside++
					}
					time.Sleep(4 * time.Second)
					m.cancelRepeatedly(outside, 30*time.Second, testJobID(0), testJobID(1))
					time.Sleep(max(0, duration-time.Since(m.startedAt)+25*time.Second))
					rest := []string{"state", "cloud", "user"}
					var in []string
					for n := range m.w.clusterSize {
						if zoneOf(n) == tc.zone {
							in = append(in, controllerName(n))
						} else {
							rest = append(rest, controllerName(n))
						}
					}
					back := map[string][]string{"workers": m.workerNames(tc.zone), "controllers": in}[tc.first]
					for _, a := range back {
						for _, b := range rest {
							m.w.net.setBlocked(a, b, false)
						}
					}
					time.Sleep(6 * time.Second)
					m.w.partitionZone(m.cloud, tc.zone, false)
				}})
			})
		}
	}
}

// There is more work than room, urgent and not, over slow links: what is urgent goes
// first, nothing is on two workers, and no more is stopped for it than it needs.
func TestUrgentJobsUnderContention(t *testing.T) {
	for _, lag := range []time.Duration{0, 150 * time.Millisecond, 600 * time.Millisecond} {
		t.Run(lag.String(), func(t *testing.T) {
			t.Parallel()
			const urgent, tasksPerJob = 6, 6
			runFaultPlan(t, faultPlan{seed: 8, teamCPULimit: 40, maxInstances: 3, jobs: arrays(16, 8, 40*time.Second, func(i int, j *wire.Job) { j.Priority = "idle"; j.AllowSpot = true }), recovery: 330 * time.Second,
				faults: func(m *scenario) {
					m.w.net.setDelay(lag, append(m.controllerNames(), m.workerNames("")...)...)
					for i := range urgent {
						j := array(50+i, tasksPerJob, 10*time.Second)
						j.Priority = "urgent"
						m.w.submit(m.ctx, j, time.Duration(i)*3*time.Second, 0)
					}
					time.Sleep(70 * time.Second)
					m.w.net.setDelay(0, append(m.controllerNames(), m.workerNames("")...)...)
				}, check: func(m *scenario) {
					m.w.mu.Lock()
					defer m.w.mu.Unlock()
					for i := range urgent {
						if wait := m.w.firstStart[testJobID(50+i)].Sub(m.w.acceptedAt[testJobID(50+i)]); wait > 30*time.Second {
							m.Errorf("%s is urgent, and began after %v", testJobID(50+i), wait)
						}
					}
					if most := 16*8 + 3*urgent*tasksPerJob; m.w.starts > most {
						m.Errorf("%d starts, at most %d expected", m.w.starts, most)
					}
					m.Logf("%d starts of %d tasks", m.w.starts, 16*8+urgent*tasksPerJob)
				}})
		})
	}
}

// Small jobs keep coming, somewhat more than there is room for: the largest begin within four
// minutes all the same.
func TestLargestJobsStart(t *testing.T) {
	const big, tasksPerJob = 4, 8
	jobs := arrays(big, tasksPerJob, 20*time.Second, func(i int, j *wire.Job) { j.Team = "a" })
	runFaultPlan(t, faultPlan{seed: 18, teamCPULimit: 16, maxInstances: 2, jobs: nil, operatorSettings: "<rillflow><fleet><thrift>never</thrift></fleet></rillflow>", recovery: 150 * time.Second, faults: func(m *scenario) {
		var fs []func()
		for i := range 480 { // 17 cores' worth, of 16
			fs = append(fs, func() {
				time.Sleep(time.Duration(i) * 600 * time.Millisecond)
				j := array(200+2*i, 1, 10*time.Second) // of team a too
				m.w.submit(m.ctx, j, 0, 0)
			})
		}
		for i, j := range jobs {
			fs = append(fs, func() {
				time.Sleep(time.Duration(15+5*i) * time.Second)
				m.w.submit(m.ctx, j, 0, 0)
			})
		}
		fs = append(fs, func() {
			time.Sleep(290 * time.Second)
			m.w.mu.Lock()
			defer m.w.mu.Unlock()
			for _, j := range jobs {
				if at := m.w.firstStart[j.ID]; at.IsZero() || at.Sub(m.w.acceptedAt[j.ID]) > maxLargestJobWait {
					m.Errorf("%s has not begun within %v", j.ID, maxLargestJobWait)
				}
			}
		})
		concurrently(fs...)
	}})
}

// The tasks of a job of two or three end far apart, and the leader changes between: what
// was done is done, and done once, and the job is done with its last task.
func TestTasksEndFarApart(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(m *scenario)
	}{
		{"it crashes", func(m *scenario) { m.crashController(m.leaderIndex(), 5*time.Second) }},
		{"it is back at once", func(m *scenario) { m.crashController(m.leaderIndex(), 50*time.Millisecond) }},
		{"it is refused alone", func(m *scenario) {
			n := m.leaderIndex()
			m.store.refuseController(controllerName(n), true)
			time.Sleep(15 * time.Second)
			m.store.refuseController(controllerName(n), false)
		}},
		{"all end, and one returns", func(m *scenario) {
			for n := range m.w.clusterSize {
				m.processes[n].crash()
			}
			time.Sleep(300 * time.Millisecond)
			m.processes[1] = m.w.boot(1)
			time.Sleep(20 * time.Second)
			m.processes[0], m.processes[2] = m.w.boot(0), m.w.boot(2)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, w, store, cloud, controllers, end := startWorld(t, 3, 40, 6, "")
				w.durationSpread = 4
				m := newScenario(t, ctx, w, store, cloud, controllers)
				for i := range 9 {
					w.submit(ctx, wire.Job{ID: testJobID(i), Class: "c", Team: "ab"[i%2 : i%2+1], Kind: wire.KindArray, Priority: "standard", TaskCount: 2 + i%2, CPUs: 1, MemoryGB: 1, Image: "img", ExpectedSeconds: 8 + 1.7*float64(i)}, 0, 0)
				}
				time.Sleep(22 * time.Second) // the first of some are done, of others about to be
				for range 4 {
					tc.change(m)
					time.Sleep(17 * time.Second)
				}
				time.Sleep(220 * time.Second)
				end()
				for _, b := range w.violations {
					t.Error(b)
				}
				for i := range 9 {
					if r := testJobID(i); w.lastPhase[r] != wire.PhaseDone {
						t.Errorf("%s is %q", r, w.lastPhase[r])
					}
				}
				if want := 5*2 + 4*3; w.starts != want {
					t.Errorf("%d starts of %d tasks", w.starts, want)
				}
			})
		})
	}
}
