package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"time"
)

// Users are a stand-in of users behind the load balancer: each request goes to one of the controllers
// that are up.
type Users struct {
	world  *World
	client *http.Client
	usable func() []int // controllers that take requests
}

func newUsers(world *World, usable func() []int) *Users {
	return &Users{world: world, usable: usable, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// call sends one request and returns the status, 0 for none, and the phase answered.
func (u *Users) call(node int, method, path string, body any, timeout time.Duration) (status int, phase string, retryAfter time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		data, _ := json.Marshal(body)
		reader = bytes.NewReader(data)
	}
	request, _ := http.NewRequestWithContext(ctx, method, "http://"+u.world.Nodes[node].Front+path, reader)
	response, err := u.client.Do(request)
	var text []byte
	if err == nil {
		defer response.Body.Close()
		status = response.StatusCode
		text, _ = io.ReadAll(response.Body)
		var answer struct {
			Phase string `json:"phase"`
		}
		json.Unmarshal(text, &answer)
		phase = answer.Phase
		if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
			retryAfter = time.Duration(seconds) * time.Second
		}
	}
	u.world.Rec.Log("user", "%s %s at %s: %d %s", method, path, u.world.Nodes[node].Name, status, bytes.TrimSpace(text))
	return status, phase, retryAfter
}

func (u *Users) pick() int {
	usable := u.usable()
	return usable[rand.Intn(len(usable))]
}

// until repeats a request as users do, for up to a minute, until its status is one of those given.
func (u *Users) until(method, path string, body any, statuses ...int) (status int, phase string) {
	end := time.Now().Add(time.Minute)
	for time.Now().Before(end) {
		status, phase, retryAfter := u.call(u.pick(), method, path, body, 5*time.Second)
		for _, wanted := range statuses {
			if status == wanted {
				return status, phase
			}
		}
		time.Sleep(max(time.Second, min(retryAfter, 30*time.Second)))
	}
	return 0, ""
}

// submit submits a job and returns whether it was accepted.
func (u *Users) submit(job *Job) bool {
	u.world.addJob(job)
	status, _ := u.until("POST", "/v1/jobs", job, 200, 201, 400, 422)
	return status == 200 || status == 201
}

// withdraw cancels a job and returns the phase answered.
func (u *Users) withdraw(ref string) string {
	_, phase := u.until("POST", "/v1/jobs/"+ref+"/withdraw", nil, 200)
	return phase
}

// poll asks for a job's phase once.
func (u *Users) poll(ref string) (status int, phase string) {
	status, phase, _ = u.call(u.pick(), "GET", "/v1/jobs/"+ref, nil, 2*time.Second)
	return status, phase
}

// await polls every interval until a job has a phase, or until the time is over.
func (u *Users) await(ref, wanted string, interval, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(interval) {
		if status, phase := u.poll(ref); status == 200 && phase == wanted {
			return true
		}
	}
	return false
}
