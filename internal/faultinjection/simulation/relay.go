package simulation

import (
	"fmt"
	"slices"
	"time"

	"frostlink/internal/discovery"
	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/destination"
	"frostlink/internal/faultinjection/scenario"
	"frostlink/policy"
)

// relay is one relay: the module, and what the network code and the journal keep.
type relay struct {
	f        *fleet
	no       int
	life     int // counts its processes
	alive    bool
	stopping bool // by plan: clients find it closed
	ready    time.Duration
	d        *policy.Dispatcher

	events []policy.Event
	due    time.Duration // of the next batch; forever: none
	held   map[string]*held
	order  []*held // the same, as they came
	idle   map[string][]time.Duration
	known  map[string]policy.Endpoint // its list
	gone   map[string]time.Duration   // when it was told that a host drains or is gone
	seen   int                        // version of its list
	fresh  []*held                    // arrivals of this batch
	memory map[string]policy.PersistHealth
	asks   *discovery.Schedule
	pause  time.Duration
	steps  int // of the planted back-off
}

// held is a message that a relay has taken on.
type held struct {
	m       *scenario.Message
	n       int // hand-ins before this one
	id      string
	expires time.Duration
	tried   []policy.PriorAttempt
	ended   []bool // whether the end of each attempt is known
	out     *flight
	taken   bool // its client has heard so, or has gone (unheard)
	unheard bool
}

// flight is a call out.
type flight struct {
	r       *relay
	life    int
	held    *held
	attempt int
	host    *host
	call    *destination.Attempt
	sent    time.Duration
	conn    bool // it has a connection
	over    bool
	broken  bool // its connection broke, and (told) the relay is being told
	told    bool
	left    bool // it was written
	mute    bool // its answer will not come
	no      int  // of the call, from when it has come whole until its end is known; else 0
}

func newRelay(f *fleet, no int) *relay {
	return &relay{
		f: f, no: no, held: map[string]*held{}, known: map[string]policy.Endpoint{}, gone: map[string]time.Duration{},
		memory: map[string]policy.PersistHealth{}, due: forever, seen: len(f.register.changes),
	}
}

// start starts a process, which takes up what the one before had taken on.
func (r *relay) start() error {
	f := r.f
	settings := f.Scenario.RelaySettings(r.no)
	p, err := settings.Policy()
	if err != nil {
		return err
	}
	if f.Plant.OneCall {
		// Its even share is then the whole limit of the smallest partner, divided to one call a second each.
		least := f.sites[0].limit
		for _, s := range f.sites {
			least = min(least, s.limit)
		}
		p.Instances = max(1, min(p.Instances, int(least)))
	}
	r.life++
	seed := f.draws.Stream("relay", r.no, r.life).Int64()
	if r.d, err = policy.New(p, seed); err != nil {
		return err
	}
	f.write(checker.Event{Kind: checker.Started, Relay: r.no, Process: r.life})
	f.write(checker.Event{Kind: checker.Ready, Relay: r.no, Process: r.life})
	r.stopping = false
	r.alive, r.ready, r.idle, r.due = true, f.now, map[string][]time.Duration{}, forever
	r.asks = discovery.NewSchedule(f.Scenario.Relays, seed)
	if r.pause, r.steps = r.asks.Start(), 0; f.Plant.NoJitter {
		r.pause = 0
	}
	r.learn(f.register.listed(f.register.changes[:r.seen], true))
	for _, h := range f.register.changes[:r.seen] {
		if m, ok := r.memory[h.host.id]; ok {
			r.put(policy.HealthRecovered(m))
		}
	}
	for _, h := range slices.Clone(r.order) {
		for i := range h.tried {
			h.tried[i].NotExecuted = h.tried[i].NotExecuted && h.ended[i]
		}
		r.put(policy.Arrived{
			ID: h.id, Class: h.m.Class, Destination: h.m.Destination, OrderKey: h.m.OrderKey, TimeLeft: h.expires - f.now, Recovered: true,
			PriorAttempts: slices.Clone(h.tried),
		})
	}
	return nil
}

