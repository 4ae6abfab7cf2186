package harness

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/destination"
	"frostlink/internal/faultinjection/scenario"
)

// modes are what outages make of endpoints.
var modes = map[string]destination.Mode{
	"refuse": destination.ModeRefusing, "shut": destination.ModeOverloaded, "silent": destination.ModeUnresponsive,
	"gone": destination.ModeUnreachable, "failing": destination.ModeFailing,
}

// scheduledAction is something that the timeline does at a time.
type scheduledAction struct {
	at          time.Duration
	description string
	do          func()
}

// runTimeline lets happen what the script says, each in its time.
func (r *harness) runTimeline(ctx context.Context) {
	var all []scheduledAction
	for i := range r.scenario.Faults {
		all = append(all, r.plan(i, &r.scenario.Faults[i])...)
	}
	slices.SortStableFunc(all, func(a, b scheduledAction) int { return cmp.Compare(a.at, b.at) })
	for _, h := range all {
		if h.description != "" {
			r.timeline = append(r.timeline, fmt.Sprintf("%7.2f s  %s", h.at.Seconds(), h.description))
		}
	}
	for _, h := range all {
		if !r.until(ctx, h.at) {
			return
		}
		r.recordTiming(h.at)
		h.do()
	}
}

// plan turns an event into what is to be done.
func (r *harness) plan(number int, e *scenario.Fault) []scheduledAction {
	at := scenario.Seconds(e.At)
	end := at + scenario.Seconds(e.Duration)
	once := func(what string, do func()) []scheduledAction { return []scheduledAction{{at, what, do}} }
	both := func(what string, begin, over func()) []scheduledAction {
		return []scheduledAction{{at, what + " begins", begin}, {end, what + " ends", over}}
	}
	where, from := e.Destination, -1
	if e.Endpoint > 0 {
		where, from = fmt.Sprintf("%s, endpoint %d", e.Destination, e.Endpoint), e.Endpoint-1
	}
	switch e.Kind {
	case "refuse", "shut", "silent", "gone", "failing":
		l := r.destinations[r.scenario.DestinationIndex(e.Destination)]
		return both(where+": "+e.Kind, func() { l.fail(from, e) }, func() { l.recover(from, !e.StaysWarm) })
	case "slow", "reset", "pause":
		l := r.destinations[r.scenario.DestinationIndex(e.Destination)]
		begin, over := l.degrade(from, e)
		return both(where+": "+e.Kind, begin, over)
	case "drain":
		l := r.destinations[r.scenario.DestinationIndex(e.Destination)]
		return r.planReplacement(number, at, scenario.Seconds(e.DrainTime), l, l.endpoints[from], false, false)
	case "replace":
		return r.planBulkReplacement(number, e)
	case "jump", "draw":
		return both(strings.TrimSpace(e.Kind+" "+e.Destination), func() {}, func() {}) // the draws have it
	case "register":
		return both("register away ("+e.Mode+")", func() { r.discovery.fail(e.Mode) }, func() { r.discovery.fail("") })
	case "split":
		return both(fmt.Sprintf("network split, %v on one side", e.Relays), func() {
			r.network.set(func() {
				for _, relay := range e.Relays {
					r.network.split = append(r.network.split, relay-1)
				}
			})
		}, func() { r.network.set(func() { r.network.split = nil }) })
	case "loss":
		return both("datagrams lost", func() { r.network.set(func() { r.network.lossShare = e.Share }) },
			func() { r.network.set(func() { r.network.lossShare = r.scenario.Network.Loss }) })
	case "halve":
		return both("datagrams cut in half", func() { r.network.set(func() { r.network.truncateShare = e.Share }) },
			func() { r.network.set(func() { r.network.truncateShare = r.scenario.Network.Halved }) })
	}
	var of []*relay
	for i, rel := range r.relays {
		if e.Relay == 0 || e.Relay == i+1 {
			of = append(of, rel)
		}
	}
	back := scenario.Seconds(e.RestartDelay)
	do := map[string]func(*relay){
		"kill":     func(rel *relay) { rel.killAndRestart(back, false) },
		"lose":     func(rel *relay) { rel.killAndRestart(back, true) },
		"term":     func(rel *relay) { rel.restart(back) },
		"hang":     func(rel *relay) { rel.hang(scenario.Seconds(e.Duration)) },
		"upgrade":  func(rel *relay) { rel.upgrade() },
		"standby":  func(rel *relay) { rel.standby(scenario.Seconds(e.Duration)) },
		"settings": func(rel *relay) { rel.applySettings(e) },
		"scrape":   func(rel *relay) { rel.scrape(scenario.Seconds(e.Duration), e.IdleCallers) },
		"clock_step": func(rel *relay) {
			if err := rel.clock.Step(scenario.Seconds(e.ClockStep)); err != nil {
				r.recordFailure("%s: %v", rel.name, err)
			}
		},
		"syscall_errors": func(rel *relay) { rel.failSyscalls(e, scenario.SocketSyscalls[e.Syscall]) },
		"disk_errors":    func(rel *relay) { rel.failSyscalls(e, scenario.FileSyscalls...) },
		"move": func(rel *relay) {
			if err := rel.moveDiscovery(); err != nil {
				r.recordFailure("%s: %v", rel.name, err)
			}
		},
	}[e.Kind]
	var out []scheduledAction
	for _, rel := range of {
		what := rel.name + ": " + e.Kind
		if e.Errno != "" {
			what = strings.TrimSpace(fmt.Sprintf("%s: %s %s with %s in %v of calls for %v s", rel.name, e.Kind, e.Syscall, e.Errno, e.Share, e.Duration))
		}
		if e.ClockStep != 0 {
			what += fmt.Sprintf(" by %+v s", e.ClockStep)
		}
		out = append(out, once(what, func() { r.background.Go(func() { do(rel) }) })...)
	}
	return out
}

