package simulation

import (
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/policy"
)

// endpointState is the state of an endpoint in the endpoint list, as the checker names it.
type endpointState string

const (
	serving  endpointState = checker.Serving
	draining endpointState = checker.Draining
	deleted  endpointState = checker.Deleted
)

// Discovery has the parameters of the discovery service. The service serves polls one after another, even those that their relays
// no longer wait for.
type Discovery struct {
	ServiceTime  time.Duration // of one poll
	Timeout      time.Duration // after which a relay gives up a poll
	MaxQueueTime time.Duration // a poll that would take longer is rejected
	PublishDelay time.Duration // from a change of the endpoint list to its watch event
}

// endpointChange is one change of the endpoint list.
type endpointChange struct {
	endpoint *endpoint
	state    endpointState
}

// discoveryService is the discovery service of a fleet. Version n of its endpoint list is the result of the first n changes.
type discoveryService struct {
	fleet *fleet
	Discovery
	changes   []endpointChange
	busyUntil time.Duration
	downUntil time.Duration
	watchers  map[*relay]int // relays with a watch, and the incarnation of the process that opened it
}

// publish changes the endpoint list. Watchers are notified after PublishDelay, except of the list with which a day begins, which all
// relays have from the start.
func (s *discoveryService) publish(e *endpoint, state endpointState) {
	s.changes = append(s.changes, endpointChange{e, state})
	if s.fleet.now == 0 {
		return
	}
	version := len(s.changes)
	s.fleet.after(s.PublishDelay, func() {
		s.fleet.record(checker.Event{Kind: checker.EndpointShown, Endpoint: e.id, Destination: e.destination.number, State: string(state)})
		for _, r := range s.fleet.relays { // in a fixed order
			if incarnation, ok := s.watchers[r]; ok {
				s.notify(r, incarnation, version)
			}
		}
	})
}

// notify sends a relay the endpoint list up to a version. A notification that is in flight when the process ends is lost, and not
// recorded.
func (s *discoveryService) notify(r *relay, incarnation, version int) {
	writtenAt := s.fleet.now
	s.fleet.after(s.fleet.oneWay(), func() {
		if !r.runs(incarnation) {
			return
		}
		for _, c := range s.changes[min(r.listVersion, version):version] {
			s.fleet.log = append(s.fleet.log, checker.Event{
				At: writtenAt, Kind: checker.EndpointNotified, Relay: r.number, Endpoint: c.endpoint.id,
				Destination: c.endpoint.destination.number, State: string(c.state),
			})
		}
		r.receiveChanges(s.changes[:version])
	})
}

// poll handles a relay's request for a watch.
func (s *discoveryService) poll(r *relay) {
	f := s.fleet
	p := &discoveryPoll{service: s, relay: r, incarnation: r.incarnation, begun: f.now}
	f.result.countPoll(f.now)
	s.busyUntil = max(s.busyUntil, f.now)
	if f.now < s.downUntil || s.busyUntil+s.ServiceTime-f.now > s.MaxQueueTime {
		f.after(2*f.oneWay(), p.fail)
		return
	}
	s.busyUntil += s.ServiceTime
	if s.busyUntil-f.now > s.Timeout {
		f.after(s.Timeout, p.fail)
		return
	}
	f.at(s.busyUntil, p.answer)
}

// discoveryPoll is a relay's request for a watch.
type discoveryPoll struct {
	service     *discoveryService
	relay       *relay
	incarnation int
	begun       time.Duration
}

func (p *discoveryPoll) fail() {
	f := p.service.fleet
	if p.relay.runs(p.incarnation) {
		f.result.FailedPolls++
		f.record(checker.Event{Kind: checker.WatchRequested, Relay: p.relay.number})
		p.relay.watchEnded(f.now - p.begun)
	}
}

func (p *discoveryPoll) answer() {
	s, f := p.service, p.service.fleet
	switch {
	case !p.relay.runs(p.incarnation):
	case f.now < s.downUntil:
		p.fail()
	default:
		s.watchers[p.relay] = p.incarnation
		f.record(checker.Event{Kind: checker.WatchRequested, Relay: p.relay.number, OK: true})
		s.notify(p.relay, p.incarnation, len(s.changes))
	}
}

// fail makes discovery unavailable for a time. All watches end.
func (s *discoveryService) fail(duration time.Duration) {
	f := s.fleet
	s.downUntil, s.busyUntil = f.now+duration, f.now+duration
	f.record(checker.Event{Kind: checker.DiscoveryDown})
	f.after(duration, func() { f.record(checker.Event{Kind: checker.DiscoveryUp}) })
	for _, r := range f.relays {
		incarnation, watches := s.watchers[r]
		if !watches {
			continue
		}
		delete(s.watchers, r)
		f.record(checker.Event{Kind: checker.WatchEnded, Relay: r.number})
		f.after(f.oneWay(), func() {
			if r.runs(incarnation) {
				r.watchEnded(time.Minute) // a watch of this length resets the backoff of the relay's polls
			}
		})
	}
}

// list returns changes as an event for the decision module, with the last change of each endpoint only. full marks the changes as
// the complete endpoint list.
func (s *discoveryService) list(changes []endpointChange, full bool) policy.EndpointsChanged {
	list := policy.EndpointsChanged{Full: full}
	index := map[string]int{}
	for _, c := range changes {
		e := policy.Endpoint{
			ID: c.endpoint.id, Destination: c.endpoint.destination.number, Weight: c.endpoint.destination.limit,
			Draining: c.state == draining, Removed: c.state == deleted,
		}
		if i, ok := index[e.ID]; ok {
			list.Endpoints[i] = e
			continue
		}
		index[e.ID] = len(list.Endpoints)
		list.Endpoints = append(list.Endpoints, e)
	}
	return list
}
