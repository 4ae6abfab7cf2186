package http1

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"frostlink/internal/upstream"
	"frostlink/policy"
)

const (
	// responseTimeout bounds the reading of a response from its first byte on, and drainTimeout the
	// reading of the bytes after a status line with 200. Endpoints write a response without pauses,
	// so a response that does not end in time is malformed. Both timeouts are far longer than the
	// pauses of a relay that has only a fraction of a core.
	responseTimeout = time.Second
	drainTimeout    = 300 * time.Millisecond
	// deadlineGrace bounds the reading of a response that has begun when the request's deadline
	// passes, since a response that the endpoint has already written counts, including a wait that it
	// asks for. The grace is short because the notice of a terminal outcome is due within 300 ms of
	// the deadline, and posting the notice may stall in that time.
	deadlineGrace = 20 * time.Millisecond
	// maxResponseSize bounds the bytes read of a response including its head, and maxBodySize those
	// of its body, so that an endpoint cannot exhaust the memory.
	maxResponseSize = 128 << 10
	maxBodySize     = 64 << 10
	// maxResponseLines bounds the lines of a response's head, each of which takes many times its length once it is parsed.
	maxResponseLines = 128
	// maxInterimResponses is the number of 1xx responses that may precede the final one.
	maxInterimResponses = 8
	// maxRetryAfter is the longest wait that an endpoint can ask for; a longer wait is reduced to
	// maxRetryAfter, which prevents an overflow of time.Duration.
	maxRetryAfter = 24 * time.Hour
	// maxReportedRateLimit, in requests per second, and maxReportedRemaining, as a fraction of the
	// rate limit, are the highest plausible values in a load report. The remaining fraction may exceed
	// 1 because reports are noisy.
	maxReportedRateLimit = 1e6
	maxReportedRemaining = 2
)

// Errors of a response that exceeds a limit.
var (
	errBodyTooLarge   = fmt.Errorf("response body larger than %d bytes", maxBodySize)
	errTooManyLines   = fmt.Errorf("response head of more than %d lines", maxResponseLines)
	errTooManyInterim = fmt.Errorf("more than %d interim responses", maxInterimResponses)
)

// readResponse reads a response whose first byte has arrived, to its end, and skips interim ones
// (RFC 9110, section 15.2). A request with a malformed response may have executed whatever its status
// says; err is a *malformedError then, unless a status line with 200 was read before the request's
// deadline. succeeded reports such a status line, whatever the rest of the response is.
func (c *conn) readResponse(requestCtx context.Context) (resp *http.Response, succeeded bool, err error) {
	_ = c.SetReadDeadline(responseDeadline(requestCtx))
	for range maxInterimResponses + 1 {
		status := c.peekStatus()
		if status == http.StatusOK && !errors.Is(requestCtx.Err(), context.DeadlineExceeded) {
			succeeded = true
			_ = c.SetReadDeadline(time.Now().Add(drainTimeout))
		}
		buffered, _ := c.in.Peek(c.in.Buffered()) // never fails for what is buffered
		c.head.begin(buffered)
		resp, err = http.ReadResponse(c.in, &http.Request{Method: http.MethodPost})
		if err != nil {
			late := status == http.StatusOK && !succeeded // a delivery after the deadline is a timeout
			return nil, succeeded, &malformedError{err: err, response: policy.Response{AttemptsExhausted: endsAttempts(status) && !late}}
		}
		if resp.StatusCode >= http.StatusOK {
			err = discardBody(resp)
			if err != nil {
				malformed := classify(resp)
				err = &malformedError{err: err, response: malformed.Response()}
			}
			return resp, succeeded, err
		}
	}
	return nil, succeeded, &malformedError{err: errTooManyInterim}
}

// malformedError says that a response can't be read to its end.
type malformedError struct {
	err      error
	response policy.Response // what was read of it means this
}

func (e *malformedError) Error() string { return fmt.Sprintf("read response: %v", e.err) }

func (e *malformedError) Unwrap() error { return e.err }

