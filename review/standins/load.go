package main

import (
	"fmt"
	"syscall"
	"time"
)

// playLoad: the leader ends and is back 8 s later; meanwhile a user cancels a job that runs. Then another
// job is cancelled that a third one waits for: more than cancel_s after the user was told, the third must
// not be called queued. A fourth job, submitted after the crash, shows whether any task starts.
func playLoad(sc *scene) (string, error) {
	const cancelS = 42 * time.Second
	first := big("req-000411", 1, 10*time.Minute)
	victim := big("req-000413", 1, 10*time.Minute)
	waiting := big("req-000414", 1, time.Second)
	waiting.WaitsOn = []string{first.Ref}
	for _, job := range []*Job{first, victim, waiting} {
		if !sc.users.submit(job) {
			return "", fmt.Errorf("%s was not accepted", job.Ref)
		}
	}
	// A campaign of many steps, each waiting for the first job, is submitted and cancelled.
	const steps = 1005
	ref := func(i int) string { return fmt.Sprintf("req-000412%04d", i) }
	each(steps, 32, func(i int) {
		step := big(ref(i), 1, time.Second)
		step.WaitsOn = []string{first.Ref}
		if !sc.users.submit(step) {
			sc.rec.Log("test", "%s was not accepted", step.Ref)
		}
	})
	sc.rec.Log("user", "submitted %d steps, %s to %s", steps, ref(1), ref(steps))
	each(steps, 32, func(i int) {
		if phase := sc.users.withdraw(ref(i)); phase != "withdrawn" {
			sc.rec.Log("test", "%s was answered %q", ref(i), phase)
		}
	})
	sc.rec.Log("user", "cancelled them")
	if err := sc.awaitRunning(victim.Ref, 5*time.Second); err != nil {
		return "", err
	}
	leader := sc.leader()
	if leader < 0 {
		return "", fmt.Errorf("nobody leads")
	}
	if sc.trouble {
		sc.controllers.signal(leader, syscall.SIGKILL)
	}
	go sc.users.withdraw(victim.Ref)
	if sc.trouble {
		time.Sleep(8 * time.Second)
		if err := sc.controllers.start(leader); err != nil {
			return "", err
		}
		time.Sleep(3 * time.Second)
	}
	last := big("req-000500", 1, 3*time.Second)
	if !sc.users.submit(last) {
		return "", fmt.Errorf("%s was not accepted", last.Ref)
	}
	submitted := time.Now()
	if phase := sc.users.withdraw(first.Ref); phase != "withdrawn" {
		return "", fmt.Errorf("%s was answered %q", first.Ref, phase)
	}
	told := time.Now()
	for time.Since(told) < cancelS+5*time.Second {
		if sc.users.await(waiting.Ref, "withdrawn", 3*time.Second, 3*time.Second) {
			return "", nil
		}
	}
	asked := time.Now()
	status, phase := sc.users.poll(waiting.Ref)
	sc.rec.Log("test", "requests to the state service, of lists: %s", sc.store.counts())
	sc.rec.Log("test", "tasks of %s that have started in %.0f s: %d; machines that fit and have room: %v",
		last.Ref, time.Since(submitted).Seconds(), sc.world.started(last.Ref), sc.roomFor(last))
	if status != 200 || phase != "queued" && phase != "running" {
		return "", fmt.Errorf("%s was answered %d %s", waiting.Ref, status, phase)
	}
	return fmt.Sprintf("%s is called %s when asked %.1f s after its user was told that %s is cancelled",
		waiting.Ref, phase, asked.Sub(told).Seconds(), first.Ref), nil
}
