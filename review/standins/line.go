package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

// playLine: a machine loses the network for some seconds while the tasks of a large array come to it. No
// response to a worker may have a line over 64 KiB.
func playLine(sc *scene) (string, error) {
	job := big("req-000412", 1100, 10*time.Minute)
	job.Cores, job.RAM = 0.025, 0.1
	var cut atomic.Bool
	sc.world.BeforeDo = func(k *Worker, body []byte) {
		if sc.trouble && strings.Contains(string(body), job.Ref+"/") && cut.CompareAndSwap(false, true) {
			sc.rec.Log("test", "%s loses the network for 3 s", k.machine.Ref)
			k.Cut(3 * time.Second)
		}
	}
	first := big("req-000411", 1, time.Second)
	if !sc.users.submit(first) || !sc.users.await(first.Ref, "done", time.Second, 30*time.Second) {
		return "", fmt.Errorf("the first job did not run")
	}
	if !sc.users.submit(job) {
		return "", fmt.Errorf("the job was not accepted")
	}
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Second) {
		sc.rec.Log("test", "%d tasks have started, %d run", sc.world.started(job.Ref), sc.world.running(job.Ref))
		if sc.world.running(job.Ref) == job.Members {
			break
		}
	}
	if broken := sc.world.brokenRules(); len(broken) > 0 {
		return broken[0], nil
	}
	return "", nil
}
