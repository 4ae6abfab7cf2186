package harness

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/scenario"
	"frostlink/internal/wait"
)

const (
	// balancerDrainTime is how long the front still deals to a relay that was told to end.
	balancerDrainTime = 300 * time.Millisecond
	// maxSubmissions bounds how often one message is handed in, whatever happens to its relays.
	maxSubmissions = 12
	// idleConnShare bounds clients' idle connections to one relay: a third of its descriptors is for requests at most.
	idleConnShare = 1.0 / 3
)

// loadBalancer deals clients' messages out to the relays that it holds to be alive.
type loadBalancer struct {
	h  *harness
	mu sync.Mutex
	up []bool
	// generation tells news of a relay from what is older: a relay that is ready again is not taken for dead.
	generation []int
}

func newLoadBalancer(r *harness) *loadBalancer {
	return &loadBalancer{h: r, up: make([]bool, r.scenario.Relays), generation: make([]int, r.scenario.Relays)}
}

// relayReady says that a relay may be used.
func (f *loadBalancer) relayReady(relay int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.up[relay] = true
	f.generation[relay]++
}

// relayLeaving says that a relay is not to be used after a time.
func (f *loadBalancer) relayLeaving(relay int, after time.Duration) {
	f.mu.Lock()
	news := f.generation[relay]
	f.mu.Unlock()
	f.h.background.Go(func() {
		if !wait.For(f.h.ctx, after) {
			return
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.generation[relay] == news {
			f.up[relay] = false
		}
	})
}

// pick gives the relay for a message's n-th hand-in, or -1.
func (f *loadBalancer) pick(m *scenario.Message, n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	var alive []int
	for i, up := range f.up {
		if up {
			alive = append(alive, i)
		}
	}
	if len(alive) == 0 {
		return -1
	}
	_, part := math.Modf(m.RelayDraw + float64(n)*math.Phi)
	return alive[int(part*float64(len(alive)))]
}

// clientPool hand messages in.
type clientPool struct {
	h        *harness
	messages []*scenario.Message
	busy     atomic.Int64 // messages whose client has something to do

	mu        sync.Mutex
	idleConns map[string][]*clientConn // idle connections, by relay's address
	closed    bool
}

// clientConn is a client's connection.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	reused bool
}

func newClientPool(r *harness, messages []*scenario.Message) *clientPool {
	return &clientPool{h: r, messages: messages, idleConns: map[string][]*clientConn{}}
}

// idle tells whether no client has anything to do.
func (c *clientPool) idle() bool { return c.busy.Load() == 0 }

// submitFirst hands a message in for the first time.
func (c *clientPool) submitFirst(m *scenario.Message) {
	c.busy.Add(1)
	defer c.busy.Add(-1)
	c.submit(m, 0, 0, "")
}

// submitLater hands a message in again after a time.
func (c *clientPool) submitLater(m *scenario.Message, after time.Duration, try, refusals int, mark string) {
	c.busy.Add(1)
	c.h.background.Go(func() {
		defer c.busy.Add(-1)
		if wait.For(c.h.ctx, after) {
			c.submit(m, try, refusals, mark)
		}
	})
}

// timeLeft is how long a message may still be delivered.
func (c *clientPool) timeLeft(m *scenario.Message) time.Duration {
	return m.At + scenario.Seconds(c.h.scenario.Classes[m.Class].Deadline) - c.h.now()
}

