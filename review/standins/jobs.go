package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

func text(s string) *string { return &s }

// big returns an array that only an ordinary onggi-big of seoul-main may run, of which the cloud has one.
func big(ref string, members int, run time.Duration) *Job {
	return &Job{
		Ref: ref, Class: "thumb-batch", Owner: "scan-room", Shape: "batch", Rank: "standard", Members: members,
		Cores: 4, RAM: 6, Bundle: "img-01", Size: 0.5, Flavors: []string{"onggi-big"}, Locale: text("seoul-main"),
		Expect: run.Seconds(), run: run,
	}
}

// awaitRunning waits until a task of a job runs.
func (sc *scene) awaitRunning(ref string, limit time.Duration) error {
	for end := time.Now().Add(limit); sc.world.running(ref) == 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%s does not run", ref)
		}
	}
	return nil
}

// roomFor returns the machines that are up, may run a task of the job and have room for it.
func (sc *scene) roomFor(job *Job) (found []string) {
	sc.cloud.mu.Lock()
	machines := slices.Clone(sc.cloud.machines)
	sc.cloud.mu.Unlock()
	for _, machine := range machines {
		k := machine.Worker
		k.mu.Lock()
		cores, ram := k.kind.Cores, k.kind.RAM
		for _, task := range k.tasks {
			if task.Phase != "ended" {
				cores -= task.job.Cores
				ram -= task.job.RAM
			}
		}
		fits := !k.began.IsZero() && !k.gone && cores >= job.Cores && ram >= job.RAM &&
			(job.Flavors == nil || slices.Contains(job.Flavors, machine.Flavor)) &&
			(job.Locale == nil || *job.Locale == machine.Locale) && (job.Loaners || !machine.Loaners)
		k.mu.Unlock()
		if fits {
			found = append(found, machine.Ref)
		}
	}
	return found
}

// each calls do for 1 to n, some at a time.
func each(n, atOnce int, do func(i int)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, atOnce)
	for i := 1; i <= n; i++ {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			do(i)
		})
	}
	wg.Wait()
}
