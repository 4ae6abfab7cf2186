package deadletter

import (
	"bytes"
	"io"
	"net/http"
)

// handlerTransport is an http.RoundTripper that passes requests to a handler in this process.
type handlerTransport struct{ http.Handler }

func (t handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	recorder := &responseRecorder{header: http.Header{}, status: http.StatusOK}
	if r.Body == nil {
		r.Body = http.NoBody
	}
	t.ServeHTTP(recorder, r)
	return &http.Response{StatusCode: recorder.status, Header: recorder.header, Body: io.NopCloser(&recorder.body), Request: r}, nil
}

// responseRecorder is an http.ResponseWriter that keeps the response in memory.
type responseRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (w *responseRecorder) Header() http.Header    { return w.header }
func (w *responseRecorder) WriteHeader(status int) { w.status = status }

// Write never fails.
func (w *responseRecorder) Write(b []byte) (int, error) {
	w.body.Write(b)
	return len(b), nil
}
