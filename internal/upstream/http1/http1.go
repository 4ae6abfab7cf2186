// Package http1 makes calls to hosts over HTTP/1.1.
package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"frostlink/internal/socket"
	"frostlink/internal/syserr"
	"frostlink/internal/upstream"
	"frostlink/policy"
)

const (
	// idleShare of the time after which hosts close an idle connection it is kept here: a request that
	// crosses the host's close ends as a reset. With 0.95 hosts closed some first, and G gained nothing.
	idleShare = 0.8
	// answerTime is how long an answer may take from its first byte on, and drainTime how long the rest of one
	// whose first line says 200: hosts write answers at once, and what does not come to its end is spoilt. Both
	// are far longer than a relay with a part of a core may stand still.
	answerTime, drainTime = time.Second, 300 * time.Millisecond
	// maxAnswer bytes of an answer are read, its head included, and maxBodyIn of its body: what a host sends must not fill the memory.
	maxAnswer, maxBodyIn = 128 << 10, 64 << 10
	// mostInterim 1xx answers may come ahead of the real one.
	mostInterim = 8
	// mostWait is the longest wait that a host is taken at its word for: what is longer fits no clock.
	mostWait = 24 * time.Hour
	// lastLook is how long an answer that has begun may still take to its end once its call's time is up: what a host has
	// written counts, also a wait that it tells. A message's end has to be told within 300 ms of its time, for posts that stall.
	lastLook = 20 * time.Millisecond
	// Hosts refuse at once: within refusedWithin times what the making of its connection took, since the first request on a new one
	// may wait for a handshake of some round trips more. leastGrace is for where that shows in the first answer alone: two and a half
	// times the 100 ms for which the protocol lets calls through after a told wait. mostGrace is for connections that came up late.
	refusedWithin         = 5
	leastGrace, mostGrace = 250 * time.Millisecond, time.Second
	// maxLimit is the highest limit, in calls a second, that a report is believed to tell, and maxLeft the
	// highest share of it that is left: reports are noisy.
	maxLimit, maxLeft = 1e6, 2
)

// Pool makes calls to hosts over connections that carry one call at a time. It is no http.Transport, since
// that sends a request with an Idempotency-Key again by itself when a kept connection breaks, which is a
// second run, and does not tell whether the last byte had been written, which is what parts "never ran" from
// "may have run".
type Pool struct {
	dialer socket.Dialer
	keep   time.Duration
	room   int // connections at most, idle or with a call out; no fewer than calls out at once
	// OnWritten, where set, hears of each request whose last byte was written. Set before the first call.
	OnWritten func()

	mu    sync.Mutex
	idle  map[upstream.Target]*shelf
	count int // connections, idle or with a call out
	calls int // under way, from before their connection is had
	// out are the connections with a call on them. frozen: no call begins, and those out are parked; freeze ends the
	// making of connections, which is under dials.
	out    map[*conn]bool
	frozen bool
	dials  context.Context
	freeze context.CancelFunc
}

// shelf holds the idle connections to a host, used last at the end. It is another one once the host is gone,
// so that connections that were out then are not kept.
type shelf struct{ conns []*conn }

// conn is a connection to a host.
type conn struct {
	net.Conn
	home  *shelf
	limit *io.LimitedReader // what may still be read for the call
	in    *bufio.Reader     // reads from limit
	since time.Time         // idle since
	grace time.Duration     // how long after a request was written a refusal may be on its way

	mu    sync.Mutex
	begun bool      // its answer has: the end of the call's time does not interrupt that
	until time.Time // when its answer is given up at the soonest; zero before its request is written
}

// writing notes that a call's request is written now: within the grace its answer is listened to, also past the end of its
// message's time where that is told meanwhile, but not for longer than leastGrace: a delivery after that end is none.
func (c *conn) writing(r *upstream.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Now().Add(c.grace)
	most := r.Deadline
	if r.OnDeadline != nil {
		most = most.Add(leastGrace)
	}
	if c.until.After(most) {
		c.until = most
	}
}

// timeUp tells that a call is listened to past its message's time: the message's end is due all the same.
func (c *conn) timeUp(whole context.Context, r *upstream.Request) {
	c.mu.Lock()
	listening := time.Now().Before(c.until)
	c.mu.Unlock()
	if listening && r.OnDeadline != nil && errors.Is(whole.Err(), context.DeadlineExceeded) {
		r.OnDeadline()
	}
}

// setBegun says whether the answer to a call has begun.
func (c *conn) setBegun(is bool) {
	c.mu.Lock()
	c.begun = is
	c.mu.Unlock()
}

