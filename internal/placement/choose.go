package placement

import (
	"slices"
	"time"
)

// choice is a candidate with the job whose task it would take next.
type choice struct {
	candidate *Candidate
	job       *WaitingJob // nil: nothing fits
	pick      Pick
	stale     bool // a task has been placed since, so the job may no longer fit
}

// chooser is the state of one call of Table.Choose.
type chooser struct {
	table   *Table
	queues  []Queue
	tuning  Tuning
	now     time.Time
	choices []choice
}

// Choose lets the candidates pick tasks, the best pick first, until no waiting task fits, and
// returns the picks in that order. It modifies the offer: each pick takes a task from its
// queue and capacity from its candidate.
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

// best returns the choice whose pick goes first, or nil if no candidate can take a task.
func (run *chooser) best() *choice {
	var best *choice
	for i := range run.choices {
		if current := &run.choices[i]; current.job != nil && (best == nil || current.pick.Compare(best.pick) < 0) {
			best = current
		}
	}
	return best
}

// choose selects the job that a candidate takes a task of next, among the first fitting job of
// each queue.
func (run *chooser) choose(next *choice) {
	next.job, next.stale = nil, false
	candidate := next.candidate
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
	next.job = jobs[selected]
	next.pick = Pick{
		Worker: candidate.Worker, JobID: next.job.JobID, Tier: heads[selected].Tier,
		Weight: heads[selected].Weight, Cost: next.job.cost(candidate, run.tuning),
	}
}
