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
	constraints := map[string]func(i int, job *wire.Job){
		"a zone":          func(i int, job *wire.Job) { job.Zone = "a" },
		"a zone, on spot": func(i int, job *wire.Job) { job.Zone, job.AllowSpot = "a", true },
		"one place":       func(i int, job *wire.Job) { job.SingleZone = true },
		"one place, services": func(i int, job *wire.Job) {
			job.SingleZone, job.Kind, job.Priority = true, wire.KindService, "production"
		},
		"spread": func(i int, job *wire.Job) { job.SpreadZones = true },
		"spread, services": func(i int, job *wire.Job) {
			job.SpreadZones, job.Kind, job.Priority = true, wire.KindService, "production"
		},
		"a type": func(i int, job *wire.Job) { job.InstanceTypes = []string{"m"}; job.Zone = "b" },
	}
	for _, tc := range []struct {
		name  string
		fault func(m *scenario)
	}{
		{"machines die", func(m *scenario) {
			for i, worker := range m.busyWorkers() {
				if i%2 == 0 {
					m.cloud.killInstance(worker)
				}
			}
		}},
		{"machines can't be reached for longer than a lease", func(m *scenario) {
			m.partition(m.randomWorkers(0.5), m.controllerNames(), leaseDuration+leaseDuration/2)
		}},
		{"machines die, and the zone has no more", func(m *scenario) {
			m.limitCapacity("a", 0)
			for _, worker := range m.workerNames("a") {
				m.cloud.killInstance(worker)
			}
			time.Sleep(2 * leaseDuration)
			m.limitCapacity("a", -1)
		}},
		{"a zone dies while the leader changes", func(m *scenario) {
			for _, worker := range m.workerNames("a") {
				m.cloud.killInstance(worker)
			}
			m.crashController(m.initialLeader, 8*time.Second)
		}},
	} {
		for _, constraint := range slices.Sorted(maps.Keys(constraints)) {
			t.Run(tc.name+", "+constraint, func(t *testing.T) {
				t.Parallel()
				runFaultPlan(t, faultPlan{seed: 1, jobs: arrays(6, 5, 40*time.Second, constraints[constraint]), faults: tc.fault})
			})
		}
	}
}

