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
	// responseTimeout is how long a response may take from its first byte on, and drainTimeout how
	// long the rest of one whose status line says 200. Endpoints write responses at once, and one
	// that does not come to its end is malformed. Both are far longer than a relay with a part of a
	// core may stand still.
	responseTimeout = time.Second
	drainTimeout    = 300 * time.Millisecond
	// deadlineGrace is how long a response that has begun may still take to its end once the
	// request's deadline has passed: what an endpoint has written counts, also a wait that it asks
	// for. A terminal outcome has to be notified within 300 ms of the deadline, and the post of the
	// notice may stall in that time.
	deadlineGrace = 20 * time.Millisecond
	// maxResponseSize and maxBodySize bound the bytes read of a response, head included, and of its
	// body: what an endpoint sends must not fill the memory.
	maxResponseSize = 128 << 10
	maxBodySize     = 64 << 10
	// maxInterimResponses is how many 1xx responses may come ahead of the final one.
	maxInterimResponses = 8
	// maxRetryAfter is the longest wait that an endpoint is believed to ask for: a longer one
	// overflows a duration.
	maxRetryAfter = 24 * time.Hour
	// maxReportedRateLimit, in requests a second, and maxReportedRemaining, as a fraction of it,
	// are the highest values that are believed in a load report: reports are noisy.
	maxReportedRateLimit = 1e6
	maxReportedRemaining = 2
)

// Why a response cannot be read.
var (
	errBodyTooLarge   = fmt.Errorf("response body of over %d bytes", maxBodySize)
	errTooManyInterim = fmt.Errorf("over %d interim responses", maxInterimResponses)
)

// readResponse reads a response to its end, once its first byte has come, past any interim ones
// (RFC 9110, section 15.2). Its status is not believed before the end, since a request with a
// malformed response has executed. succeeded reports that the status line said 200 before the
// request's deadline, which holds whatever comes after it.
func (c *conn) readResponse(requestCtx context.Context) (resp *http.Response, succeeded bool, err error) {
	_ = c.SetReadDeadline(responseDeadline(requestCtx))
	for range maxInterimResponses + 1 {
		if c.peekStatusOK() && !errors.Is(requestCtx.Err(), context.DeadlineExceeded) {
			succeeded = true
			_ = c.SetReadDeadline(time.Now().Add(drainTimeout))
		}
		resp, err = http.ReadResponse(c.in, &http.Request{Method: http.MethodPost})
		if err != nil {
			return nil, succeeded, fmt.Errorf("response: %w", err)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, succeeded, discardBody(resp)
		}
	}
	return nil, succeeded, errTooManyInterim
}

// responseDeadline returns until when a response that begins now is read.
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

// peekStatusOK reports whether the next bytes are a status line of 200 (RFC 9112, section 4). It
// reads no more than that: the rest of the head may never come.
func (c *conn) peekStatusOK() bool {
	const version, status = len("HTTP/1.1"), len(" 200")
	line, _ := c.in.Peek(version + status + 1)
	if len(line) != version+status+1 || !bytes.HasPrefix(line, []byte("HTTP/1.")) {
		return false
	}
	end := line[version+status]
	return string(line[version:version+status]) == " 200" && (end == ' ' || end == '\r')
}

// discardBody reads the body of a response, which has no meaning, to its end (RFC 9112, section
// 6.3).
func discardBody(resp *http.Response) error {
	if resp.ContentLength > maxBodySize {
		return errBodyTooLarge
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodySize+1))
	if err != nil {
		return fmt.Errorf("response body: %w", err)
	}
	if n > maxBodySize {
		return errBodyTooLarge
	}
	return nil
}

// classify returns the result that a response stands for, by the endpoints' protocol.
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

// parseRetryAfter parses a wait in milliseconds; 0 if there is none. A long wait is not cut to the
// request's time left: it holds back later requests as well.
func parseRetryAfter(text string) time.Duration {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms > 0) {
		return 0
	}
	return time.Duration(min(ms, float64(maxRetryAfter.Milliseconds())) * float64(time.Millisecond))
}

// parseLoadReport parses a load report such as "x0=0.4,x1=25": the remaining fraction of the rate
// limit, and the limit. It returns nil where the report cannot be believed.
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
