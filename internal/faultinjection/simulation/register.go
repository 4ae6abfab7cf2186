package simulation

import (
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/policy"
)

// The states of a host in the register.
const (
	serving  = ""
	draining = "draining"
	deleted  = "deleted"
)

// shownAs names them as the auditor does.
var shownAs = map[string]string{serving: checker.Serving, draining: checker.Draining, deleted: checker.Deleted}

// Discovery is how the register of hosts works: through calls in turn, also those whose caller has gone.
type Discovery struct {
	Work    time.Duration // for one call
	Timeout time.Duration // a call that is not answered by then has failed
	Most    time.Duration // a call whose answer would take longer is turned away
	Lag     time.Duration // from a change to its being told
}

// change is one change of the list.
type change struct {
	host  *host
	state string
}

// register is the register of a fleet. Version n of its list has the first n changes.
type register struct {
	f *fleet
	Discovery
	changes  []change
	free     time.Duration // when it has done the calls that it took
	away     time.Duration // down until then
	watchers map[*relay]int
}

// show has the list change.
func (g *register) show(h *host, state string) {
	g.changes = append(g.changes, change{h, state})
	if g.f.now == 0 {
		return
	}
	version := len(g.changes)
	g.f.after(g.Lag, func() {
		g.f.write(checker.Event{Kind: checker.EndpointShown, Endpoint: h.id, Destination: h.partner.no, State: shownAs[state]})
		for _, r := range g.f.relays { // in their order
			if life, ok := g.watchers[r]; ok {
				g.tell(r, life, version)
			}
		}
	})
}

// tell sends a relay the list up to a version. What is on its way to a process that dies tells nobody.
func (g *register) tell(r *relay, life, version int) {
	written := g.f.now
	g.f.after(g.f.trip(), func() {
		if r.life != life || !r.alive {
			return
		}
		for _, c := range g.changes[min(r.seen, version):version] {
			g.f.log = append(g.f.log, checker.Event{At: written, Kind: checker.EndpointNotified, Relay: r.no, Endpoint: c.host.id, Destination: c.host.partner.no, State: shownAs[c.state]})
		}
		r.told(g.changes[:version])
	})
}

// ask takes a relay's call for a watch.
func (g *register) ask(r *relay) {
	f, life, begun := g.f, r.life, g.f.now
	f.res.ask(f.now)
	lose := func() {
		if r.life == life && r.alive {
			f.res.FailedPolls++
			f.write(checker.Event{Kind: checker.WatchRequested, Relay: r.no})
			r.unwatched(f.now - begun)
		}
	}
	g.free = max(g.free, f.now)
	switch {
	case f.now < g.away, g.free+g.Work-f.now > g.Most:
		f.after(2*f.trip(), lose)
		return
	}
	g.free += g.Work
	if g.free-f.now > g.Timeout {
		f.after(g.Timeout, lose)
		return
	}
	f.at(g.free, func() {
		switch {
		case r.life != life || !r.alive:
		case f.now < g.away:
			lose()
		default:
			g.watchers[r] = life
			f.write(checker.Event{Kind: checker.WatchRequested, Relay: r.no, OK: true})
			g.tell(r, life, len(g.changes))
		}
	})
}

// fail takes the register away for a while: all watches end.
func (g *register) fail(d time.Duration) {
	g.away, g.free = g.f.now+d, g.f.now+d
	g.f.write(checker.Event{Kind: checker.DiscoveryDown})
	g.f.after(d, func() { g.f.write(checker.Event{Kind: checker.DiscoveryUp}) })
	for _, r := range g.f.relays {
		if life, ok := g.watchers[r]; ok {
			delete(g.watchers, r)
			g.f.write(checker.Event{Kind: checker.WatchEnded, Relay: r.no})
			g.f.after(g.f.trip(), func() {
				if r.life == life && r.alive {
					r.unwatched(time.Minute)
				}
			})
		}
	}
}

// listed translates a part of the changes.
func (g *register) listed(changes []change, whole bool) policy.EndpointsChanged {
	list := policy.EndpointsChanged{Full: whole}
	at := map[string]int{}
	for _, c := range changes {
		e := policy.Endpoint{
			ID: c.host.id, Destination: c.host.partner.no, Weight: c.host.partner.limit,
			Draining: c.state == draining, Removed: c.state == deleted,
		}
		if i, ok := at[e.ID]; ok {
			list.Endpoints[i] = e
			continue
		}
		at[e.ID] = len(list.Endpoints)
		list.Endpoints = append(list.Endpoints, e)
	}
	return list
}
