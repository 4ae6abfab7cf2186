package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"mallowlead/policy"
)

const (
	// idleShare of the time after which hosts close an idle connection it is kept here: a request that
	// crosses the host's close ends as a reset. With 0.95 hosts closed some first, and G gained nothing.
	idleShare = 0.8
	// drainTime is how long the body of an answer may take before its connection is given up.
	drainTime = 100 * time.Millisecond
	// maxAnswer bytes of an answer are read, its head included: what a host sends must not fill the memory.
	maxAnswer = 2 * maxBody
	// mostInterim 1xx answers may come ahead of the real one.
	mostInterim = 8
)

// request is one call to a host.
type request struct {
	addr    string
	id, key string
	body    []byte
	timeout time.Duration
}

// result is how a call ended.
type result struct {
	outcome policy.Outcome
	wait    time.Duration
	over    bool
	spent   bool
	report  *policy.Report
}

// pool makes calls to hosts over connections that carry one call at a time. It is no http.Transport, since
// that sends a request with an Idempotency-Key again by itself when a kept connection breaks, which is a
// second run, and does not tell whether the last byte had been written, which is what parts "never ran" from
// "may have run".
type pool struct {
	dialer net.Dialer
	keep   time.Duration
	room   int // idle connections kept at most

	mu    sync.Mutex
	idle  map[string][]*conn // by address, used last at the end
	count int
}

// conn is a connection to a host.
type conn struct {
	net.Conn
	limit *io.LimitedReader // what may still be read for the call
	in    *bufio.Reader     // reads from limit
	since time.Time         // idle since
}

// newPool keeps at most room idle connections, each for less than hostIdle.
func newPool(connect, hostIdle time.Duration, room int) *pool {
	return &pool{dialer: net.Dialer{Timeout: connect, KeepAlive: -1}, room: room, idle: map[string][]*conn{},
		keep: time.Duration(idleShare * float64(hostIdle))}
}

