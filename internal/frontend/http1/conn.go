package http1

import (
	"bytes"
	"container/list"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"frostlink/internal/frontend"
	"frostlink/internal/socket"
)

const (
	// writeTimeout bounds the writing of a response. It is short since clients read at full speed.
	writeTimeout = time.Second
	// lingerTimeout and maxLingerBytes bound the input that is read and discarded after the last
	// response. Closing with unread bytes would reset the connection, and the reset may overtake
	// the response (RFC 9112, section 9.6).
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 1 << 20
	// crowdedLingerTimeout replaces lingerTimeout while new connections wait for others to be closed.
	crowdedLingerTimeout = 30 * time.Millisecond
	// minUnreadTime is the least time for which a request counts as having waited unread: more than the precision of the kernel's
	// timer. maxUnreadTime is the longest plausible one: a client gives up its request after 0.4 s.
	minUnreadTime, maxUnreadTime = 20 * time.Millisecond, 5 * time.Second
	// lingerPause is the pause between two reads of a connection that lingers, once the rest of the largest request was read. A client
	// that keeps sending is slowed down by its full window, and takes little processor time.
	lingerPause = 20 * time.Millisecond
)

// connState is the state of a client's connection. Only connections in the first four states, up to
// connReading, are evicted, in the order that evictOlder states. The transitions and their causes:
//
//	new              → reading          the first byte of a request arrived
//	idle             → reading          the first byte of a request arrived
//	reading          → awaitingResponse the request was read completely
//	reading          → idle | lingering the request was answered without a submission: a health check or a malformed request
//	awaitingResponse → idle | lingering the request was answered
//	new, idle, reading → detached       the server is quiesced
//	any              → closed           lingering has ended, or one of the other CloseReasons applies
type connState int

const (
	// connLingering: the last response is written; input is discarded so that the response arrives.
	connLingering connState = iota
	// connIdle: the connection is between two requests.
	connIdle
	// connNew: no byte has arrived yet.
	connNew
	// connReading: the first byte of a request has arrived, and the request was not read completely.
	connReading
	// connAwaitingResponse: a request was read completely and is not answered yet. Such a connection
	// is never evicted.
	connAwaitingResponse
	// connDetached: the connection is no longer served here. It is returned by Quiesce, for a
	// successor process or for Resume.
	connDetached
	// connClosed is the final state.
	connClosed

	connStates = iota // number of states
)

// conn is a connection from a client.
type conn struct {
	*net.TCPConn
	from   io.Reader     // reads from the connection
	buffer requestBuffer // of the request in progress
	// healthAt is when the last health check was answered; zero: never.
	healthAt time.Time
	// tookChunks reports that the request in progress was too large for the connection's own memory.
	tookChunks bool
	eviction   evictionGuard

	// Guarded by the server's lock.
	state       connState
	since       time.Time     // when the connection entered the state
	progressAt  time.Time     // when bytes of the request in progress arrived last
	inState     *list.Element // in the server's list of the connections in this state
	inHolders   *list.Element // in the server's list of connections that hold chunks; nil: it holds none
	becomesIdle bool          // it will be idle once its response is written
	interrupted bool          // Quiesce, and not the connection's own timeout, ended the read
}

// newConn returns a connection.
func newConn(raw *net.TCPConn) *conn {
	c := &conn{TCPConn: raw, since: time.Now()}
	c.from = socket.RetryConn{Conn: guardedReads{c}}
	return c
}

// isGone reports whether the connection no longer belongs to the server. The server's lock is held.
func (c *conn) isGone() bool { return c.state == connDetached || c.state == connClosed }

// hasUnread reports whether the socket has bytes that were not read.
func (c *conn) hasUnread() bool {
	n, err := socket.Peek(c.TCPConn)
	return err == nil && n > 0
}