// responseDeadline returns the time until which a response that begins now is read.
func responseDeadline(requestCtx context.Context) time.Time {
	now := time.Now()
	until := now.Add(responseTimeout)
	deadline, bounded := requestCtx.Deadline()
	switch {
	case requestCtx.Err() != nil:
		return now.Add(deadlineGrace)
	case bounded && deadline.Add(deadlineGrace).Before(until):
		return deadline.Add(deadlineGrace)
	}
	return until
}

// peekStatus returns the status in the status line that the next bytes begin (RFC 9112, section 4); 0: they begin none. It waits
// only for the bytes up to the one after the status, since the rest of the head may never arrive.
func (c *conn) peekStatus() int {
	const version, status = len("HTTP/1.1"), len(" 200")
	line, _ := c.in.Peek(version + status + 1)
	if len(line) != version+status+1 || !bytes.HasPrefix(line, []byte("HTTP/1.")) || line[version] != ' ' {
		return 0
	}
	if end := line[version+status]; end != ' ' && end != '\r' {
		return 0
	}
	code, err := strconv.Atoi(string(line[version+1 : version+status]))
	if err != nil {
		return 0
	}
	return code
}

// endsAttempts reports whether a response with a status forbids further attempts of its request.
func endsAttempts(status int) bool {
	response := classify(&http.Response{StatusCode: status})
	return response.Response().EndsAttempts()
}

// discardBody reads the body of a response to its end and discards it (RFC 9112, section 6.3). Bodies
// of responses have no meaning.
func discardBody(resp *http.Response) error {
	if resp.ContentLength > maxBodySize {
		return errBodyTooLarge
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodySize+1))
	if err != nil {
		return fmt.Errorf("read response body: %w", err)
	}
	if n > maxBodySize {
		return errBodyTooLarge
	}
	return nil
}

// classify returns the result of an attempt from the response, according to the endpoints' protocol.
func classify(resp *http.Response) upstream.Result {
	res := upstream.Result{Outcome: policy.Failed}
	if reports := resp.Header["Server-Load"]; len(reports) == 1 {
		res.LoadReport = parseLoadReport(reports[0])
	}
	switch resp.StatusCode {
	case http.StatusOK:
		res.Outcome, res.Final = policy.Succeeded, true
	case http.StatusTooManyRequests: // RFC 6585, section 4
		res.Outcome = policy.Rejected
		res.RetryAfter = parseRetryAfter(resp.Header.Get("X-Retry-In-Ms"))
	case http.StatusServiceUnavailable:
		res.Outcome = policy.Rejected
		if resp.Header.Get("X-No-Slot") == "1" {
			res.Outcome = policy.NotSent
		}
	case http.StatusGatewayTimeout:
		res.Outcome, res.AttemptsExhausted = policy.NotSent, true
	case http.StatusGone:
		res.Outcome, res.Final = policy.NotSent, true
	}
	return res
}

// parseRetryAfter parses a wait in milliseconds; it returns 0 if the text is not a positive number. A
// long wait is not limited to the request's time left, since it delays later requests as well.
func parseRetryAfter(text string) time.Duration {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms > 0) {
		return 0
	}
	return time.Duration(min(ms, float64(maxRetryAfter.Milliseconds())) * float64(time.Millisecond))
}

// parseLoadReport parses a load report such as "x0=0.4,x1=25": x0 is the remaining fraction of the
// rate limit, and x1 the rate limit. It returns nil if the report is malformed or implausible.
func parseLoadReport(text string) *policy.LoadReport {
	const unset = -1
	report := policy.LoadReport{Remaining: unset, RateLimit: unset}
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		var target *float64
		var highest float64
		switch name {
		case "x0":
			target, highest = &report.Remaining, maxReportedRemaining
		case "x1":
			target, highest = &report.RateLimit, maxReportedRateLimit
		default:
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v <= highest) || *target >= 0 {
			return nil
		}
		*target = v
	}
	if report.Remaining < 0 || report.RateLimit < 0 {
		return nil
	}
	return &report
}
