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
	"refuse": destination.Refusing, "shut": destination.Shut, "silent": destination.Silent,
	"gone": destination.Gone, "failing": destination.Failing,
}

// happening is something that the timeline does at a time.
type happening struct {
	at   time.Duration
	what string
	do   func()
}

// happenings lets happen what the script says, each in its time.
func (r *rig) happenings(ctx context.Context) {
	var all []happening
	for i := range r.s.Events {
		all = append(all, r.plan(i, &r.s.Events[i])...)
	}
	slices.SortStableFunc(all, func(a, b happening) int { return cmp.Compare(a.at, b.at) })
	for _, h := range all {
		if h.what != "" {
			r.timeline = append(r.timeline, fmt.Sprintf("%7.2f s  %s", h.at.Seconds(), h.what))
		}
	}
	for _, h := range all {
		if !r.until(ctx, h.at) {
			return
		}
		r.punctual(h.at)
		h.do()
	}
}

// plan turns an event into what is to be done.
func (r *rig) plan(number int, e *scenario.Event) []happening {
	at := scenario.Seconds(e.At)
	end := at + scenario.Seconds(e.For)
	once := func(what string, do func()) []happening { return []happening{{at, what, do}} }
	both := func(what string, begin, over func()) []happening {
		return []happening{{at, what + " begins", begin}, {end, what + " ends", over}}
	}
	where, from := e.Partner, -1
	if e.Endpoint > 0 {
		where, from = fmt.Sprintf("%s, endpoint %d", e.Partner, e.Endpoint), e.Endpoint-1
	}
	switch e.What {
	case "refuse", "shut", "silent", "gone", "failing":
		l := r.partners[r.s.Partner(e.Partner)]
		return both(where+": "+e.What, func() { l.fail(from, e) }, func() { l.recover(from, !e.Warm) })
	case "slow", "reset", "pause":
		l := r.partners[r.s.Partner(e.Partner)]
		begin, over := l.strain(from, e)
		return both(where+": "+e.What, begin, over)
	case "drain":
		l := r.partners[r.s.Partner(e.Partner)]
		return r.replace(number, at, scenario.Seconds(e.Drain), l, l.hosts[from], false, false)
	case "replace":
		return r.bulk(number, e)
	case "jump", "draw":
		return both(strings.TrimSpace(e.What+" "+e.Partner), func() {}, func() {}) // the draws have it
	case "register":
		return both("register away ("+e.How+")", func() { r.register.fail(e.How) }, func() { r.register.fail("") })
	case "split":
		return both(fmt.Sprintf("network split, %v on one side", e.Relays), func() {
			r.network.set(func() {
				for _, relay := range e.Relays {
					r.network.split = append(r.network.split, relay-1)
				}
			})
		}, func() { r.network.set(func() { r.network.split = nil }) })
	case "loss":
		return both("datagrams lost", func() { r.network.set(func() { r.network.loss = e.Share }) },
			func() { r.network.set(func() { r.network.loss = r.s.Network.Loss }) })
	case "halve":
		return both("datagrams cut in half", func() { r.network.set(func() { r.network.halve = e.Share }) },
			func() { r.network.set(func() { r.network.halve = r.s.Network.Halved }) })
	}
	var of []*relay
	for i, rel := range r.relays {
		if e.Relay == 0 || e.Relay == i+1 {
			of = append(of, rel)
		}
	}
	back := scenario.Seconds(e.Back)
	do := map[string]func(*relay){
		"kill":     func(rel *relay) { rel.outright(back, false) },
		"lose":     func(rel *relay) { rel.outright(back, true) },
		"term":     func(rel *relay) { rel.restart(back) },
		"hang":     func(rel *relay) { rel.hang(scenario.Seconds(e.For)) },
		"upgrade":  func(rel *relay) { rel.upgrade() },
		"standby":  func(rel *relay) { rel.standby(scenario.Seconds(e.For)) },
		"settings": func(rel *relay) { rel.settings(e) },
		"scrape":   func(rel *relay) { rel.scrape(scenario.Seconds(e.For), e.Callers) },
		"clock_step": func(rel *relay) {
			if err := rel.clock.Step(scenario.Seconds(e.By)); err != nil {
				r.fault("%s: %v", rel.name, err)
			}
		},
		"syscall_errors": func(rel *relay) { rel.failCalls(e, scenario.Calls[e.Call]) },
		"disk_errors":    func(rel *relay) { rel.failCalls(e, scenario.FolderCalls...) },
		"move": func(rel *relay) {
			if err := rel.move(); err != nil {
				r.fault("%s: %v", rel.name, err)
			}
		},
	}[e.What]
	var out []happening
	for _, rel := range of {
		what := rel.name + ": " + e.What
		if e.Errno != "" {
			what = strings.TrimSpace(fmt.Sprintf("%s: %s %s with %s in %v of calls for %v s", rel.name, e.What, e.Call, e.Errno, e.Share, e.For))
		}
		if e.By != 0 {
			what += fmt.Sprintf(" by %+v s", e.By)
		}
		out = append(out, once(what, func() { r.work.Go(func() { do(rel) }) })...)
	}
	return out
}