// unreadFor returns how long the last bytes that arrived have waited to be read: in the queue of the listening socket, or while this
// process got no processor time. Shorter waits than minUnreadTime count as none.
func (c *conn) unreadFor() time.Duration {
	age, err := socket.LastDataAge(c.TCPConn)
	if err != nil || age < minUnreadTime || age > maxUnreadTime {
		return 0 // an error changes nothing: the request counts from when it was read
	}
	return age
}

// quiet reports whether the client is connected and has sent no further bytes. connected reports
// whether the client is connected, regardless of further bytes.
func (c *conn) quiet() (quiet, connected bool) {
	n, err := socket.Peek(c.TCPConn)
	quiet = errors.Is(err, syscall.EAGAIN)
	return quiet, n > 0 || quiet
}

// rejectUnreadable returns the response to a request that could not be read.
func (s *Server) rejectUnreadable(err error) frontend.Response {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		s.countRejection(rejectIncomplete)
		return frontend.RejectMalformed(http.StatusRequestTimeout) // RFC 9110, section 15.5.9
	case errors.Is(err, errNoMemory):
		s.countRejection(rejectNoMemory)
		// The id is not known, so a 503 could wrongly say that a request which was accepted before has no effect.
		return frontend.RejectMalformed(http.StatusRequestHeaderFieldsTooLarge)
	case errors.Is(err, errHeadTooLarge):
		s.countRejection(rejectHeadTooLarge)
		return frontend.RejectMalformed(http.StatusRequestHeaderFieldsTooLarge) // RFC 6585, section 5
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed), errors.Is(err, syscall.ECONNRESET):
		return frontend.Response{} // the client disconnected in the middle of a request: RFC 9112, section 8
	}
	s.countRejection(rejectMalformed)
	return frontend.RejectMalformed(http.StatusBadRequest)
}

// writeContinue writes the interim response for which a client may wait before it sends a body (RFC
// 9110, section 10.1.1). It reports whether the write succeeded.
func (c *conn) writeContinue() bool {
	return c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
}

// writeResponse writes a response without a body, and reports whether it was written.
func (c *conn) writeResponse(response frontend.Response) bool {
	r := http.Response{
		StatusCode: response.Status, ProtoMajor: 1, ProtoMinor: 1, Close: response.Close,
		Header: http.Header{"Date": {time.Now().UTC().Format(http.TimeFormat)}},
	}
	if response.RetryAfter > 0 {
		r.Header.Set("Retry-After", strconv.FormatFloat(response.RetryAfter.Seconds(), 'f', 3, 64))
	}
	var out bytes.Buffer
	if err := r.Write(&out); err != nil {
		return false
	}
	return c.write(out.Bytes())
}

// write writes a message to the client within writeTimeout, and reports whether all of it was
// written. It clears the write deadline afterwards: a deadline left on the connection would have
// passed by the next write.
func (c *conn) write(message []byte) bool {
	if c.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
		return false
	}
	_, err := socket.RetryConn{Conn: c.TCPConn}.Write(message)
	return err == nil && c.SetWriteDeadline(time.Time{}) == nil
}

// discardBuffers holds buffers for input that is discarded.
var discardBuffers = sync.Pool{New: func() any { return new([16 << 10]byte) }}

// discard waits for input and discards it.
func (c *conn) discard() (n int, err error) {
	return c.readWith(func(fd int) (int, error) {
		buffer := discardBuffers.Get().(*[16 << 10]byte) // the pool holds nothing else
		defer discardBuffers.Put(buffer)
		return readSocket(fd, buffer[:])
	})
}

// linger reads and discards input after the last response, so that the response arrives before the
// connection is closed.
func (s *Server) linger(c *conn) {
	if c.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	begun := time.Now()
	for discarded := 0; discarded < maxLingerBytes; {
		n, err := c.discard()
		if err != nil || s.crowded.Load() && time.Since(begun) > crowdedLingerTimeout {
			return
		}
		if discarded += n; discarded > largestRequest {
			time.Sleep(lingerPause)
		}
	}
}
