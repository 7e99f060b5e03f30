package serve

import (
	"bytes"
	"io"
	"net/http"
)

// responseRecorder is an http.ResponseWriter that records an answer, which is then sent to a peer.
type responseRecorder struct {
	header http.Header
	status int
	body   []byte
}

func (r *responseRecorder) Header() http.Header    { return r.header }
func (r *responseRecorder) WriteHeader(status int) { r.status = status }
func (r *responseRecorder) Write(b []byte) (int, error) {
	r.body = append(r.body, b...)
	return len(b), nil
}

func requestBody(b []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(b)) }