// A zone with workers and a controller is cut off for longer than a lease: nothing is on
// two workers, what is cancelled meanwhile is gone in time, and the cut heals in any order.
func TestZonePartition(t *testing.T) {
	for _, tc := range []struct {
		name       string
		zone       string
		healsFirst string // what is back before the rest: workers, controllers; "": all at once
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
					outsideController := 0
					for zoneOf(outsideController) == tc.zone {
						outsideController++
					}
					time.Sleep(4 * time.Second)
					m.cancelRepeatedly(outsideController, 30*time.Second, testJobID(0), testJobID(1))
					time.Sleep(max(0, duration-time.Since(m.startedAt)+25*time.Second))
					outside := []string{"state", "cloud", "user"}
					var insideControllers []string
					for n := range m.w.clusterSize {
						if zoneOf(n) == tc.zone {
							insideControllers = append(insideControllers, controllerName(n))
						} else {
							outside = append(outside, controllerName(n))
						}
					}
					healed := map[string][]string{"workers": m.workerNames(tc.zone), "controllers": insideControllers}[tc.healsFirst]
					for _, a := range healed {
						for _, b := range outside {
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
	for _, delay := range []time.Duration{0, 150 * time.Millisecond, 600 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			const urgentJobs, tasksPerJob = 6, 6
			runFaultPlan(t, faultPlan{seed: 8, teamCPULimit: 40, maxInstances: 3, jobs: arrays(16, 8, 40*time.Second, func(i int, job *wire.Job) { job.Priority = "idle"; job.AllowSpot = true }), recovery: 330 * time.Second,
				faults: func(m *scenario) {
					m.w.net.setDelay(delay, append(m.controllerNames(), m.workerNames("")...)...)
					for i := range urgentJobs {
						job := array(50+i, tasksPerJob, 10*time.Second)
						job.Priority = "urgent"
						m.w.submit(m.ctx, job, time.Duration(i)*3*time.Second, 0)
					}
					time.Sleep(70 * time.Second)
					m.w.net.setDelay(0, append(m.controllerNames(), m.workerNames("")...)...)
				}, check: func(m *scenario) {
					m.w.mu.Lock()
					defer m.w.mu.Unlock()
					for i := range urgentJobs {
						if wait := m.w.firstStart[testJobID(50+i)].Sub(m.w.acceptedAt[testJobID(50+i)]); wait > 30*time.Second {
							m.Errorf("%s is urgent, and began after %v", testJobID(50+i), wait)
						}
					}
					if maxStarts := 16*8 + 3*urgentJobs*tasksPerJob; m.w.starts > maxStarts {
						m.Errorf("%d starts, at most %d expected", m.w.starts, maxStarts)
					}
					m.Logf("%d starts of %d tasks", m.w.starts, 16*8+urgentJobs*tasksPerJob)
				}})
		})
	}
}

// Small jobs keep coming, somewhat more than there is room for: the largest begin within four
// minutes all the same.
func TestLargestJobsStart(t *testing.T) {
	const largeJobs, tasksPerJob = 4, 8
	jobs := arrays(largeJobs, tasksPerJob, 20*time.Second, func(i int, job *wire.Job) { job.Team = "a" })
	runFaultPlan(t, faultPlan{seed: 18, teamCPULimit: 16, maxInstances: 2, jobs: nil, operatorSettings: "<rillflow><fleet><thrift>never</thrift></fleet></rillflow>", recovery: 150 * time.Second, faults: func(m *scenario) {
		var steps []func()
		for i := range 480 { // 17 cores' worth, of 16
			steps = append(steps, func() {
				time.Sleep(time.Duration(i) * 600 * time.Millisecond)
				job := array(200+2*i, 1, 10*time.Second) // of team a too
				m.w.submit(m.ctx, job, 0, 0)
			})
		}
		for i, job := range jobs {
			steps = append(steps, func() {
				time.Sleep(time.Duration(15+5*i) * time.Second)
				m.w.submit(m.ctx, job, 0, 0)
			})
		}
		steps = append(steps, func() {
			time.Sleep(290 * time.Second)
			m.w.mu.Lock()
			defer m.w.mu.Unlock()
			for _, job := range jobs {
				if startedAt := m.w.firstStart[job.ID]; startedAt.IsZero() || startedAt.Sub(m.w.acceptedAt[job.ID]) > maxLargestJobWait {
					m.Errorf("%s has not begun within %v", job.ID, maxLargestJobWait)
				}
			}
		})
		concurrently(steps...)
	}})
}

// The tasks of a job of two or three end far apart, and the leader changes between: what
// was done is done, and done once, and the job is done with its last task.
func TestTasksEndFarApart(t *testing.T) {
	for _, tc := range []struct {
		name         string
		changeLeader func(m *scenario)
	}{
		{"it crashes", func(m *scenario) { m.crashController(m.leaderIndex(), 5*time.Second) }},
		{"it is back at once", func(m *scenario) { m.crashController(m.leaderIndex(), 50*time.Millisecond) }},
		{"it is refused alone", func(m *scenario) {
			leader := m.leaderIndex()
			m.store.refuseController(controllerName(leader), true)
			time.Sleep(15 * time.Second)
			m.store.refuseController(controllerName(leader), false)
		}},
		{"all end, and one returns", func(m *scenario) {
			for leader := range m.w.clusterSize {
				m.processes[leader].crash()
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
					tc.changeLeader(m)
					time.Sleep(17 * time.Second)
				}
				time.Sleep(220 * time.Second)
				end()
				for _, violation := range w.violations {
					t.Error(violation)
				}
				for i := range 9 {
					if jobID := testJobID(i); w.lastPhase[jobID] != wire.PhaseDone {
						t.Errorf("%s is %q", jobID, w.lastPhase[jobID])
					}
				}
				if want := 5*2 + 4*3; w.starts != want {
					t.Errorf("%d starts of %d tasks", w.starts, want)
				}
			})
		})
	}
}