// kill ends the process, if there is one: its connections break, and its journal stays.
func (r *relay) kill() {
	f := r.f
	if !r.alive {
		return
	}
	r.alive = false
	f.write(checker.Event{Kind: checker.Killed, Relay: r.no})
	delete(f.register.watchers, r)
	for id, times := range r.idle {
		for range times {
			f.hosts[id].partner.Disconnect(f.hosts[id].endpoint)
		}
	}
	for _, h := range slices.Clone(r.order) {
		if h.out != nil {
			h.out.drop()
			h.out = nil
		}
		if !h.taken { // nor is it in the journal: its client goes elsewhere
			h.unheard = true
			r.heard(h, 0)
			r.lose(h)
			f.after(h.m.ResubmitDelay, func() { f.handIn(h.m, h.n+1) })
		}
	}
	r.events, r.fresh, r.due = nil, nil, forever
	if f.Plant.Forgets {
		r.held, r.order = map[string]*held{}, nil
	}
	f.after(restartAfter, func() { _ = r.start() }) // the settings were good before
}

// stop ends the process by plan: it takes nothing new, sends nothing more, and ends once it holds nothing, or is killed after
// stopWithin.
func (r *relay) stop() {
	f, life := r.f, r.life
	if !r.alive || r.stopping {
		return
	}
	r.stopping = true
	f.write(checker.Event{Kind: checker.Stopping, Relay: r.no})
	r.put(policy.Quiesced{})
	until := f.now + stopWithin
	var look func()
	look = func() {
		switch {
		case r.life != life || !r.alive:
		case len(r.order) == 0 || f.now >= until:
			r.kill()
		default:
			f.after(100*time.Millisecond, look)
		}
	}
	f.after(100*time.Millisecond, look)
}

// put hands the module an event, in the batch of this tick.
func (r *relay) put(e policy.Event) {
	r.events = append(r.events, e)
	r.wake(r.f.now)
}

// wake has a batch handled at a time, or at the next tick after it.
func (r *relay) wake(at time.Duration) {
	tick := scenario.Milliseconds(r.f.Scenario.Relay.BatchIntervalMS)
	at = (at + tick - 1) / tick * tick
	if at >= r.due {
		return
	}
	r.due = at
	life := r.life
	r.f.at(at, func() {
		if r.alive && r.life == life && r.due == at {
			r.due = forever
			r.step()
		}
	})
}

// timer has the module woken at a time: it counts on that, whatever wakes it before.
func (r *relay) timer(at time.Duration) {
	life := r.life
	r.f.at(at, func() {
		if r.alive && r.life == life {
			r.wake(at)
		}
	})
}

// step has the module handle a batch, and does what it wants.
func (r *relay) step() {
	f := r.f
	events := r.events
	r.events = nil
	if f.Plant.Events != nil {
		events = f.Plant.Events(r.no, events)
	}
	fresh := r.fresh
	r.fresh = nil
	actions := r.d.Handle(f.now, append(events, policy.TimerFired{}))
	if f.Plant.Actions != nil {
		actions = f.Plant.Actions(r.no, f.now, actions)
	}
	for _, a := range actions {
		switch a := a.(type) {
		case policy.Reject:
			r.giveUp(a.ID, a.RetryAfter, true)
		case policy.Fail:
			r.giveUp(a.ID, 0, false)
		}
	}
	for _, h := range fresh {
		if r.held[h.id] == h {
			r.heard(h, statusTaken)
		}
	}
	for _, a := range actions {
		switch a := a.(type) {
		case policy.Send:
			r.send(a)
		case policy.CancelAttempt:
			if h := r.held[a.ID]; h != nil && h.out != nil && h.out.attempt == a.Attempt {
				h.out.end(policy.AttemptEnded{Outcome: policy.Canceled}, false)
			}
		case policy.CancelBeforeSend:
			if h := r.held[a.ID]; h != nil && h.out != nil && h.out.attempt == a.Attempt && !h.out.left {
				h.out.end(policy.AttemptEnded{Outcome: policy.NotSent}, true)
			}
		case policy.CloseIdleConns:
			r.closeIdle(a.Endpoint, f.now+time.Nanosecond)
		case policy.SetTimer:
			r.timer(f.now + a.After)
		case policy.WatchEndpoints:
			life := r.life
			f.after(r.pause, func() {
				if r.alive && r.life == life {
					f.register.ask(r)
				}
			})
		case policy.PersistHealth:
			r.memory[a.Endpoint] = a
		}
	}
	if f.Plant.Probes {
		r.probe()
	}
}

