package intake

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"rillflow/internal/goldentest"
)

// Guards against changes to the status, headers and bodies of responses to users.
func TestGoldenAnswers(t *testing.T) {
	store := &fakeStore{values: map[string]string{
		"d/req-3": `{"phase":"done","tasks":4}`, "d/req-4": `{"phase":"withdrawn","tasks":4,"job":{"ref":"req-4"}}`,
	}}
	_, mux := newAPIWithStore(t, store)
	var out strings.Builder
	request := func(name, method, path, body string) {
		recorder := httptest.NewRecorder()
		mux.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
		header := recorder.Header()
		fmt.Fprintf(&out, "%s\t%d %s %q %q %s\n", name, recorder.Code, header.Get("Content-Type"),
			header.Get("Retry-After"), header.Get("Allow"), strings.TrimSpace(recorder.Body.String()))
	}
	submit := func(name, old, new string) {
		request(name, "POST", "/v1/jobs", strings.Replace(validJob, old, new, 1))
	}
	submit("accepted", "", "")
	submit("accepted before", "", "")
	submit("done before", "req-000412", "req-3")
	submit("withdrawn before", "req-000412", "req-4")
	submit("known, whatever its body", `"cores":8.0`, `"cores":-1`)
	for i, variant := range [][3]string{
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
		body := strings.Replace(validJob, variant[1], variant[2], 1)
		for _, field := range []string{`"locale":null,`, `"scatter":false,`, `"expect_s":240.0,`} {
			if name, _, _ := strings.Cut(field, ":"); strings.Contains(variant[2], name) {
				body = strings.Replace(body, field, "", 1)
			}
		}
		request(variant[0], "POST", "/v1/jobs", strings.ReplaceAll(body, "req-000412", fmt.Sprint("req-", 20+i)))
	}
	request("too large", "POST", "/v1/jobs", `{"ref":"req-10","bundle":"`+strings.Repeat("x", MaxBody)+`"}`)
	request("poll of a queued job", "GET", "/v1/jobs/req-000412", "")
	request("poll of a done job", "GET", "/v1/jobs/req-3", "")
	request("poll of an unknown job", "GET", "/v1/jobs/req-8", "")
	request("poll of what is no reference", "GET", "/v1/jobs/job-8", "")
	request("withdrawal", "POST", "/v1/jobs/req-000412/withdraw", "")
	request("withdrawal of a done job", "POST", "/v1/jobs/req-3/withdraw", "")
	request("withdrawal of an unknown job", "POST", "/v1/jobs/req-8/withdraw", "")
	request("another method", "DELETE", "/v1/jobs/req-3", "")
	store.mu.Lock()
	store.unavailable = true
	store.mu.Unlock()
	request("poll while the state service refuses", "GET", "/v1/jobs/req-11", "")
	submit("submission while it refuses", "req-000412", "req-12")
	request("withdrawal while it refuses", "POST", "/v1/jobs/req-11/withdraw", "")
	goldentest.Check(t, "answers.txt", out.String())
}
