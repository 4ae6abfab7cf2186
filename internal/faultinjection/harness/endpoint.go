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

// resendTime is until when a resend may come: the partner does not care.
const resendTime = 1000 * time.Hour

// maxBody is the protocol's bound on a body, in bytes.
const maxBody = 64 << 10

// live is a partner on sockets: the model, and the listeners and connections of its endpoints. One lock holds all of
// it, so that what the model says and what goes over the sockets have one order.
type live struct {
	r      *rig
	number int

	mu      sync.Mutex
	p       *destination.Partner
	hosts   []*host
	pending map[*destination.Call]*call
	timer   *time.Timer
	swept   time.Duration
	outage  *destination.Mode // that all endpoints are in by the script; nil: none
	ended   bool
}

// host is one endpoint, which each relay sees under an address of its own.
type host struct {
	*live
	id     string
	index  int // in the model
	mode   destination.Mode
	gone   bool
	addrs  []string // by relay
	open   []net.Listener
	closed []io.Closer // what stands in for the listeners while the machine is gone
	conns  map[*conn]bool
}

// conn is a relay's connection to a host.
type conn struct {
	*net.TCPConn
	host     *host
	relay    int
	overfull bool
	fresh    bool // no call came on it yet
	closed   bool
	call     *call         // out on it
	answered chan struct{} // room for one: the call out has ended
}

// call is a call that has come whole and has no answer yet.
type call struct {
	number int
	c      *conn
	charge *charge
	model  *destination.Call
	began  time.Duration
	over   bool
}

func newLive(r *rig, number int) *live {
	return &live{r: r, number: number, p: destination.New(r.s, number, r.d), pending: map[*destination.Call]*call{}}
}

// hostID names an endpoint. It tells nothing of where or what it is.
func (l *live) hostID(index int) string {
	return fmt.Sprintf("s-%08x", l.r.d.For("host", l.number, index).Uint32())
}

