package harness

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/destination"
	"frostlink/internal/faultinjection/scenario"
)

// redeliveryExpiry is until when a resend may come: the partner does not care.
const redeliveryExpiry = 1000 * time.Hour

// maxBodySize is the protocol's bound on a body, in bytes.
const maxBodySize = 64 << 10

// destinationServer is a partner on sockets: the model, and the listeners and connections of its endpoints. One lock holds all of
// it, so that what the model says and what goes over the sockets have one order.
type destinationServer struct {
	h      *harness
	number int

	mu            sync.Mutex
	model         *destination.Model
	endpoints     []*endpointServer
	pending       map[*destination.Attempt]*attempt
	timer         *time.Timer
	keysExpiredAt time.Duration
	outage        *destination.Mode // that all endpoints are in by the script; nil: none
	closed        bool
}

// endpointServer is one endpoint, which each relay sees under an address of its own.
type endpointServer struct {
	*destinationServer
	id        string
	index     int // in the model
	mode      destination.Mode
	removed   bool
	addrs     []string // by relay
	listeners []net.Listener
	blockers  []io.Closer // what stands in for the listeners while the machine is gone
	conns     map[*endpointConn]bool
}

// endpointConn is a relay's connection to a host.
type endpointConn struct {
	*net.TCPConn
	host        *endpointServer
	relay       int
	overLimit   bool
	fresh       bool // no call came on it yet
	closed      bool
	attempt     *attempt      // out on it
	attemptDone chan struct{} // room for one: the call out has ended
}

// attempt is a call that has come whole and has no answer yet.
type attempt struct {
	number     int
	conn       *endpointConn
	submission *submission
	model      *destination.Attempt
	startedAt  time.Duration
	ended      bool
}

func newDestinationServer(r *harness, number int) *destinationServer {
	return &destinationServer{h: r, number: number, model: destination.New(r.scenario, number, r.random), pending: map[*destination.Attempt]*attempt{}}
}

// endpointID names an endpoint. It tells nothing of where or what it is.
func (l *destinationServer) endpointID(index int) string {
	return fmt.Sprintf("s-%08x", l.h.random.Stream("host", l.number, index).Uint32())
}

// newEndpoint makes an endpoint's sockets: at addresses of its own, or at those of one that has gone.
func (l *destinationServer) newEndpoint(index int, at []string) (*endpointServer, error) {
	h := &endpointServer{destinationServer: l, id: l.endpointID(index), index: index, conns: map[*endpointConn]bool{}, addrs: at}
	if at == nil {
		for range l.h.scenario.Relays {
			addr, err := l.h.loopback.Address() // one for each relay: it says who calls
			if err != nil {
				return nil, err
			}
			h.addrs = append(h.addrs, addr)
		}
	}
	if err := h.listen(); err != nil {
		return nil, err
	}
	return h, nil
}

// listen opens the listeners at the host's addresses.
func (h *endpointServer) listen() error {
	for relay, addr := range h.addrs {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return fmt.Errorf("endpoint %s: %w", h.id, err)
		}
		h.listeners = append(h.listeners, ln)
		go h.accept(ln, relay)
	}
	return nil
}

func (h *endpointServer) accept(ln net.Listener, relay int) {
	for {
		raw, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			h.h.recordFailure("endpoint %s: accept: %v", h.id, err)
			return
		}
		c := &endpointConn{TCPConn: raw.(*net.TCPConn), host: h, relay: relay, fresh: true, attemptDone: make(chan struct{}, 1)}
		h.mu.Lock()
		if h.removed || h.mode == destination.ModeRefusing || h.mode == destination.ModeUnreachable {
			h.mu.Unlock()
			c.reset()
			continue
		}
		c.overLimit = h.model.Connect(h.index)
		h.conns[c] = true
		h.mu.Unlock()
		h.h.record(checker.Event{Kind: checker.Connected, Relay: relay, Destination: h.number, Endpoint: h.id})
		go c.serve()
	}
}

