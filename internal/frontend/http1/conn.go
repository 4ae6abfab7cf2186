package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"frostlink/internal/frontend"
	"frostlink/internal/socket"
)

const (
	// writeTimeout bounds the writing of a response: clients read at full speed.
	writeTimeout = time.Second
	// lingerTimeout and maxLingerBytes bound what is read after a last response, so that it
	// arrives: a close with unread bytes is a reset, which may overtake the response (RFC 9112,
	// section 9.6).
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 1 << 20
)

// connState is where a client's connection stands. The first five are in the order in which
// connections are evicted. The transitions, and what causes them:
//
//	new              → reading          the first byte of a request came
//	idle             → reading          the same
//	reading          → awaitingResponse the request was read to its end
//	reading          → idle | lingering it was answered without a submission, as a health check or a malformed request
//	awaitingResponse → idle | lingering it was answered
//	new, idle, reading → detached       the server is quiesced
//	any              → closed           lingering is over, or one of the other CloseReasons
type connState int

const (
	// connLingering: its last response was written, and is to arrive.
	connLingering connState = iota
	// connIdle: it is between two requests.
	connIdle
	// connNew: nothing has come on it yet.
	connNew
	// connReading: a request has begun.
	connReading
	// connAwaitingResponse: a request was read and is to be answered. Such a connection is never
	// evicted.
	connAwaitingResponse
	// connDetached: it belongs to a successor process or to Resume, and no longer to the server's
	// connections.
	connDetached
	// connClosed is the end.
	connClosed

	connStates = iota // their number
)

// conn is a connection from a client.
type conn struct {
	*net.TCPConn
	received *recorder         // what was read of the request, from the connection
	limit    *io.LimitedReader // what may still be read of the request, from received
	in       *bufio.Reader     // reads from limit

	// Guarded by the server's lock.
	state       connState
	since       time.Time // in the state
	interrupted bool      // its reading was ended by Quiesce, and by no timeout of its own
}

// newConn returns a connection of which some bytes were read before.
func newConn(raw *net.TCPConn, read []byte) *conn {
	patient := socket.RetryConn{Conn: raw}
	received := &recorder{from: patient}
	if len(read) > 0 {
		received.from = io.MultiReader(bytes.NewReader(read), patient)
	}
	limit := &io.LimitedReader{R: received}
	return &conn{TCPConn: raw, received: received, limit: limit, in: bufio.NewReader(limit), since: time.Now()}
}

// isGone reports whether the connection no longer belongs to the server. The server's lock is held.
func (c *conn) isGone() bool { return c.state == connDetached || c.state == connClosed }

// hasUnread reports whether something has come that was not read from the socket.
func (c *conn) hasUnread() bool {
	n, err := socket.Peek(c.TCPConn)
	return err == nil && n > 0
}

// quiet reports whether the client waits and has sent nothing more, and whether it is still
// connected at all.
func (c *conn) quiet() (quiet, there bool) {
	n, err := socket.Peek(c.TCPConn)
	quiet = errors.Is(err, syscall.EAGAIN)
	return quiet, n > 0 || quiet
}

// rejectUnreadable returns the response to a request that could not be read.
func (c *conn) rejectUnreadable(err error) frontend.Response {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return frontend.RejectMalformed(http.StatusRequestTimeout) // RFC 9110, section 15.5.9
	case c.limit.N <= 0:
		return frontend.RejectMalformed(http.StatusRequestHeaderFieldsTooLarge) // RFC 6585, section 5
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed),
		errors.Is(err, syscall.ECONNRESET):
		return frontend.Response{} // the client left in the middle of a request: RFC 9112, section 8
	}
	return frontend.RejectMalformed(http.StatusBadRequest)
}

// writeContinue writes the interim response that a client may await before it sends a body (RFC
// 9110, section 10.1.1). It reports whether it was written.
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
// written. Its deadline goes with it: one that is left would have passed when the next write comes
// on the connection.
func (c *conn) write(message []byte) bool {
	if c.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
		return false
	}
	_, err := socket.RetryConn{Conn: c.TCPConn}.Write(message)
	return err == nil && c.SetWriteDeadline(time.Time{}) == nil
}

// linger lets a last response arrive before the connection is closed.
func (c *conn) linger() {
	if c.CloseWrite() == nil && c.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		_, _ = io.CopyN(io.Discard, c.TCPConn, maxLingerBytes)
	}
}