// interrupt ends the reading and writing of a call, unless its answer has begun. It guards against a connection that is
// closed on a refusal which is on its way: what that tells counts from when it is written, and would go unheard.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.begun:
	case time.Now().Before(c.until):
		_ = c.SetReadDeadline(c.until)
		_ = c.SetWriteDeadline(socket.Past)
	default:
		_ = c.SetDeadline(socket.Past)
	}
}

// New has room for so many connections, and keeps idle ones for less than hostIdle.
func New(connect, hostIdle time.Duration, room int) *Pool {
	p := &Pool{
		dialer: socket.Dialer{Dialer: net.Dialer{KeepAlive: -1}, Timeout: connect}, room: room, idle: map[upstream.Target]*shelf{},
		keep: time.Duration(idleShare * float64(hostIdle)), out: map[*conn]bool{},
	}
	p.dials, p.freeze = context.WithCancel(context.Background())
	return p
}

// Call makes one call. When it returns, the call is off the wire: answered, or its connection closed.
func (p *Pool) Call(ctx context.Context, r upstream.Request) upstream.Result {
	whole, ctx, cancel := times(ctx, &r)
	defer cancel()
	if !p.begin() {
		return upstream.Result{Outcome: policy.NotSent}
	}
	defer p.end()
	dial := ctx
	if !r.WriteBy.IsZero() {
		var done context.CancelFunc
		dial, done = context.WithDeadline(ctx, r.WriteBy)
		defer done()
	}
	c, fresh, err := p.get(dial, r.Target)
	switch {
	case err != nil && (p.isFrozen() || r.TooLate()):
		return upstream.Result{Outcome: policy.NotSent, NewConn: fresh}
	case syserr.ClassifyPersistent(err) == syserr.Local:
		slog.Error("call not made", "err", err) // for want of something here: no fault of the host
		return upstream.Result{Outcome: policy.NotSent}
	case err != nil:
		return upstream.Result{Outcome: policy.ConnectError, NewConn: fresh}
	}
	res := p.carry(whole, ctx, c, r, true)
	res.NewConn = fresh
	return res
}

// times gives the time of a call's message and, within it, that of the call.
func times(ctx context.Context, r *upstream.Request) (whole, call context.Context, cancel func()) {
	if r.Deadline.IsZero() {
		r.Deadline = time.Now().Add(r.Timeout)
	}
	whole, endWhole := context.WithDeadline(ctx, r.Deadline)
	call, endCall := context.WithTimeout(whole, r.Timeout)
	return whole, call, func() { endCall(); endWhole() }
}

// carry carries a call on a connection, within the time of its message and its own; write is false where the request was
// written by then.
func (p *Pool) carry(whole, ctx context.Context, c *conn, r upstream.Request, write bool) upstream.Result {
	if !p.engage(c, write) {
		p.put(r.Target, c, true)
		return upstream.Result{Outcome: policy.NotSent}
	}
	c.mu.Lock()
	c.begun, c.until = false, time.Time{}
	c.mu.Unlock()
	stop := context.AfterFunc(ctx, c.interrupt)
	defer context.AfterFunc(whole, func() { c.timeUp(whole, &r) })()
	res, reuse := p.exchange(whole, ctx, c, r, write)
	reuse = stop() && reuse
	p.disengage(c, res.Detached != nil)
	if res.Detached == nil {
		p.put(r.Target, c, reuse)
	}
	return res
}

