package serve

import (
	"bytes"
	"io"
	"net/http"
)

// responseRecorder is an http.ResponseWriter that records a response, which is then sent to a peer.
type responseRecorder struct {
	header http.Header
	status int
	body   []byte
}

func (recorder *responseRecorder) Header() http.Header    { return recorder.header }
func (recorder *responseRecorder) WriteHeader(status int) { recorder.status = status }
func (recorder *responseRecorder) Write(data []byte) (int, error) {
	recorder.body = append(recorder.body, data...)
	return len(data), nil
}

func requestBody(data []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(data)) }