// closeIdle closes idle connections to a host that have stood since before a time.
func (r *relay) closeIdle(id string, before time.Duration) {
	h := r.f.hosts[id]
	for len(r.idle[id]) > 0 && r.idle[id][0] < before {
		r.idle[id] = r.idle[id][1:]
		h.partner.Disconnect(h.endpoint)
	}
}

// told takes in the list up to a change.
func (r *relay) told(changes []change) {
	if len(changes) <= r.seen {
		return
	}
	news := r.f.register.listed(changes[r.seen:], false)
	r.seen = len(changes)
	r.learn(news)
}

// learn takes in a list or a change of it.
func (r *relay) learn(list policy.EndpointsChanged) {
	for _, e := range list.Endpoints {
		r.known[e.ID] = e
		if _, was := r.gone[e.ID]; (e.Draining || e.Removed) && !was {
			r.gone[e.ID] = r.f.now
		}
	}
	r.put(list)
}

// unwatched takes in the end of a watch that stood for so long.
func (r *relay) unwatched(stood time.Duration) {
	if r.pause = r.asks.Retry(stood); r.f.Plant.NoJitter {
		r.steps++
		r.pause = min(2*time.Second, 250*time.Millisecond<<min(r.steps, 4)-250*time.Millisecond)
	}
	r.put(policy.WatchFailed{})
}

// take takes a message on, unless the module refuses it.
func (r *relay) take(m *scenario.Message, n int, left time.Duration) {
	h := &held{m: m, n: n, id: r.f.draws.RequestID(m.Number, n), expires: r.f.now + left}
	r.held[h.id] = h
	r.order = append(r.order, h)
	r.fresh = append(r.fresh, h)
	r.handed(h)
	if h.unheard = r.f.leaves(m, n); h.unheard {
		r.f.after(m.ResubmitDelay, func() { r.f.handIn(m, n+1) })
	} else {
		r.f.asked[h.id] = m
	}
	r.put(policy.Arrived{ID: h.id, Class: m.Class, Destination: m.Destination, OrderKey: m.OrderKey, TimeLeft: left})
}

// lose drops a message.
func (r *relay) lose(h *held) {
	delete(r.held, h.id)
	r.order = slices.DeleteFunc(r.order, func(o *held) bool { return o == h })
}

// forget notes that a message is over.
func (r *relay) forget(h *held) {
	f := r.f
	r.lose(h)
	if f.now > h.expires+scenario.Seconds(f.Scenario.Rules.AnswerSlack) && f.now > r.ready+1500*time.Millisecond {
		f.res.fault("%s ended %v after its time", h.id, f.now-h.expires)
	}
}

// giveUp ends a message undelivered. After a refusal its client may come again.
func (r *relay) giveUp(id string, stay time.Duration, again bool) {
	f, h := r.f, r.held[id]
	if h == nil {
		f.res.fault("%s was ended twice", id)
		f.write(checker.Event{Kind: checker.Notified, ID: id, Relay: r.no, State: checker.Undeliverable}) // what the module wants is done
		return
	}
	r.ended(h, again)
	r.forget(h)
	f.res.GivenUp++
	if h.unheard {
		return // its client has come again already
	}
	if !again || h.n >= len(h.m.Backoff) {
		f.ends[h.m.Number] = true
		return
	}
	wait := h.m.Backoff[h.n]
	if h.m.HonoursRetryAfter {
		wait = max(wait, stay)
	}
	f.after(wait, func() { f.handIn(h.m, h.n+1) })
	f.ends[h.m.Number] = true
}