// reset ends a connection with RST.
func (c *endpointConn) reset() {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// serve reads calls until the connection ends. While a call is out it waits for what the relay does next: an end of
// the stream gives the call up.
func (c *endpointConn) serve() {
	in := bufio.NewReader(c)
	for {
		_, err := in.Peek(1)
		if err != nil {
			c.peerClosed()
			return
		}
		first := c.host.h.now()
		c.host.mu.Lock()
		out := c.attempt != nil
		c.host.mu.Unlock()
		if out {
			<-c.attemptDone // one call at a time: the next is read when the last has its answer
		}
		if !c.readAttempt(in, first) {
			c.peerClosed()
			return
		}
	}
}

// peerClosed ends a connection from the relay's side.
func (c *endpointConn) peerClosed() {
	h := c.host
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.closed {
		return
	}
	if k := c.attempt; k != nil {
		k.end(checker.Event{Outcome: checker.Abandoned})
		h.carryOut(h.model.Cancel(h.now(), k.model))
	}
	c.close()
}

// close forgets a connection and closes it; the lock is held.
func (c *endpointConn) close() {
	if c.closed {
		return
	}
	c.closed = true
	_ = c.Close()
	c.release()
	delete(c.host.conns, c)
	c.host.model.Disconnect(c.host.index)
}

// readAttempt reads one request and hands it to the model; it tells whether the connection goes on.
func (c *endpointConn) readAttempt(in *bufio.Reader, first time.Duration) bool {
	h := c.host
	req, err := http.ReadRequest(in)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBodySize+1))
	if err != nil || len(body) > maxBodySize {
		return false
	}
	id := req.Header.Get("Request-Id")
	probe := req.Method == http.MethodGet && (req.URL.Path == "/ping" || req.URL.Path == "/_load")
	switch {
	case probe && !h.h.scenario.Limits.Probing:
		return c.respond(http.StatusNotFound, "")
	case !probe && (req.Method != http.MethodPost || req.URL.Path != "/inbox"):
		h.h.recordFailure("relay %d sent %s %s to an endpoint", c.relay+1, req.Method, req.URL.Path)
		return c.respond(http.StatusNotFound, "")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.closed {
		return false
	}
	if h.h.scenario.Relay.Redelivers && !probe {
		h.recordRedelivery(id, c.relay, body)
	}
	number, charge, before := h.h.ledger.attemptStarted(id)
	kind := checker.AttemptSent
	if probe {
		kind = checker.Probed
	}
	at := h.h.record(checker.Event{Kind: kind, ID: id, Relay: c.relay, Destination: h.number, Endpoint: h.id, Attempt: number, FirstByte: first})
	k := &attempt{number: number, conn: c, submission: charge, startedAt: at, model: &destination.Attempt{
		ID: id, Relay: c.relay, NewConnection: c.fresh,
		OverConnectionLimit: c.overLimit, Probe: probe,
	}}
	select {
	case <-c.attemptDone: // of an earlier call
	default:
	}
	c.attempt, c.fresh = k, false
	if !probe {
		if status, note := h.checkNotSent(charge, at, req, body); status != 0 {
			k.end(checker.Event{Outcome: checker.NotSent})
			return c.respond(status, note)
		}
		m, class := charge.message, &h.h.scenario.Classes[charge.message.Class]
		k.model.ServiceTime = h.h.scenario.ServiceTime(h.h.random, m, before)
		k.model.Key, k.model.KeyTTL = m.Key, scenario.Seconds(class.KeyTTL)
		k.model.Draw = h.h.random.Stream("chance", m.Number, before).Float64()
	}
	h.pending[k.model] = k
	h.carryOut(h.model.Arrive(h.now(), h.index, k.model))
	return !c.closed
}

// recordRedelivery takes note of a call under an id that nobody handed in, where partners take such: the body tells whose it is.
func (h *endpointServer) recordRedelivery(id string, relay int, body []byte) {
	var no, to int
	if n, _ := fmt.Sscanf(string(body), "message %d for partner %d.", &no, &to); n != 2 || no < 0 || no >= len(h.h.clients.messages) {
		return
	}
	m := h.h.clients.messages[no]
	if h.h.ledger.adoptRedelivery(&submission{message: m, id: id, relay: relay, expiresAt: redeliveryExpiry}) {
		h.h.record(checker.Event{Kind: checker.Redelivered, ID: id, Message: no, Relay: relay, Destination: m.Destination, Class: m.Class, Subject: m.Subject})
	}
}

// checkNotSent checks a call as the platform does: it gives the status of one that does not reach the partner, or 0.
func (h *endpointServer) checkNotSent(c *submission, at time.Duration, req *http.Request, body []byte) (status int, note string) {
	switch {
	case c == nil:
		return http.StatusBadRequest, ""
	case !bytes.Equal(body, messageBody(c)) || req.Header.Get("Idempotency-Key") != c.message.Key:
		h.h.recordFailure("relay %d changed the body or key of %s", c.relay+1, c.id)
		return http.StatusBadRequest, ""
	case c.message.Destination != h.number:
		return http.StatusBadRequest, ""
	}
	now := h.h.ledger.state(c)
	switch {
	case now.withdrawn && !now.accepted, at > c.expiresAt:
		return http.StatusGone, ""
	case now.attempts > h.h.scenario.Limits.MaxAttempts:
		return http.StatusGatewayTimeout, ""
	}
	return 0, ""
}

