package intake

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

const validJob = `{"ref":"req-000412","jobclass":"train","owner":"vision","shape":"batch","rank":"urgent","members":16,
"cores":8.0,"accelerators":1.0,"ram_gb":64.0,"bundle":"img-07","size_gb":6.2,"flavors":["g8"],"locale":null,
"same_place":false,"scatter":false,"loaners":true,"expect_s":240.0,"snapshot_s":30.0,"flush_s":4.0,"due_s":900.0}`

func TestParse(t *testing.T) {
	for _, tc := range []struct{ name, old, new, id, want string }{
		{"valid", "", "", "req-000412", ""},
		{"unknown field", `"ref"`, `"hue":1,"ref"`, "req-000412", ""},
		{"optional field left out", `"locale":null,`, "", "req-000412", ""},
		{"not JSON", `{"ref"`, `{ref`, "", "malformed"},
		{"not an object", validJob, `[1]`, "", "malformed"},
		{"null", validJob, `null`, "", "not an object"},
		{"null for a list", `["g8"]`, `null`, "req-000412", ""},
		{"known field in another case is ignored", `"ref"`, `"Cores":1,"ref"`, "req-000412", ""},
		{"field only in another case", `"cores"`, `"Cores"`, "req-000412", "cores: missing"},
		{"ID field in another case", `"ref"`, `"Ref"`, "", "ref: missing"},
		{"duplicate field", `"cores":8.0`, `"cores":8.0,"cores":8.0`, "req-000412", "cores: twice"},
		{"duplicate unknown field", `"ref"`, `"hue":1,"hue":2,"ref"`, "req-000412", ""},
		{"duplicate ID: the first one counts", `"members":16`, `"members":16,"ref":"req-7"`, "req-000412", "ref: twice"},
		{"number out of range", `"cores":8.0`, `"cores":1e999`, "req-000412", "malformed"},
		{"not a number", `"cores":8.0`, `"cores":NaN`, "req-000412", "malformed"},
		{"truncated, ID is returned", `"due_s":900.0}`, `"due_`, "req-000412", "malformed"},
		{"data after the object", `900.0}`, `900.0} {}`, "req-000412", "more than an object"},
		{"missing field", `"cores":8.0,`, "", "req-000412", "cores: missing"},
		{"null for a required field", `"cores":8.0`, `"cores":null`, "req-000412", "cores: missing"},
		{"wrong type, ID is returned", `"members":16`, `"members":"16"`, "req-000412", "malformed"},
		{"fractional task count", `"members":16`, `"members":1.5`, "req-000412", "malformed"},
		{"task count spelled as a decimal", `"members":16`, `"members":16.0`, "req-000412", ""},
		{"task count with an exponent", `"members":16`, `"members":1.6e1`, "req-000412", ""},
		{"task count beyond any integer", `"members":16`, `"members":1e300`, "req-000412", "malformed"},
		{"no tasks", `"members":16`, `"members":0`, "req-000412", "members: invalid"},
		{"too many tasks", `"members":16`, `"members":100001`, "req-000412", "members: invalid"},
		{"negative amount", `"ram_gb":64.0`, `"ram_gb":-1`, "req-000412", "ram_gb: invalid"},
		{"malformed ID", `req-000412`, `job-1`, "", "ref: wrong form"},
		{"ID with a slash", `req-000412`, `req-1/2`, "", "ref: wrong form"},
		{"unknown kind", `"batch"`, `"heap"`, "req-000412", "shape: unknown"},
		{"unknown priority", `"urgent"`, `"soon"`, "req-000412", "rank: unknown"},
		{"empty list of instance types", `["g8"]`, `[]`, "req-000412", "flavors: invalid"},
		{"dependencies", `"ref"`, `"waits_on":["req-2","req-1","req-2"],"ref"`, "req-000412", ""},
		{"empty list of dependencies", `"ref"`, `"waits_on":[],"ref"`, "req-000412", ""},
		{"null for dependencies", `"ref"`, `"waits_on":null,"ref"`, "req-000412", ""},
		{"dependencies not a list", `"ref"`, `"waits_on":"req-1","ref"`, "req-000412", "malformed"},
		{"number as a dependency", `"ref"`, `"waits_on":[1],"ref"`, "req-000412", "malformed"},
		{"malformed ID of a dependency", `"ref"`, `"waits_on":["job-1"],"ref"`, "req-000412", "waits_on"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, id, err := Parse([]byte(strings.Replace(validJob, tc.old, tc.new, 1)))
			if id != tc.id {
				t.Errorf("got ID %q, want %q", id, tc.id)
			}
			if (tc.want == "") != (err == nil) || err != nil && !strings.Contains(err.Error(), tc.want) {
				t.Errorf("got error %v, want text %q", err, tc.want)
			}
		})
	}
}