// submit hands a message in once, and does what its client then does.
func (c *clientPool) submit(m *scenario.Message, try, refusals int, mark string) {
	left := c.timeLeft(m)
	if left <= 0 || try >= maxSubmissions {
		return
	}
	relay := c.h.balancer.pick(m, try)
	if relay < 0 {
		c.submitLater(m, m.ResubmitDelay, try+1, refusals, "again")
		return
	}
	k := &submission{message: m, number: try, rejections: refusals, id: c.h.random.RequestID(m.Number, try), relay: relay, expiresAt: c.h.now() + left}
	status, after, err := c.exchange(k, left, mark)
	switch {
	case errors.Is(err, errNotSubmitted):
		c.submitLater(m, m.ResubmitDelay, try+1, refusals, "again")
	case err != nil:
		c.h.record(checker.Event{Kind: checker.AnswerMissed, ID: k.id, Relay: relay, State: err.Error(), OK: errors.Is(err, errNoResponse)})
		c.h.ledger.withdraw(k)
		if c.mayResubmit(k, m.ResubmitDelay) {
			c.submitLater(m, m.ResubmitDelay, try+1, refusals, "again")
		}
	case status == http.StatusAccepted, status == http.StatusOK:
		c.h.record(checker.Event{Kind: checker.Answered, ID: k.id, Relay: relay, Status: status})
		c.h.ledger.accepted(k)
	default:
		c.h.record(checker.Event{Kind: checker.Answered, ID: k.id, Relay: relay, Status: status, Duration: after})
		if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
			c.retryRejected(k, after)
		}
	}
}

// retryRejected has a client that was refused hand its message in again, by its habits.
func (c *clientPool) retryRejected(k *submission, after time.Duration) {
	m := k.message
	if k.rejections >= len(m.Backoff) {
		return
	}
	wait := m.Backoff[k.rejections]
	if m.HonoursRetryAfter {
		wait = max(wait, min(after, scenario.Seconds(c.h.scenario.Limits.MaxRetryAfter)))
	}
	if !c.mayResubmit(k, wait) {
		return
	}
	mark := ""
	if c.h.scenario.Clients.MarkRetries {
		mark = "1"
	}
	c.submitLater(m, wait, k.number+1, k.rejections+1, mark)
}

// mayResubmit tells whether a message may be handed in once more after a time: one that may have had its effect
// only where that does no harm.
func (c *clientPool) mayResubmit(k *submission, after time.Duration) bool {
	now := c.h.ledger.state(k)
	ran := now.mayHaveRunAt
	if ran == 0 && now.inFlight > 0 {
		ran = c.h.now()
	}
	if ran == 0 {
		return true
	}
	switch class := &c.h.scenario.Classes[k.message.Class]; class.Idempotency {
	case "keyed":
		return c.h.now()+after < ran+scenario.Seconds(class.KeyTTL)
	case "unsafe":
		return false
	}
	return true
}

// resubmitLost hands in again what a relay held that is gone with its folder.
func (c *clientPool) resubmitLost(relay int) {
	for _, k := range c.h.ledger.takeHeldBy(relay) {
		if c.mayResubmit(k, k.message.ResubmitDelay) {
			c.submitLater(k.message, k.message.ResubmitDelay, k.number+1, k.rejections, "again")
		}
	}
}

// errNotSubmitted says that a relay could not be reached, or closed a connection on which it had read nothing.
var errNotSubmitted = errors.New("not handed in")

// exchange hands a message in and waits for the answer.
func (c *clientPool) exchange(k *submission, left time.Duration, mark string) (status int, after time.Duration, err error) {
	addr := c.h.relays[k.relay].listen
	for fresh := false; ; fresh = true {
		l, err := c.get(addr, fresh)
		if err != nil {
			return 0, 0, fmt.Errorf("%w: %w", errNotSubmitted, err)
		}
		if !fresh || k.submittedAt == 0 {
			c.recordSubmission(k, left)
		}
		_ = l.SetDeadline(time.Now().Add(scenario.Milliseconds(c.h.scenario.Clients.ResponseTimeoutMS)))
		status, after, keep, err := c.roundTrip(l, k, left, mark)
		if err == nil {
			if keep {
				c.put(addr, l)
			} else {
				_ = l.Close()
			}
			return status, after, nil
		}
		_ = l.Close()
		if crossed := l.reused && errors.Is(err, errNoResponse); !crossed {
			return 0, 0, err
		}
		// The relay closed a connection that had stood idle: once more on a new one.
	}
}