// addHost makes an endpoint's sockets: at addresses of its own, or at those of one that has gone.
func (l *live) addHost(index int, at []string) (*host, error) {
	h := &host{live: l, id: l.hostID(index), index: index, conns: map[*conn]bool{}, addrs: at}
	if at == nil {
		for range l.r.s.Relays {
			addr, err := l.r.loopback.Address() // one for each relay: it says who calls
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
func (h *host) listen() error {
	for relay, addr := range h.addrs {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return fmt.Errorf("endpoint %s: %w", h.id, err)
		}
		h.open = append(h.open, ln)
		go h.accept(ln, relay)
	}
	return nil
}

func (h *host) accept(ln net.Listener, relay int) {
	for {
		raw, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			h.r.fault("endpoint %s: accept: %v", h.id, err)
			return
		}
		c := &conn{TCPConn: raw.(*net.TCPConn), host: h, relay: relay, fresh: true, answered: make(chan struct{}, 1)}
		h.mu.Lock()
		if h.gone || h.mode == destination.Refusing || h.mode == destination.Gone {
			h.mu.Unlock()
			c.reset()
			continue
		}
		c.overfull = h.p.Connect(h.index)
		h.conns[c] = true
		h.mu.Unlock()
		h.r.note(checker.Event{Kind: checker.Connected, Relay: relay, Destination: h.number, Endpoint: h.id})
		go c.serve()
	}
}

// reset ends a connection with RST.
func (c *conn) reset() {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// serve reads calls until the connection ends. While a call is out it waits for what the relay does next: an end of
// the stream gives the call up.
func (c *conn) serve() {
	in := bufio.NewReader(c)
	for {
		_, err := in.Peek(1)
		if err != nil {
			c.left()
			return
		}
		first := c.host.r.now()
		c.host.mu.Lock()
		out := c.call != nil
		c.host.mu.Unlock()
		if out {
			<-c.answered // one call at a time: the next is read when the last has its answer
		}
		if !c.take(in, first) {
			c.left()
			return
		}
	}
}

// left ends a connection from the relay's side.
func (c *conn) left() {
	h := c.host
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.closed {
		return
	}
	if k := c.call; k != nil {
		k.end(checker.Event{Outcome: checker.Abandoned})
		h.act(h.p.Leave(h.clock(), k.model))
	}
	c.drop()
}

// drop forgets a connection and closes it; the lock is held.
func (c *conn) drop() {
	if c.closed {
		return
	}
	c.closed = true
	_ = c.Close()
	c.release()
	delete(c.host.conns, c)
	c.host.p.Disconnect(c.host.index)
}

// take reads one request and hands it to the model; it tells whether the connection goes on.
func (c *conn) take(in *bufio.Reader, first time.Duration) bool {
	h := c.host
	req, err := http.ReadRequest(in)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBody+1))
	if err != nil || len(body) > maxBody {
		return false
	}
	id := req.Header.Get("Request-Id")
	probe := req.Method == http.MethodGet && (req.URL.Path == "/ping" || req.URL.Path == "/_load")
	switch {
	case probe && !h.r.s.Limits.Probes:
		return c.write(http.StatusNotFound, "")
	case !probe && (req.Method != http.MethodPost || req.URL.Path != "/inbox"):
		h.r.fault("relay %d sent %s %s to an endpoint", c.relay+1, req.Method, req.URL.Path)
		return c.write(http.StatusNotFound, "")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.closed {
		return false
	}
	if h.r.s.Relay.Resends && !probe {
		h.resent(id, c.relay, body)
	}
	number, charge, before := h.r.book.called(id)
	kind := checker.AttemptSent
	if probe {
		kind = checker.Probed
	}
	at := h.r.note(checker.Event{Kind: kind, ID: id, Relay: c.relay, Destination: h.number, Endpoint: h.id, Attempt: number, FirstByte: first})
	k := &call{number: number, c: c, charge: charge, began: at, model: &destination.Call{
		ID: id, Relay: c.relay, New: c.fresh,
		Overfull: c.overfull, Probe: probe,
	}}
	select {
	case <-c.answered: // of an earlier call
	default:
	}
	c.call, c.fresh = k, false
	if !probe {
		if status, note := h.unsent(charge, at, req, body); status != 0 {
			k.end(checker.Event{Outcome: checker.NotSent})
			return c.write(status, note)
		}
		m, class := charge.m, &h.r.s.Classes[charge.m.Class]
		k.model.Work = h.r.s.Work(h.r.d, m, before)
		k.model.Key, k.model.Memory = m.Key, scenario.Seconds(class.Memory)
		k.model.Chance = h.r.d.For("chance", m.No, before).Float64()
	}
	h.pending[k.model] = k
	h.act(h.p.Arrive(h.clock(), h.index, k.model))
	return !c.closed
}

// resent takes note of a call under an id that nobody handed in, where partners take such: the body tells whose it is.
func (h *host) resent(id string, relay int, body []byte) {
	var no, to int
	if n, _ := fmt.Sscanf(string(body), "message %d for partner %d.", &no, &to); n != 2 || no < 0 || no >= len(h.r.clients.messages) {
		return
	}
	m := h.r.clients.messages[no]
	if h.r.book.adopt(&charge{m: m, id: id, relay: relay, expires: resendTime}) {
		h.r.note(checker.Event{Kind: checker.Redelivered, ID: id, Message: no, Relay: relay, Destination: m.Partner, Class: m.Class, Subject: m.Subject})
	}
}

// unsent checks a call as the platform does: it gives the status of one that does not reach the partner, or 0.
func (h *host) unsent(c *charge, at time.Duration, req *http.Request, body []byte) (status int, note string) {
	switch {
	case c == nil:
		return http.StatusBadRequest, ""
	case !bytes.Equal(body, bodyOf(c)) || req.Header.Get("Idempotency-Key") != c.m.Key:
		h.r.fault("relay %d changed the body or key of %s", c.relay+1, c.id)
		return http.StatusBadRequest, ""
	case c.m.Partner != h.number:
		return http.StatusBadRequest, ""
	}
	now := h.r.book.state(c)
	switch {
	case now.withdrawn && !now.taken, at > c.expires:
		return http.StatusGone, ""
	case now.attempts > h.r.s.Limits.Attempts:
		return http.StatusGatewayTimeout, ""
	}
	return 0, ""
}

// write answers on a connection; it tells whether the connection goes on.
func (c *conn) write(status int, headers string) bool {
	ends := ""
	if c.overfull {
		ends = "Connection: close\r\n"
	}
	_ = c.SetWriteDeadline(time.Now().Add(time.Second))
	_, err := fmt.Fprintf(c.TCPConn, "HTTP/1.1 %d %s\r\n%s%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), headers, ends)
	return err == nil && !c.overfull
}

// end notes the end of a call; the lock is held.
func (k *call) end(e checker.Event) time.Duration {
	h := k.c.host
	if k.over {
		return 0
	}
	k.over = true
	k.c.call = nil
	k.c.release()
	delete(h.pending, k.model)
	e.Kind, e.ID, e.Attempt, e.Relay, e.Destination = checker.AttemptEnded, k.model.ID, k.number, k.c.relay, h.number
	at := h.r.note(e)
	if k.charge != nil && !k.model.Probe {
		refused := e.Outcome == checker.Rejected || e.Outcome == checker.RetryAfter || e.Outcome == checker.NotSent
		h.r.book.answered(k.charge, k.began, at, refused, e.Outcome == checker.OK)
	}
	return at
}

// release lets the connection's reader go on to the next call.
func (c *conn) release() {
	select {
	case c.answered <- struct{}{}:
	default:
	}
}

// clock is the model's time, which stands still until the run begins.
func (l *live) clock() time.Duration {
	if l.timer == nil {
		return 0
	}
	return l.r.now()
}

// start has the model go on by itself.
func (l *live) start() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = time.AfterFunc(0, l.wake)
}

// wake does what is due by itself.
func (l *live) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	now := l.clock()
	if now-l.swept > time.Second {
		l.p.Sweep(now)
		l.swept = now
	}
	l.act(l.p.Advance(now))
}