func TestRunnable(t *testing.T) {
	config := &settings.Settings{Facts: settings.Facts{Teams: []settings.Team{{Name: "vision", CPUsMax: 64, GPUsMax: 4}}}}
	types := map[string]*wire.InstanceType{
		"g8": {Name: "g8", CPUs: 32, GPUs: 4, MemoryGB: 64, Zones: []string{"a"}},
		"c4": {Name: "c4", CPUs: 4, MemoryGB: 16, Zones: []string{"a", "b"}},
	}
	for _, tc := range []struct {
		name  string
		tweak func(*wire.Job)
		types map[string]*wire.InstanceType
		want  string
	}{
		{"fits", func(*wire.Job) {}, types, ""},
		{"unknown team", func(job *wire.Job) { job.Team = "x" }, types, "unknown team"},
		{"array: limit applies to one task", func(job *wire.Job) { job.TaskCount = 1000 }, types, ""},
		{"service: limit applies to all tasks", func(job *wire.Job) { job.Kind = wire.KindService; job.TaskCount = 33 }, types, "limit"},
		{"too large for any instance type", func(job *wire.Job) { job.MemoryGB = 65 }, types, "fits no allowed"},
		{"too large for the zone", func(job *wire.Job) { job.CPUs = 8; job.Zone = "b" }, types, "fits no allowed"},
		{"too large for the instance type", func(job *wire.Job) { job.CPUs = 8; job.InstanceTypes = []string{"c4"} }, types, "fits no allowed"},
		{"spread within one zone", func(job *wire.Job) { job.Kind = wire.KindService; job.SpreadZones = true; job.Zone = "a" }, types, "spread"},
		{"spread and single zone", func(job *wire.Job) { job.Kind = wire.KindService; job.SpreadZones, job.SingleZone = true, true }, types, "spread"},
		{"instance types unknown", func(*wire.Job) {}, nil, ErrUndecided.Error()},
		{"unknown team, instance types unknown", func(job *wire.Job) { job.Team = "x" }, nil, "unknown team"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			job := wire.Job{Team: "vision", Kind: wire.KindArray, TaskCount: 2, CPUs: 2, MemoryGB: 8}
			tc.tweak(&job)
			err := Runnable(&job, config, tc.types)
			if (tc.want == "") != (err == nil) || err != nil && !strings.Contains(err.Error(), tc.want) {
				t.Errorf("got error %v, want text %q", err, tc.want)
			}
			if tc.types == nil && tc.want == ErrUndecided.Error() && !errors.Is(err, ErrUndecided) {
				t.Errorf("got error %v, want ErrUndecided", err)
			}
		})
	}
}

func TestJobCacheIsBounded(t *testing.T) {
	cache := newJobCache(3)
	for _, id := range []string{"a", "b", "a", "c", "d"} {
		cache.put(id, jobState{JobStatus: wire.JobStatus{ID: id}})
	}
	if _, ok := cache.get("a"); ok || len(cache.jobs) != 3 {
		t.Errorf("got %d jobs cached, want 3 without the oldest", len(cache.jobs))
	}
	if job, ok := cache.get("d"); !ok || job.ID != "d" {
		t.Error("the newest job is not cached")
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validJob))
	f.Add([]byte(`{"ref":1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		job, id, err := Parse(body)
		if err != nil {
			return
		}
		if id != job.ID || !ValidJobID(id) || job.TaskCount < 1 || job.TaskCount > maxTasks || job.CPUs < 0 {
			t.Fatalf("Parse accepted the invalid job %+v", job)
		}
		if _, err := json.Marshal(job); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against rejecting an invalid submission of an existing job, whose status must be
// answered, and against storing an invalid new job.
func TestInvalidSubmissions(t *testing.T) {
	store := &fakeStore{values: map[string]string{}}
	_, mux := newAPIWithStore(t, store)
	if recorder := submitJob(mux, "req-1", nil, "", ""); recorder.Code != 201 {
		t.Fatalf("submission: got status %d, want 201", recorder.Code)
	}
	for _, tc := range []struct{ name, old, new string }{
		{"missing field", `"cores":8.0,`, ``},
		{"field in another case", `"cores"`, `"Cores"`},
		{"duplicate field", `"cores":8.0`, `"cores":8.0,"cores":8.0`},
		{"truncated", `"due_s":900.0}`, `"due`},
		{"too large", `"due_s":900.0}`, `"due_s":900.0}` + strings.Repeat(" ", MaxBody)},
		{"fits no instance type", `"cores":8.0`, `"cores":1e6`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			want := 400
			if tc.name == "fits no instance type" {
				want = 422
			}
			if recorder := submitJob(mux, "req-2", nil, tc.old, tc.new); recorder.Code != want {
				t.Errorf("new job: got status %d, body %s, want %d", recorder.Code, recorder.Body, want)
			}
			if recorder := submitJob(mux, "req-1", nil, tc.old, tc.new); recorder.Code != 200 || !strings.Contains(recorder.Body.String(), wire.PhaseQueued) {
				t.Errorf("existing job: got status %d, body %s, want 200 with phase %s", recorder.Code, recorder.Body, wire.PhaseQueued)
			}
			if _, ok := store.values["j/req-2"]; ok {
				t.Error("the invalid job is stored")
			}
		})
	}
}
