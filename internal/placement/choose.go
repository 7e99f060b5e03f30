package placement

import (
	"slices"
	"time"
)

// choice is a candidate with what it would take next.
type choice struct {
	candidate *Candidate
	job       *WaitingJob // nil: nothing fits
	pick      Pick
	stale     bool // another candidate took a task since, so the job may no longer fit
}

// chooser is one run of Table.Choose.
type chooser struct {
	table   *Table
	queues  []Queue
	tuning  Tuning
	now     time.Time
	choices []choice
}

// Choose lets each candidate pick by the rule, the best-suited one first, until nothing
// waiting fits, and returns the picks in that order. It uses the offer up as it goes.
func (t *Table) Choose(offer Offer, tuning Tuning, now time.Time) []Pick {
	run := &chooser{
		table: t, queues: offer.Queues, tuning: tuning, now: now,
		choices: make([]choice, len(offer.Candidates)),
	}
	for i := range run.choices {
		run.choices[i].candidate = &offer.Candidates[i]
		run.choose(&run.choices[i])
	}
	var picks []Pick
	for best := run.best(); best != nil; best = run.best() {
		if best.stale {
			best.stale = false
			if !best.job.fits(best.candidate) {
				run.choose(best)
				continue
			}
		}
		picks = append(picks, best.pick)
		best.candidate.place(best.job)
		for i := range run.choices {
			run.choices[i].stale = true
		}
		run.choose(best)
	}
	return picks
}

// best is the choice whose pick goes first, or nil if no candidate can take anything.
func (run *chooser) best() *choice {
	var best *choice
	for i := range run.choices {
		if c := &run.choices[i]; c.job != nil && (best == nil || c.pick.Before(best.pick) < 0) {
			best = c
		}
	}
	return best
}

// choose finds what a candidate takes next: of each queue the first job that fits bids.
func (run *chooser) choose(c *choice) {
	c.job, c.stale = nil, false
	candidate := c.candidate
	var heads []QueueHead
	var jobs []*WaitingJob
	for i := range run.queues {
		queue := &run.queues[i]
		first := slices.IndexFunc(queue.Jobs, func(job WaitingJob) bool { return job.fits(candidate) })
		if first < 0 {
			continue
		}
		job := &queue.Jobs[first]
		heads = append(heads, QueueHead{
			Type: queue.Type, Tier: job.Tier, Age: job.Age,
			Weight:   run.table.Weight(queue.Unfinished, Arm{queue.Type, candidate.InstanceType}, run.now),
			HasImage: slices.Contains(candidate.Images, job.Image),
		})
		jobs = append(jobs, job)
	}
	selected := SelectQueue(heads, run.tuning.AgingThreshold, run.tuning.NearTie)
	if selected < 0 {
		return
	}
	c.job = jobs[selected]
	c.pick = Pick{
		Worker: candidate.Worker, JobID: c.job.JobID, Tier: heads[selected].Tier,
		Weight: heads[selected].Weight, Cost: c.job.cost(candidate, run.tuning),
	}
}
