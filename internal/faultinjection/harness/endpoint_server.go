package harness

import (
	"errors"
	"fmt"
	"io"
	"net"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/destination"
)

// endpointServer is one endpoint of a destination. Its fields are guarded by the destination's lock.
type endpointServer struct {
	destination *destinationServer
	id          string
	index       int      // in the model
	addrs       []string // by relay: the address identifies the relay that connects
	mode        destination.Mode
	removed     bool
	listeners   []net.Listener
	blockers    []io.Closer // in place of the listeners while the endpoint is unreachable
	conns       map[*endpointConn]bool
}

// endpointID returns the id of an endpoint, which is random so that relays can't derive anything from it.
func (d *destinationServer) endpointID(index int) string {
	return fmt.Sprintf("s-%08x", d.harness.random.Stream("host", d.number, index).Uint32())
}

// newEndpoint starts an endpoint at addrs, the addresses of a removed endpoint, or at new addresses if addrs is nil.
func (d *destinationServer) newEndpoint(index int, addrs []string) (*endpointServer, error) {
	e := &endpointServer{destination: d, id: d.endpointID(index), index: index, conns: map[*endpointConn]bool{}, addrs: addrs}
	if addrs == nil {
		for range d.harness.scenario.Relays {
			addr, err := d.harness.loopback.Address()
			if err != nil {
				return nil, err
			}
			e.addrs = append(e.addrs, addr)
		}
	}
	if err := e.listen(); err != nil {
		e.closeListeners()
		return nil, err
	}
	return e, nil
}

// addEndpoint adds an endpoint during the run.
func (d *destinationServer) addEndpoint(addrs []string) (*endpointServer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	pauses := d.harness.random.Stream("pause", d.number, len(d.endpoints))
	index, actions := d.model.AddEndpoint(d.now(), pauses)
	d.applyActions(actions)
	e, err := d.newEndpoint(index, addrs)
	if err != nil {
		return nil, err
	}
	d.endpoints = append(d.endpoints, e)
	if d.outage != nil { // an outage of the whole destination affects new endpoints too
		d.applyActions(d.model.Fail(d.now(), index, *d.outage, 1))
		e.setMode(*d.outage)
	}
	return e, nil
}

// listen opens the listeners at the endpoint's addresses.
func (e *endpointServer) listen() error {
	for relay, addr := range e.addrs {
		ln, err := rebind(func() (net.Listener, error) { return net.Listen("tcp", addr) })
		if err != nil {
			return fmt.Errorf("endpoint %s: %w", e.id, err)
		}
		e.listeners = append(e.listeners, ln)
		e.destination.harness.background.Go(func() { e.accept(ln, relay) })
	}
	return nil
}

// accept accepts a relay's connections until the listener is closed.
func (e *endpointServer) accept(ln net.Listener, relay int) {
	h := e.destination.harness
	for {
		raw, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			h.recordFailure("endpoint %s: accept: %v", e.id, err)
			return
		}
		c := newEndpointConn(e, raw.(*net.TCPConn), relay)
		if !e.admit(c) {
			c.reset()
			continue
		}
		h.record(checker.Event{Kind: checker.Connected, Relay: relay, Destination: e.destination.number, Endpoint: e.id})
		h.background.Go(c.serve)
	}
}

// admit counts a new connection, and reports whether the endpoint accepts connections in its present mode.
func (e *endpointServer) admit(c *endpointConn) bool {
	e.destination.mu.Lock()
	defer e.destination.mu.Unlock()
	if e.removed || e.mode == destination.ModeRefusing || e.mode == destination.ModeUnreachable {
		return false // the kernel accepted the connection before the listener was closed
	}
	c.overLimit = e.destination.model.Connect(e.index)
	e.conns[c] = true
	return true
}

// setMode makes the sockets behave as a mode requires; the lock is held.
func (e *endpointServer) setMode(mode destination.Mode) {
	previous := e.mode
	e.mode = mode
	if e.removed || previous == mode {
		return
	}
	if previous >= destination.ModeRefusing && mode < destination.ModeRefusing {
		e.restore()
		return
	}
	switch mode {
	case destination.ModeRefusing:
		e.closeListeners()
		e.resetConns()
	case destination.ModeUnresponsive:
		e.dropPending()
	case destination.ModeUnreachable:
		e.dropPending()
		e.closeListeners()
		e.blockAddresses()
	case destination.ModeServing, destination.ModeOverloaded, destination.ModeFailing:
		// In these modes the model decides on the responses, and the sockets stay as they are.
	}
}

// restore makes the endpoint respond again after an outage, and resets the connections from before the outage.
func (e *endpointServer) restore() {
	e.resetConns()
	e.closeBlockers()
	if len(e.listeners) > 0 {
		return
	}
	if err := e.listen(); err != nil {
		e.destination.harness.recordFailure("%v", err)
	}
}

func (e *endpointServer) closeListeners() {
	for _, ln := range e.listeners {
		_ = ln.Close()
	}
	e.listeners = nil
}

// resetConns resets all connections, which ends the attempts on them.
func (e *endpointServer) resetConns() {
	for c := range e.conns {
		c.interrupt()
	}
}

// dropPending leaves the attempts in flight without a response. They end when their relay cancels them, or when their
// connections are reset after the outage.
func (e *endpointServer) dropPending() {
	for c := range e.conns {
		if c.attempt != nil {
			delete(e.destination.pending, c.attempt.model)
		}
	}
}

// remove removes the endpoint for good; the lock is held.
func (e *endpointServer) remove() {
	e.removed = true
	e.closeListeners()
	e.closeBlockers()
	e.resetConns()
	d := e.destination
	d.applyActions(d.model.RemoveEndpoint(d.now(), e.index))
}
