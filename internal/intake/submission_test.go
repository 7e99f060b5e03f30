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
	for _, tc := range []struct{ name, old, new, ref, want string }{
		{"good", "", "", "req-000412", ""},
		{"unknown field", `"ref"`, `"hue":1,"ref"`, "req-000412", ""},
		{"nulls left out", `"locale":null,`, "", "req-000412", ""},
		{"not JSON", `{"ref"`, `{ref`, "", "malformed"},
		{"not an object", validJob, `[1]`, "", "malformed"},
		{"null", validJob, `null`, "", "not an object"},
		{"null instead of a list", `["g8"]`, `null`, "req-000412", ""},
		{"a member in another case is not known", `"ref"`, `"Cores":1,"ref"`, "req-000412", ""},
		{"another case", `"cores"`, `"Cores"`, "req-000412", "cores: missing"},
		{"another case of the reference", `"ref"`, `"Ref"`, "", "ref: missing"},
		{"twice", `"cores":8.0`, `"cores":8.0,"cores":8.0`, "req-000412", "cores: twice"},
		{"an unknown one twice", `"ref"`, `"hue":1,"hue":2,"ref"`, "req-000412", ""},
		{"the reference twice: the first counts", `"members":16`, `"members":16,"ref":"req-7"`, "req-000412", "ref: twice"},
		{"too large a number", `"cores":8.0`, `"cores":1e999`, "req-000412", "malformed"},
		{"not finite", `"cores":8.0`, `"cores":NaN`, "req-000412", "malformed"},
		{"cut short keeps the reference", `"due_s":900.0}`, `"due_`, "req-000412", "malformed"},
		{"more than an object", `900.0}`, `900.0} {}`, "req-000412", "more than an object"},
		{"missing field", `"cores":8.0,`, "", "req-000412", "cores: missing"},
		{"null where it may not be", `"cores":8.0`, `"cores":null`, "req-000412", "cores: missing"},
		{"wrong type keeps the reference", `"members":16`, `"members":"16"`, "req-000412", "malformed"},
		{"fraction of a task", `"members":16`, `"members":1.5`, "req-000412", "malformed"},
		{"no task", `"members":16`, `"members":0`, "req-000412", "members: invalid"},
		{"too many tasks", `"members":16`, `"members":100001`, "req-000412", "members: invalid"},
		{"negative", `"ram_gb":64.0`, `"ram_gb":-1`, "req-000412", "ram_gb: invalid"},
		{"reference of another form", `req-000412`, `job-1`, "", "ref: wrong form"},
		{"reference with a path", `req-000412`, `req-1/2`, "", "ref: wrong form"},
		{"unknown shape", `"batch"`, `"heap"`, "req-000412", "shape: unknown"},
		{"unknown rank", `"urgent"`, `"soon"`, "req-000412", "rank: unknown"},
		{"no flavor allowed", `["g8"]`, `[]`, "req-000412", "flavors: invalid"},
		{"waits for others", `"ref"`, `"waits_on":["req-2","req-1","req-2"],"ref"`, "req-000412", ""},
		{"waits for none", `"ref"`, `"waits_on":[],"ref"`, "req-000412", ""},
		{"waits for null", `"ref"`, `"waits_on":null,"ref"`, "req-000412", ""},
		{"waits for no list", `"ref"`, `"waits_on":"req-1","ref"`, "req-000412", "malformed"},
		{"waits for a number", `"ref"`, `"waits_on":[1],"ref"`, "req-000412", "malformed"},
		{"waits for what is no reference", `"ref"`, `"waits_on":["job-1"],"ref"`, "req-000412", "waits_on"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, ref, err := Parse([]byte(strings.Replace(validJob, tc.old, tc.new, 1)))
			if ref != tc.ref {
				t.Errorf("reference %q, want %q", ref, tc.ref)
			}
			if (tc.want == "") != (err == nil) || err != nil && !strings.Contains(err.Error(), tc.want) {
				t.Errorf("got %v, want %q", err, tc.want)
			}
		})
	}
}

