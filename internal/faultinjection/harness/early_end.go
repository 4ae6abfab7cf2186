package harness

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/scenario"
)

// readTime is the longest time that a relay takes to read a response that has been written to it.
const readTime = 50 * time.Millisecond

// earlyEnds decides which messages are over at their first attempt, while such a fault is active.
type earlyEnds struct {
	mu     sync.Mutex // guards everything below
	active *scenario.Fault
	random *rand.Rand
	total  int
}

func newEarlyEnds(streams scenario.RandomStreams) *earlyEnds {
	return &earlyEnds{random: streams.Stream("early ends")}
}

func (e *earlyEnds) set(f *scenario.Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active = f
}

// draw decides whether a message, whose first attempt came on a connection that was used before, is over. If so, it returns the status that says so, and the time from that response to
// the reset of its connection.
func (e *earlyEnds) draw(destination string) (status int, resetAfter time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.active
	if f == nil || f.Destination != "" && f.Destination != destination || e.random.Float64() >= f.Share {
		return 0, 0
	}
	e.total++
	if status = f.Status; status == 0 {
		status = http.StatusGone
	}
	return status, scenario.Milliseconds(f.Delay.Draw(e.random))
}

// count returns how many messages were over.
func (e *earlyEnds) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.total
}

// endEarly answers an attempt whose message is over, if a fault draws that, and reports whether it did. The response takes no time on the
// network, so that it comes sooner than any other. The lock of the destination is held.
func (c *endpointConn) endEarly(a *attempt, previous int) (answered bool) {
	d := c.endpoint.destination
	if previous > 0 || a.model.NewConnection || len(c.inTransit) > 0 {
		return false // the first response on a connection is its request's own for certain
	}
	status, resetAfter := d.harness.earlyEnds.draw(d.name())
	if status == 0 {
		return false
	}
	d.harness.ledger.endEarly(a.submission, status)
	a.end(checker.Event{Outcome: checker.NotSent, Status: status})
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
	if c.writeResponse(outgoing{text, a.number}) != nil {
		return true
	}
	time.AfterFunc(resetAfter, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if !c.closed {
			c.interrupt()
		}
	})
	return true
}

// outgoing is what an endpoint writes to a relay.
type outgoing struct {
	text string
	// endingAttempt is the number of the attempt whose response this is, if it ends the attempts of its request; 0 otherwise.
	endingAttempt int
}

// writeResponse writes to the relay at once. A response that ends the attempts of its request counts as read if the relay keeps the
// connection open for readTime, or closes it in order before. The lock of the destination is held.
func (c *endpointConn) writeResponse(o outgoing) error {
	abandoned := o.endingAttempt != 0 && c.closedByPeer()
	if err := c.write(o.text); err != nil || o.endingAttempt == 0 || abandoned {
		return err
	}
	c.unreadEnding = o.endingAttempt
	time.AfterFunc(readTime, func() {
		c.endpoint.destination.mu.Lock()
		defer c.endpoint.destination.mu.Unlock()
		if !c.closed && !c.closedByPeer() && c.unreadEnding == o.endingAttempt {
			c.recordRead()
		}
	})
	return nil
}

// recordRead records that the relay has read the last response that ends the attempts of its request. The lock of the destination is held.
func (c *endpointConn) recordRead() {
	if c.unreadEnding == 0 {
		return
	}
	c.endpoint.destination.harness.record(checker.Event{Kind: checker.ResponseRead, Relay: c.relay, Attempt: c.unreadEnding})
	c.unreadEnding = 0
}

// scheduleEarlyEnds schedules a fault in which a share of messages is over at their first attempt.
func scheduleEarlyEnds(h *harness, f *scheduledFault) []scheduledAction {
	return f.beginAndEnd("early ends of messages", func() { h.earlyEnds.set(f.Fault) }, func() { h.earlyEnds.set(nil) })
}