// exchange writes a request and reads its answer; reuse tells whether the connection may carry another.
func (p *Pool) exchange(whole, ctx context.Context, c *conn, r upstream.Request, write bool) (res upstream.Result, reuse bool) {
	if write {
		// Guards against a connection that came up late, as when a cut link is back: written now, the request would
		// run again at a host that has forgotten its key, or come in a wait that was told meanwhile.
		if r.TooLate() {
			return upstream.Result{Outcome: policy.NotSent}, c.SetDeadline(time.Time{}) == nil
		}
		if !r.WriteBy.IsZero() {
			_ = c.SetWriteDeadline(r.WriteBy)
			if ctx.Err() != nil { // its deadline was overwritten
				return upstream.Result{Outcome: policy.ConnectError}, false
			}
		}
		deadline, _ := ctx.Deadline()
		out, err := encode(r, time.Until(deadline))
		if err != nil {
			return upstream.Result{Outcome: policy.ConnectError}, false
		}
		c.writing(&r)
		if n, _ := (socket.Patient{Conn: c.Conn}).Write(out); n < len(out) {
			return upstream.Result{Outcome: policy.ConnectError}, false // the last byte never left: it can't have run
		}
		if p.OnWritten != nil {
			p.OnWritten()
		}
	}
	c.limit.N = maxAnswer
	_, err := c.in.Peek(1)
	if raw, ok := c.Conn.(*net.TCPConn); ok && errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() == nil && p.isFrozen() {
		return upstream.Result{Detached: raw}, false
	}
	var resp *http.Response
	ok := false
	// Guards against an answer that came in the same instant as the end of its call: a read past its deadline does not look,
	// and the message would be sent again, or within a wait that was told.
	if err == nil || ctx.Err() != nil && c.has() {
		c.setBegun(true)
		resp, ok, err = c.answer(whole)
	}
	switch {
	case err == nil && resp.StatusCode == http.StatusOK && !ok:
		// Guards against a 200 that was written when the time was up, and delivers nothing: the message's end is still owed.
		return upstream.Result{Outcome: policy.TimedOut}, false
	case err == nil:
		res = classify(resp)
	case ok:
		// The first line said so, and it is true whatever came after it.
		return upstream.Result{Outcome: policy.Succeeded, Final: true}, false
	case ctx.Err() == nil:
		return upstream.Result{Outcome: policy.ConnectionReset}, false
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return upstream.Result{Outcome: policy.TimedOut}, false
	default:
		return upstream.Result{Outcome: policy.Canceled}, false
	}
	// What lies behind an answer may be a part of it whose length does not fit: then it is spoilt, and the
	// request has run.
	quiet := c.in.Buffered() == 0 && c.up()
	res.OutcomeUnknown = !quiet && c.in.Buffered() > 0
	return res, quiet && !resp.Close && c.SetDeadline(time.Time{}) == nil
}

// encode writes the request as it goes on the wire.
func encode(r upstream.Request, wait time.Duration) ([]byte, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+r.Addr+"/inbox", bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("User-Agent", "frostlink")
	req.Header.Set("Request-Id", r.ID)
	if r.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	req.Header.Set("Request-Timeout", strconv.FormatFloat(max(wait, time.Millisecond).Seconds(), 'f', 3, 64))
	var out bytes.Buffer
	err = req.Write(&out)
	return out.Bytes(), err
}

// answer reads the whole answer to a request, once its first byte has come, past any interim ones: a status is not believed before that,
// since a spoilt answer's request has run. ok tells that the first line says 200 and came in time, which is true all the same.
func (c *conn) answer(ctx context.Context) (resp *http.Response, ok bool, err error) {
	now := time.Now()
	until := now.Add(answerTime)
	switch end, bounded := ctx.Deadline(); {
	case ctx.Err() != nil:
		until = now.Add(lastLook)
	case bounded && end.Add(lastLook).Before(until):
		until = end.Add(lastLook)
	}
	_ = c.SetReadDeadline(until)
	for range mostInterim + 1 {
		if line, _ := c.in.Peek(len("HTTP/1.1 200 ")); saysOK(line) && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			ok = true
			_ = c.SetReadDeadline(time.Now().Add(drainTime))
		}
		resp, err = http.ReadResponse(c.in, &http.Request{Method: http.MethodPost})
		if err != nil {
			return nil, ok, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, ok, readBody(resp)
		}
	}
	return nil, ok, errors.New("too many interim answers")
}

// saysOK tells whether the first bytes of an answer are a status line of 200.
func saysOK(line []byte) bool {
	return bytes.HasPrefix(line, []byte("HTTP/1.")) && len(line) == len("HTTP/1.1 200 ") &&
		bytes.Equal(line[len("HTTP/1.1"):len(line)-1], []byte(" 200")) && (line[len(line)-1] == ' ' || line[len(line)-1] == '\r')
}

// readBody reads the body of an answer, which means nothing, to its end.
func readBody(resp *http.Response) error {
	if resp.ContentLength > maxBodyIn {
		return fmt.Errorf("an answer of %d bytes", resp.ContentLength)
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodyIn+1))
	if err == nil && n > maxBodyIn {
		err = errors.New("an answer without end")
	}
	return err
}