// call makes one call. When it returns, the call is off the wire: answered, or its connection closed.
func (p *pool) call(ctx context.Context, r request) result {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	c, err := p.get(ctx, r.addr)
	if err != nil {
		return result{outcome: policy.ConnectError}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	res, reuse := p.exchange(ctx, c, r)
	if !stop() || !reuse {
		_ = c.Close()
		return res
	}
	p.put(r.addr, c)
	return res
}

// exchange writes a request and reads its answer; reuse tells whether the connection may carry another.
func (p *pool) exchange(ctx context.Context, c *conn, r request) (res result, reuse bool) {
	deadline, _ := ctx.Deadline()
	out, err := r.encode(time.Until(deadline))
	if err != nil {
		return result{outcome: policy.ConnectError}, false
	}
	if n, _ := c.Write(out); n < len(out) {
		return result{outcome: policy.ConnectError}, false // the last byte never left: it can't have run
	}
	resp, err := c.answer()
	if err != nil {
		switch ctx.Err() {
		case nil:
			return result{outcome: policy.Reset}, false
		case context.DeadlineExceeded:
			return result{outcome: policy.TimedOut}, false
		}
		return result{outcome: policy.Canceled}, false
	}
	res = classify(resp)
	_ = c.SetDeadline(time.Now().Add(drainTime))
	_, err = io.Copy(io.Discard, resp.Body)
	reuse = err == nil && !resp.Close && c.in.Buffered() == 0 && c.SetDeadline(time.Time{}) == nil
	return res, reuse
}

// encode writes the request as it goes on the wire.
func (r request) encode(wait time.Duration) ([]byte, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+r.addr+"/inbox", bytes.NewReader(r.body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("User-Agent", "frostlink")
	req.Header.Set("Request-Id", r.id)
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	req.Header.Set("Request-Timeout", strconv.FormatFloat(max(wait, time.Millisecond).Seconds(), 'f', 3, 64))
	var out bytes.Buffer
	err = req.Write(&out)
	return out.Bytes(), err
}

// answer reads the answer to a request, past any interim ones.
func (c *conn) answer() (*http.Response, error) {
	c.limit.N = maxAnswer
	for range mostInterim {
		resp, err := http.ReadResponse(c.in, &http.Request{Method: http.MethodPost})
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
	return nil, errors.New("too many interim answers")
}

// classify reads an outcome from an answer, as the protocol has them.
func classify(resp *http.Response) result {
	res := result{outcome: policy.Failed, report: parseReport(resp.Header.Get("Server-Load"))}
	switch resp.StatusCode {
	case http.StatusOK:
		res.outcome, res.over = policy.OK, true
	case http.StatusTooManyRequests:
		res.outcome = policy.QueueFull
		if ms, err := strconv.ParseFloat(resp.Header.Get("X-Retry-In-Ms"), 64); err == nil && ms > 0 {
			res.wait = time.Duration(min(ms, float64(time.Hour.Milliseconds())) * float64(time.Millisecond))
		}
	case http.StatusServiceUnavailable:
		res.outcome = policy.QueueFull
		if resp.Header.Get("X-No-Slot") == "1" {
			res.outcome = policy.Ignored
		}
	case http.StatusGatewayTimeout:
		res.outcome, res.spent = policy.Ignored, true
	case http.StatusGone:
		res.outcome, res.over = policy.Ignored, true
	}
	return res
}

// parseReport reads a load report such as "x0=0.4,x1=25", or gives nil.
func parseReport(text string) *policy.Report {
	r, found := &policy.Report{}, 0
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0) {
			continue
		}
		switch name {
		case "x0":
			r.Left = v
			found |= 1
		case "x1":
			r.Limit = v
			found |= 2
		}
	}
	if found != 3 {
		return nil
	}
	return r
}

// get gives an idle connection that is still up, or a new one.
func (p *pool) get(ctx context.Context, addr string) (*conn, error) {
	p.mu.Lock()
	for list := p.idle[addr]; len(list) > 0; list = p.idle[addr] {
		c := list[len(list)-1]
		p.drop(addr, len(list)-1)
		if c.up() && time.Since(c.since) < p.keep {
			p.mu.Unlock()
			return c, nil
		}
		_ = c.Close()
	}
	p.mu.Unlock()
	raw, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", addr, err)
	}
	limit := &io.LimitedReader{R: raw, N: maxAnswer}
	return &conn{Conn: raw, limit: limit, in: bufio.NewReader(limit)}, nil
}

// put keeps a connection for the next call.
func (p *pool) put(addr string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.count >= p.room {
		_ = c.Close()
		return
	}
	c.since = time.Now()
	p.idle[addr] = append(p.idle[addr], c)
	p.count++
}

// drop takes connection i out of an address's list; the lock is held.
func (p *pool) drop(addr string, i int) {
	list := p.idle[addr]
	if list = append(list[:i], list[i+1:]...); len(list) > 0 {
		p.idle[addr] = list
	} else {
		delete(p.idle, addr)
	}
	p.count--
}

// closeIdle closes the idle connections to an address.
func (p *pool) closeIdle(addr string) {
	p.closeIf(func(a string, _ *conn) bool { return a == addr })
}

// sweep closes idle connections that have stood too long, or that the host has closed.
func (p *pool) sweep() {
	p.closeIf(func(_ string, c *conn) bool { return time.Since(c.since) >= p.keep || !c.up() })
}

func (p *pool) closeIf(unwanted func(string, *conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		for i := len(list) - 1; i >= 0; i-- {
			if c := list[i]; unwanted(addr, c) {
				p.drop(addr, i)
				_ = c.Close()
			}
		}
	}
}

// up tells whether an idle connection is open and has nothing to read: a host may close one at any time, and
// a request written after that would end as a reset, which may have run.
func (c *conn) up() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	_, err := peek(sc)
	return errors.Is(err, syscall.EAGAIN)
}