// respond answers on a connection; it tells whether the connection goes on.
func (c *endpointConn) respond(status int, headers string) bool {
	ends := ""
	if c.overLimit {
		ends = "Connection: close\r\n"
	}
	_ = c.SetWriteDeadline(time.Now().Add(time.Second))
	_, err := fmt.Fprintf(c.TCPConn, "HTTP/1.1 %d %s\r\n%s%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), headers, ends)
	return err == nil && !c.overLimit
}

// end notes the end of a call; the lock is held.
func (k *attempt) end(e checker.Event) time.Duration {
	h := k.conn.host
	if k.ended {
		return 0
	}
	k.ended = true
	k.conn.attempt = nil
	k.conn.release()
	delete(h.pending, k.model)
	e.Kind, e.ID, e.Attempt, e.Relay, e.Destination = checker.AttemptEnded, k.model.ID, k.number, k.conn.relay, h.number
	at := h.h.record(e)
	if k.submission != nil && !k.model.Probe {
		refused := e.Outcome == checker.Rejected || e.Outcome == checker.RetryAfter || e.Outcome == checker.NotSent
		h.h.ledger.attemptEnded(k.submission, k.startedAt, at, refused, e.Outcome == checker.OK)
	}
	return at
}

// release lets the connection's reader go on to the next call.
func (c *endpointConn) release() {
	select {
	case c.attemptDone <- struct{}{}:
	default:
	}
}

// now is the model's time, which stands still until the run begins.
func (l *destinationServer) now() time.Duration {
	if l.timer == nil {
		return 0
	}
	return l.h.now()
}

// start has the model go on by itself.
func (l *destinationServer) start() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = time.AfterFunc(0, l.wake)
}

// wake does what is due by itself.
func (l *destinationServer) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	now := l.now()
	if now-l.keysExpiredAt > time.Second {
		l.model.ExpireKeys(now)
		l.keysExpiredAt = now
	}
	l.carryOut(l.model.Advance(now))
}

// carryOut carries out what the model says, and sets the timer for what is due next; the lock is held.
func (l *destinationServer) carryOut(actions []destination.Action) {
	fell := false
	for _, a := range actions {
		if a.ModeChange != nil {
			l.modeChanged(a.ModeChange, &fell)
			continue
		}
		l.respond(a.Completion)
	}
	if l.timer == nil {
		return
	}
	if next := l.model.NextDue(); next-l.now() < time.Hour {
		l.timer.Reset(next - l.now())
	}
}

// respond answers a call.
func (l *destinationServer) respond(d *destination.Completion) {
	if !d.Attempt.Probe {
		l.h.recordTiming(d.At)
	}
	k := l.pending[d.Attempt]
	if d.Executed {
		l.h.record(checker.Event{Kind: checker.Executed, ID: d.Attempt.ID, Destination: l.number})
	}
	if k == nil {
		return // nobody waits for it any more
	}
	headers, status := "", http.StatusOK
	if d.LoadReport != nil {
		headers = fmt.Sprintf("Server-Load: x0=%.3f,x1=%.3f\r\n", d.LoadReport.Left, d.LoadReport.Limit)
	}
	e := checker.Event{Outcome: checker.OK, Executed: d.Executed}
	switch d.Outcome {
	case destination.OutcomeError:
		status, e.Outcome = http.StatusInternalServerError, checker.Error
	case destination.OutcomeUnavailable:
		status, e.Outcome = http.StatusServiceUnavailable, checker.Rejected
	case destination.OutcomeRetryAfter:
		// Rounded up: a wait that ends before there is room would not be honest.
		ms := (d.RetryAfter + time.Millisecond - 1) / time.Millisecond
		status, e.Outcome, e.Duration = http.StatusTooManyRequests, checker.RetryAfter, ms*time.Millisecond
		headers += "X-Retry-In-Ms: " + strconv.Itoa(int(ms)) + "\r\n"
	case destination.OutcomeReset:
		e.Outcome = checker.Reset
		k.end(e)
		_ = k.conn.SetLinger(0)
		k.conn.close()
		return
	}
	k.end(e)
	if !k.conn.respond(status, headers) {
		k.conn.close()
	}
}

// modeChanged follows a change that the model made by itself.
func (l *destinationServer) modeChanged(c *destination.ModeChange, told *bool) {
	if !*told {
		*told = true
		if c.Mode == destination.ModeRefusing {
			l.h.record(checker.Event{Kind: checker.OutageBegan, Destination: l.number, State: "fell"})
		} else {
			l.h.record(checker.Event{Kind: checker.OutageEnded, Destination: l.number, OK: true})
		}
	}
	for _, h := range l.endpoints {
		if h.index == c.Endpoint {
			h.setMode(c.Mode)
		}
	}
}