// send makes a call.
func (r *relay) send(a policy.Send) {
	f, h, to := r.f, r.held[a.ID], r.f.hosts[a.Endpoint]
	e, listed := r.known[a.Endpoint]
	switch told, was := r.gone[a.Endpoint]; {
	case h == nil || to == nil:
		f.res.fault("%s sent after its end, or to the unknown host %s", a.ID, a.Endpoint)
		return
	case !listed || e.Destination != h.m.Destination:
		f.res.fault("%s sent to %s, which is not of its destination", a.ID, a.Endpoint)
	case was && f.now > told+scenario.Seconds(f.Scenario.Rules.DrainGrace):
		f.res.fault("%s sent to %s %v after it drained", a.ID, a.Endpoint, f.now-told)
	case h.out != nil:
		f.res.fault("%s sent while an attempt is out", a.ID)
	}
	if len(h.tried) == 0 && h.n == 0 {
		f.res.AttemptedMessages++
	}
	h.tried = append(h.tried, policy.PriorAttempt{Endpoint: a.Endpoint, SentAt: f.now})
	h.ended = append(h.ended, false)
	fl := &flight{r: r, life: r.life, held: h, attempt: len(h.tried) - 1, host: to, sent: f.now}
	h.out = fl
	fl.call = &destination.Attempt{
		ID: h.id, Relay: r.no, Key: h.m.Key, KeyTTL: scenario.Seconds(f.Scenario.Classes[h.m.Class].KeyTTL),
		ServiceTime: f.Scenario.ServiceTime(f.draws, h.m, h.n*100+fl.attempt), Draw: f.draws.Stream("chance", h.m.Number, h.n, fl.attempt).Float64(),
	}
	timeout := a.Timeout
	if timeout == 0 {
		timeout = h.expires - f.now
	}
	f.after(timeout, func() { fl.end(policy.AttemptEnded{Outcome: policy.TimedOut}, false) })
	r.closeIdle(to.id, f.now-scenario.Seconds(f.Scenario.Limits.IdleConnTimeout))
	if idle := r.idle[to.id]; len(idle) > 0 {
		r.idle[to.id], fl.conn = idle[:len(idle)-1], true
		fl.write()
		return
	}
	f.res.Connections++
	fl.call.NewConnection = true
	f.after(f.trip(), fl.connect)
}

// connect comes to the host with a new connection.
func (fl *flight) connect() {
	f, p := fl.r.f, fl.host.partner
	switch {
	case fl.over:
	case f.cut(fl.r, fl.host) || p.Mode(fl.host.endpoint) >= destination.ModeUnresponsive:
		wait := scenario.Seconds(f.Scenario.Limits.ConnectTimeout) - (f.now - fl.sent)
		f.after(wait, func() { fl.end(policy.AttemptEnded{Outcome: policy.ConnectError}, false) })
	case p.Mode(fl.host.endpoint) >= destination.ModeRefusing:
		f.res.Destinations[p.no].now(f.now).Attempts++
		f.after(f.trip(), func() { fl.end(policy.AttemptEnded{Outcome: policy.ConnectError}, false) })
	case p.Connect(fl.host.endpoint):
		// Turned away before it has said anything; it pushes a cold host all the same.
		p.Disconnect(fl.host.endpoint)
		f.res.ConnectionRejected++
		f.res.Destinations[p.no].now(f.now).Attempts++
		fl.came()
		f.carryOut(p, p.Arrive(f.now, fl.host.endpoint, &destination.Attempt{ID: fl.call.ID, OverConnectionLimit: true}))
		fl.closed(checker.Event{Outcome: checker.Rejected})
		f.after(f.trip(), func() { fl.end(policy.AttemptEnded{Outcome: policy.Rejected}, false) })
	default:
		fl.conn = true
		f.after((2*handshakeTrips-1)*f.trip(), fl.write)
	}
}

// write sends the call on its connection.
func (fl *flight) write() {
	fl.left = true
	fl.r.f.after(fl.r.f.trip(), fl.arrive)
}

