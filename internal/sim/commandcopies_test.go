package sim

import (
	"fmt"
	"math"
	"testing"
	"time"

	"rillflow/internal/ledger"
	"rillflow/internal/wire"
)

// Bounds of the delay after which a late copy of a direct command arrives.
const (
	minCopyDelay = 2 * time.Millisecond
	maxCopyDelay = 2 * time.Minute
)

// repeatCommands delivers late copies of a share of the direct commands.
func (w *world) repeatCommands(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.commandCopyShare = share
}

// drawCopyDelay draws whether a copy of a direct command arrives late, and after how long. Short
// and long delays are equally likely on a logarithmic scale.
func (w *world) drawCopyDelay() (delay time.Duration, repeated bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.commandCopyShare == 0 || w.rnd.Float64() >= w.commandCopyShare {
		return 0, false
	}
	return time.Duration(float64(minCopyDelay) * math.Pow(float64(maxCopyDelay/minCopyDelay), w.rnd.Float64())), true
}

// maybeRepeat lets a copy of direct commands that were executed and answered arrive once more, for
// a share of them.
func (k *fakeWorker) maybeRepeat(batch wire.CommandBatch) {
	delay, repeated := k.world.drawCopyDelay()
	if !repeated {
		return
	}
	time.AfterFunc(delay, func() { k.receiveCopy(batch) })
}

// receiveCopy executes a copy of direct commands, once the worker no longer hangs.
func (k *fakeWorker) receiveCopy(batch wire.CommandBatch) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.stopped || k.reboots > 0 || k.world.stopped():
		return
	case k.paused:
		time.AfterFunc(time.Second, func() { k.receiveCopy(batch) })
		return
	}
	k.expire()
	if k.executeDirect(batch) {
		k.world.mu.Lock()
		defer k.world.mu.Unlock()
		k.world.commandCopies++
	}
}

// attemptEnded records that an attempt ended on a worker or was refused by it.
func (w *world) attemptEnded(status wire.TaskStatus, worker string) {
	id, _ := ledger.ParseTask(status.Task)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endedAttempts[startedAttempt{id, status.Attempt, worker}] = true
}

// startTookEffect records a violation if a start command takes effect after its attempt has ended. While
// the attempt's claim is still stored, a new leader may start it again: it cannot know of the end.
func (w *world) startTookEffect(status wire.TaskStatus, worker string) {
	id, _ := ledger.ParseTask(status.Task)
	isClaimed := w.store.holdsClaim(id, status.Attempt, worker)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.endedAttempts[startedAttempt{id, status.Attempt, worker}] && !isClaimed {
		w.recordViolation("started_again: attempt %d of %s started on %s after it had ended there", status.Attempt, id, worker)
	}
}

// holdsClaim reports whether the stored claims of a live job include an attempt of a task on a worker.
func (s *fakeStore) holdsClaim(task ledger.Task, attempt uint64, worker string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	live, ok := s.keys[ledger.LiveKey(task.JobID)]
	if !ok {
		return false
	}
	job, err := ledger.DecodeJobRecord(live.Value)
	if err != nil || job.ChunkTasks == 0 {
		return false
	}
	chunk, err := ledger.DecodeChunkRecord(s.keys[ledger.ChunkKey(task.JobID, task.Index/job.ChunkTasks)].Value)
	claim, ok := chunk.Claims[task.Index%job.ChunkTasks]
	return err == nil && ok && claim.Attempt == attempt && claim.Worker == worker
}

// recordTwoAttempts records a violation for a start while another attempt of the task is on the worker.
func (w *world) recordTwoAttempts(key attemptKey, other uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordViolation("two_attempts: %s was started as attempt %d while attempt %d is on the worker", key.task, key.attempt, other)
}

// job returns the description of a job as workers fetch it. The checks go by the world's own record.
func (w *world) job(jobID string) wire.Job {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.uploadedJobs[jobID]
}

// restartWorkers restarts the agents of workers, which keep their tasks, epoch and incarnation.
func (m *scenario) restartWorkers(names []string, downtime time.Duration) {
	m.injectWorkerFault(names, downtime, func(worker *fakeWorker, active bool) {
		worker.dropsResponses = active
		if active {
			worker.world.net.resetConnections(worker.instance.Name)
		}
	})
}

// Guards against a late copy of an answered start command that starts an attempt which ended and was forgotten.
func TestLateCommandCopies(t *testing.T) {
	type commandCopiesTest struct {
		name   string
		faults func(m *scenario)
	}
	for _, tc := range []commandCopiesTest{
		{"calm", func(m *scenario) { time.Sleep(90 * time.Second) }},
		{"tasks fail", func(m *scenario) { m.injectWorkerFault(m.randomWorkers(0.5), 60*time.Second, failTasks) }},
		{"leader restarts within a second", func(m *scenario) {
			for range 6 {
				m.crashController(m.leaderIndex(), 900*time.Millisecond)
				time.Sleep(12 * time.Second)
			}
		}},
		{"store refuses the leader", func(m *scenario) {
			for range 3 {
				leader := controllerName(m.leaderIndex())
				m.store.refuseController(leader, true)
				time.Sleep(15 * time.Second)
				m.store.refuseController(leader, false)
				time.Sleep(10 * time.Second)
			}
		}},
		{"store outage", func(m *scenario) {
			m.store.setOutage(true)
			time.Sleep(cancelTimeout + 10*time.Second)
			m.store.setOutage(false)
		}},
		{"workers hang", func(m *scenario) { m.injectWorkerFault(m.randomWorkers(0.4), leaseDuration/2, pauseWorker) }},
		{"workers restart within a second", func(m *scenario) {
			for range 8 {
				m.restartWorkers(m.randomWorkers(0.5), 800*time.Millisecond)
				time.Sleep(8 * time.Second)
			}
		}},
		{"workers reboot", func(m *scenario) {
			for range 8 {
				m.world.rebootWorkers(m.randomWorkers(0.5))
				time.Sleep(8 * time.Second)
			}
		}},
		{"workers partitioned past a lease", func(m *scenario) {
			m.partition(m.randomWorkers(0.5), m.controllerNames(), leaseDuration+8*time.Second)
		}},
	} {
		for seed := range seedCount(2) {
			t.Run(fmt.Sprintf("%s, seed %d", tc.name, seed), func(t *testing.T) {
				t.Parallel()
				jobs := arrays(24, 3, 6*time.Second, func(i int, job *wire.Job) {
					job.Priority, job.ExpectedSeconds = []string{"standard", "urgent"}[i%2], float64(4+3*(i%5))
				})
				faultPlan{seed: 300 + 10*seed, teamCPULimit: 14, maxInstances: 2, jobs: jobs, recovery: 240 * time.Second, faults: func(m *scenario) {
					m.world.repeatCommands(1)
					concurrently(func() { tc.faults(m) }, func() {
						for i := range 8 {
							time.Sleep(5 * time.Second)
							m.cancelRepeatedly((m.initialLeader+1)%controllerCount, cancelTimeout, testJobID(3*i))
						}
					}, func() {
						for i := range 20 {
							m.world.submit(m.ctx, array(100+i, 2, 5*time.Second), time.Duration(4*i)*time.Second, time.Duration(i%3)*8*time.Second)
						}
					})
				}, check: func(m *scenario) {
					m.world.mu.Lock()
					defer m.world.mu.Unlock()
					if m.world.commandCopies == 0 {
						t.Error("no copy of a command arrived")
					}
				}}.runOnce(t)
			})
		}
	}
}