// setMode gives a host's sockets a mode; the lock is held.
func (h *endpointServer) setMode(m destination.Mode) {
	was := h.mode
	h.mode = m
	if h.removed || was == m {
		return
	}
	if was >= destination.ModeRefusing && m < destination.ModeRefusing { // back: what was left open is reset
		h.resetConns()
		h.closeBlockers()
		if len(h.listeners) == 0 {
			if err := h.listen(); err != nil {
				h.h.recordFailure("%v", err)
			}
		}
		return
	}
	switch m {
	case destination.ModeRefusing:
		h.closeListeners()
		h.resetConns()
	case destination.ModeUnresponsive:
		h.dropPending()
	case destination.ModeUnreachable:
		h.dropPending()
		h.closeListeners()
		h.blockAddresses()
	}
}

// closeListeners closes the listeners.
func (h *endpointServer) closeListeners() {
	for _, ln := range h.listeners {
		_ = ln.Close()
	}
	h.listeners = nil
}

// closeBlockers closes what stood in for the listeners.
func (h *endpointServer) closeBlockers() {
	for _, c := range h.blockers {
		_ = c.Close()
	}
	h.blockers = nil
}

// resetConns resets all connections, and with them the calls out.
func (h *endpointServer) resetConns() {
	for c := range h.conns {
		if c.attempt != nil {
			c.attempt.end(checker.Event{Outcome: checker.Interrupted})
		}
		_ = c.SetLinger(0)
		c.close()
	}
}

// dropPending leaves calls without an answer: their ends are noted when the relays leave them, or at the reset.
func (h *endpointServer) dropPending() {
	for c := range h.conns {
		if c.attempt != nil {
			delete(h.pending, c.attempt.model)
		}
	}
}

// blockAddresses has connections to the host's addresses never come up: a listener whose queue is full drops SYNs, as
// nothing at all would.
func (h *endpointServer) blockAddresses() {
	var mu sync.Mutex
	var work sync.WaitGroup
	for _, addr := range h.addrs {
		work.Go(func() {
			held, err := block(addr)
			mu.Lock()
			defer mu.Unlock()
			h.blockers = append(h.blockers, held...)
			if err != nil {
				h.h.recordFailure("endpoint %s can't be made unreachable: %v", h.id, err)
			}
		})
	}
	work.Wait()
}

// block makes an address unreachable until what it gives is closed.
func block(addr string) (held []io.Closer, err error) {
	fd, err := fullListener(addr)
	if err != nil {
		return nil, err
	}
	held = append(held, fd)
	for range 2 { // the kernel lets a queue of none hold one
		c, err := net.DialTimeout("tcp", addr, 50*time.Millisecond)
		if err == nil {
			held = append(held, c)
		}
	}
	return held, nil
}

// descriptor closes a bare descriptor.
type descriptor int

func (d descriptor) Close() error { return syscall.Close(int(d)) }

// fullListener listens at an address with no room for connections.
func fullListener(addr string) (io.Closer, error) {
	to, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	sa := &syscall.SockaddrInet4{Port: to.Port, Addr: [4]byte(to.IP.To4())}
	err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err == nil {
		err = syscall.Bind(fd, sa)
	}
	if err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		_ = syscall.Close(fd)
		return nil, err
	}
	return descriptor(fd), nil
}

// remove takes a host away for good; the lock is held.
func (h *endpointServer) remove() {
	h.removed = true
	h.closeListeners()
	h.closeBlockers()
	h.resetConns()
	h.carryOut(h.model.RemoveEndpoint(h.now(), h.index))
}

// close ends a partner.
func (l *destinationServer) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.timer != nil {
		l.timer.Stop()
	}
	for _, h := range l.endpoints {
		h.removed = true
		h.closeListeners()
		h.closeBlockers()
		for c := range h.conns {
			c.close()
		}
	}
}

// pauseDraws are the draws of a further endpoint's pauses.
func (l *destinationServer) pauseDraws(index int) *rand.Rand {
	return l.h.random.Stream("pause", l.number, index)
}

// messageBody is the body of a message: the same whatever happens, and unlike any other's.
func messageBody(c *submission) []byte {
	text := fmt.Sprintf("message %d for partner %d. ", c.message.Number, c.message.Destination)
	return []byte(strings.Repeat(text, c.message.BodySize/len(text)+1)[:c.message.BodySize])
}
