package main

import (
	"fmt"
	"time"
)

// playType: the only machine of its type stops with all that is on it. A job that may run on that type
// only, within its team's guarantee, must run again: the cloud has two more such machines to give.
func playType(sc *scene) (string, error) {
	up := make(chan *Worker, 64)
	sc.world.OnUp = func(k *Worker) { up <- k }
	job := big("req-000412", 1, 15*time.Second)
	job.Locale = nil
	job.Cores, job.RAM = 1, 3.2
	if !sc.users.submit(job) {
		return "", fmt.Errorf("the job was not accepted")
	}
	var machine *Worker
	select {
	case machine = <-up:
	case <-time.After(20 * time.Second):
		return "", fmt.Errorf("no machine was rented")
	}
	for i := range 5 {
		service := &Job{
			Ref: fmt.Sprintf("req-%06d", 600+i), Class: "viewer-serve", Owner: "web-viewer", Shape: "standing",
			Rank: "production", Members: 1, Cores: 2, RAM: 3.4, Bundle: "img-02", Size: 0.3,
		}
		if !sc.users.submit(service) {
			return "", fmt.Errorf("a service was not accepted")
		}
	}
	if err := sc.awaitRunning(job.Ref, 10*time.Second); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	if sc.trouble {
		sc.rec.Log("test", "%s stops", machine.machine.Ref)
		machine.die()
	}
	if sc.users.await(job.Ref, "done", 3*time.Second, 98*time.Second) {
		return "", nil
	}
	if sc.world.running(job.Ref) > 0 {
		return "", fmt.Errorf("the job runs, though late")
	}
	rented, free := sc.cloud.count("onggi-big")
	sc.rec.Log("test", "onggi-big: %d machines rented now, the cloud has %d more to give", rented, free)
	return fmt.Sprintf("%s, within its team's guarantee, has waited for 90 s, and no machine of its type was asked for", job.Ref), nil
}
