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

// serveCloud returns a client of a cloud that is played by a handler.
func serveCloud(t *testing.T, handler http.HandlerFunc) *CloudClient {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	var dialer net.Dialer
	return NewCloudClient(strings.TrimPrefix(server.URL, "http://"), 1e5, time.Minute, dialer.DialContext)
}

// Only the cloud's own word for it is a want of instances; every other refusal is a failure.
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
		{"an outage", 503, `{"error":"try later"}`, true, false},
		{"an outage without a word", 503, "", true, false},
		{"the words with another status", 500, `{"error":"no capacity"}`, true, false},
		{"nonsense", 200, `[`, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			client := serveCloud(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tc.status)
				w.Write([]byte(tc.body))
			})
			names, err := client.RequestInstances(t.Context(), wire.ScaleOutRequest{})
			if (err != nil) != tc.fails || errors.Is(err, ErrNoCapacity) != tc.noCapacity {
				t.Errorf("got %v", err)
			}
			if err == nil && (len(names) != 1 || names[0] != "i-1") {
				t.Errorf("granted %v", names)
			}
			if err != nil && !strings.Contains(err.Error(), "/hosts") {
				t.Errorf("%q does not name the request", err)
			}
		})
	}
}

// A list that has more pages is asked for from the last name of each.
func TestListInstancesPages(t *testing.T) {
	var asked []string
	client := serveCloud(t, func(w http.ResponseWriter, r *http.Request) {
		asked = append(asked, r.URL.RawQuery)
		if r.URL.Query().Get("after") == "" {
			w.Write([]byte(`{"hosts":[{"ref":"i-1"},{"ref":"i-2"}],"more":true}`))
			return
		}
		w.Write([]byte(`{"hosts":[{"ref":"i-3"}]}`))
	})
	instances, err := client.ListInstances(t.Context())
	if err != nil || len(instances) != 3 || instances[2].Name != "i-3" {
		t.Errorf("listed %+v, %v", instances, err)
	}
	if got := strings.Join(asked, " "); got != "limit=500 after=i-2&limit=500" {
		t.Errorf("asked %q", got)
	}
}
