package state

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"rillflow/internal/wire"
)

func client(addr string) *Client {
	var d net.Dialer
	return New(Options{Addr: addr, RPS: 1000, WriteRPS: 1000, Timeout: 5 * time.Second, Dial: d.DialContext})
}

// What was surely not executed must be told from what may have been: only the
// first may be given up.
func TestErrors(t *testing.T) {
	for _, tc := range []struct {
		name   string
		handle http.HandlerFunc
		want   error
	}{
		{"200", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte(`{"generation":3}`)) }, nil},
		{"404", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(404) }, ErrNotFound},
		{"410", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(410) }, ErrTooOld},
		{"429", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(429) }, ErrBusy},
		{"503", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, ErrRefused},
		{"400", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(400) }, ErrRefused},
		{"500", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, ErrUnknown},
		{"no answer", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, ErrUnknown},
		{"half an answer", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "50")
			w.Write([]byte(`{"gen`))
		}, ErrUnknown},
		{"nonsense", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte(`[`)) }, ErrUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			srv := httptest.NewServer(tc.handle)
			defer srv.Close()
			_, _, err := client(strings.TrimPrefix(srv.URL, "http://")).Commit(context.Background(), wire.Commit{})
			if !errors.Is(err, tc.want) {
				t.Errorf("got %v, want %v", err, tc.want)
			}
			if tc.want == ErrUnknown && errors.Is(err, ErrRefused) {
				t.Error("an unknown fate passed for a refusal")
			}
		})
	}
}

func TestNobodyThere(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	if _, err := client(addr).Get(context.Background(), "k"); !errors.Is(err, ErrRefused) {
		t.Errorf("got %v: what was not sent was not executed", err)
	}
}

// A conflict is an answer, not an error.
func TestConflict(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(409)
		w.Write([]byte(`{"failed":["a"],"generation":9}`))
	}))
	defer srv.Close()
	gen, failed, err := client(strings.TrimPrefix(srv.URL, "http://")).Commit(context.Background(), wire.Commit{})
	if err != nil || gen != 9 || len(failed) != 1 || failed[0] != "a" {
		t.Errorf("%d %v %v", gen, failed, err)
	}
}
