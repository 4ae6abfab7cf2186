package harness

import (
	"time"

	"golang.org/x/sys/unix"

	"frostlink/internal/faultinjection/scenario"
)

// transit returns the time that the network takes to and from an endpoint, in each direction. While a fault is active, it does not
// change.
func (x *extraResponses) transit(endpoint, destination string) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	f := x.active[scenario.SourceDestinations]
	if f == nil || f.Destination != "" && f.Destination != destination {
		return 0
	}
	return scenario.Milliseconds(f.Transit.Draw(x.streams.Stream("transit-" + endpoint)))
}

// send writes to the relay after the time that the network takes. The lock of the destination is held.
func (c *endpointConn) send(text string) error { return c.sendResponse(outgoing{text: text}) }

// sendResponse writes a response to the relay after the time that the network takes. The lock of the destination is held.
func (c *endpointConn) sendResponse(o outgoing) error {
	transit := c.transit()
	if transit == 0 && len(c.inTransit) == 0 {
		return c.writeResponse(o)
	}
	c.inTransit = append(c.inTransit, o)
	time.AfterFunc(transit, func() {
		c.endpoint.destination.mu.Lock()
		defer c.endpoint.destination.mu.Unlock()
		if !c.closed {
			_ = c.deliverNext() // the relay has closed the connection, which its reader notices
		}
	})
	return nil
}

// deliverNext writes what has been in transit to the relay for the longest time.
func (c *endpointConn) deliverNext() error {
	if len(c.inTransit) == 0 {
		return nil
	}
	next := c.inTransit[0]
	c.inTransit = c.inTransit[1:]
	return c.writeResponse(next)
}

// deliverAll writes all that is in transit to the relay: what was written before a close arrives.
func (c *endpointConn) deliverAll() {
	for len(c.inTransit) > 0 {
		if c.deliverNext() != nil {
			return // the relay has closed the connection
		}
	}
}

// transit returns the time that the network takes to and from the endpoint.
func (c *endpointConn) transit() time.Duration {
	d := c.endpoint.destination
	return d.harness.extra.transit(c.endpoint.id, d.name())
}

// awaitArrival waits until a request whose first byte the relay has written has arrived at the endpoint. It reports whether the
// connection is still open then: a relay that closes it meanwhile gives the request up, and may already send it elsewhere.
func (c *endpointConn) awaitArrival() (open bool) {
	transit := c.transit()
	if transit == 0 {
		return true
	}
	c.setArriving(true)
	time.Sleep(transit)
	c.setArriving(false)
	return !c.closedByPeer()
}

// closedByPeer reports whether the relay has closed the connection, also if bytes before the end are unread.
func (c *endpointConn) closedByPeer() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	var info *unix.TCPInfo
	controlErr := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return controlErr != nil || err != nil || info.State != unix.BPF_TCP_ESTABLISHED
}

func (c *endpointConn) setArriving(arriving bool) {
	c.endpoint.destination.mu.Lock()
	defer c.endpoint.destination.mu.Unlock()
	c.arriving = arriving
}
