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

// Guards against replacements that break zone constraints. Jobs bound to a given zone, to a
// single zone or spread over zones lose workers: replacements must respect the constraint,
// must not start while the lost task may still run, and must not wait once the zone has room.
func TestZoneConstraints(t *testing.T) {
	constraints := map[string]func(i int, job *wire.Job){
		"zone":        func(i int, job *wire.Job) { job.Zone = "a" },
		"zone, spot":  func(i int, job *wire.Job) { job.Zone, job.AllowSpot = "a", true },
		"single zone": func(i int, job *wire.Job) { job.SingleZone = true },
		"single zone, services": func(i int, job *wire.Job) {
			job.SingleZone, job.Kind, job.Priority = true, wire.KindService, "production"
		},
		"spread": func(i int, job *wire.Job) { job.SpreadZones = true },
		"spread, services": func(i int, job *wire.Job) {
			job.SpreadZones, job.Kind, job.Priority = true, wire.KindService, "production"
		},
		"instance type": func(i int, job *wire.Job) { job.InstanceTypes = []string{"m"}; job.Zone = "b" },
	}
	for _, tc := range []struct {
		name  string
		fault func(m *scenario)
	}{
		{"workers fail", func(m *scenario) {
			for i, worker := range m.busyWorkers() {
				if i%2 == 0 {
					m.cloud.killInstance(worker)
				}
			}
		}},
		{"workers unreachable for longer than a lease", func(m *scenario) {
			m.partition(m.randomWorkers(0.5), m.controllerNames(), leaseDuration+leaseDuration/2)
		}},
		{"workers fail, zone without capacity", func(m *scenario) {
			m.limitCapacity("a", 0)
			for _, worker := range m.workerNames("a") {
				m.cloud.killInstance(worker)
			}
			time.Sleep(2 * leaseDuration)
			m.limitCapacity("a", -1)
		}},
		{"zone fails while the leader changes", func(m *scenario) {
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

// Guards against duplicate or late tasks when a zone with workers and controllers is cut off
// for longer than a lease: no task runs on two workers, and tasks cancelled meanwhile end in
// time, in whichever order the links are restored.
func TestZonePartition(t *testing.T) {
	for _, tc := range []struct {
		name       string
		zone       string
		healsFirst string // links restored first: "workers" or "controllers"; "": all at once
	}{
		{"one controller, all links at once", "b", ""},
		{"one controller, workers first", "b", "workers"},
		{"one controller, controller first", "b", "controllers"},
		{"two controllers, all links at once", "a", ""},
		{"two controllers, workers first", "a", "workers"},
	} {
		for _, duration := range []time.Duration{leaseDuration + 4*time.Second, 3 * leaseDuration} {
			t.Run(fmt.Sprint(tc.name, " after ", duration), func(t *testing.T) {
				t.Parallel()
				runFaultPlan(t, faultPlan{seed: 3, jobs: arrays(8, 3, 120*time.Second, nil), recovery: 330 * time.Second, faults: func(m *scenario) {
					m.world.partitionZone(m.cloud, tc.zone, true)
					outsideController := 0
					for zoneOf(outsideController) == tc.zone {
						outsideController++
					}
					time.Sleep(4 * time.Second)
					m.cancelRepeatedly(outsideController, 30*time.Second, testJobID(0), testJobID(1))
					time.Sleep(max(0, duration-time.Since(m.startedAt)+25*time.Second))
					outside := []string{"state", "cloud", "user"}
					var insideControllers []string
					for n := range m.world.clusterSize {
						if zoneOf(n) == tc.zone {
							insideControllers = append(insideControllers, controllerName(n))
						} else {
							outside = append(outside, controllerName(n))
						}
					}
					healed := map[string][]string{"workers": m.workerNames(tc.zone), "controllers": insideControllers}[tc.healsFirst]
					for _, a := range healed {
						for _, b := range outside {
							m.world.net.setBlocked(a, b, false)
						}
					}
					time.Sleep(6 * time.Second)
					m.world.partitionZone(m.cloud, tc.zone, false)
				}})
			})
		}
	}
}

// Guards against urgent jobs that wait, and against needless preemption, when there is more
// work than capacity and links are slow. No task runs on two workers.
func TestUrgentJobsUnderContention(t *testing.T) {
	for _, delay := range []time.Duration{0, 150 * time.Millisecond, 600 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			const urgentJobs, tasksPerJob = 6, 6
			runFaultPlan(t, faultPlan{seed: 8, teamCPULimit: 40, maxInstances: 3, jobs: arrays(16, 8, 40*time.Second, func(i int, job *wire.Job) { job.Priority = "idle"; job.AllowSpot = true }), recovery: 330 * time.Second,
				faults: func(m *scenario) {
					m.world.net.setDelay(delay, append(m.controllerNames(), m.workerNames("")...)...)
					for i := range urgentJobs {
						job := array(50+i, tasksPerJob, 10*time.Second)
						job.Priority = "urgent"
						m.world.submit(m.ctx, job, time.Duration(i)*3*time.Second, 0)
					}
					time.Sleep(70 * time.Second)
					m.world.net.setDelay(0, append(m.controllerNames(), m.workerNames("")...)...)
				}, check: func(m *scenario) {
					m.world.mu.Lock()
					defer m.world.mu.Unlock()
					for i := range urgentJobs {
						if wait := m.world.firstStart[testJobID(50+i)].Sub(m.world.acceptedAt[testJobID(50+i)]); wait > 30*time.Second {
							m.Errorf("urgent job %s started after %v, want at most 30 s", testJobID(50+i), wait)
						}
					}
					if maxStarts := 16*8 + 3*urgentJobs*tasksPerJob; m.world.starts > maxStarts {
						m.Errorf("%d task starts, want at most %d", m.world.starts, maxStarts)
					}
					m.Logf("%d task starts of %d tasks", m.world.starts, 16*8+urgentJobs*tasksPerJob)
				}})
		})
	}
}

// Guards against a job that waits although the workers that fit it have recovered: each of them
// failed its tasks for some seconds. Other jobs run there afterwards.
func TestJobFailedOnAllFittingWorkers(t *testing.T) {
	for _, maxInstances := range []int{1, 2} {
		t.Run(fmt.Sprint(maxInstances, " workers of each type and zone"), func(t *testing.T) {
			t.Parallel()
			onlyInZoneA := func(_ int, job *wire.Job) { job.Zone, job.InstanceTypes = "a", []string{"m"} }
			jobs := arrays(8, 1, 5*time.Second, onlyInZoneA)
			keepsWorkers := array(20, 2*maxInstances, 200*time.Second)
			onlyInZoneA(0, &keepsWorkers)
			runFaultPlan(t, faultPlan{seed: 23, maxInstances: maxInstances, jobs: []wire.Job{keepsWorkers}, faults: func(m *scenario) {
				m.world.submit(m.ctx, jobs[0], 0, 0)
				m.injectWorkerFault(m.workerNames("a"), 8*time.Second, failTasks)
				for i, job := range jobs[1:] {
					m.world.submit(m.ctx, job, time.Duration(i)*15*time.Second, 0)
				}
			}})
		})
	}
}

// Guards against starvation of large jobs: small jobs keep arriving and need somewhat more
// than the capacity, but the largest jobs must start within four minutes.
func TestLargestJobsStart(t *testing.T) {
	const largeJobs, tasksPerJob = 4, 8
	jobs := arrays(largeJobs, tasksPerJob, 20*time.Second, func(i int, job *wire.Job) { job.Team = "a" })
	runFaultPlan(t, faultPlan{seed: 18, teamCPULimit: 16, maxInstances: 2, jobs: nil, operatorSettings: "<rillflow><fleet><thrift>never</thrift></fleet></rillflow>", recovery: 150 * time.Second, faults: func(m *scenario) {
		var steps []func()
		for i := range 480 { // they need 17 cores on average, of 16
			steps = append(steps, func() {
				time.Sleep(time.Duration(i) * 600 * time.Millisecond)
				job := array(200+2*i, 1, 10*time.Second) // also of team a
				m.world.submit(m.ctx, job, 0, 0)
			})
		}
		for i, job := range jobs {
			steps = append(steps, func() {
				time.Sleep(time.Duration(15+5*i) * time.Second)
				m.world.submit(m.ctx, job, 0, 0)
			})
		}
		steps = append(steps, func() {
			time.Sleep(290 * time.Second)
			m.world.mu.Lock()
			defer m.world.mu.Unlock()
			for _, job := range jobs {
				if startedAt := m.world.firstStart[job.ID]; startedAt.IsZero() || startedAt.Sub(m.world.acceptedAt[job.ID]) > maxLargestJobWait {
					m.Errorf("job %s did not start within %v", job.ID, maxLargestJobWait)
				}
			}
		})
		concurrently(steps...)
	}})
}

// Guards against tasks that run twice or jobs that never finish when the leader changes
// between the ends of a job's two or three tasks.
func TestTasksEndFarApart(t *testing.T) {
	for _, tc := range []struct {
		name         string
		changeLeader func(m *scenario)
	}{
		{"leader crashes", func(m *scenario) { m.crashController(m.leaderIndex(), 5*time.Second) }},
		{"leader restarts at once", func(m *scenario) { m.crashController(m.leaderIndex(), 50*time.Millisecond) }},
		{"store refuses the leader", func(m *scenario) {
			leader := m.leaderIndex()
			m.store.refuseController(controllerName(leader), true)
			time.Sleep(15 * time.Second)
			m.store.refuseController(controllerName(leader), false)
		}},
		{"all controllers crash, one restarts", func(m *scenario) {
			for n := range m.world.clusterSize {
				m.processes[n].crash()
			}
			time.Sleep(300 * time.Millisecond)
			m.processes[1] = m.world.boot(1)
			time.Sleep(20 * time.Second)
			m.processes[0], m.processes[2] = m.world.boot(0), m.world.boot(2)
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
				time.Sleep(22 * time.Second) // some jobs' first tasks are done, others are about to be
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
						t.Errorf("job %s is %q, want done", jobID, w.lastPhase[jobID])
					}
				}
				if want := 5*2 + 4*3; w.starts != want {
					t.Errorf("%d task starts, want one for each of %d tasks", w.starts, want)
				}
			})
		})
	}
}

