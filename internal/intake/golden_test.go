package intake

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"rillflow/internal/goldentest"
)

// What users are answered stays as it is: status, headers and body.
func TestGoldenAnswers(t *testing.T) {
	k := &fakeStore{values: map[string]string{
		"d/req-3": `{"phase":"done","tasks":4}`, "d/req-4": `{"phase":"withdrawn","tasks":4,"job":{"ref":"req-4"}}`,
	}}
	_, mux := newAPIWithStore(t, k)
	var out strings.Builder
	ask := func(name, method, path, body string) {
		rec := httptest.NewRecorder()
		mux.ServeHTTP(rec, httptest.NewRequest(method, path, strings.NewReader(body)))
		h := rec.Header()
		fmt.Fprintf(&out, "%s\t%d %s %q %q %s\n", name, rec.Code, h.Get("Content-Type"),
			h.Get("Retry-After"), h.Get("Allow"), strings.TrimSpace(rec.Body.String()))
	}
	post := func(name, old, new string) {
		ask(name, "POST", "/v1/jobs", strings.Replace(validJob, old, new, 1))
	}
	post("accepted", "", "")
	post("accepted before", "", "")
	post("done before", "req-000412", "req-3")
	post("withdrawn before", "req-000412", "req-4")
	post("known, whatever its body", `"cores":8.0`, `"cores":-1`)
	for i, c := range [][3]string{
		{"not JSON", `{"ref"`, `{ref`},
		{"an array", validJob, `[1]`},
		{"null", validJob, `null`},
		{"no reference", `"ref":"req-000412",`, ""},
		{"reference of another form", "req-000412", "job-1"},
		{"missing", `"cores":8.0,`, ""},
		{"twice", `"cores":8.0`, `"cores":8.0,"cores":8.0`},
		{"wrong type", `"members":16`, `"members":"16"`},
		{"several faults", `"members":16`, `"members":0,"expect_s":0`},
		{"unknown shape", `"batch"`, `"heap"`},
		{"unknown rank", `"urgent"`, `"soon"`},
		{"unknown team", `"vision"`, `"x"`},
		{"over the limit", `"batch"`, `"standing"`},
		{"fits none", `"ram_gb":64.0`, `"ram_gb":64000`},
		{"spread over one zone", `"batch","rank":"urgent","members":16,`,
			`"standing","rank":"urgent","members":2,"locale":"a","scatter":true,`},
		{"waits for what is no reference", `"ref"`, `"waits_on":["job-1"],"ref"`},
		{"waits for an unknown job", `"ref"`, `"waits_on":["req-77"],"ref"`},
		{"waits for itself", `"ref"`, `"waits_on":["req-000412"],"ref"`},
		{"waits for a withdrawn job", `"ref"`, `"waits_on":["req-4"],"ref"`},
	} {
		body := strings.Replace(validJob, c[1], c[2], 1)
		for _, field := range []string{`"locale":null,`, `"scatter":false,`, `"expect_s":240.0,`} {
			if name, _, _ := strings.Cut(field, ":"); strings.Contains(c[2], name) {
				body = strings.Replace(body, field, "", 1)
			}
		}
		ask(c[0], "POST", "/v1/jobs", strings.ReplaceAll(body, "req-000412", fmt.Sprint("req-", 20+i)))
	}
	ask("too large", "POST", "/v1/jobs", `{"ref":"req-10","bundle":"`+strings.Repeat("x", MaxBody)+`"}`)
	ask("poll of a queued job", "GET", "/v1/jobs/req-000412", "")
	ask("poll of a done job", "GET", "/v1/jobs/req-3", "")
	ask("poll of an unknown job", "GET", "/v1/jobs/req-8", "")
	ask("poll of what is no reference", "GET", "/v1/jobs/job-8", "")
	ask("withdrawal", "POST", "/v1/jobs/req-000412/withdraw", "")
	ask("withdrawal of a done job", "POST", "/v1/jobs/req-3/withdraw", "")
	ask("withdrawal of an unknown job", "POST", "/v1/jobs/req-8/withdraw", "")
	ask("another method", "DELETE", "/v1/jobs/req-3", "")
	k.mu.Lock()
	k.unavailable = true
	k.mu.Unlock()
	ask("poll while the state service refuses", "GET", "/v1/jobs/req-11", "")
	post("submission while it refuses", "req-000412", "req-12")
	ask("withdrawal while it refuses", "POST", "/v1/jobs/req-11/withdraw", "")
	goldentest.Check(t, "answers.txt", out.String())
}