// recordSubmission notes that a message is being handed in, once.
func (c *clientPool) recordSubmission(k *submission, left time.Duration) {
	if k.submittedAt != 0 {
		return
	}
	c.h.ledger.submitted(k)
	k.submittedAt = c.h.record(checker.Event{
		Kind: checker.Submitted, ID: k.id, Message: k.message.Number, Relay: k.relay, Destination: k.message.Destination,
		Class: k.message.Class, OrderKey: k.message.OrderKey, Subject: k.message.Subject, Duration: left,
	})
}

// errNoResponse says that a connection ended with nothing on it.
var errNoResponse = errors.New("closed without an answer")

// roundTrip writes the request and reads the answer.
func (c *clientPool) roundTrip(l *clientConn, k *submission, left time.Duration, mark string) (status int, after time.Duration, keep bool, err error) {
	body := messageBody(k)
	var out bytes.Buffer
	fmt.Fprintf(&out, "POST /%s HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: %s\r\nRequest-Timeout: %.3f\r\nX-Envelope: dest=%d",
		c.h.scenario.Classes[k.message.Class].Name, k.id, left.Seconds(), k.message.Destination)
	if k.message.OrderKey != "" {
		fmt.Fprintf(&out, "\r\nCookie: subject=%s", k.message.OrderKey)
	}
	if k.message.Tenant >= 0 {
		fmt.Fprintf(&out, "\r\nTenant: %s", c.h.scenario.Tenants[k.message.Tenant].Name)
	}
	if k.message.Subject != "" {
		fmt.Fprintf(&out, "\r\nSubject: %s\r\nSequence: %d", k.message.Subject, k.message.Number)
	}
	if k.message.Key != "" {
		fmt.Fprintf(&out, "\r\nIdempotency-Key: %s", k.message.Key)
	}
	if mark != "" {
		fmt.Fprintf(&out, "\r\nClient-Retry: %s", mark)
	}
	fmt.Fprintf(&out, "\r\nContent-Length: %d\r\n\r\n", len(body))
	out.Write(body)
	if _, err := l.Write(out.Bytes()); err != nil {
		return 0, 0, false, fmt.Errorf("%w: %w", errNoResponse, err)
	}
	if _, err := l.reader.Peek(1); err != nil {
		if ne := net.Error(nil); errors.As(err, &ne) && ne.Timeout() {
			return 0, 0, false, err
		}
		return 0, 0, false, fmt.Errorf("%w: %w", errNoResponse, err)
	}
	resp, err := http.ReadResponse(l.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, 0, false, err
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodySize)); err != nil {
		return 0, 0, false, err
	}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s > 0 {
		after = scenario.Seconds(min(s, 3600))
	}
	return resp.StatusCode, after, !resp.Close, nil
}

// get gives an idle connection to a relay, or a new one.
func (c *clientPool) get(addr string, fresh bool) (*clientConn, error) {
	if !fresh {
		c.mu.Lock()
		if list := c.idleConns[addr]; len(list) > 0 {
			l := list[len(list)-1]
			c.idleConns[addr] = list[:len(list)-1]
			c.mu.Unlock()
			return l, nil
		}
		c.mu.Unlock()
	}
	raw, err := net.DialTimeout("tcp", addr, scenario.Milliseconds(c.h.scenario.Clients.ResponseTimeoutMS))
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: raw, reader: bufio.NewReader(raw)}, nil
}

// put keeps a connection for the next message.
func (c *clientPool) put(addr string, l *clientConn) {
	l.reused = true
	_ = l.SetDeadline(time.Time{})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idleConns[addr]) >= int(idleConnShare*float64(c.h.scenario.Relay.Sockets)) {
		_ = l.Close()
		return
	}
	c.idleConns[addr] = append(c.idleConns[addr], l)
}

// openConns counts the clients' idle connections to a relay that this has not closed; the closed ones are dropped.
func (c *clientPool) openConns(addr string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var open []*clientConn
	for _, l := range c.idleConns[addr] {
		_ = l.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := l.reader.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
			_ = l.SetReadDeadline(time.Time{})
			open = append(open, l)
			continue
		}
		_ = l.Close()
	}
	c.idleConns[addr] = open
	return len(open)
}

func (c *clientPool) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, list := range c.idleConns {
		for _, l := range list {
			_ = l.Close()
		}
	}
}
