package http1

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"frostlink/internal/frontend"
	"frostlink/internal/logkey"
)

// healthPath is the path of the health check, which tells clients whether to use this relay.
const healthPath = "/_health"

// errNoMemory is the error of a request that is shed because there is no memory to read the rest of it.
var errNoMemory = errors.New("no memory to read a request")

// pendingRequest is a request whose head was read.
type pendingRequest struct {
	submission    *frontend.Submission
	subjectHeader http.Header // the header fields from which the subject is read; nil: none
	headSize      int
	bodySize      int
	expectsGoOn   bool // the client waits for 100 Continue
	last          bool // the client closes the connection after this request
}

// handleRequest reads one request, submits it and returns the response. A response with status 0
// means that the client has disconnected. An error means that the request could not be read.
func (s *Server) handleRequest(c *conn) (frontend.Response, error) {
	request, response, err := s.readHead(c)
	if request == nil || err != nil {
		return response, err
	}
	if !s.hasSpace(request.bodySize) {
		return s.shedUnread(request), nil
	}
	if err := s.readBody(c, request); err != nil {
		if errors.Is(err, errNoMemory) {
			return s.shedUnread(request), nil
		}
		return frontend.Response{}, err
	}
	if !s.awaiting.reserve(request.bodySize) {
		return s.shedUnread(request), nil
	}
	defer s.awaiting.release(request.bodySize)
	return s.submit(c, request), nil
}

// shedUnread sheds a request of which the body was not read or is not needed, and returns the response. The response is the
// relay's: to a copy of a request that was accepted before, a rejection would wrongly say that the request has no effect.
func (s *Server) shedUnread(request *pendingRequest) frontend.Response {
	s.countRejection(rejectNoMemory)
	s.shed(request.submission)
	response := <-request.submission.Response
	response.Close = true
	return response
}

// readHead reads and validates the head of a request. For a rejected request or a health check it returns nil and the response.
func (s *Server) readHead(c *conn) (*pendingRequest, frontend.Response, error) {
	var head headScanner
	for {
		ended, err := head.scan(&c.buffer)
		if ended {
			break
		}
		if err == nil {
			err = s.fill(c, maxHeadSize)
		}
		if err != nil {
			return nil, frontend.Response{}, fmt.Errorf("read request head: %w", err)
		}
	}
	r, err := parseHead(&c.buffer, head.scanned)
	if err != nil {
		return nil, frontend.Response{}, err
	}
	submission, response := s.parse(c, r)
	if submission == nil {
		s.dropRequest(c, head.scanned)
		return nil, response, nil
	}
	submission.ReceivedAt = submission.ReceivedAt.Add(-c.unreadFor())
	return &pendingRequest{
		submission: submission, subjectHeader: s.validator.Load().SubjectHeader(submission.Entry.Class, r.Header),
		headSize: head.scanned, bodySize: int(max(0, r.ContentLength)), last: r.Close,
		expectsGoOn: strings.EqualFold(r.Header.Get("Expect"), "100-continue"),
	}, frontend.Response{}, nil
}

// readBody reads the body of a request. It reads nothing from the connection beyond the body.
func (s *Server) readBody(c *conn, request *pendingRequest) error {
	if request.bodySize > 0 && request.expectsGoOn && !c.writeContinue() {
		return fmt.Errorf("write interim response: %w", net.ErrClosed)
	}
	end := request.headSize + request.bodySize
	for c.buffer.size < end {
		if err := s.fill(c, end-c.buffer.size); err != nil {
			return fmt.Errorf("read request body of %d bytes: %w", request.bodySize, err)
		}
	}
	return nil
}

// submit submits a request that was read completely, and waits for the response.
func (s *Server) submit(c *conn, request *pendingRequest) frontend.Response {
	if !s.enter(c, connAwaitingResponse) {
		return frontend.Response{}
	}
	entry, end := request.submission.Entry, request.headSize+request.bodySize
	hasMore := c.buffer.size > end
	if request.bodySize > 0 {
		entry.Body = c.buffer.bytes(request.headSize, end)
	}
	s.dropRequest(c, c.buffer.size)
	if hasMore {
		// The Content-Length is too short, or the client has sent another request before the
		// response to this one, which is not supported (RFC 9112, section 9.3.2).
		s.countRejection(rejectPipelined)
		return frontend.RejectMalformed(http.StatusBadRequest)
	}
	s.validator.Load().ReadSubject(entry, request.subjectHeader)
	request.submission.Quiet = c.quiet
	s.admit(request.submission)
	response := <-request.submission.Response
	response.Close = response.Close || request.last
	return response
}

// parse validates the head of a request. It returns a submission without a body, or, for a rejected
// request or a health check, nil and the response.
func (s *Server) parse(c *conn, r *http.Request) (*frontend.Submission, frontend.Response) {
	if rejection := checkFraming(r); rejection != nil {
		return nil, s.reject(rejection)
	}
	if r.Method == http.MethodGet && r.URL.Path == healthPath && r.ContentLength == 0 {
		return nil, s.health(c)
	}
	submission, rejection := s.validator.Load().Parse(r)
	if rejection != nil {
		return nil, s.reject(rejection)
	}
	return submission, frontend.Response{}
}

// health returns the response to a health check. The status is 200 unless the serving mode is
// unhealthy, as in standby. The replay of the journal needs no check, since the relay does not listen
// before the replay is complete.
func (s *Server) health(c *conn) frontend.Response {
	time.Sleep(minHealthInterval - time.Since(c.healthAt))
	c.healthAt = time.Now()
	if !s.mode.Healthy() {
		return frontend.Response{Status: http.StatusServiceUnavailable}
	}
	return frontend.Response{Status: http.StatusOK}
}

// reject counts and logs a rejection, and returns the response to it.
func (s *Server) reject(rejection *frontend.RejectionError) frontend.Response {
	s.countRejection(rejection.Reason)
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
