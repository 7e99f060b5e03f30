package main

import (
	"fmt"
	"sync"
	"time"
)

// playOutage: a job is cancelled as the state service refuses the leader alone; a second later it is out
// for longer than cancel_s. A job that needs the cancelled one must not be called queued or running more
// than cancel_s after the user was told.
func playOutage(sc *scene) (string, error) {
	const cancelS, outage = 42 * time.Second, 46 * time.Second
	first := big("req-000411", 1, 10*time.Minute)
	if !sc.users.submit(first) {
		return "", fmt.Errorf("the job was not accepted")
	}
	var second *Job // the last of those that need it
	for i := range 100 {
		second = big(fmt.Sprintf("req-%06d", 412+i), 1, time.Second)
		second.WaitsOn = []string{first.Ref}
		if !sc.users.submit(second) {
			return "", fmt.Errorf("a job was not accepted")
		}
	}
	if err := sc.awaitRunning(first.Ref, 20*time.Second); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	leader := sc.leader()
	if leader < 0 {
		return "", fmt.Errorf("nobody leads")
	}
	if sc.trouble {
		sc.rec.Log("test", "the state service refuses %s alone", sc.world.Nodes[leader].Name)
		sc.store.Refuse(sc.world.Nodes[leader].Name, true)
	}
	status, phase, _ := sc.users.call((leader+1)%len(sc.world.Nodes), "POST", "/v1/jobs/"+first.Ref+"/withdraw", nil, 5*time.Second)
	if status != 200 || phase != "withdrawn" {
		return "", fmt.Errorf("the cancellation was not answered at once")
	}
	told := time.Now()
	if sc.trouble {
		time.Sleep(time.Second)
		sc.rec.Log("test", "the state service is out")
		sc.store.SetOutage(true)
		sc.store.Refuse(sc.world.Nodes[leader].Name, false)
		time.Sleep(outage)
		sc.rec.Log("test", "the state service is back")
		sc.store.SetOutage(false)
	}
	// The user asks at all nodes, again and again.
	var mu sync.Mutex
	var broken string
	var wg sync.WaitGroup
	end := time.Now().Add(10 * time.Second)
	for node := range sc.world.Nodes {
		wg.Go(func() {
			for phase := ""; phase != "withdrawn" && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				asked := time.Now()
				_, phase, _ = sc.users.call(node, "GET", "/v1/jobs/"+second.Ref, nil, 2*time.Second)
				if late := asked.Sub(told); late > cancelS && (phase == "queued" || phase == "running") {
					mu.Lock()
					broken = fmt.Sprintf("%s is called %s by %s when asked %.1f s after its user was told that %s is cancelled",
						second.Ref, phase, sc.world.Nodes[node].Name, late.Seconds(), first.Ref)
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	return broken, nil
}
