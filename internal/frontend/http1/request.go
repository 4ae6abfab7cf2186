package http1

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"frostlink/internal/frontend"
	"frostlink/internal/logkey"
)

const (
	// healthPath is the path of the health check, which tells clients whether to use this relay.
	healthPath = "/_health"
	// shedRetryAfter is the Retry-After of a request that is shed because there is no memory for its
	// body.
	shedRetryAfter = time.Second
)

// handleRequest reads one request, submits it and returns the response. A response with status 0
// means that the client has disconnected. An error means that the request could not be read.
func (s *Server) handleRequest(c *conn) (frontend.Response, error) {
	r, err := http.ReadRequest(c.in)
	if err != nil {
		if c.received.err != nil {
			err = c.received.err // the cause; instead of it, the parser may report the incomplete head as malformed
		}
		return frontend.Response{}, fmt.Errorf("read request head: %w", err)
	}
	submission, response := s.parse(r)
	if submission == nil {
		return response, nil
	}
	if size := int(r.ContentLength); size > 0 {
		if !s.bodies.reserve(size) {
			s.onShed(submission.Entry.Class)
			return frontend.Response{Status: http.StatusServiceUnavailable, RetryAfter: shedRetryAfter, Close: true}, nil
		}
		defer s.bodies.release(size)
		if strings.EqualFold(r.Header.Get("Expect"), "100-continue") && !c.writeContinue() {
			return frontend.Response{}, nil
		}
		if submission.Entry.Body, err = c.readBody(size); err != nil {
			return frontend.Response{}, fmt.Errorf("read request body: %w", err)
		}
	}
	return s.submit(c, r, submission), nil
}

// readBody reads a body of a known size. It reads nothing from the connection beyond the body.
func (c *conn) readBody(size int) ([]byte, error) {
	c.limit.N = max(0, int64(size-c.in.Buffered()))
	body := make([]byte, size)
	if _, err := io.ReadFull(c.in, body); err != nil {
		return nil, fmt.Errorf("expected %d bytes: %w", size, err)
	}
	return body, nil
}

// submit submits a request that was read completely, and waits for the response.
func (s *Server) submit(c *conn, r *http.Request, submission *frontend.Submission) frontend.Response {
	if !s.enter(c, connAwaitingResponse) {
		return frontend.Response{}
	}
	c.received.reset()
	if c.in.Buffered() > 0 {
		// The Content-Length is too short, or the client has sent another request before the
		// response to this one, which is not supported (RFC 9112, section 9.3.2).
		return frontend.RejectMalformed(http.StatusBadRequest)
	}
	s.validator.Load().ReadSubject(submission.Entry, r.Header)
	submission.Quiet = c.quiet
	s.admit(submission)
	response := <-submission.Response
	response.Close = response.Close || r.Close
	return response
}

// parse validates the head of a request. It returns a submission without a body, or, for a rejected
// request or a health check, nil and the response.
func (s *Server) parse(r *http.Request) (*frontend.Submission, frontend.Response) {
	if rejection := checkFraming(r); rejection != nil {
		return nil, reject(rejection)
	}
	if r.Method == http.MethodGet && r.URL.Path == healthPath && r.ContentLength == 0 {
		return nil, s.health()
	}
	submission, rejection := s.validator.Load().Parse(r)
	if rejection != nil {
		return nil, reject(rejection)
	}
	return submission, frontend.Response{}
}

// health returns the response to a health check. The status is 200 unless the serving mode is
// unhealthy, as in standby. The replay of the journal needs no check, since the relay does not listen
// before the replay is complete.
func (s *Server) health() frontend.Response {
	if !s.mode.Healthy() {
		return frontend.Response{Status: http.StatusServiceUnavailable}
	}
	return frontend.Response{Status: http.StatusOK}
}

// reject logs a rejection and returns the response to it.
func reject(rejection *frontend.RejectionError) frontend.Response {
	slog.Debug("request rejected", logkey.Reason, string(rejection.Reason), logkey.Err, rejection)
	return frontend.RejectMalformed(rejection.Status)
}

// checkFraming rejects requests whose end is ambiguous (RFC 9112, sections 6.3 and 11.2). net/http
// drops the Content-Length of a request that also has a Transfer-Encoding, so that a request hidden
// in the body would be forwarded, and it ignores the Transfer-Encoding of an HTTP/1.0 request. A
// Transfer-Encoding is never needed, since clients send a Content-Length.
func checkFraming(r *http.Request) *frontend.RejectionError {
	switch {
	case !r.ProtoAtLeast(1, 1) || r.ProtoMajor > 1:
		return frontend.Reject(http.StatusBadRequest, frontend.RejectProtocol, "unsupported protocol %s", r.Proto)
	case len(r.TransferEncoding) > 0:
		return frontend.Reject(http.StatusBadRequest, frontend.RejectTransferEncoding, "unsupported transfer encoding %v", r.TransferEncoding)
	case r.Host == "": // RFC 9112, section 3.2
		return frontend.Reject(http.StatusBadRequest, frontend.RejectNoHost, "missing Host header")
	case r.ContentLength > frontend.MaxBodySize: // RFC 9110, section 15.5.14
		return frontend.Reject(http.StatusRequestEntityTooLarge, frontend.RejectBodyTooLarge, "body of %d bytes is too large", r.ContentLength)
	case r.Method == http.MethodPost && r.Header.Get("Content-Length") == "": // RFC 9110, section 15.5.12
		return frontend.Reject(http.StatusLengthRequired, frontend.RejectNoLength, "missing Content-Length header")
	}
	return nil
}
