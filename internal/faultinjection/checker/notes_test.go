package checker

import (
	"fmt"
	"time"

	"frostlink/internal/settings"
)

// This file writes the logs that the tests have judged.

const ms = time.Millisecond

// The classes of the tests.
const (
	status  = iota // safe
	payment        // keyed, remembered for 5 s
	order          // unsafe
	lined          // safe, in order
)

func figures() Parameters {
	class := func(name, effect string) settings.Class {
		return settings.Class{Name: name, Idempotency: effect, LatencyObjectiveS: 2, DeadlineS: 10, LateFraction: 0.5, PriorityWeight: 1, KeyTTLS: 5}
	}
	s := settings.Settings{Instances: 2, Classes: []settings.Class{
		class("status", "retryable"), class("payment", "dedup"),
		class("order", "fragile"), class("lined", "retryable"),
	}}
	s.Classes[lined].Ordered = true
	s.Rules = settings.Rules{
		AnswerSlackS: 0.3, PollWithinS: 10, ColdCapacity: 0.2, DrainGraceS: 1, OverloadFactor: 2.5,
		OverloadWindowS: 1.5, SlowStartTimeS: 10, OrderKeyCooldownS: 0.5,
	}
	s.Limits.ConnectTimeoutS = 1
	return Parameters{Settings: s, NotifyWithin: 6 * time.Second, Destinations: []Destination{
		{Name: "bank", Capacity: 20, ColdCapacity: 0.2, SlowStartTime: 10 * time.Second}, {Name: "dealer", Capacity: 20, ColdCapacity: 0.2},
	}}
}

// notes writes a log.
type notes struct {
	log   []Event
	calls int
}

func (n *notes) add(e Event) { n.log = append(n.log, e) }

// take has relay 0 take a message for destination 0 on.
func (n *notes) take(at time.Duration, id string, class int) {
	n.add(Event{At: at, Kind: Submitted, ID: id, Class: class, Duration: 10 * time.Second, OrderKey: "k"})
	n.add(Event{At: at + 5*ms, Kind: Answered, ID: id, Status: 202})
}

// call makes a call that ends some time later, and gives its number.
func (n *notes) call(at time.Duration, id, host, outcome string, took time.Duration, change ...func(called, ended *Event)) {
	n.calls++
	a := Event{At: at, FirstByte: at - ms, Kind: AttemptSent, ID: id, Endpoint: host, Attempt: n.calls}
	b := Event{At: at + took, Kind: AttemptEnded, ID: id, Attempt: n.calls, Outcome: outcome}
	for _, c := range change {
		c(&a, &b)
	}
	n.add(a)
	if outcome != "" {
		n.add(b)
	}
}

func (n *notes) notice(at time.Duration, id, state string) {
	n.add(Event{At: at, Kind: Notified, ID: id, State: state})
}

func dest(d int) func(called, ended *Event) { return func(a, _ *Event) { a.Destination = d } }
func wait(d time.Duration) func(called, ended *Event) {
	return func(_, b *Event) { b.Duration = d }
}

func (n *notes) take2(at time.Duration, id string, dest int) {
	n.add(Event{At: at, Kind: Submitted, ID: id, Destination: dest, Duration: 10 * sec})
	n.add(Event{At: at + 5*ms, Kind: Answered, ID: id, Status: 202})
}

func (n *notes) restart(at time.Duration) {
	n.add(Event{At: at, Kind: Stopping})
	n.add(Event{At: at + 3700*ms, Kind: Killed})
	n.add(Event{At: at + 4600*ms, Kind: Ready})
}

// silence has relay 0's watch fall silent after 1 s; from 3 s on the register shows that h drains.
func (n *notes) silence() {
	n.add(Event{At: 100 * ms, Kind: WatchRequested, OK: true})
	n.add(Event{At: sec, Kind: WatchSilent})
	n.add(Event{At: 3 * sec, Kind: EndpointShown, Endpoint: "h", State: Draining})
}

func (n *notes) crash(at time.Duration) {
	n.add(Event{At: at, Kind: Killed})
	n.add(Event{At: at + sec, Kind: Ready})
}

func (n *notes) effect(times int, id string) {
	for i := range times {
		n.add(Event{At: 9*sec + time.Duration(i), Kind: Executed, ID: id})
	}
}

// told has the first relay told of the endpoint's state, a second into the run.
func (n *notes) told(state string) {
	n.add(Event{At: sec, Kind: EndpointNotified, Endpoint: "h", State: state})
}

func (n *notes) up() {
	for relay := range 2 {
		n.add(Event{Kind: Ready, Relay: relay})
		n.add(Event{Kind: WatchRequested, Relay: relay, OK: true})
	}
}

func (n *notes) regDown(at time.Duration) { n.add(Event{At: at, Kind: DiscoveryDown}) }

// draining has discovery show that the endpoint drains, a second into the run.
func (n *notes) draining() {
	n.add(Event{At: sec, Kind: EndpointShown, Endpoint: "h", State: Draining})
}

// out has the destination go out a second into the run, and come back cold two seconds later.
func (n *notes) out(how string) {
	n.add(Event{At: sec, Kind: OutageBegan, State: how})
	n.add(Event{At: 3 * sec, Kind: OutageEnded, OK: true})
}

// burst has a relay send so many messages of their own, each rejected as one too many by the destination and then ended.
func (n *notes) burst(at time.Duration, count, relay int) {
	for i := range count {
		id := fmt.Sprintf("%v-%d-%d", at, relay, i)
		n.add(Event{At: at - 50*ms, Kind: Submitted, ID: id, Relay: relay, Duration: 10 * sec})
		n.add(Event{At: at - 40*ms, Kind: Answered, ID: id, Relay: relay, Status: 202})
		n.call(at+time.Duration(i)*ms, id, "h", Rejected, ms, func(a, _ *Event) { a.Relay = relay })
		n.notice(at+200*ms, id, Deferred)
	}
}

func (n *notes) probes(at time.Duration, count int) {
	for i := range count {
		n.call(at+time.Duration(i)*ms, "", "h", OK, ms, func(a, _ *Event) { a.Kind = Probed })
	}
}
