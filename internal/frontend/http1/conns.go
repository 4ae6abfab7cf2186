package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"frostlink/internal/frontend"
	"frostlink/internal/servingmode"
	"frostlink/internal/socket"
	"frostlink/internal/syserr"
)

const (
	// silentTime is how long a new connection may say nothing, and firstTime how long its first request may
	// take from then on: what sends neither is owed an error or a close within 3 s of connecting.
	silentTime, firstTime = 2 * time.Second, 600 * time.Millisecond
	// readTime bounds the reading of a later request, from its first byte: clients send at once.
	readTime = 2500 * time.Millisecond
	// idleTime is how long a client may keep a connection without a request, where there is room.
	idleTime = 8 * time.Second
	// restTime must have passed without a request before a connection is among the first to make room.
	restTime = 2 * time.Second
	// requestTime after it was taken, or answered, a connection's next request is no longer on its way as a rule: only then it is closed
	// for want of a descriptor.
	requestTime = 500 * time.Millisecond
	// stalledTime makes a request that has begun and does not go on one that may make room, last of all.
	stalledTime = 500 * time.Millisecond
	// writeTime bounds the writing of an answer: clients read at full speed.
	writeTime = time.Second
	// lingerTime and lingerBytes bound what is read after a last answer, so that it arrives: a close with
	// unread bytes is a reset, which may overtake the answer.
	lingerTime, lingerBytes = 500 * time.Millisecond, 1 << 20
	// maxHead bounds a request's head.
	maxHead = 16 << 10
	// seeOffEvery is between looks for connections to close while clients are sent away.
	seeOffEvery = 100 * time.Millisecond
	// acceptAgain is the pause after a failed accept, and mostAcceptPause after several in a row.
	acceptAgain, mostAcceptPause = 5 * time.Millisecond, 50 * time.Millisecond
)

// stage is where a client's connection stands, in the order in which connections are closed to make room.
type stage int

const (
	leaving stage = iota // answered for the last time
	idle                 // between requests
	fresh                // nothing has come on it yet
	reading              // a request has begun
	open                 // a request was read and is to be answered
	stages               // their number
)

// client is a connection from a client.
type client struct {
	*net.TCPConn
	came  *recorder         // what was read of the request, from the connection
	limit *io.LimitedReader // what may still be read for the request, from came
	in    *bufio.Reader     // reads from limit

	// Guarded by the server's lock.
	stage   stage
	since   time.Time
	removed bool
	halted  bool // its reading was ended by a freeze, and by no time-out of its own
}

// Why the server closes connections.
const (
	closedForRoom    = "room for others"
	closedCrowded    = "clients keep more than they use"
	closedSeenOff    = "clients are sent away"
	closedSilent     = "no request in time, or its client has left"
	closedUnheard    = "nobody waits for an answer"
	closedUnwritten  = "the answer can't be written"
	closedLastAnswer = "the last answer"
	closedByEnd      = "closed meanwhile"
)

// Serve takes connections until the listener is closed. It is no http.Server, since that neither tells what
// lies behind a request (a length that is too short, a second request) nor lets connections make room for
// others by what is going on on them.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener, _ = l.(*net.TCPListener)
	s.mu.Unlock()
	pause := syserr.Backoff{Min: acceptAgain, Max: mostAcceptPause}
	for {
		s.unblock()
		raw, err := l.Accept()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && s.untilThawed():
		case err == nil:
			pause.Reset()
			s.accept(raw.(*net.TCPConn))
		case errors.Is(err, net.ErrClosed):
			return nil
		case syserr.Classify(syserr.Accept, err) == syserr.Local:
			// Guards against a process that ends for what passes.
			slog.Warn("connection not accepted", "err", err)
			if syserr.IsDescriptorShortage(err) {
				s.mu.Lock()
				s.evictRested(leaving, requestTime)
				s.mu.Unlock()
			}
			time.Sleep(pause.Next())
		default:
			return err
		}
	}
}

// accept serves a connection in a goroutine of its own, once there is room for it.
func (s *Server) accept(raw *net.TCPConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.clients) >= s.room && !s.evict(leaving) {
		s.left.Wait()
	}
	s.begin(newClient(raw, nil), fresh)
}

// newClient is a connection of which some bytes were read before.
func newClient(raw *net.TCPConn, read []byte) *client {
	patient := socket.Patient{Conn: raw}
	came := &recorder{from: patient}
	if len(read) > 0 {
		came.from = io.MultiReader(bytes.NewReader(read), patient)
	}
	limit := &io.LimitedReader{R: came}
	return &client{TCPConn: raw, came: came, limit: limit, in: bufio.NewReader(limit), since: time.Now()}
}

