package leader

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"rillflow/internal/agent"
	"rillflow/internal/election"
	"rillflow/internal/ledger"
	"rillflow/internal/placement"
	"rillflow/internal/wire"
)

// partitionedOwners is a Shards in which one shard owner is unreachable.
type partitionedOwners struct {
	noopShards
	unreachable     string
	requestedOwners []string
}

func (p *partitionedOwners) Pick(_ context.Context, owner string, offer placement.Offer) ([]placement.Pick, error) {
	p.requestedOwners = append(p.requestedOwners, owner)
	if owner == p.unreachable {
		return nil, errors.New("not connected")
	}
	var picks []placement.Pick
	for _, target := range offer.Candidates {
		picks = append(picks, placement.Pick{Worker: target.Worker, JobID: "req-1"})
	}
	return picks, nil
}

// TestPicksWhenOwnerUnreachable guards against workers that stay idle while their shard owner is
// unreachable: the leader must pick for them until the shard map has a new owner.
func TestPicksWhenOwnerUnreachable(t *testing.T) {
	leader := newTestTerm(t)
	owners := &partitionedOwners{unreachable: "far"}
	leader.shards = owners
	picks := leader.scheduler.offers.requestPicks(t.Context(), map[string]*placement.Offer{
		"far": {Candidates: []placement.Candidate{{Worker: "h0"}, {Worker: "h1"}}},
	})
	if len(picks) != 2 || len(owners.requestedOwners) != 2 || owners.requestedOwners[1] != leader.settings.Name {
		t.Errorf("got %d picks, requested from %v; want 2 picks, requested from far, then %s",
			len(picks), owners.requestedOwners, leader.settings.Name)
	}
}

// TestJobsBehindOthersThatFitNowhere guards against workers that stand idle while a job that fits them
// waits behind as many others of its type as one offer holds, which fit no worker with room.
func TestJobsBehindOthersThatFitNowhere(t *testing.T) {
	const others = 2 * maxOfferedJobs
	excludeEverywhere := func(leader *leaderTerm, job *ledger.Job) {
		for _, worker := range leader.workersByName {
			leader.faults.excludeFromWorker(job, worker, now)
		}
	}
	for _, tc := range []struct {
		name   string
		others wire.Job
		change func(leader *leaderTerm, job *ledger.Job) // of each of the others; nil: none
	}{
		{"too large", wire.Job{TaskCount: 1, CPUs: 9}, nil},
		{"too much memory", wire.Job{TaskCount: 1, CPUs: 1, MemoryGB: 65}, nil},
		{"another instance type", wire.Job{TaskCount: 1, CPUs: 1, InstanceTypes: []string{"large"}}, nil},
		{"another zone", wire.Job{TaskCount: 1, CPUs: 1, Zone: "c"}, nil},
		{"their team is at its limit", wire.Job{TaskCount: 1, CPUs: 1, Team: "full"}, nil},
		{"gangs", wire.Job{TaskCount: 99, CPUs: 1, Kind: wire.KindGang}, nil},
		{"failed on each worker just now", wire.Job{TaskCount: 1, CPUs: 1}, excludeEverywhere},
		{"their single zone has no room", wire.Job{TaskCount: 2, CPUs: 0.5, SingleZone: true},
			func(leader *leaderTerm, job *ledger.Job) {
				if _, err := leader.jobs.Claim(job, "elsewhere", 1, "c"); err != nil {
					t.Fatal(err)
				}
			}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			leader := newTestTerm(t)
			for i := range others {
				spec := tc.others
				spec.Class = "c"
				job := leader.addTestJob(fmt.Sprintf("req-%06d", i), spec)
				if tc.change != nil {
					tc.change(leader, job)
				}
			}
			last := leader.addTestJob("req-999999", wire.Job{Class: "c", TaskCount: 1, CPUs: 8})
			index := newCandidateIndex(leader.scheduler.candidates(now))
			work := leader.scheduler.offers.workToOffer(leader.scheduler.waitingQueues(now), index, now)
			if len(work.jobs) != 1 || work.jobs[0] != last {
				t.Errorf("%d jobs offered, want only the one that fits", len(work.jobs))
			}
		})
	}
}

// TestReservedWorkerIsNoRoom checks that a worker reserved for one job counts as room for that job and
// for more urgent ones, and that jobs of all groups are offered in scheduling order.
func TestReservedWorkerIsNoRoom(t *testing.T) {
	leader := newTestTerm(t)
	specs := []wire.Job{
		{Priority: "standard", CPUs: 8}, {Priority: "standard", CPUs: 1}, {Priority: "urgent", CPUs: 2}, {Priority: "urgent", CPUs: 1},
	}
	var jobs []*ledger.Job
	for i, spec := range specs {
		spec.Class, spec.TaskCount = "c", 1
		jobs = append(jobs, leader.addTestJob(fmt.Sprint("req-", i), spec))
	}
	candidates := leader.scheduler.candidates(now)
	for _, target := range candidates {
		target.reservedFor = jobs[0]
	}
	queues := leader.scheduler.waitingQueues(now)
	want := slices.DeleteFunc(slices.Clone(queues[0].jobs), func(job *ledger.Job) bool { return job == jobs[1] })
	got := leader.scheduler.offers.workToOffer(queues, newCandidateIndex(candidates), now).jobs
	if len(want) != 3 || !slices.Equal(got, want) {
		t.Errorf("%d jobs offered, want in scheduling order the %d that are urgent or have the reservation", len(got), len(want))
	}
}

// BenchmarkChoiceBehindJobsThatFitNowhere measures the choice of the jobs to offer to 500 idle workers
// when one job fits them and a number of others of its type fit none.
func BenchmarkChoiceBehindJobsThatFitNowhere(b *testing.B) {
	for _, others := range []int{64, 1_000, 10_000} {
		b.Run(fmt.Sprint(others), func(b *testing.B) {
			leader := newTestTerm(b)
			leader.leadership = &fakeLeadership{election.ShardMap{Epoch: 1, Leader: "n", Owners: []string{"n"}}}
			for i := range 500 {
				worker := agent.NewWorker(fmt.Sprintf("i-%06d", i))
				worker.InstanceType, worker.Zone, worker.Incarnation, worker.LastHeartbeat = "m", "a", 1, now
				leader.addWorker(worker)
			}
			for i := range others {
				leader.addTestJob(fmt.Sprintf("req-%06d", i), wire.Job{Class: "c", TaskCount: 1, CPUs: 9})
			}
			leader.addTestJob("req-999999", wire.Job{Class: "c", TaskCount: 1, CPUs: 8})
			index := newCandidateIndex(leader.scheduler.candidates(now))
			var ordering time.Duration
			for b.Loop() {
				b.StopTimer()
				startedAt := time.Now()
				queues := leader.scheduler.waitingQueues(now)
				ordering += time.Since(startedAt)
				b.StartTimer()
				leader.scheduler.offers.makeOffers(queues, index, now)
			}
			b.ReportMetric(float64(ordering.Nanoseconds())/float64(b.N), "ordering-ns/op")
		})
	}
}