// act carries out what the model says, and sets the timer for what is due next; the lock is held.
func (l *live) act(actions []destination.Action) {
	fell := false
	for _, a := range actions {
		if a.Change != nil {
			l.changed(a.Change, &fell)
			continue
		}
		l.done(a.Done)
	}
	if l.timer == nil {
		return
	}
	if next := l.p.Next(); next-l.clock() < time.Hour {
		l.timer.Reset(next - l.clock())
	}
}

// done answers a call.
func (l *live) done(d *destination.Done) {
	if !d.Call.Probe {
		l.r.punctual(d.At)
	}
	k := l.pending[d.Call]
	if d.Ran {
		l.r.note(checker.Event{Kind: checker.Executed, ID: d.Call.ID, Destination: l.number})
	}
	if k == nil {
		return // nobody waits for it any more
	}
	headers, status := "", http.StatusOK
	if d.Report != nil {
		headers = fmt.Sprintf("Server-Load: x0=%.3f,x1=%.3f\r\n", d.Report.Left, d.Report.Limit)
	}
	e := checker.Event{Outcome: checker.OK, Ran: d.Ran}
	switch d.Outcome {
	case destination.Errored:
		status, e.Outcome = http.StatusInternalServerError, checker.Error
	case destination.Full:
		status, e.Outcome = http.StatusServiceUnavailable, checker.Rejected
	case destination.Wait:
		// Rounded up: a wait that ends before there is room would not be honest.
		ms := (d.Wait + time.Millisecond - 1) / time.Millisecond
		status, e.Outcome, e.Duration = http.StatusTooManyRequests, checker.RetryAfter, ms*time.Millisecond
		headers += "X-Retry-In-Ms: " + strconv.Itoa(int(ms)) + "\r\n"
	case destination.Dropped:
		e.Outcome = checker.Reset
		k.end(e)
		_ = k.c.SetLinger(0)
		k.c.drop()
		return
	}
	k.end(e)
	if !k.c.write(status, headers) {
		k.c.drop()
	}
}

