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
	// healthPath answers whether clients may connect here.
	healthPath = "/_health"
	// shedRetryAfter is when a client may submit again a request for whose body there was no
	// memory.
	shedRetryAfter = time.Second
)

// handleRequest reads one request and has it decided on. A response without a status says that the
// client has gone. An error says why the request could not be read; there is no response then.
func (s *Server) handleRequest(c *conn) (frontend.Response, error) {
	r, err := http.ReadRequest(c.in)
	if err != nil {
		if c.received.err != nil {
			err = c.received.err // what the parser made of the part that had come does not count
		}
		return frontend.Response{}, fmt.Errorf("head: %w", err)
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
			return frontend.Response{}, fmt.Errorf("body: %w", err)
		}
	}
	return s.submit(c, r, submission), nil
}

// readBody reads a body of a known size, and no more from the connection than that.
func (c *conn) readBody(size int) ([]byte, error) {
	c.limit.N = max(0, int64(size-c.in.Buffered()))
	body := make([]byte, size)
	if _, err := io.ReadFull(c.in, body); err != nil {
		return nil, fmt.Errorf("%d bytes: %w", size, err)
	}
	return body, nil
}

// submit submits a request that was read to its end, and returns its response.
func (s *Server) submit(c *conn, r *http.Request, submission *frontend.Submission) frontend.Response {
	if !s.enter(c, connAwaitingResponse) {
		return frontend.Response{}
	}
	c.received.reset()
	if c.in.Buffered() > 0 {
		// Its Content-Length is too short, or the client sends a further request before its
		// response, which is not supported (RFC 9112, section 9.3.2).
		return frontend.RejectMalformed(http.StatusBadRequest)
	}
	s.validator.Load().ReadSubject(submission.Entry, r.Header)
	submission.Quiet = c.quiet
	s.admit(submission)
	response := <-submission.Response
	response.Close = response.Close || r.Close
	return response
}

// parse validates the head of a request. It returns a submission that lacks its body, or the
// response.
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

// health returns the response to a health check. It is 200 as soon as the relay listens, since that
// is after its journal was replayed, unless it is in standby.
func (s *Server) health() frontend.Response {
	if !s.mode.Healthy() {
		return frontend.Response{Status: http.StatusServiceUnavailable}
	}
	return frontend.Response{Status: http.StatusOK}
}

// reject logs a rejection and returns its response.
func reject(rejection *frontend.RejectionError) frontend.Response {
	slog.Debug("request rejected", logkey.Reason, string(rejection.Reason), logkey.Err, rejection)
	return frontend.RejectMalformed(rejection.Status)
}

// checkFraming guards against requests of which it is unclear where they end (RFC 9112, sections
// 6.3 and 11.2). net/http drops the Content-Length of a request that has a Transfer-Encoding as
// well and reads on, so that a request hidden in its body would be forwarded, and HTTP/1.0 ignores
// that header. Clients send a Content-Length.
func checkFraming(r *http.Request) *frontend.RejectionError {
	switch {
	case !r.ProtoAtLeast(1, 1) || r.ProtoMajor > 1:
		return frontend.Reject(http.StatusBadRequest, frontend.RejectProtocol, "protocol %s", r.Proto)
	case len(r.TransferEncoding) > 0:
		return frontend.Reject(http.StatusBadRequest, frontend.RejectTransferEncoding, "transfer encoding %v", r.TransferEncoding)
	case r.Host == "": // RFC 9112, section 3.2
		return frontend.Reject(http.StatusBadRequest, frontend.RejectNoHost, "no host")
	case r.ContentLength > frontend.MaxBodySize: // RFC 9110, section 15.5.14
		return frontend.Reject(http.StatusRequestEntityTooLarge, frontend.RejectBodyTooLarge, "%d bytes", r.ContentLength)
	case r.Method == http.MethodPost && r.Header.Get("Content-Length") == "": // RFC 9110, section 15.5.12
		return frontend.Reject(http.StatusLengthRequired, frontend.RejectNoLength, "no length")
	}
	return nil
}
