package harness

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/destination"
)

const (
	// keyExpiryInterval is the time between removals of a destination's expired idempotency keys.
	keyExpiryInterval = time.Second
	// timerHorizon is the longest time for which the timer is set. The timer for an action that is due later is set after
	// some later event.
	timerHorizon = time.Hour
	// stateOverloaded is the kind of outage, in the field State of its event, that an overload of the destination caused.
	stateOverloaded = "fell"
)

// destinationServer serves a destination on sockets: the model makes the decisions, and the endpoints carry them out.
type destinationServer struct {
	harness *harness
	number  int // index in the scenario

	// mu guards everything below, and the endpoints with their connections, so that the model's decisions and the traffic
	// on the sockets have the same order.
	mu            sync.Mutex
	model         *destination.Model
	endpoints     []*endpointServer
	pending       map[*destination.Attempt]*attempt // attempts that await a response
	timer         *time.Timer                       // nil: the run has not begun
	keysExpiredAt time.Duration
	outage        *destination.Mode // a scheduled outage of the whole destination; nil: none
	closed        bool
}

func newDestinationServer(h *harness, number int) *destinationServer {
	return &destinationServer{
		harness: h, number: number, model: destination.New(h.scenario, number, h.random),
		pending: map[*destination.Attempt]*attempt{},
	}
}

// name returns the destination's name in the scenario.
func (d *destinationServer) name() string { return d.harness.scenario.Destinations[d.number].Name }

// now returns the model's time, which is 0 until the run begins.
func (d *destinationServer) now() time.Duration {
	if d.timer == nil {
		return 0
	}
	return d.harness.now()
}

// start starts the model's time.
func (d *destinationServer) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer = time.AfterFunc(0, d.advance)
}

// advance carries out the model's actions that are due.
func (d *destinationServer) advance() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	now := d.now()
	if now-d.keysExpiredAt > keyExpiryInterval {
		d.model.ExpireKeys(now)
		d.keysExpiredAt = now
	}
	d.applyActions(d.model.Advance(now))
}

// applyActions carries out the model's actions and sets the timer for the next one; the lock is held.
func (d *destinationServer) applyActions(actions []destination.Action) {
	recorded := false
	for _, a := range actions {
		if a.ModeChange == nil {
			d.complete(a.Completion)
			continue
		}
		if !recorded { // all endpoints of a destination change their mode together: one event is recorded for all
			d.recordModeChange(a.ModeChange.Mode)
			recorded = true
		}
		d.applyModeChange(a.ModeChange)
	}
	if d.timer == nil {
		return
	}
	if wait := d.model.NextDue() - d.now(); wait < timerHorizon {
		d.timer.Reset(wait)
	}
}

// complete ends an attempt with the outcome that the model decided on, and responds if its relay still waits.
func (d *destinationServer) complete(c *destination.Completion) {
	if !c.Attempt.Probe {
		d.harness.recordTiming(c.At)
	}
	a := d.pending[c.Attempt]
	if c.Executed {
		d.harness.record(checker.Event{Kind: checker.Executed, ID: c.Attempt.ID, Destination: d.number})
	}
	if a == nil {
		return // the relay that made the attempt no longer waits for the response
	}
	resp, ended := responseTo(c)
	if resp.status == http.StatusOK {
		resp.endingAttempt = a.number
	}
	a.end(ended)
	switch {
	case c.Outcome == destination.OutcomeReset:
		a.conn.setReset()
		a.conn.close()
	case !a.conn.respond(resp):
		a.conn.close()
	}
}

// response is the variable part of an endpoint's response.
type response struct {
	status        int
	headers       string // complete lines
	endingAttempt int    // as in outgoing
}

// responseTo returns the response for a completion, and the event that records it.
func responseTo(c *destination.Completion) (response, checker.Event) {
	resp, ended := response{status: http.StatusOK}, checker.Event{Outcome: checker.OK, Executed: c.Executed}
	if c.LoadReport != nil {
		resp.headers = fmt.Sprintf("Server-Load: x0=%.3f,x1=%.3f\r\n", c.LoadReport.Left, c.LoadReport.Limit)
	}
	switch c.Outcome {
	case destination.OutcomeDelivered:
	case destination.OutcomeError:
		resp.status, ended.Outcome = http.StatusInternalServerError, checker.Error
	case destination.OutcomeUnavailable:
		resp.status, ended.Outcome = http.StatusServiceUnavailable, checker.Rejected
	case destination.OutcomeRetryAfter:
		// Rounded up, since the wait must not end before there is capacity.
		ms := (c.RetryAfter + time.Millisecond - 1) / time.Millisecond
		resp.status, ended.Outcome, ended.Duration = http.StatusTooManyRequests, checker.RetryAfter, ms*time.Millisecond
		resp.headers += "X-Retry-In-Ms: " + strconv.Itoa(int(ms)) + "\r\n"
	case destination.OutcomeReset:
		ended.Outcome = checker.Reset // no response is sent
	}
	return resp, ended
}

// recordModeChange records an overload outage that the model began or ended by itself.
func (d *destinationServer) recordModeChange(mode destination.Mode) {
	if mode == destination.ModeRefusing {
		d.harness.record(checker.Event{Kind: checker.OutageBegan, Destination: d.number, State: stateOverloaded})
		return
	}
	d.harness.record(checker.Event{Kind: checker.OutageEnded, Destination: d.number, OK: true})
}

// applyModeChange applies a change of the model's mode to the sockets.
func (d *destinationServer) applyModeChange(c *destination.ModeChange) {
	for _, e := range d.endpoints {
		if e.index == c.Endpoint {
			e.setMode(c.Mode)
		}
	}
}

// close closes all endpoints and connections.
func (d *destinationServer) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	if d.timer != nil {
		d.timer.Stop()
	}
	for _, e := range d.endpoints {
		e.removed = true
		e.closeListeners()
		e.closeBlockers()
		for c := range e.conns {
			c.close()
		}
	}
}
