package serve

import (
	"bytes"
	"io"
	"net/http"
)

// recorder keeps an answer that goes back over the link.
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
