package intake

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against refusing a sound submission for its spelling, and against a second job by one. A body draws the
// order of its fields, the spelling of names and numbers, unknown fields, and null or omitted.
func TestSoundSpellingsAreOneJob(t *testing.T) {
	store := &fakeStore{values: map[string]string{}}
	_, mux := newAPIWithStore(t, store)
	fields := []struct {
		name   string
		values []string
	}{
		{"ref", []string{`"req-000412"`, `"req\u002d000412"`}},
		{"jobclass", []string{`"train"`}},
		{"owner", []string{`"vision"`, `"\u0076ision"`}},
		{"shape", []string{`"batch"`}},
		{"rank", []string{`"urgent"`}},
		{"members", []string{`16`, `16.0`, `1.6e1`, `160E-1`, `0.16e+2`}},
		{"cores", []string{`2`, `2.0`, `2.000`, `2e0`, `20e-1`}},
		{"accelerators", []string{`0`, `0.0`, `-0`, `0e9`}},
		{"ram_gb", []string{`64`, `6.4e1`}},
		{"bundle", []string{`"img-07"`}},
		{"size_gb", []string{`6.2`, `62e-1`}},
		{"flavors", []string{`null`, ``}},
		{"locale", []string{`null`, ``}},
		{"same_place", []string{`false`}},
		{"scatter", []string{`false`}},
		{"loaners", []string{`true`}},
		{"expect_s", []string{`240`, `2.4E2`}},
		{"snapshot_s", []string{`30.0`}},
		{"flush_s", []string{`4`}},
		{"due_s", []string{`null`, ``}},
		{"waits_on", []string{`null`, `[]`, ``}},
	}
	unknown := []string{`"hue":1`, `"hue":[{"members":3}]`, `"Members":7`, `"":null`, `"ref ":"req-1"`, `"x":"\u0000"`}
	stored := ""
	rapid.Check(t, func(t *rapid.T) {
		var parts []string
		for _, field := range fields {
			name := field.name
			if rapid.IntRange(0, 4).Draw(t, "escaped name") == 0 {
				name = fmt.Sprintf("\\u%04x%s", name[0], name[1:])
			}
			if value := rapid.SampledFrom(field.values).Draw(t, field.name); value != "" {
				parts = append(parts, `"`+name+`":`+value)
			}
		}
		parts = append(parts, rapid.SliceOfN(rapid.SampledFrom(unknown), 0, 4).Draw(t, "unknown")...)
		parts = rapid.Permutation(parts).Draw(t, "order")
		space := rapid.SampledFrom([]string{"", " ", "\r\n\t"}).Draw(t, "space")
		body := space + "{" + space + strings.Join(parts, space+","+space) + space + "}" + space
		recorder := httptest.NewRecorder()
		mux.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(body)))
		if stored == "" {
			if recorder.Code != http.StatusCreated {
				t.Fatalf("first submission: got status %d, body %s for %s, want 201", recorder.Code, recorder.Body, body)
			}
			stored = store.values["j/req-000412"]
			return
		}
		if want := `{"ref":"req-000412","phase":"queued"}`; recorder.Code != http.StatusOK || recorder.Body.String() != want {
			t.Fatalf("got status %d, body %s for %s, want 200 and %s", recorder.Code, recorder.Body, body, want)
		}
		if len(store.values) != 1 || store.values["j/req-000412"] != stored {
			t.Fatalf("got %v stored, want the first submission alone", store.values)
		}
		job, _, err := Parse([]byte(body))
		if err != nil || job.TaskCount != 16 || job.CPUs != 2 || job.ImageGB != 6.2 || job.ExpectedSeconds != 240 {
			t.Fatalf("got %+v, %v for %s", job, err, body)
		}
	})
}
