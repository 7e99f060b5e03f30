package main

import (
	"fmt"
	"time"
)

// playHead: one-task jobs that only one machine may run come four a second for 23 s, and a quarter of
// them are cancelled. A job of the same class that may run anywhere, submitted once that is over, must
// not wait for 90 s while machines have room. Without the disruption they come once a second.
func playHead(sc *scene) (string, error) {
	const burst = 23 * time.Second
	interval := time.Second
	if sc.trouble {
		interval = 250 * time.Millisecond
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	n, left := 0, 0
	for begun := time.Now(); time.Since(begun) < burst; <-ticker.C {
		n++
		bound := big(fmt.Sprintf("req-%06d", 1000+n), 1, 100*time.Second)
		bound.Cores, bound.RAM = 17, 34
		if !sc.users.submit(bound) {
			return "", fmt.Errorf("a job was not accepted")
		}
		if n%4 == 0 {
			go sc.users.withdraw(bound.Ref)
		} else {
			left++
		}
	}
	over := time.Now()
	sc.rec.Log("test", "%d jobs for the onggi-big of seoul-main came, %d were not cancelled; no more come", n, left)
	job := &Job{
		Ref: "req-000500", Class: "thumb-batch", Owner: "scan-room", Shape: "batch", Rank: "standard", Members: 24,
		Cores: 4, RAM: 6, Bundle: "img-01", Size: 0.5, Loaners: true, Expect: 20, run: 4 * time.Second,
	}
	if !sc.users.submit(job) {
		return "", fmt.Errorf("the job was not accepted")
	}
	for time.Since(over) < 90*time.Second {
		sc.rec.Log("test", "machines that fit %s and have room: %v", job.Ref, sc.roomFor(job))
		if sc.users.await(job.Ref, "done", 3*time.Second, 6*time.Second) {
			return "", nil
		}
	}
	room := sc.roomFor(job)
	if sc.world.started(job.Ref) > 0 || len(room) == 0 {
		return "", fmt.Errorf("it can't be told whether the rule held")
	}
	return fmt.Sprintf("no task of %s has started for 90 s while %d machines had room", job.Ref, len(room)), nil
}
