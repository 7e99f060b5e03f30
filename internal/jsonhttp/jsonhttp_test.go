package jsonhttp

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

type message struct {
	Text string `json:"text"`
}

func newTestClient(maxResponseBytes int64) *Client {
	var dialer net.Dialer
	return New(Options{
		Dial: dialer.DialContext, MaxIdleConnsPerServer: 1, MaxConnsPerServer: 1, MaxResponseBytes: maxResponseBytes,
	})
}

// Guards against changes of what is sent: the JSON of the message without extra headers, and no body
// without a message.
func TestRequestOnTheWire(t *testing.T) {
	for _, tc := range []struct {
		name       string
		body       any
		want       string
		wantLength int64
	}{
		{"message", message{"hello"}, `{"text":"hello"}`, 16},
		{"empty object", struct{}{}, `{}`, 2},
		{"no body", nil, "", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var got string
			var header http.Header
			var length int64
			server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				got, header, length = string(body), r.Header, r.ContentLength
			}))
			defer server.Close()
			request, err := NewRequest(t.Context(), http.MethodPost, server.URL, tc.body)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := newTestClient(100).Do(request); err != nil {
				t.Fatal(err)
			}
			if got != tc.want || length != tc.wantLength {
				t.Errorf("got %q of length %d, want %q of length %d", got, length, tc.want, tc.wantLength)
			}
			for _, name := range []string{"Content-Type", "Accept-Encoding"} {
				if value, ok := header[name]; ok {
					t.Errorf("sent header %s: %s, want none", name, value)
				}
			}
		})
	}
}

func TestResponse(t *testing.T) {
	for _, tc := range []struct {
		name       string
		status     int
		body       string
		decodes    bool
		statusText string
	}{
		{"message", 200, `{"text":"hello"}`, true, `status 200: {"text":"hello"}`},
		{"other status with a message", 409, `{"text":"hello"}`, true, `status 409: {"text":"hello"}`},
		{"not JSON", 500, "oops\n", false, "status 500: oops"},
		{"no body", 503, "", false, "status 503"},
		{
			"truncated body", 200, `{"text":"` + strings.Repeat("x", 100) + `"}`, false,
			`status 200: {"text":"` + strings.Repeat("x", 55),
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tc.status)
				io.WriteString(w, tc.body)
			}))
			defer server.Close()
			request, err := NewRequest(t.Context(), http.MethodGet, server.URL+"/path", nil)
			if err != nil {
				t.Fatal(err)
			}
			response, err := newTestClient(64).Do(request)
			if err != nil {
				t.Fatal(err)
			}
			var got message
			err = response.Decode(&got)
			if (err == nil) != tc.decodes || err == nil && got.Text != "hello" {
				t.Errorf("decoded %+v, error %v, want text hello or, if it does not decode, an error", got, err)
			}
			if err != nil && !strings.Contains(err.Error(), "GET "+server.URL+"/path") {
				t.Errorf("error %q does not name the request", err)
			}
			if text := response.StatusError().Error(); !strings.HasSuffix(text, "/path: "+tc.statusText) {
				t.Errorf("status error %q, want %q", text, tc.statusText)
			}
		})
	}
}

// Guards against reporting a request as not sent although the server may have received it: only a
// failure to connect proves that.
func TestNotConnected(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing := "http://" + listener.Addr().String()
	listener.Close()
	aborting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer aborting.Close()
	truncating := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "50")
		io.WriteString(w, `{"text`)
	}))
	defer truncating.Close()
	for _, tc := range []struct {
		name, url    string
		notConnected bool
	}{
		{"connection refused", refusing, true},
		{"connection aborted", aborting.URL, false},
		{"truncated response", truncating.URL, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			request, err := NewRequest(t.Context(), http.MethodGet, tc.url, nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := newTestClient(100).Do(request); err == nil || errors.Is(err, ErrNotConnected) != tc.notConnected {
				t.Errorf("got %v, want an error, ErrNotConnected %v", err, tc.notConnected)
			}
		})
	}
}

func TestCancelledRequest(t *testing.T) {
	reached := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(reached)
		<-r.Context().Done()
	}))
	defer server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-reached; cancel() }()
	request, err := NewRequest(ctx, http.MethodGet, server.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := newTestClient(100).Do(request); !errors.Is(err, context.Canceled) || errors.Is(err, ErrNotConnected) {
		t.Errorf("got %v, want context.Canceled without ErrNotConnected", err)
	}
}

func TestUnencodableMessage(t *testing.T) {
	if _, err := NewRequest(t.Context(), http.MethodPost, "http://worker/do", func() {}); err == nil {
		t.Error("got no error for a body that cannot be encoded")
	}
}
