package main

import (
	"fmt"
	"time"
)

// playSick: a machine fails every task that it starts, for some seconds. A job that failed there must
// run once the machine is well: for 90 s after the trouble it may wait, no longer.
func playSick(sc *scene) (string, error) {
	const sickFor = 8 * time.Second
	up := make(chan *Worker, 16)
	sc.world.OnUp = func(k *Worker) {
		if sc.trouble {
			k.Sick(sickFor)
			sc.rec.Log("test", "%s fails every task that it starts, for %v", k.machine.Ref, sickFor)
		}
		up <- k
	}
	job := big("req-000412", 1, 4*time.Second)
	if !sc.users.submit(job) {
		return "", fmt.Errorf("the job was not accepted")
	}
	select {
	case <-up:
	case <-time.After(20 * time.Second):
		return "", fmt.Errorf("no machine was rented")
	}
	time.Sleep(sickFor)
	over := time.Now()
	sc.rec.Log("test", "the trouble is over")
	// Other jobs like it come every few seconds, and run on this machine.
	others := 0
	for n := 1; time.Since(over) < 92*time.Second; n++ {
		other := big(fmt.Sprintf("req-%06d", 500+n), 1, 3*time.Second)
		if !sc.users.submit(other) {
			return "", fmt.Errorf("another job was not accepted")
		}
		if sc.users.await(job.Ref, "done", 2*time.Second, 5*time.Second) {
			return "", nil
		}
		others = n
	}
	room := sc.roomFor(job)
	sc.rec.Log("test", "machines that fit and have room: %v", room)
	if len(room) == 0 {
		return "", fmt.Errorf("there is no room")
	}
	return fmt.Sprintf("%s has waited for 90 s since the trouble, while %v had room and ran %d jobs like it",
		job.Ref, room, others), nil
}