// begin serves a connection in a goroutine of its own; the lock is held.
func (s *Server) begin(c *client, at stage) {
	c.stage = at
	s.clients[c] = true
	s.count[at]++
	go func() {
		parked, why := s.talk(c)
		s.mu.Lock()
		if parked {
			s.park(c)
		} else {
			s.remove(c, why)
		}
		s.mu.Unlock()
		s.left.Broadcast()
	}()
}

// evict closes the connection that is missed least: one that has said its last, then one that rested long
// enough, one that never said anything, one that rests, one that stalls; never one with a request open, nor one before a
// stage. Its place is free at once. The lock is held.
func (s *Server) evict(from stage) bool { return s.evictRested(from, 0) }

// evictRested is evict among those whose stage has lasted for so long, and those that are leaving.
func (s *Server) evictRested(from stage, least time.Duration) bool {
	var worst *client
	now := time.Now()
	rank := func(c *client) int {
		if c.stage == idle && now.Sub(c.since) < restTime {
			return 2*int(fresh) + 1
		}
		return 2 * int(c.stage)
	}
	for c := range s.clients {
		if c.stage < from || c.stage == open || c.stage != leaving && now.Sub(c.since) < least || c.stage == reading && now.Sub(c.since) < stalledTime {
			continue
		}
		if worst == nil || rank(c) < rank(worst) || rank(c) == rank(worst) && c.since.Before(worst.since) {
			// Guards against a close with a request that has come and was not read: it would be cut off. Where the last answer was
			// written, what is not read would reset the connection before that has arrived.
			if c.stage <= fresh && c.has() {
				continue
			}
			worst = c
		}
	}
	if worst == nil {
		return false
	}
	s.remove(worst, closedForRoom)
	return true
}

// remove closes a connection, also under its goroutine's feet, and says why; the lock is held.
func (s *Server) remove(c *client, why string) {
	if c.removed {
		return
	}
	c.removed = true
	_ = c.Close()
	delete(s.clients, c)
	s.count[c.stage]--
	if s.closed != nil {
		s.closed(why)
	}
}

// enter moves a connection to a stage, and tells whether it is still there.
func (s *Server) enter(c *client, to stage) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.removed {
		return false
	}
	s.count[c.stage]--
	s.count[to]++
	c.stage, c.since = to, time.Now()
	if to <= idle {
		s.left.Broadcast() // it may make room now
	}
	return true
}

// crowded tells whether an answer should be the last on its connection, since clients keep more connections
// than they use: they may hold only so many, and those that ask once and stay would leave them none for
// further requests. Connections that rested long enough go first.
func (s *Server) crowded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.count[idle] >= s.keep {
		var oldest *client
		for c := range s.clients {
			if c.stage == idle && (oldest == nil || c.since.Before(oldest.since)) && !c.has() {
				oldest = c
			}
		}
		if oldest == nil || time.Since(oldest.since) < restTime {
			return true
		}
		s.remove(oldest, closedCrowded)
	}
	return false
}

// talk serves the requests of a connection, one after another, to its end, or until it is to be parked. It says why it is to be closed.
func (s *Server) talk(c *client) (parked bool, why string) {
	quiet, wait := silentTime, firstTime
	if c.stage == idle {
		quiet, wait = idleTime, readTime
	}
	quiet = max(0, quiet-time.Since(c.since)) // another process may have waited before
	for {
		s.readUntil(c, quiet)
		c.limit.N = maxHead
		c.came.begin()
		if _, err := c.in.Peek(1); err != nil && (s.parks(c, err) || !c.has()) {
			return s.parks(c, err), closedSilent
		} // a request that came in the instant of the time-out is served: a read past its deadline does not look
		if !s.enter(c, reading) {
			return false, closedByEnd
		}
		s.readUntil(c, wait)
		v, err := s.request(c)
		if err != nil && s.parks(c, err) {
			return true, ""
		}
		if v.Status == 0 {
			return false, closedUnheard
		}
		v.Close = v.Close || s.stance.CloseAfterResponse() || s.crowded()
		if !c.answer(v) {
			return false, closedUnwritten
		}
		if v.Close {
			if s.enter(c, leaving) {
				c.linger()
			}
			return false, closedLastAnswer
		}
		if !s.enter(c, idle) {
			return false, closedByEnd
		}
		quiet, wait = idleTime, readTime
	}
}

