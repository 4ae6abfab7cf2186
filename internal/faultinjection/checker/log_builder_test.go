package checker

import (
	"fmt"
	"time"

	"frostlink/internal/settings"
)

// Units of time.
const (
	ms  = time.Millisecond
	sec = time.Second
)

// The classes of the tests.
const (
	status  = iota // idempotent
	payment        // idempotent by key, with a key TTL of 5 s
	order          // not idempotent
	ordered        // idempotent, delivered in order
)

// timeToLive is the time from the submission of a request to its deadline.
const timeToLive = 10 * sec

// testParameters returns parameters with these classes, two relays and two destinations.
func testParameters() Parameters {
	class := func(name, idempotency string) settings.Class {
		return settings.Class{Name: name, Idempotency: idempotency, LatencyObjectiveS: 2, DeadlineS: 10, LateFraction: 0.5, PriorityWeight: 1, KeyTTLS: 5}
	}
	s := settings.Settings{Instances: 2, Classes: []settings.Class{
		class("status", idempotent), class("payment", idempotentByKey),
		class("order", notIdempotent), class("ordered", idempotent),
	}}
	s.Classes[ordered].Ordered = true
	s.Rules = settings.Rules{
		AnswerSlackS: 0.3, PollWithinS: 10, ColdCapacity: 0.2, DrainGraceS: 1, OverloadFactor: 2.5,
		OverloadWindowS: 1.5, SlowStartTimeS: 10, OrderKeyCooldownS: 0.5,
	}
	s.Limits.ConnectTimeoutS = 1
	return Parameters{Settings: s, NotifyWithin: 6 * time.Second, Destinations: []Destination{
		{Name: "bank", Capacity: 20, ColdCapacity: 0.2, SlowStartTime: 10 * time.Second}, {Name: "dealer", Capacity: 20, ColdCapacity: 0.2},
	}}
}

// logBuilder builds a log. Unless a method states otherwise, its events concern relay 0 and destination 0.
type logBuilder struct {
	log      []Event
	attempts int
}

// newLogBuilder returns the builder of a log in which relay 0 is ready from the start.
func newLogBuilder() *logBuilder { return &logBuilder{log: []Event{{Kind: Ready}}} }

// add adds an event.
func (l *logBuilder) add(e Event) { l.log = append(l.log, e) }

// submit adds a request that is submitted and accepted. All requests have the same order key.
func (l *logBuilder) submit(at time.Duration, id string, class int) {
	l.add(Event{At: at, Kind: Submitted, ID: id, Class: class, Duration: timeToLive, OrderKey: "k"})
	l.add(Event{At: at + 5*ms, Kind: Answered, ID: id, Status: 202})
}

// submitTo adds a request of class status for a destination, which is submitted and accepted.
func (l *logBuilder) submitTo(at time.Duration, id string, destination int) {
	l.add(Event{At: at, Kind: Submitted, ID: id, Destination: destination, Duration: timeToLive})
	l.add(Event{At: at + 5*ms, Kind: Answered, ID: id, Status: 202})
}

// attempt adds an attempt that ends with an outcome after the time took. With an empty outcome the attempt never ends.
func (l *logBuilder) attempt(at time.Duration, id, endpoint, outcome string, took time.Duration, changes ...func(sent, ended *Event)) {
	l.attempts++
	sent := Event{At: at, FirstByte: at - ms, Kind: AttemptSent, ID: id, Endpoint: endpoint, Attempt: l.attempts}
	ended := Event{At: at + took, Kind: AttemptEnded, ID: id, Attempt: l.attempts, Outcome: outcome}
	for _, change := range changes {
		change(&sent, &ended)
	}
	l.add(sent)
	if outcome != "" {
		l.add(ended)
	}
}

// toDestination returns a change that makes an attempt go to a destination.
func toDestination(destination int) func(sent, ended *Event) {
	return func(sent, _ *Event) { sent.Destination = destination }
}

// retryAfter returns a change that sets the Retry-After of the response to an attempt.
func retryAfter(d time.Duration) func(sent, ended *Event) {
	return func(_, ended *Event) { ended.Duration = d }
}

// notify adds a notice that the platform receives.
func (l *logBuilder) notify(at time.Duration, id, state string) {
	l.add(Event{At: at, Kind: Notified, ID: id, State: state})
}

// execute adds several executions of a request by its destination.
func (l *logBuilder) execute(times int, id string) {
	for i := range times {
		l.add(Event{At: 9*sec + time.Duration(i), Kind: Executed, ID: id})
	}
}

