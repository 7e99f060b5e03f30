package fleet

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"rillflow/internal/wire"
)

// serveCloud starts a fake cloud served by handler and returns a client of it.
func serveCloud(t *testing.T, handler http.HandlerFunc) *CloudClient {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	var dialer net.Dialer
	return NewCloudClient(strings.TrimPrefix(server.URL, "http://"), 1e5, time.Minute, dialer.DialContext)
}

// Guards against taking an outage for a lack of instances: only a 503 with the cloud's "no capacity"
// error is ErrNoCapacity.
func TestNoCapacity(t *testing.T) {
	for _, tc := range []struct {
		name       string
		status     int
		body       string
		fails      bool
		noCapacity bool
	}{
		{"granted", 200, `{"hosts":["i-1"]}`, false, false},
		{"no capacity", 503, `{"error":"no capacity"}`, true, true},
		{"outage", 503, `{"error":"try later"}`, true, false},
		{"outage with empty body", 503, "", true, false},
		{"no capacity with another status", 500, `{"error":"no capacity"}`, true, false},
		{"malformed body", 200, `[`, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			client := serveCloud(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tc.status)
				w.Write([]byte(tc.body))
			})
			names, err := client.RequestInstances(t.Context(), wire.ScaleOutRequest{})
			if (err != nil) != tc.fails || errors.Is(err, ErrNoCapacity) != tc.noCapacity {
				t.Errorf("got error %v, want an error %v, ErrNoCapacity %v", err, tc.fails, tc.noCapacity)
			}
			if err == nil && (len(names) != 1 || names[0] != "i-1") {
				t.Errorf("granted %v, want [i-1]", names)
			}
			if err != nil && !strings.Contains(err.Error(), "/hosts") {
				t.Errorf("%q does not name the request", err)
			}
		})
	}
}

// Guards against lost or repeated pages: each page is requested after the last name of the previous.
func TestListInstancesPages(t *testing.T) {
	var queries []string
	client := serveCloud(t, func(w http.ResponseWriter, r *http.Request) {
		queries = append(queries, r.URL.RawQuery)
		if r.URL.Query().Get("after") == "" {
			w.Write([]byte(`{"hosts":[{"ref":"i-1"},{"ref":"i-2"}],"more":true}`))
			return
		}
		w.Write([]byte(`{"hosts":[{"ref":"i-3"}]}`))
	})
	instances, err := client.ListInstances(t.Context())
	if err != nil || len(instances) != 3 || instances[2].Name != "i-3" {
		t.Errorf("listed %+v, error %v, want three instances, the last i-3", instances, err)
	}
	if got := strings.Join(queries, " "); got != "limit=500 after=i-2&limit=500" {
		t.Errorf("queries %q, want one per page, the second after i-2", got)
	}
}