// fail begins an outage.
func (l *destinationServer) fail(at int, e *scenario.Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	mode := modes[e.Kind]
	host := ""
	for _, h := range l.endpoints {
		if h.index == at {
			host = h.id
		}
	}
	l.h.record(checker.Event{Kind: checker.OutageBegan, Destination: l.number, Endpoint: host, State: e.Kind})
	if at < 0 {
		l.outage = &mode
	}
	actions := l.model.Fail(l.now(), at, mode, e.Share)
	for _, h := range l.endpoints {
		if at < 0 || h.index == at {
			h.setMode(mode)
		}
	}
	l.carryOut(actions)
}

// recover ends an outage.
func (l *destinationServer) recover(at int, cold bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	actions := l.model.Recover(l.now(), at, cold)
	host := ""
	for _, h := range l.endpoints {
		if h.index == at {
			host = h.id
		}
		if at < 0 || h.index == at {
			h.setMode(l.model.Mode(h.index))
		}
	}
	if at < 0 {
		l.outage = nil
	}
	l.h.record(checker.Event{Kind: checker.OutageEnded, Destination: l.number, Endpoint: host, OK: cold})
	l.carryOut(actions)
}

// degrade gives what begins and ends a trouble that is no outage.
func (l *destinationServer) degrade(at int, e *scenario.Fault) (begin, over func()) {
	do := func(f func() []destination.Action) func() {
		return func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.carryOut(f())
		}
	}
	switch e.Kind {
	case "slow":
		return do(func() []destination.Action { return l.model.SetSlowdown(l.now(), at, e.Factor) }),
			do(func() []destination.Action { return l.model.SetSlowdown(l.now(), at, 1) })
	case "reset":
		return do(func() []destination.Action { return l.model.SetResetShare(l.now(), at, e.Share) }),
			do(func() []destination.Action { return l.model.SetResetShare(l.now(), at, 0) })
	}
	return do(func() []destination.Action { return l.model.SetStopped(l.now(), at, true) }),
		do(func() []destination.Action { return l.model.SetStopped(l.now(), at, false) })
}

// planBulkReplacement plans the replacement of a share of the endpoints.
func (r *harness) planBulkReplacement(number int, e *scenario.Fault) []scheduledAction {
	var hosts []*endpointServer
	for _, l := range r.destinations {
		if e.Destination == "" || r.scenario.Destinations[l.number].Name == e.Destination {
			hosts = append(hosts, l.endpoints...)
		}
	}
	chance := r.random.Stream("replace", number)
	chance.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	hosts = hosts[:int(math.Ceil(e.Share*float64(len(hosts))))]
	var out []scheduledAction
	for i, h := range hosts {
		at := scenario.Seconds(e.At + e.Over*float64(i)/float64(max(1, len(hosts)-1)))
		reused := chance.Float64() < e.ReusedAddresses
		out = append(out, r.planReplacement(number*1000+i, at, scenario.Seconds(e.DrainTime), h.destinationServer, h, true, reused)...)
	}
	return out
}

// planReplacement plans how an endpoint drains and goes, and where wanted how another takes its place: from the drain on at
// addresses of its own, or at the old ones once they are free. The register shows each change when its lag is over.
func (r *harness) planReplacement(draw int, at, drain time.Duration, l *destinationServer, old *endpointServer, another, reused bool) []scheduledAction {
	name := fmt.Sprintf("%s: %s", r.scenario.Destinations[l.number].Name, old.id)
	out := []scheduledAction{
		{at, name + " drains", func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.carryOut(l.model.DrainEndpoint(l.now(), old.index))
		}},
		{at + r.discovery.publishDelay("drain", draw), "", func() { r.discovery.publish(old, checker.Draining) }},
		{at + drain, name + " is gone", func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			old.remove()
		}},
		{at + drain + r.discovery.publishDelay("gone", draw), "", func() { r.discovery.publish(old, checker.Deleted) }},
	}
	if !another {
		return out
	}
	begin, addrs, how := at, []string(nil), "a new endpoint comes"
	if reused {
		begin, addrs, how = at+drain, old.addrs, "a new endpoint comes at the address of one that has gone"
	}
	var fresh *endpointServer
	out = append(out, scheduledAction{begin, r.scenario.Destinations[l.number].Name + ": " + how, func() {
		h, err := l.addEndpoint(addrs)
		if err != nil {
			r.recordFailure("%v", err)
			return
		}
		fresh = h
	}}, scheduledAction{begin + r.discovery.publishDelay("new", draw), "", func() {
		if fresh != nil {
			r.discovery.publish(fresh, checker.Serving)
		}
	}})
	return out
}

// addEndpoint gives the partner a further endpoint.
func (l *destinationServer) addEndpoint(addrs []string) (*endpointServer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	index, actions := l.model.AddEndpoint(l.now(), l.pauseDraws(len(l.endpoints)))
	l.carryOut(actions)
	h, err := l.newEndpoint(index, addrs)
	if err != nil {
		return nil, err
	}
	l.endpoints = append(l.endpoints, h)
	if l.outage != nil { // it shares its partner's fate
		l.carryOut(l.model.Fail(l.now(), index, *l.outage, 1))
		h.setMode(*l.outage)
	}
	return h, nil
}