// submitAndFail adds a request that is accepted and fails after one attempt.
func (l *logBuilder) submitAndFail(id string, class int, outcome string) {
	l.submit(sec, id, class)
	l.attempt(2*sec, id, "h", outcome, ms)
	l.notify(3*sec, id, Undeliverable)
}

// submitAndDeliverLate adds a request that is accepted and fails while its only attempt is in flight, whose response is then OK.
func (l *logBuilder) submitAndDeliverLate(id string, class int) {
	l.submit(sec, id, class)
	l.attempt(2*sec, id, "h", OK, 1100*ms)
	l.notify(3*sec, id, Undeliverable)
}

// redeliver adds a redelivery of message 0 under a new id, with one attempt.
func (l *logBuilder) redeliver(at time.Duration, id string, class int, outcome string) {
	l.add(Event{At: at - ms, Kind: Redelivered, ID: id, Class: class})
	l.attempt(at, id, "h", outcome, ms)
}

// parcelStatus adds an event of a request that reports the status of a parcel. Of two requests, the one with the higher number is
// newer.
func (l *logBuilder) parcelStatus(kind Kind, at time.Duration, id string, number int) {
	l.add(Event{At: at, Kind: kind, ID: id, Message: number, Class: status, Subject: "parcel-1", Duration: 30 * sec})
	if kind == Submitted {
		l.add(Event{At: at + ms, Kind: Answered, ID: id, Status: 202})
	}
}

// restart adds a graceful shutdown of the relay, which is ready again 4.6 s later.
func (l *logBuilder) restart(at time.Duration) {
	l.add(Event{At: at, Kind: Stopping})
	l.add(Event{At: at + 3700*ms, Kind: Killed})
	l.add(Event{At: at + 4600*ms, Kind: Ready})
}

// crash adds a kill of the relay, which is ready again a second later.
func (l *logBuilder) crash(at time.Duration) {
	l.add(Event{At: at, Kind: Killed})
	l.add(Event{At: at + sec, Kind: Ready})
}

// startRelays adds the start of both relays, each of which begins a watch.
func (l *logBuilder) startRelays() {
	for relay := range 2 {
		l.add(Event{Kind: Ready, Relay: relay})
		l.add(Event{Kind: WatchRequested, Relay: relay, OK: true})
	}
}

// silentWatch adds a watch of the relay that becomes silent at 1 s; at 3 s discovery shows that endpoint h drains.
func (l *logBuilder) silentWatch() {
	l.add(Event{At: 100 * ms, Kind: WatchRequested, OK: true})
	l.add(Event{At: sec, Kind: WatchSilent})
	l.add(Event{At: 3 * sec, Kind: EndpointShown, Endpoint: "h", State: Draining})
}

// notifyEndpoint adds a notification of the relay about the state of endpoint h, a second into the run.
func (l *logBuilder) notifyEndpoint(state string) {
	l.add(Event{At: sec, Kind: EndpointNotified, Endpoint: "h", State: state})
}

// showDraining adds the event that discovery shows endpoint h as draining, a second into the run.
func (l *logBuilder) showDraining() {
	l.add(Event{At: sec, Kind: EndpointShown, Endpoint: "h", State: Draining})
}

// discoveryDown adds the event that discovery becomes unavailable.
func (l *logBuilder) discoveryDown(at time.Duration) { l.add(Event{At: at, Kind: DiscoveryDown}) }

// outage adds an outage of the destination a second into the run, after which, two seconds later, the destination is cold.
func (l *logBuilder) outage(kind string) {
	l.add(Event{At: sec, Kind: OutageBegan, State: kind})
	l.add(Event{At: 3 * sec, Kind: OutageEnded, OK: true})
}

// burst adds attempts of a relay, a millisecond apart. Each is the only attempt of its own request: the destination rejects the
// attempt, and the request then fails.
func (l *logBuilder) burst(at time.Duration, count, relay int) {
	for i := range count {
		id := fmt.Sprintf("%v-%d-%d", at, relay, i)
		l.add(Event{At: at - 50*ms, Kind: Submitted, ID: id, Relay: relay, Duration: timeToLive})
		l.add(Event{At: at - 40*ms, Kind: Answered, ID: id, Relay: relay, Status: 202})
		l.attempt(at+time.Duration(i)*ms, id, "h", Rejected, ms, func(sent, _ *Event) { sent.Relay = relay })
		l.notify(at+200*ms, id, Deferred)
	}
}

// probe adds health checks, a millisecond apart.
func (l *logBuilder) probe(at time.Duration, count int) {
	for i := range count {
		l.attempt(at+time.Duration(i)*ms, "", "h", OK, ms, func(sent, _ *Event) { sent.Kind = Probed })
	}
}
