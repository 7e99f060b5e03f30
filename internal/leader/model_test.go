package leader

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rillflow/internal/agent"
	"rillflow/internal/election"
	"rillflow/internal/fleet"
	"rillflow/internal/ledger"
	"rillflow/internal/replica"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// model drives a leader against simulated workers, a second controller in the zone of half of them,
// and a network that loses, delays and reorders messages. It checks the safety invariants of the
// protocol against the tasks that the workers actually run.
type model struct {
	t             *rapid.T
	leader        *leaderTerm
	leadership    *fakeLeadership
	now           time.Time
	revision      uint64
	workers       []*modelWorker
	knownShards   election.ShardMap // the shard map as the second controller last learned it
	deposedLeader *leaderTerm       // an earlier leader that has not learned that it was deposed
	store         map[string][]byte
	jobs          []string
	succeeded     map[string]bool // tasks that finished successfully
	quotaCPUs     float64         // the team's quota; each task uses one CPU
	config        *settings.Settings
}

func newModel(t *rapid.T) *model {
	operator, err := settings.ParseOperator(nil)
	if err != nil {
		t.Fatal(err)
	}
	m := &model{t: t, now: now, succeeded: map[string]bool{}, store: map[string][]byte{}, quotaCPUs: 5}
	m.leadership = &fakeLeadership{m.nextShardMap([]string{"m", "n"})}
	m.knownShards = m.leadership.shards
	m.config = &settings.Settings{
		Name: "n", Zone: "a", Operator: operator, Peers: []settings.Peer{{Name: "m", Zone: "b"}},
		Facts: settings.Facts{
			Workers: settings.WorkerTimings{HeartbeatSeconds: 3, LeaseSeconds: 30, CancelSeconds: 50},
			Teams:   []settings.Team{{Name: "t", CPUs: m.quotaCPUs, CPUsMax: m.quotaCPUs}},
			Store:   settings.StoreLimits{TxnOps: 16, ValueKB: 16},
		},
	}
	for i, zone := range []string{"a", "b", "a", "b"} {
		m.workers = append(m.workers, &modelWorker{
			name: fmt.Sprint("i-", i), zone: zone, incarnation: 1, answeredAt: now, tasks: map[string]*wire.TaskStatus{}, ended: map[string]bool{},
		})
	}
	m.submit(3, wire.KindArray)
	m.submit(2, wire.KindService)
	m.submit(4, wire.KindArray)
	m.startTerm()
	return m
}

// submit stores the record of a new job.
func (m *model) submit(tasks int, kind string) {
	jobID := fmt.Sprint("req-", len(m.jobs))
	m.jobs = append(m.jobs, jobID)
	data, err := ledger.Encode(ledger.JobRecord{ChunkTasks: 2, Job: wire.Job{
		ID: jobID, Team: "t", Kind: kind, Priority: "standard", TaskCount: tasks, CPUs: 1, ExpectedSeconds: 5,
	}})
	if err != nil {
		m.t.Fatal(err)
	}
	m.store[ledger.LiveKey(jobID)] = data
}

// nextShardMap returns the shard map of the next epoch with the given owners.
func (m *model) nextShardMap(owners []string) election.ShardMap {
	epoch := uint64(1)
	if m.leadership != nil {
		epoch += m.leadership.shards.Epoch
	}
	return election.ShardMap{Epoch: epoch, Leader: "n", Owners: owners, ZoneFallback: true}
}

// startTerm starts a leader term from the stored data, as a new leader does.
func (m *model) startTerm() {
	catalogue := fleet.NewCatalogue(nil, time.Minute, nil)
	catalogue.Set([]wire.InstanceType{{Name: "m", CPUs: 4, MemoryGB: 64, ImagePullGBPerSecond: 1, DiskGB: 20}})
	ctx, cancel := context.WithCancel(context.Background())
	m.t.Cleanup(cancel)
	env := &environment{
		settings: m.config, instanceTypes: catalogue, shards: noopShards{}, replica: replica.New(1 << 20),
		log: slog.New(slog.NewTextHandler(io.Discard, nil)), now: func() time.Time { return m.now },
	}
	m.leader = newLeaderTerm(ctx, env, m.leadership, m.leadership.shards.Epoch, nil)
	m.leader.jobs = ledger.New("w", m.config.Facts.Teams)
	close(m.leader.ready)
	m.loadTable()
	for _, worker := range m.workers {
		view := agent.NewWorker(worker.name) // also for released workers, whose late heartbeats may arrive
		view.InstanceType = "m"
		m.leader.addWorker(view)
		m.leader.registry.assignOwner(view, m.leadership.shards)
	}
}

