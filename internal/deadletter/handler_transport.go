package deadletter

import (
	"bytes"
	"io"
	"net/http"
)

// handlerTransport answers requests by a handler in this process.
type handlerTransport struct{ http.Handler }

func (d handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := &responseRecorder{header: http.Header{}, status: http.StatusOK}
	if r.Body == nil {
		r.Body = http.NoBody
	}
	d.ServeHTTP(w, r)
	return &http.Response{StatusCode: w.status, Header: w.header, Body: io.NopCloser(&w.body), Request: r}, nil
}

// responseRecorder collects what a handler writes.
type responseRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (a *responseRecorder) Header() http.Header    { return a.header }
func (a *responseRecorder) WriteHeader(status int) { a.status = status }

// Write never fails.
func (a *responseRecorder) Write(b []byte) (int, error) {
	a.body.Write(b)
	return len(b), nil
}
