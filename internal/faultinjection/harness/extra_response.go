package harness

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"frostlink/internal/faultinjection/scenario"
)

// ExtraResponses counts what was written to relays although nobody asked for it.
type ExtraResponses struct {
	Written int `json:"written"`
	// Crossed are those that were written while a request to the same connection was on its way, and Busy those that were written
	// while the endpoint had a request in hand.
	Crossed int `json:"crossed"`
	Busy    int `json:"busy"`
}

// extraResponses decides which responses are followed by another one that nobody asked for, while such a fault is active.
type extraResponses struct {
	streams scenario.RandomStreams

	mu     sync.Mutex                 // guards everything below
	active map[string]*scenario.Fault // by extraKind
	random *rand.Rand
	total  ExtraResponses
}

func newExtraResponses(streams scenario.RandomStreams) *extraResponses {
	return &extraResponses{streams: streams, active: map[string]*scenario.Fault{}, random: streams.Stream("extra")}
}

// extraSource returns who writes the responses of a fault.
func extraSource(f *scenario.Fault) string {
	if f.ExtraSource == "" {
		return scenario.SourceDestinations
	}
	return f.ExtraSource
}

// extraKind returns who writes the responses of a fault, or that they are early rejections. At most one fault of a kind is active.
func extraKind(f *scenario.Fault) string {
	if f.ExtraForm == scenario.ExtraEarly {
		return scenario.ExtraEarly
	}
	return extraSource(f)
}

func (x *extraResponses) begin(f *scenario.Fault) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.active[extraKind(f)] = f
}

func (x *extraResponses) end(f *scenario.Fault) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.active[extraKind(f)] == f {
		delete(x.active, extraKind(f))
	}
}

// draw decides whether a fault of a kind concerns a response: whether another one follows it, or whether it is an early rejection. If
// so, it returns the fault and its delay.
func (x *extraResponses) draw(kind, destination string) (f *scenario.Fault, delay time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	f = x.active[kind]
	if f == nil || f.Destination != "" && f.Destination != destination || x.random.Float64() >= f.Share {
		return nil, 0
	}
	return f, scenario.Milliseconds(f.Delay.Draw(x.random))
}

// count counts a response that nobody asked for.
func (x *extraResponses) count(crossed, busy bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.total.Written++
	if crossed {
		x.total.Crossed++
	}
	if busy {
		x.total.Busy++
	}
}

// counts returns the counts so far, or nil if they are all 0.
func (x *extraResponses) counts() *ExtraResponses {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.total == (ExtraResponses{}) {
		return nil
	}
	total := x.total
	return &total
}

// extraText returns what follows a response that consists of text.
func extraText(form, text string) string {
	switch form {
	case scenario.ExtraHalf:
		return text[:len(text)/2]
	case scenario.ExtraRefusal:
		return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	case scenario.ExtraTimeout:
		return "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	case scenario.ExtraInterim:
		return "HTTP/1.1 103 Early Hints\r\n\r\n"
	case scenario.ExtraNoise:
		return "\x16\x03\x01 no response\r\n"
	}
	return text
}

// rejectEarly writes a rejection of a request that has begun to arrive, if such a fault is active, and reports whether it did.
func (c *endpointConn) rejectEarly() bool {
	d := c.endpoint.destination
	fault, _ := d.harness.extra.draw(scenario.ExtraEarly, d.name())
	if fault == nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.closed || c.send(extraText(scenario.ExtraRefusal, "")) != nil {
		return false
	}
	d.harness.extra.count(false, false)
	return true
}

// followResponse schedules what follows the response that was last written on a connection, if anything does. The lock of the
// destination is held.
func (c *endpointConn) followResponse(text string) {
	d := c.endpoint.destination
	fault, delay := d.harness.extra.draw(scenario.SourceDestinations, d.name())
	if fault == nil {
		return
	}
	time.AfterFunc(delay, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		busy := c.attempt != nil
		if c.closed || busy && !fault.WhileBusy {
			return
		}
		if c.send(extraText(fault.ExtraForm, text)) == nil {
			d.harness.extra.count(c.arriving, busy)
		}
	})
}

// scheduleExtraResponses schedules a fault in which a share of responses is followed by one that nobody asked for.
func scheduleExtraResponses(h *harness, f *scheduledFault) []scheduledAction {
	description := fmt.Sprintf("%s after responses of %s", f.ExtraForm, cmp.Or(f.Destination, extraSource(f.Fault)))
	if f.ExtraForm == scenario.ExtraEarly {
		description = "early rejections by " + cmp.Or(f.Destination, "destinations")
	}
	return f.beginAndEnd(description, func() { h.extra.begin(f.Fault) }, func() { h.extra.end(f.Fault) })
}