// request reads one request and has it decided on; a verdict without a status says that nobody waits for one. An error
// says what kept it from being read.
func (s *Server) request(c *client) (frontend.Response, error) {
	r, err := http.ReadRequest(c.in)
	if err != nil {
		slog.Debug("request not readable", "err", err)
		return c.unreadable(err), err
	}
	a, v := s.parse(r)
	if a == nil {
		return v, nil
	}
	if r.ContentLength > 0 {
		if !s.memory.take(int(r.ContentLength)) {
			s.refused(a.Entry.Class)
			return frontend.Response{Status: http.StatusServiceUnavailable, RetryAfter: busyAfter, Close: true}, nil
		}
		defer s.memory.give(int(r.ContentLength))
		if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
			if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
				return frontend.Response{}, nil
			}
		}
		c.limit.N = max(0, r.ContentLength-int64(c.in.Buffered()))
		a.Entry.Body = make([]byte, r.ContentLength)
		if _, err := io.ReadFull(c.in, a.Entry.Body); err != nil {
			slog.Debug("body not readable", "err", err)
			return c.unreadable(err), err
		}
	}
	if !s.enter(c, open) {
		return frontend.Response{}, nil
	}
	c.came.end()
	if c.in.Buffered() > 0 {
		return frontend.RejectMalformed(http.StatusBadRequest), nil // the length is too short, or requests come unasked
	}
	s.check.Load().ReadSubject(a.Entry, r.Header)
	a.Quiet = c.quiet
	s.admit(a)
	v = <-a.Response
	v.Close = v.Close || r.Close
	return v, nil
}

// CloseIdleConns closes connections without a request for as long as the stance sends clients away. One is closed only while
// nothing has come on it that was not read: that would be a request cut off.
func (s *Server) CloseIdleConns() {
	s.mu.Lock()
	running := s.seeingOff
	s.seeingOff = true
	s.mu.Unlock()
	if running {
		return
	}
	for {
		s.mu.Lock()
		if away, _ := s.stance.InStandby(); !away {
			s.seeingOff = false
			s.mu.Unlock()
			return
		}
		now := time.Now()
		if rest, bounded := s.stance.IdleLimit(now); bounded {
			for c := range s.clients {
				most := rest
				if c.stage == fresh {
					most = max(rest, servingmode.MinIdle) // its request may be on its way
				}
				if c.stage != idle && c.stage != fresh || now.Sub(c.since) < most {
					continue
				}
				if quiet, _ := c.quiet(); quiet {
					s.remove(c, closedSeenOff)
				}
			}
		}
		s.mu.Unlock()
		time.Sleep(seeOffEvery)
	}
}

// unreadable is the answer to a request that could not be read.
func (c *client) unreadable(err error) frontend.Response {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return frontend.RejectMalformed(http.StatusRequestTimeout)
	case c.limit.N <= 0:
		return frontend.RejectMalformed(http.StatusRequestHeaderFieldsTooLarge)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed),
		errors.Is(err, syscall.ECONNRESET):
		return frontend.Response{} // half a request and a close
	}
	return frontend.RejectMalformed(http.StatusBadRequest)
}

// has tells whether something has come that was not read.
func (c *client) has() bool {
	n, err := socket.Peek(c.TCPConn)
	return err == nil && n > 0
}

// quiet tells whether the client waits for its answer and has sent nothing behind its request, and whether
// it is still there at all.
func (c *client) quiet() (quiet, there bool) {
	n, err := socket.Peek(c.TCPConn)
	return errors.Is(err, syscall.EAGAIN), n > 0 || errors.Is(err, syscall.EAGAIN)
}

// answer writes an answer without a body, and tells whether it went out.
func (c *client) answer(v frontend.Response) bool {
	r := http.Response{StatusCode: v.Status, ProtoMajor: 1, ProtoMinor: 1, Close: v.Close, Header: http.Header{
		"Date": {time.Now().UTC().Format(http.TimeFormat)},
	}}
	if v.RetryAfter > 0 {
		r.Header.Set("Retry-After", strconv.FormatFloat(v.RetryAfter.Seconds(), 'f', 3, 64))
	}
	var out bytes.Buffer
	if err := r.Write(&out); err != nil {
		return false
	}
	_ = c.SetWriteDeadline(time.Now().Add(writeTime))
	_, err := socket.Patient{Conn: c.TCPConn}.Write(out.Bytes())
	return err == nil
}

// linger lets a last answer arrive before the connection is closed.
func (c *client) linger() {
	if c.CloseWrite() == nil && c.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes)
	}
}

// Shutdown closes the connections without an open request, and waits for the others until ctx ends: also for those whose
// last answer is to arrive, which close by themselves.
func (s *Server) Shutdown(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.left.Broadcast()
	})
	defer stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.room = 0
	for len(s.clients) > 0 {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if !s.evict(idle) {
			s.left.Wait()
		}
	}
	return nil
}

// Unanswered is how many requests were read and have no answer yet.
func (s *Server) Unanswered() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count[open]
}

// budget is an amount that many share.
type budget struct {
	mu   sync.Mutex
	left int
}

// take takes n, if there is so much.
func (b *budget) take(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.left {
		return false
	}
	b.left -= n
	return true
}

// give gives n back.
func (b *budget) give(n int) {
	b.mu.Lock()
	b.left += n
	b.mu.Unlock()
}