// Guards against a job that needs a whole worker and waits behind a replica on the only one that fits: the replica's
// own worker failed, and it moved there.
func TestWholeWorkerJobStartsBesideReplica(t *testing.T) {
	for _, allowSpot := range []bool{false, true} {
		t.Run(fmt.Sprint("spot allowed: ", allowSpot), func(t *testing.T) {
			runFaultPlan(t, faultPlan{seed: 17, recovery: 90 * time.Second, faults: func(m *scenario) {
				m.cloud.mu.Lock()
				small := wire.InstanceType{Name: "small", CPUs: 4, MemoryGB: 16, DiskGB: 20, ImagePullGBPerSecond: 1, PricePerHour: 1, SpotPricePerHour: 0.5, BootSeconds: 30, Zones: []string{"a"}}
				big := small
				big.Name, big.CPUs, big.MemoryGB, big.PricePerHour, big.SpotPricePerHour = "big", 32, 128, 9, 4
				m.cloud.types = []wire.InstanceType{small, big}
				m.cloud.mu.Unlock()
				m.restartControllers(50*time.Millisecond, 0, 1, 2)
				time.Sleep(10 * time.Second)
				replica := array(0, 1, 0)
				replica.Kind, replica.Priority, replica.CPUs, replica.MemoryGB = wire.KindService, "production", 2, 3.4
				m.world.submit(m.ctx, replica, 0, 0)
				time.Sleep(15 * time.Second)
				replicaWorker := m.busyWorkers()
				whole := func(i int) wire.Job {
					job := array(i, 1, 5*time.Second)
					job.CPUs, job.MemoryGB, job.AllowSpot = 4, 128, allowSpot
					return job
				}
				m.world.submit(m.ctx, whole(2), 0, 0)
				time.Sleep(20 * time.Second)
				m.cloud.killInstance(replicaWorker[0])
				time.Sleep(14 * time.Second)
				m.world.submit(m.ctx, whole(4), 0, 0)
			}})
		})
	}
}