// fail begins an outage.
func (l *live) fail(at int, e *scenario.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	mode := modes[e.What]
	host := ""
	for _, h := range l.hosts {
		if h.index == at {
			host = h.id
		}
	}
	l.r.note(checker.Event{Kind: checker.OutageBegan, Destination: l.number, Endpoint: host, State: e.What})
	if at < 0 {
		l.outage = &mode
	}
	actions := l.p.Fail(l.clock(), at, mode, e.Share)
	for _, h := range l.hosts {
		if at < 0 || h.index == at {
			h.set(mode)
		}
	}
	l.act(actions)
}

// recover ends an outage.
func (l *live) recover(at int, cold bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	actions := l.p.Recover(l.clock(), at, cold)
	host := ""
	for _, h := range l.hosts {
		if h.index == at {
			host = h.id
		}
		if at < 0 || h.index == at {
			h.set(l.p.Mode(h.index))
		}
	}
	if at < 0 {
		l.outage = nil
	}
	l.r.note(checker.Event{Kind: checker.OutageEnded, Destination: l.number, Endpoint: host, OK: cold})
	l.act(actions)
}

// strain gives what begins and ends a trouble that is no outage.
func (l *live) strain(at int, e *scenario.Event) (begin, over func()) {
	do := func(f func() []destination.Action) func() {
		return func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.act(f())
		}
	}
	switch e.What {
	case "slow":
		return do(func() []destination.Action { return l.p.Slow(l.clock(), at, e.Factor) }),
			do(func() []destination.Action { return l.p.Slow(l.clock(), at, 1) })
	case "reset":
		return do(func() []destination.Action { return l.p.Resets(l.clock(), at, e.Share) }),
			do(func() []destination.Action { return l.p.Resets(l.clock(), at, 0) })
	}
	return do(func() []destination.Action { return l.p.Stop(l.clock(), at, true) }),
		do(func() []destination.Action { return l.p.Stop(l.clock(), at, false) })
}

// bulk plans the replacement of a share of the endpoints.
func (r *rig) bulk(number int, e *scenario.Event) []happening {
	var hosts []*host
	for _, l := range r.partners {
		if e.Partner == "" || r.s.Partners[l.number].Name == e.Partner {
			hosts = append(hosts, l.hosts...)
		}
	}
	chance := r.d.For("replace", number)
	chance.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	hosts = hosts[:int(math.Ceil(e.Share*float64(len(hosts))))]
	var out []happening
	for i, h := range hosts {
		at := scenario.Seconds(e.At + e.Over*float64(i)/float64(max(1, len(hosts)-1)))
		reused := chance.Float64() < e.Reused
		out = append(out, r.replace(number*1000+i, at, scenario.Seconds(e.Drain), h.live, h, true, reused)...)
	}
	return out
}

// replace plans how an endpoint drains and goes, and where wanted how another takes its place: from the drain on at
// addresses of its own, or at the old ones once they are free. The register shows each change when its lag is over.
func (r *rig) replace(draw int, at, drain time.Duration, l *live, old *host, another, reused bool) []happening {
	name := fmt.Sprintf("%s: %s", r.s.Partners[l.number].Name, old.id)
	out := []happening{
		{at, name + " drains", func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.act(l.p.Drain(l.clock(), old.index))
		}},
		{at + r.register.lag("drain", draw), "", func() { r.register.show(old, checker.Draining) }},
		{at + drain, name + " is gone", func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			old.remove()
		}},
		{at + drain + r.register.lag("gone", draw), "", func() { r.register.show(old, checker.Deleted) }},
	}
	if !another {
		return out
	}
	begin, addrs, how := at, []string(nil), "a new endpoint comes"
	if reused {
		begin, addrs, how = at+drain, old.addrs, "a new endpoint comes at the address of one that has gone"
	}
	var fresh *host
	out = append(out, happening{begin, r.s.Partners[l.number].Name + ": " + how, func() {
		h, err := l.join(addrs)
		if err != nil {
			r.fault("%v", err)
			return
		}
		fresh = h
	}}, happening{begin + r.register.lag("new", draw), "", func() {
		if fresh != nil {
			r.register.show(fresh, checker.Serving)
		}
	}})
	return out
}

// join gives the partner a further endpoint.
func (l *live) join(addrs []string) (*host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	index, actions := l.p.Add(l.clock(), l.turns(len(l.hosts)))
	l.act(actions)
	h, err := l.addHost(index, addrs)
	if err != nil {
		return nil, err
	}
	l.hosts = append(l.hosts, h)
	if l.outage != nil { // it shares its partner's fate
		l.act(l.p.Fail(l.clock(), index, *l.outage, 1))
		h.set(*l.outage)
	}
	return h, nil
}