func TestRunnable(t *testing.T) {
	set := &settings.Settings{Facts: settings.Facts{Teams: []settings.Team{{Name: "vision", CPUsMax: 64, GPUsMax: 4}}}}
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
		{"unknown team", func(j *wire.Job) { j.Team = "x" }, types, "unknown team"},
		{"array: one task counts", func(j *wire.Job) { j.TaskCount = 1000 }, types, ""},
		{"service: all tasks count", func(j *wire.Job) { j.Kind = wire.KindService; j.TaskCount = 33 }, types, "limit"},
		{"too large for any", func(j *wire.Job) { j.MemoryGB = 65 }, types, "fits no allowed"},
		{"not in that zone", func(j *wire.Job) { j.CPUs = 8; j.Zone = "b" }, types, "fits no allowed"},
		{"not of that type", func(j *wire.Job) { j.CPUs = 8; j.InstanceTypes = []string{"c4"} }, types, "fits no allowed"},
		{"spread over one zone", func(j *wire.Job) { j.Kind = wire.KindService; j.SpreadZones = true; j.Zone = "a" }, types, "spread"},
		{"spread and together", func(j *wire.Job) { j.Kind = wire.KindService; j.SpreadZones, j.SingleZone = true, true }, types, "spread"},
		{"types not known", func(*wire.Job) {}, nil, ErrUndecided.Error()},
		{"unknown team while types are not known", func(j *wire.Job) { j.Team = "x" }, nil, "unknown team"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			j := wire.Job{Team: "vision", Kind: wire.KindArray, TaskCount: 2, CPUs: 2, MemoryGB: 8}
			tc.tweak(&j)
			err := Runnable(&j, set, tc.types)
			if (tc.want == "") != (err == nil) || err != nil && !strings.Contains(err.Error(), tc.want) {
				t.Errorf("got %v, want %q", err, tc.want)
			}
			if tc.types == nil && tc.want == ErrUndecided.Error() && !errors.Is(err, ErrUndecided) {
				t.Error("an undecided job must not be refused")
			}
		})
	}
}

func TestMemoryIsBounded(t *testing.T) {
	m := newJobCache(3)
	for _, r := range []string{"a", "b", "a", "c", "d"} {
		m.put(r, jobState{JobStatus: wire.JobStatus{ID: r}})
	}
	if _, ok := m.get("a"); ok || len(m.jobs) != 3 {
		t.Errorf("%d kept", len(m.jobs))
	}
	if p, ok := m.get("d"); !ok || p.ID != "d" {
		t.Error("the newest is gone")
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validJob))
	f.Add([]byte(`{"ref":1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		j, ref, err := Parse(body)
		if err != nil {
			return
		}
		if ref != j.ID || !ValidJobID(ref) || j.TaskCount < 1 || j.TaskCount > maxTasks || j.CPUs < 0 {
			t.Fatalf("accepted %+v", j)
		}
		if _, err := json.Marshal(j); err != nil {
			t.Fatal(err)
		}
	})
}

// Whatever a body lacks, a job that is known is answered as it stands; of one that is not,
// nothing is stored.
func TestOddBodies(t *testing.T) {
	k := &fakeStore{values: map[string]string{}}
	_, mux := newAPIWithStore(t, k)
	if rec := submitJob(mux, "req-1", nil, "", ""); rec.Code != 201 {
		t.Fatalf("submitted: %d", rec.Code)
	}
	for _, tc := range []struct{ name, old, new string }{
		{"a field is missing", `"cores":8.0,`, ``},
		{"another case", `"cores"`, `"Cores"`},
		{"twice", `"cores":8.0`, `"cores":8.0,"cores":8.0`},
		{"cut short", `"due_s":900.0}`, `"due`},
		{"too large", `"due_s":900.0}`, `"due_s":900.0}` + strings.Repeat(" ", MaxBody)},
		{"fits no machine", `"cores":8.0`, `"cores":1e6`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			want := 400
			if tc.name == "fits no machine" {
				want = 422
			}
			if rec := submitJob(mux, "req-2", nil, tc.old, tc.new); rec.Code != want {
				t.Errorf("not known: %d %s", rec.Code, rec.Body)
			}
			if rec := submitJob(mux, "req-1", nil, tc.old, tc.new); rec.Code != 200 || !strings.Contains(rec.Body.String(), wire.PhaseQueued) {
				t.Errorf("known: %d %s", rec.Code, rec.Body)
			}
			if _, ok := k.values["j/req-2"]; ok {
				t.Error("stored")
			}
		})
	}
}