// classify reads an outcome from an answer, as the protocol has them.
func classify(resp *http.Response) upstream.Result {
	res := upstream.Result{Outcome: policy.Failed}
	if loads := resp.Header["Server-Load"]; len(loads) == 1 {
		res.LoadReport = parseReport(loads[0])
	}
	switch resp.StatusCode {
	case http.StatusOK:
		res.Outcome, res.Final = policy.Succeeded, true
	case http.StatusTooManyRequests:
		res.Outcome = policy.Rejected
		if ms, err := strconv.ParseFloat(resp.Header.Get("X-Retry-In-Ms"), 64); err == nil && ms > 0 {
			// Guards against a wait that is cut to the life of a message: those that come later are held back as well.
			res.RetryAfter = time.Duration(min(ms, float64(mostWait.Milliseconds())) * float64(time.Millisecond))
		}
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

// parseReport reads a load report such as "x0=0.4,x1=25", or gives nil where it is none to believe.
func parseReport(text string) *policy.LoadReport {
	r := policy.LoadReport{Remaining: -1, RateLimit: -1}
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		into, most := &r.Remaining, float64(maxLeft)
		switch name {
		case "x0":
		case "x1":
			into, most = &r.RateLimit, maxLimit
		default:
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v <= most) || *into >= 0 {
			return nil
		}
		*into = v
	}
	if r.Remaining < 0 || r.RateLimit < 0 {
		return nil
	}
	return &r
}

// get gives an idle connection that is still up, or a fresh one.
func (p *Pool) get(ctx context.Context, t upstream.Target) (c *conn, fresh bool, err error) {
	p.mu.Lock()
	home := p.idle[t]
	if home == nil {
		home = &shelf{}
		p.idle[t] = home
	}
	for len(home.conns) > 0 {
		c := p.take(home, len(home.conns)-1)
		if c.up() && time.Since(c.since) < p.keep {
			p.mu.Unlock()
			return c, false, nil
		}
		p.close(c)
	}
	if p.count >= p.room {
		p.closeOldest()
	}
	p.count++
	p.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.mu.Lock()
	stop := context.AfterFunc(p.dials, cancel)
	p.mu.Unlock()
	defer stop()
	begun := time.Now()
	raw, err := p.dialer.DialContext(ctx, "tcp", t.Addr)
	if err != nil {
		p.mu.Lock()
		p.count--
		p.mu.Unlock()
		return nil, true, fmt.Errorf("connect to %s: %w", t.Addr, err)
	}
	made := newConn(raw, home)
	made.grace = min(max(refusedWithin*time.Since(begun), leastGrace), mostGrace)
	return made, true, nil
}

func newConn(raw net.Conn, home *shelf) *conn {
	limit := &io.LimitedReader{R: socket.Patient{Conn: raw}, N: maxAnswer}
	return &conn{Conn: raw, home: home, limit: limit, in: bufio.NewReader(limit), grace: leastGrace}
}

// put takes a connection back after a call, and keeps it for the next where it may carry one.
func (p *Pool) put(t upstream.Target, c *conn, reuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !reuse || p.idle[t] != c.home {
		p.close(c)
		return
	}
	c.since = time.Now()
	c.home.conns = append(c.home.conns, c)
}

// take takes a connection from its shelf, and close closes one that is on none; the lock is held.
func (p *Pool) take(s *shelf, i int) *conn {
	c := s.conns[i]
	s.conns = slices.Delete(s.conns, i, i+1)
	return c
}

func (p *Pool) close(c *conn) {
	_ = c.Close()
	p.count--
}

// closeOldest makes room for a new connection; the lock is held.
func (p *Pool) closeOldest() {
	var oldest *shelf
	for _, s := range p.idle {
		if len(s.conns) > 0 && (oldest == nil || s.conns[0].since.Before(oldest.conns[0].since)) {
			oldest = s
		}
	}
	if oldest != nil {
		p.close(p.take(oldest, 0))
	}
}

// CloseIdle closes the idle connections to a host.
func (p *Pool) CloseIdle(t upstream.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.idle[t]; s != nil {
		p.closeIf(s, func(*conn) bool { return true })
	}
}

// Evict closes the idle connections to a host that is gone, and keeps none that is out.
func (p *Pool) Evict(t upstream.Target) {
	p.CloseIdle(t)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.idle, t)
}

// Sweep closes idle connections that have stood too long, or that the host has closed.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.idle {
		p.closeIf(s, func(c *conn) bool { return time.Since(c.since) >= p.keep || !c.up() })
	}
}

// closeIf closes idle connections of a host; the lock is held.
func (p *Pool) closeIf(s *shelf, unwanted func(*conn) bool) {
	for i := len(s.conns) - 1; i >= 0; i-- {
		if unwanted(s.conns[i]) {
			p.close(p.take(s, i))
		}
	}
}

// has tells whether a connection has something to read.
func (c *conn) has() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	n, err := socket.Peek(sc)
	return err == nil && n > 0
}

// up tells whether an idle connection is open and has nothing to read: a host may close one at any time, and
// a request written after that would end as a reset, which may have run.
func (c *conn) up() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	_, err := socket.Peek(sc)
	return errors.Is(err, syscall.EAGAIN)
}
