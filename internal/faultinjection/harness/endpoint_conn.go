package harness

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"frostlink/internal/faultinjection/checker"
)

// responseWriteTimeout bounds the write of a response to a relay that does not read.
const responseWriteTimeout = time.Second

// endpointConn is a relay's connection to an endpoint. Its fields are guarded by the destination's lock.
type endpointConn struct {
	*net.TCPConn
	endpoint    *endpointServer
	relay       int
	overLimit   bool // the connection exceeds the number of connections that the endpoint accepts
	unused      bool // no attempt has arrived on it yet
	closed      bool
	attempt     *attempt      // in flight; nil: none
	attemptDone chan struct{} // capacity 1; receives a value when the attempt in flight ends
	arriving    bool          // a request is on its way through the network
	inTransit   []outgoing    // responses on their way to the relay, the earliest first
	// unreadEnding is the number of the attempt whose response ends the attempts of its request, until the relay has read it; 0: none.
	unreadEnding int
}

func newEndpointConn(e *endpointServer, raw *net.TCPConn, relay int) *endpointConn {
	return &endpointConn{TCPConn: raw, endpoint: e, relay: relay, unused: true, attemptDone: make(chan struct{}, 1)}
}

// setReset makes the next Close reset the connection.
func (c *endpointConn) setReset() { _ = c.SetLinger(0) } // fails only on a closed connection

// reset closes a connection that was not admitted, with a reset.
func (c *endpointConn) reset() {
	c.setReset()
	_ = c.Close()
}

// serve reads attempts until the connection ends. It also reads while an attempt is in flight, because the end of the stream
// cancels that attempt.
func (c *endpointConn) serve() {
	defer c.peerClosed()
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			c.readingEnded(err)
			return
		}
		firstByte := c.endpoint.destination.harness.now()
		if c.busy() {
			<-c.attemptDone // one attempt at a time
		}
		if !c.awaitArrival() {
			return
		}
		if !c.readAttempt(in, firstByte) {
			return
		}
	}
}

// readingEnded handles the end of what the relay sends. A relay that closes a connection in order has read all that was written to it.
func (c *endpointConn) readingEnded(err error) {
	d := c.endpoint.destination
	d.mu.Lock()
	defer d.mu.Unlock()
	if errors.Is(err, io.EOF) && !c.closed {
		c.recordRead()
	}
}

// busy reports whether an attempt is in flight.
func (c *endpointConn) busy() bool {
	c.endpoint.destination.mu.Lock()
	defer c.endpoint.destination.mu.Unlock()
	return c.attempt != nil
}

// interrupt resets the connection, which ends the attempt on it; the lock is held.
func (c *endpointConn) interrupt() {
	if c.attempt != nil {
		c.attempt.end(checker.Event{Outcome: checker.Interrupted})
	}
	c.setReset()
	c.close()
}

// peerClosed cancels the attempt in flight, if any, and closes the connection after its relay has closed it.
func (c *endpointConn) peerClosed() {
	d := c.endpoint.destination
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.closed {
		return
	}
	if a := c.attempt; a != nil {
		a.end(checker.Event{Outcome: checker.Abandoned})
		d.applyActions(d.model.Cancel(d.now(), a.model))
	}
	c.close()
}

// close closes the connection; the lock is held.
func (c *endpointConn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.deliverAll()
	_ = c.Close()
	c.signalDone()
	delete(c.endpoint.conns, c)
	c.endpoint.destination.model.Disconnect(c.endpoint.index)
}

// signalDone lets the reader go on to the next attempt.
func (c *endpointConn) signalDone() {
	select {
	case c.attemptDone <- struct{}{}:
	default:
	}
}

// clearDone discards the signal of an earlier attempt that the reader did not wait for.
func (c *endpointConn) clearDone() {
	select {
	case <-c.attemptDone:
	default:
	}
}

// respond writes a response, and reports whether the connection stays open.
func (c *endpointConn) respond(r response) bool {
	closing := ""
	if c.overLimit {
		closing = "Connection: close\r\n"
	}
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s%sContent-Length: 0\r\n\r\n", r.status, http.StatusText(r.status), r.headers, closing)
	if c.sendResponse(outgoing{text, r.endingAttempt}) != nil || c.overLimit {
		return false
	}
	c.followResponse(text)
	return true
}

// write writes to the relay at once.
func (c *endpointConn) write(text string) error {
	_ = c.SetWriteDeadline(time.Now().Add(responseWriteTimeout)) // fails only on a closed connection, as the write does
	if _, err := io.WriteString(c.TCPConn, text); err != nil {
		return fmt.Errorf("write to relay %d: %w", c.relay+1, err)
	}
	return nil
}
