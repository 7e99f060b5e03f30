package placement

import (
	"slices"
	"strings"
	"testing"
	"time"
)

func TestChoose(t *testing.T) {
	candidate := func(worker, zone string, cpus float64, images ...string) Candidate {
		return Candidate{
			Worker: worker, InstanceType: "big", Zone: zone, CPUs: cpus, TotalCPUs: 8, MemoryGB: 64,
			PullGBPerSecond: 1, Images: images,
		}
	}
	spot := func(c Candidate) Candidate { c.Spot = true; return c }
	reserved := func(c Candidate, job string, tier int) Candidate { c.ReservedFor, c.ReservedTier = job, tier; return c }
	candidates := func(list ...Candidate) []Candidate { return list }
	queue := func(jobType string, unfinished int, jobs ...WaitingJob) Queue {
		return Queue{jobType, unfinished, jobs}
	}
	// singleJob returns an offer with one queue and one job, whose tasks take two CPUs each.
	singleJob := func(workers []Candidate, tasks int, modify func(job *WaitingJob)) Offer {
		job := WaitingJob{JobID: "x", Tasks: tasks, CPUs: 2}
		if modify != nil {
			modify(&job)
		}
		return Offer{workers, []Queue{queue("t", tasks, job)}}
	}
	for _, tc := range []struct {
		name  string
		offer Offer
		want  string // worker:job of each pick, sorted
	}{
		{"nothing fits", singleJob(candidates(candidate("h", "a", 1)), 1, nil), ""},
		{"placed until the worker is full", singleJob(candidates(candidate("h", "a", 5)), 9, nil), "h:x h:x"},
		{"placed until no task waits", singleJob(candidates(candidate("h", "a", 8)), 1, nil), "h:x"},
		{"the greater number of unfinished tasks first", Offer{candidates(candidate("h", "a", 2)), []Queue{
			queue("t", 2, WaitingJob{JobID: "x", Tasks: 2, CPUs: 2}),
			queue("u", 3, WaitingJob{JobID: "y", Tasks: 3, CPUs: 2}),
		}}, "h:y"},
		{"worker with the image first", singleJob(candidates(candidate("h", "a", 2), candidate("i", "a", 2, "img")), 1,
			func(job *WaitingJob) { job.Image, job.ImageGB = "img", 2 }), "i:x"},
		{"no spot worker for a job that does not allow it",
			singleJob(candidates(spot(candidate("h", "a", 2))), 1, nil), ""},
		{"spot worker before on-demand worker",
			singleJob(candidates(candidate("h", "a", 2), spot(candidate("i", "a", 2))), 1,
				func(job *WaitingJob) { job.AllowSpot = true }), "i:x"},
		{"limited slots per zone", singleJob(candidates(candidate("h", "a", 8), candidate("i", "b", 8)), 4,
			func(job *WaitingJob) { job.ZoneSlots = map[string]int{"a": 1, "b": 2} }), "h:x i:x i:x"},
		{"excluded worker", singleJob(candidates(candidate("h", "a", 2)), 1,
			func(job *WaitingJob) { job.ExcludedWorkers = []string{"h"} }), ""},
		{"capacity reserved for another job", singleJob(candidates(reserved(Candidate{Worker: "h", CPUs: 2}, "y", 0)), 1,
			func(job *WaitingJob) { job.CPUs = 1 }), ""},
		{"capacity reserved for a job of a later tier",
			singleJob(candidates(reserved(Candidate{Worker: "h", CPUs: 2}, "y", 3)), 1,
				func(job *WaitingJob) { job.CPUs, job.Tier = 1, 2 }), "h:x"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tuning := Tuning{AgingThreshold: time.Minute, NearTie: 0.1, OnDemandPenalty: 3}
			var got []string
			for _, pick := range NewTable(testParams(), testStart).Choose(tc.offer, tuning, testStart) {
				got = append(got, pick.Worker+":"+pick.JobID)
			}
			slices.Sort(got)
			if got := strings.Join(got, " "); got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}
