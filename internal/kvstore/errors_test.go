package kvstore

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"rillflow/internal/wire"
)

// Guards against taking a request that may have been executed for one that was certainly not: the
// caller may give up only the latter.
func TestErrorClassification(t *testing.T) {
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
	}
	body := func(text string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte(text)) }
	}
	for _, tc := range []struct {
		name   string
		handle http.HandlerFunc
		want   error
	}{
		{"200", body(`{"generation":3}`), nil},
		{"404", status(404), ErrNotFound},
		{"410", status(410), ErrCompacted},
		{"429", status(429), ErrRateLimited},
		{"503", status(503), ErrRefused},
		{"400", status(400), ErrRefused},
		{"500", status(500), ErrOutcomeUnknown},
		{"no response", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, ErrOutcomeUnknown},
		{"truncated response", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "50")
			w.Write([]byte(`{"gen`))
		}, ErrOutcomeUnknown},
		{"malformed response", body(`[`), ErrOutcomeUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, _, err := serve(t, tc.handle).Commit(context.Background(), wire.Txn{})
			if !errors.Is(err, tc.want) {
				t.Errorf("got %v, want %v", err, tc.want)
			}
			if tc.want == ErrOutcomeUnknown && errors.Is(err, ErrRefused) {
				t.Error("an error with unknown outcome matches ErrRefused too")
			}
		})
	}
}

func TestConnectionRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	listener.Close()
	if _, err := newTestClient(addr).Get(context.Background(), "k"); !errors.Is(err, ErrRefused) {
		t.Errorf("got %v, want ErrRefused: the request was not sent", err)
	}
}

// Guards against taking the reason why a caller's context was cancelled for the outcome of the
// request.
func TestCancellationCauseIsNotTheOutcome(t *testing.T) {
	reached := make(chan struct{})
	client := serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body) // the server detects a closed connection only after reading the body
		close(reached)
		<-r.Context().Done()
	}))
	ctx, cancel := context.WithCancelCause(t.Context())
	go func() { <-reached; cancel(ErrNotFound) }()
	_, _, err := client.Commit(ctx, wire.Txn{Operations: []wire.Operation{{Put: "k"}}})
	if !errors.Is(err, ErrOutcomeUnknown) || errors.Is(err, ErrNotFound) {
		t.Errorf("got %v, want ErrOutcomeUnknown without ErrNotFound", err)
	}
	var requestError *RequestError
	if !errors.As(err, &requestError) || requestError.Cause == nil || !strings.Contains(err.Error(), "commit k: ") {
		t.Errorf("error %q does not name the operation, the key and the cause", err)
	}
}

// Guards against reporting a failed compare as an error: the response is valid.
func TestFailedCompareIsNotAnError(t *testing.T) {
	client := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(409)
		w.Write([]byte(`{"failed":["a"],"generation":9}`))
	}))
	revision, failed, err := client.Commit(context.Background(), wire.Txn{})
	if err != nil || revision != 9 || len(failed) != 1 || failed[0] != "a" {
		t.Errorf("revision %d, failed %v, error %v, want 9, [a], no error", revision, failed, err)
	}
}
