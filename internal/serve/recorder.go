package serve

import (
	"bytes"
	"io"
	"net/http"
)

// recorder is an http.ResponseWriter that keeps an answer to be sent to a peer.
type recorder struct {
	header http.Header
	status int
	body   []byte
}

func (r *recorder) Header() http.Header    { return r.header }
func (r *recorder) WriteHeader(status int) { r.status = status }
func (r *recorder) Write(b []byte) (int, error) {
	r.body = append(r.body, b...)
	return len(b), nil
}

func newBody(b []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(b)) }
