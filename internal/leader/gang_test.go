package leader

import (
	"fmt"
	"strings"
	"testing"

	"rillflow/internal/agent"
	"rillflow/internal/ledger"
	"rillflow/internal/settings"
	"rillflow/internal/wire"
)

// TestAssembleGang checks that either all tasks of a gang get a worker or none does, that workers with
// the image come first, and that the job's zone constraints hold.
func TestAssembleGang(t *testing.T) {
	instanceType := &wire.InstanceType{Name: "m", CPUs: 4, MemoryGB: 8, ImagePullGBPerSecond: 1}
	for _, tc := range []struct {
		name            string
		spec            wire.Job
		zones           string // of w0, w1, ... with four free CPUs each
		workerWithImage string
		want            string
	}{
		{"all fit", wire.Job{TaskCount: 3, CPUs: 2}, "ab", "", "w0 w0 w1"},
		{"one task does not fit", wire.Job{TaskCount: 5, CPUs: 2}, "ab", "", ""},
		{"the worker with the image first", wire.Job{TaskCount: 3, CPUs: 2}, "ab", "w1", "w1 w1 w0"},
		{"half in each zone", wire.Job{TaskCount: 4, CPUs: 1, SpreadZones: true}, "ab", "", "w0 w0 w1 w1"},
		{"no second zone", wire.Job{TaskCount: 4, CPUs: 1, SpreadZones: true}, "aa", "", ""},
		{"in a single zone", wire.Job{TaskCount: 4, CPUs: 2, SingleZone: true}, "abb", "", "w1 w1 w2 w2"},
		{"no single zone fits all", wire.Job{TaskCount: 5, CPUs: 2, SingleZone: true}, "abb", "", ""},
		{"only in the job's zone", wire.Job{TaskCount: 2, CPUs: 4, Zone: "b"}, "abab", "", "w1 w3"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var candidates []*candidate
			for i, zone := range tc.zones {
				worker := agent.NewWorker(fmt.Sprint("w", i))
				worker.InstanceType, worker.Zone = "m", string(zone)
				if worker.Name == tc.workerWithImage {
					worker.Images = []agent.Image{{Name: "image"}}
				}
				candidates = append(candidates, newCandidate(worker, instanceType, ledger.Resources{}, now))
			}
			jobTable := ledger.New("n.1", []settings.Team{{Name: "t", CPUsMax: 100}})
			tc.spec.Team, tc.spec.Kind, tc.spec.Image, tc.spec.ImageGB = "t", wire.KindGang, "image", 1
			job := jobTable.AddJob("req-1", ledger.JobRecord{Job: tc.spec, ChunkTasks: 8}, 1)
			var got []string
			for _, target := range assembleGang(job, candidates) {
				got = append(got, target.worker.Name)
			}
			if got := strings.Join(got, " "); got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
			for _, target := range candidates {
				if target.free != target.capacity() {
					t.Errorf("%s: free capacity was changed", target.worker.Name)
				}
			}
		})
	}
}