// loadTable reads the stored jobs and claims into the leader's job table.
func (m *model) loadTable() {
	keys := slices.Sorted(maps.Keys(m.store))
	for _, key := range keys {
		if strings.HasPrefix(key, ledger.LivePrefix) {
			if err := m.leader.addJob(key, m.store[key], 1); err != nil {
				m.t.Fatal(err)
			}
		}
	}
	for _, key := range keys {
		jobID, ok := ledger.JobIDOfChunkKey(key)
		if !ok || !strings.HasPrefix(key, ledger.ChunkPrefix) {
			continue
		}
		if m.leader.jobs.Job(jobID) == nil {
			if err := m.leader.jobs.AddEndedJob(jobID, m.store[ledger.EndedKey(jobID)]); err != nil {
				m.t.Fatal(err)
			}
		}
		if err := m.leader.jobs.LoadChunk(key, m.store[key], m.revision, m.leader.firstEpoch-1); err != nil {
			m.t.Fatal(err)
		}
	}
	m.leader.jobs.FinishLoading()
}

// changeLeader rarely replaces the leader. The deposed leader keeps answering workers that have not
// seen the new epoch, but all its writes fail.
func (m *model) changeLeader() {
	if rapid.IntRange(0, 3).Draw(m.t, "rarely") > 0 {
		return
	}
	m.deposedLeader = m.leader
	m.deposedLeader.leadership = &fakeLeadership{m.leadership.shards}
	m.leadership = &fakeLeadership{m.nextShardMap(m.leadership.shards.Owners)}
	m.startTerm()
}

func (m *model) drawWorker() *modelWorker { return rapid.SampledFrom(m.workers).Draw(m.t, "worker") }

// place claims up to four tasks of a random job for a random worker.
func (m *model) place() {
	job := m.leader.jobs.Job(rapid.SampledFrom(m.jobs).Draw(m.t, "job"))
	worker := m.drawWorker()
	target := m.leader.scheduler.candidate(m.leader.workers[worker.name], m.now)
	for range rapid.IntRange(1, 4).Draw(m.t, "tasks") {
		if job != nil && target != nil && target.fits(job) {
			m.leader.scheduler.claimTask(target, job)
		}
	}
}

// write writes a batch of the job table's changes. The write may fail, or its response may be lost.
func (m *model) write() {
	operations := rapid.IntRange(3, 16).Draw(m.t, "ops")
	limits := ledger.BatchLimits{MaxOperations: operations, MaxBytes: 1 << 16, MaxValueBytes: 1 << 14}
	batch := m.leader.jobs.NextBatch(limits, m.now)
	if batch == nil {
		return
	}
	for _, compare := range batch.Compares { // fails if a job was cancelled, which deletes its live key
		if _, ok := m.store[compare.Key]; !ok && strings.HasPrefix(compare.Key, ledger.LivePrefix) {
			m.leader.jobs.BatchFailed(batch)
			return
		}
	}
	if rapid.IntRange(0, 3).Draw(m.t, "fate") == 0 {
		m.leader.jobs.BatchFailed(batch)
		return
	}
	m.revision++
	for _, operation := range batch.Operations {
		if operation.Put != "" {
			m.store[operation.Put] = operation.Value
		}
		delete(m.store, operation.Delete)
	}
	if rapid.IntRange(0, 5).Draw(m.t, "answer lost") == 0 {
		// The leader crashes without knowing that the batch was applied.
		m.deposedLeader = nil
		m.leadership = &fakeLeadership{m.nextShardMap(m.leadership.shards.Owners)}
		m.startTerm()
		return
	}
	for _, job := range m.leader.jobs.BatchCommitted(batch, m.revision+10).Ended {
		for i := range job.Spec.TaskCount {
			if name := (ledger.Task{JobID: job.ID, Index: i}).String(); !m.succeeded[name] {
				m.t.Fatalf("not_done: %s ended without %s", job.ID, name)
			}
		}
	}
}

// raiseEpoch raises the epoch, with or without the second controller as a shard owner.
func (m *model) raiseEpoch() {
	owners := []string{"m", "n"}
	if rapid.Bool().Draw(m.t, "alone") {
		owners = owners[1:]
	}
	m.setOwners(owners)
}