// arrive comes to the host whole.
func (fl *flight) arrive() {
	f, p := fl.r.f, fl.host.partner
	if fl.over || f.cut(fl.r, fl.host) {
		return
	}
	harm := f.harmed(fl)
	if harm == resetBefore {
		f.after(f.trip(), func() { fl.end(policy.AttemptEnded{Outcome: policy.ConnectError}, false) })
		return
	}
	f.res.Destinations[p.no].now(f.now).Attempts++
	switch mode := p.Mode(fl.host.endpoint); {
	case mode > destination.ModeRefusing:
		return
	case mode == destination.ModeRefusing:
		f.after(f.trip(), func() { fl.end(policy.AttemptEnded{Outcome: policy.ConnectionReset}, false) })
		return
	}
	p.flights[fl.call] = fl
	fl.came()
	f.carryOut(p, p.Arrive(f.now, fl.host.endpoint, fl.call))
	switch harm {
	case resetAfter:
		fl.lose()
	case answerLost:
		fl.mute = true
	}
}

// lose breaks a call's connection at its host; what it has begun runs on there.
func (fl *flight) lose() {
	f, p := fl.r.f, fl.host.partner
	if _, there := p.flights[fl.call]; !there {
		return // its answer is on its way
	}
	delete(p.flights, fl.call)
	fl.closed(checker.Event{Outcome: checker.Interrupted})
	f.after(f.trip(), func() { fl.end(policy.AttemptEnded{Outcome: policy.ConnectionReset}, false) })
}

// drop takes a call off the wire.
func (fl *flight) drop() {
	fl.over = true
	fl.closed(checker.Event{Outcome: checker.Abandoned})
	p := fl.host.partner
	if _, there := p.flights[fl.call]; there {
		delete(p.flights, fl.call)
		fl.r.f.carryOut(p, p.Cancel(fl.r.f.now, fl.call))
	}
	if !fl.conn {
		return
	}
	if f := fl.r.f; f.cut(fl.r, fl.host) {
		f.places = append(f.places, fl.host) // its host does not hear of it until the cut is over
		return
	}
	p.Disconnect(fl.host.endpoint)
}

// end tells the relay how a call ended; where its connection may carry another, it is kept.
func (fl *flight) end(e policy.AttemptEnded, keep bool) {
	r, f := fl.r, fl.r.f
	if fl.over || r.life != fl.life || !r.alive {
		return
	}
	if keep && fl.conn {
		fl.over = true
		r.idle[fl.host.id] = append(r.idle[fl.host.id], f.now)
	} else {
		fl.drop()
	}
	h := fl.held
	h.out = nil
	e.ID, e.Endpoint, e.Attempt, e.Latency = h.id, fl.host.id, fl.attempt, f.now-fl.sent
	h.ended[fl.attempt] = true
	h.tried[fl.attempt].NotExecuted = e.Outcome == policy.Rejected || e.Outcome == policy.ConnectError ||
		e.Outcome == policy.NotSent
	if r.held[h.id] == h && e.Outcome == policy.Succeeded {
		r.forget(h)
		if !h.unheard {
			f.delivered(h.m)
		}
	}
	r.put(e)
}

// open is the planted fault of a note that opens: the relay takes all partners for well.
func (r *relay) open() {
	mem := r.d.Snapshot()
	for i := range mem.Endpoints {
		e := &mem.Endpoints[i]
		e.Unhealthy, e.SlowStart, e.ConsecutiveFailures = false, false, 0
	}
	for i := range mem.Queues {
		q := &mem.Queues[i]
		q.Unhealthy, q.Rejections, q.BackoffUntil = false, 0, 0
	}
	r.put(policy.SnapshotRestored{Snapshot: mem})
}

// probe is the planted fault of relays that each look by themselves whether a partner is back.
func (r *relay) probe() {
	for _, s := range r.f.sites {
		if m, ok := r.memory[s.hosts[0].id]; ok && m.Unhealthy {
			r.f.res.Destinations[s.no].now(r.f.now).Attempts++
			r.f.carryOut(s, s.Arrive(r.f.now, s.hosts[0].endpoint, &destination.Attempt{ID: fmt.Sprint("probe", r.no), Probe: true}))
			r.wake(r.f.now + 250*time.Millisecond)
		}
	}
}
