package pressure

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// sentLateAfter is the lateness of the client's own events from which on its figures say more of the machine than of the relay.
const sentLateAfter = 20 * time.Millisecond

// answerTimeout is how long a client waits for the answer to its request.
const answerTimeout = 400 * time.Millisecond

// Answers counts what an ordinary client got.
type Answers struct {
	Requests int
	Accepted int // answered by 202 or 200 in time
	Rejected int // answered by another status in time
	Closed   int // the connection was refused, or closed without an answer
	Late     int // no answer in time
	// SentLate is the number of requests that the client itself sent late by more than sentLateAfter: the machine was busy.
	SentLate int
	// AcceptedIDs are the ids of the accepted requests.
	AcceptedIDs []string

	latencies []time.Duration
}

// InTime returns the number of requests that were answered in time.
func (a *Answers) InTime() int { return a.Accepted + a.Rejected }

func (a *Answers) String() string {
	return fmt.Sprintf("%d requests: %d accepted, %d rejected, %d closed, %d late, %d sent late; latency median %v, 99%% %v", a.Requests, a.Accepted,
		a.Rejected, a.Closed, a.Late, a.SentLate, a.quantile(0.5).Round(time.Millisecond), a.quantile(0.99).Round(time.Millisecond))
}

func (a *Answers) quantile(q float64) time.Duration {
	if len(a.latencies) == 0 {
		return 0
	}
	slices.Sort(a.latencies)
	return a.latencies[int(q*float64(len(a.latencies)-1))]
}

// Ordinary is a client that sends requests at a constant rate, one at a time on each connection, and keeps its connections.
type Ordinary struct {
	Address string
	Rate    float64 // requests per second
	Body    int     // size of a request's body in bytes
	Prefix  string  // of the ids

	mu      sync.Mutex // guards the fields below
	answers Answers
	idle    []*clientConn
}

type clientConn struct {
	net.Conn
	in *bufio.Reader
}

// Run sends requests for a time, and returns the answers.
func (o *Ordinary) Run(d time.Duration) *Answers {
	var requests sync.WaitGroup
	interval := time.Duration(float64(time.Second) / o.Rate)
	start, sentLate := time.Now(), 0
	for n := 0; time.Duration(n)*interval < d; n++ {
		due := start.Add(time.Duration(n) * interval)
		time.Sleep(time.Until(due))
		if time.Since(due) > sentLateAfter {
			sentLate++
		}
		requests.Go(func() { o.request(fmt.Sprintf("%s-%08d", o.Prefix, n), n) })
	}
	requests.Wait()
	for _, c := range o.idle {
		_ = c.Close()
	}
	o.idle = nil
	o.answers.SentLate = sentLate
	return &o.answers
}

func (o *Ordinary) request(id string, n int) {
	text := fmt.Sprintf("POST /status HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: %s\r\nTenant: acme\r\nRequest-Timeout: 8.000\r\n"+
		"X-Envelope: dest=%d\r\nContent-Length: %d\r\n\r\n%s", id, 1+n%endpointCount, o.Body, strings.Repeat("x", o.Body))
	begun := time.Now()
	status, err := o.exchange(text, begun.Add(answerTimeout))
	o.count(id, status, err, time.Since(begun))
}

// exchange sends a request, once more on a new connection if a kept one was closed before it was answered.
func (o *Ordinary) exchange(text string, deadline time.Time) (status int, err error) {
	if c := o.takeIdle(); c != nil {
		if status, err = o.exchangeOn(c, text, deadline); err == nil || time.Now().After(deadline) {
			return status, err
		}
	}
	raw, err := net.DialTimeout("tcp", o.Address, time.Until(deadline))
	if err != nil {
		return 0, fmt.Errorf("connect: %w", err)
	}
	return o.exchangeOn(&clientConn{raw, bufio.NewReader(raw)}, text, deadline)
}

func (o *Ordinary) exchangeOn(c *clientConn, text string, deadline time.Time) (status int, err error) {
	_ = c.SetDeadline(deadline) // fails only on a closed connection, on which the write fails too
	if _, err := c.Write([]byte(text)); err != nil {
		_ = c.Close()
		return 0, fmt.Errorf("write: %w", err)
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		_ = c.Close()
		return 0, fmt.Errorf("read: %w", err)
	}
	_ = resp.Body.Close()
	if resp.Close {
		_ = c.Close()
	} else {
		o.mu.Lock()
		o.idle = append(o.idle, c)
		o.mu.Unlock()
	}
	return resp.StatusCode, nil
}

func (o *Ordinary) takeIdle() *clientConn {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.idle) == 0 {
		return nil
	}
	last := len(o.idle) - 1
	c := o.idle[last]
	o.idle = o.idle[:last]
	return c
}

func (o *Ordinary) count(id string, status int, err error, latency time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := &o.answers
	a.Requests++
	a.latencies = append(a.latencies, latency)
	switch {
	case latency >= answerTimeout:
		a.Late++
	case err != nil:
		a.Closed++
	case status == http.StatusAccepted || status == http.StatusOK:
		a.Accepted++
		a.AcceptedIDs = append(a.AcceptedIDs, id)
	default:
		a.Rejected++
	}
}