// setOwners raises the epoch with the given shard owners.
func (m *model) setOwners(owners []string) {
	m.leadership.shards = m.nextShardMap(owners)
	for _, view := range m.leader.workers {
		m.leader.registry.assignOwner(view, m.leadership.shards)
	}
}

// learnShardMap lets the second controller learn the current shard map.
func (m *model) learnShardMap() { m.knownShards = m.leadership.shards }

// wait advances the clock by 1 to 32 s.
func (m *model) wait() {
	m.advance(rapid.SampledFrom([]int{1, 1, 2, 2, 3, 8, 32}).Draw(m.t, "seconds"))
}

// advance advances the clock and expires leases. A worker's clock may be slow by one part in 2,000.
func (m *model) advance(seconds int) {
	m.now = m.now.Add(time.Duration(seconds) * time.Second)
	for _, worker := range m.workers {
		if m.now.Sub(worker.answeredAt) > 30*time.Second+15*time.Millisecond {
			m.beginIncarnation(worker)
		}
	}
	m.leader.failures.expireLeases(m.now)
}

// cancelJob rarely cancels a job, as a user does.
func (m *model) cancelJob() {
	if rapid.IntRange(0, 9).Draw(m.t, "rarely") == 0 {
		jobID := rapid.SampledFrom(m.jobs).Draw(m.t, "job")
		if data, ok := m.store[ledger.LiveKey(jobID)]; ok {
			record, err := ledger.DecodeJobRecord(data)
			if err != nil {
				m.t.Fatal(err)
			}
			endRecord, err := ledger.Encode(ledger.NewCancelledEndRecord(&record, m.now))
			if err != nil {
				m.t.Fatal(err)
			}
			delete(m.store, ledger.LiveKey(jobID))
			m.store[ledger.EndedKey(jobID)] = endRecord
			m.leader.cancellations.cancelJob(jobID)
		}
	}
}

// releaseFaulty releases the workers that the leader finds faulty. The cloud ends them at once.
func (m *model) releaseFaulty() {
	for _, name := range m.leader.failures.faultyWorkers(m.now) {
		for _, worker := range m.workers {
			if worker.name == name {
				worker.released = true
			}
		}
		m.leader.released[name] = m.now
		for _, claim := range m.leader.jobs.ClaimsOnWorker(name) {
			m.leader.freeClaim(claim, "machine returned")
		}
		if view := m.leader.workers[name]; view != nil {
			m.leader.removeWorker(view)
		}
	}
}

// TestSafetyInvariants checks that no task runs on two workers, no team exceeds its quota, and no job
// ends before its tasks are done, whichever messages are lost, delayed or reordered, and whichever
// controller answers behind a partition.
func TestSafetyInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(m.actions())
	})
}

// actions returns the actions that rapid draws from; frequent ones are listed more than once. The
// number before a name keeps the order of the actions, on which the draws depend.
func (m *model) actions() map[string]func(*rapid.T) {
	actions := make(map[string]func(*rapid.T))
	for _, action := range []struct {
		name  string
		times int
		run   func()
	}{
		{"send heartbeats", 3, m.sendHeartbeats},
		{"send commands", 1, m.sendCommands},
		{"partition zone", 1, m.partitionZone},
		{"finish task", 1, m.finishTask},
		{"deliver late commands", 3, m.deliverLateCommands},
		{"deliver late heartbeat", 1, m.deliverLateHeartbeat},
		{"learn shard map", 1, m.learnShardMap},
		{"place", 2, m.place},
		{"poll", 1, m.poll},
		{"reboot unheard", 1, m.rebootUnheard},
		{"raise epoch", 1, m.raiseEpoch},
		{"release faulty", 1, m.releaseFaulty},
		{"change leader", 1, m.changeLeader},
		{"wait", 2, m.wait},
		{"cancel job", 1, m.cancelJob},
		{"stop claim", 1, m.stopClaim},
		{"write", 2, m.write},
	} {
		for range action.times {
			actions[fmt.Sprintf("%02d %s", len(actions), action.name)] = func(t *rapid.T) { m.t = t; action.run() }
		}
	}
	return actions
}

// TestMain makes the property tests reproducible by fixing their seed. Use -rapid.seed and
// -rapid.checks to search further.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		f.Value.Set("7")
		flag.Set("rapid.steps", "80")
	}
	os.Exit(m.Run())
}