// changed follows a change that the model made by itself.
func (l *live) changed(c *destination.Change, told *bool) {
	if !*told {
		*told = true
		if c.Mode == destination.Refusing {
			l.r.note(checker.Event{Kind: checker.OutageBegan, Destination: l.number, State: "fell"})
		} else {
			l.r.note(checker.Event{Kind: checker.OutageEnded, Destination: l.number, OK: true})
		}
	}
	for _, h := range l.hosts {
		if h.index == c.Endpoint {
			h.set(c.Mode)
		}
	}
}

// set gives a host's sockets a mode; the lock is held.
func (h *host) set(m destination.Mode) {
	was := h.mode
	h.mode = m
	if h.gone || was == m {
		return
	}
	if was >= destination.Refusing && m < destination.Refusing { // back: what was left open is reset
		h.cut()
		h.unplug()
		if len(h.open) == 0 {
			if err := h.listen(); err != nil {
				h.r.fault("%v", err)
			}
		}
		return
	}
	switch m {
	case destination.Refusing:
		h.shut()
		h.cut()
	case destination.Silent:
		h.strand()
	case destination.Gone:
		h.strand()
		h.shut()
		h.unreachable()
	}
}

// shut closes the listeners.
func (h *host) shut() {
	for _, ln := range h.open {
		_ = ln.Close()
	}
	h.open = nil
}

// unplug closes what stood in for the listeners.
func (h *host) unplug() {
	for _, c := range h.closed {
		_ = c.Close()
	}
	h.closed = nil
}

// cut resets all connections, and with them the calls out.
func (h *host) cut() {
	for c := range h.conns {
		if c.call != nil {
			c.call.end(checker.Event{Outcome: checker.Interrupted})
		}
		_ = c.SetLinger(0)
		c.drop()
	}
}

// strand leaves calls without an answer: their ends are noted when the relays leave them, or at the reset.
func (h *host) strand() {
	for c := range h.conns {
		if c.call != nil {
			delete(h.pending, c.call.model)
		}
	}
}

// unreachable has connections to the host's addresses never come up: a listener whose queue is full drops SYNs, as
// nothing at all would.
func (h *host) unreachable() {
	var mu sync.Mutex
	var work sync.WaitGroup
	for _, addr := range h.addrs {
		work.Go(func() {
			held, err := block(addr)
			mu.Lock()
			defer mu.Unlock()
			h.closed = append(h.closed, held...)
			if err != nil {
				h.r.fault("endpoint %s can't be made unreachable: %v", h.id, err)
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
func (h *host) remove() {
	h.gone = true
	h.shut()
	h.unplug()
	h.cut()
	h.act(h.p.Remove(h.clock(), h.index))
}

// close ends a partner.
func (l *live) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	if l.timer != nil {
		l.timer.Stop()
	}
	for _, h := range l.hosts {
		h.gone = true
		h.shut()
		h.unplug()
		for c := range h.conns {
			c.drop()
		}
	}
}

// turns are the draws of a further endpoint's pauses.
func (l *live) turns(index int) *rand.Rand { return l.r.d.For("pause", l.number, index) }

// bodyOf is the body of a message: the same whatever happens, and unlike any other's.
func bodyOf(c *charge) []byte {
	text := fmt.Sprintf("message %d for partner %d. ", c.m.No, c.m.Partner)
	return []byte(strings.Repeat(text, c.m.Body/len(text)+1)[:c.m.Body])
}
