package simulation

import (
	"slices"
	"time"

	"frostlink/internal/discovery"
	"frostlink/internal/faultinjection/checker"
	"frostlink/policy"
)

const (
	// restartDelay is the time from the end of a relay's process to the start of the next one.
	restartDelay = time.Second
	// shutdownTimeout is the time after which a graceful shutdown ends even if requests are left.
	shutdownTimeout = 3700 * time.Millisecond
	// shutdownPoll is the interval at which a relay that shuts down is checked for open requests.
	shutdownPoll = 100 * time.Millisecond
)

// relay is one relay: its decision module, and the state of its network code and its journal.
type relay struct {
	fleet       *fleet
	number      int
	incarnation int // number of processes so far
	alive       bool
	stopping    bool          // the relay shuts down gracefully and accepts no submissions
	readyAt     time.Duration // when the current process started
	dispatcher  *policy.Dispatcher

	// State of the current process.
	events        []policy.Event               // for the next batch
	arrivals      []*openRequest               // requests in the next batch that have no response yet
	batchAt       time.Duration                // when the next batch is due
	idleConns     map[string][]*connection     // by endpoint, longest idle first
	responders    map[string]*policy.Responder // by endpoint
	watchSchedule *discovery.Schedule
	pollDelay     time.Duration
	pollRetries   int // retries since the start, for PlantedBug.NoJitter

	// State in the journal, which outlives the process.
	requests map[string]*openRequest // by id
	order    []*openRequest          // the same requests, in the order of their submission
	health   map[string]policy.PersistHealth

	// The endpoint list, as far as the relay has been notified.
	listed      map[string]policy.Endpoint
	drainingAt  map[string]time.Duration // when the relay was first notified that an endpoint drains or is removed
	listVersion int
}

func newRelay(f *fleet, number int) *relay {
	return &relay{
		fleet: f, number: number, requests: map[string]*openRequest{}, listed: map[string]policy.Endpoint{},
		drainingAt: map[string]time.Duration{}, health: map[string]policy.PersistHealth{}, batchAt: never,
		listVersion: len(f.discovery.changes),
	}
}

// runs reports whether the process of an incarnation is alive.
func (r *relay) runs(incarnation int) bool { return r.alive && r.incarnation == incarnation }

// start starts a process, which recovers its state from the journal.
func (r *relay) start() error {
	f := r.fleet
	settings, err := r.settings()
	if err != nil {
		return err
	}
	r.incarnation++
	seed := f.random.Stream("relay", r.number, r.incarnation).Int64()
	if r.dispatcher, err = policy.New(settings, seed); err != nil {
		return err
	}
	f.record(checker.Event{Kind: checker.Started, Relay: r.number, Process: r.incarnation})
	f.record(checker.Event{Kind: checker.Ready, Relay: r.number, Process: r.incarnation})
	r.stopping = false
	r.alive, r.readyAt, r.idleConns, r.batchAt = true, f.now, map[string][]*connection{}, never
	r.responders = map[string]*policy.Responder{}
	r.watchSchedule = discovery.NewSchedule(f.Scenario.Relays, seed)
	if r.pollDelay, r.pollRetries = r.watchSchedule.Start(), 0; f.Bug.NoJitter {
		r.pollDelay = 0
	}
	r.recover()
	return nil
}

func (r *relay) settings() (policy.Settings, error) {
	f := r.fleet
	relaySettings := f.Scenario.RelaySettings(r.number)
	settings, err := relaySettings.Policy()
	if err == nil && f.Bug.MinimumQuota {
		settings.Instances = f.minimumQuotaInstances(settings.Instances)
	}
	return settings, err
}

// recover passes the state from the journal to the decision module: endpoint list, health and open requests.
func (r *relay) recover() {
	known := r.fleet.discovery.changes[:r.listVersion]
	r.updateEndpoints(r.fleet.discovery.list(known, true))
	for _, c := range known {
		if health, ok := r.health[c.endpoint.id]; ok {
			r.enqueue(policy.HealthRecovered(health))
		}
	}
	for _, request := range slices.Clone(r.order) {
		for i := range request.attempts {
			request.attempts[i].NotExecuted = request.attempts[i].NotExecuted && request.ended[i]
		}
		m := request.message
		r.enqueue(policy.Arrived{
			ID: request.id, Class: m.Class, Destination: m.Destination, OrderKey: m.OrderKey, TimeLeft: request.deadline - r.fleet.now,
			Recovered: true, PriorAttempts: slices.Clone(request.attempts),
		})
	}
}

// kill ends the process if it runs. Its connections are closed, and its journal is kept. The relay starts again after restartDelay.
func (r *relay) kill() {
	f := r.fleet
	if !r.alive {
		return
	}
	r.alive = false
	f.record(checker.Event{Kind: checker.Killed, Relay: r.number})
	delete(f.discovery.watchers, r)
	for id, conns := range r.idleConns {
		for range conns {
			f.endpoints[id].destination.Disconnect(f.endpoints[id].index)
		}
	}
	for _, request := range slices.Clone(r.order) {
		r.interrupt(request)
	}
	r.events, r.arrivals, r.batchAt = nil, nil, never
	if f.Bug.NoJournal {
		r.requests, r.order = map[string]*openRequest{}, nil
	}
	f.after(restartDelay, func() {
		_ = r.start() // start fails only for invalid settings, and the settings were valid at the first start
	})
}

// interrupt ends the attempt of a request whose process is killed. A request that was not accepted yet is removed, and submitted again.
func (r *relay) interrupt(request *openRequest) {
	f := r.fleet
	if a := request.inFlight; a != nil {
		a.abandon()
		request.inFlight = nil
		request.likelyDelivered = request.likelyDelivered || a.hasLikelyDelivery()
	}
	if request.likelyDelivered {
		r.delivered(request) // the journal has the delivery
		return
	}
	if request.accepted {
		return
	}
	// The journal does not have the request either, so its client submits the message again.
	request.clientLeft = true
	r.respond(request, 0)
	r.remove(request)
	f.after(request.message.ResubmitDelay, func() { f.submit(request.message, request.submission+1) })
}

// shutDown ends the process gracefully. The relay accepts no submissions and makes no new attempts. The process ends when no request
// is open, or after shutdownTimeout.
func (r *relay) shutDown() {
	f, incarnation := r.fleet, r.incarnation
	if !r.alive || r.stopping {
		return
	}
	r.stopping = true
	f.record(checker.Event{Kind: checker.Stopping, Relay: r.number})
	r.enqueue(policy.Quiesced{})
	killAt := f.now + shutdownTimeout
	var endIfIdle func()
	endIfIdle = func() {
		switch {
		case !r.runs(incarnation):
		case len(r.order) == 0 || f.now >= killAt:
			r.kill()
		default:
			f.after(shutdownPoll, endIfIdle)
		}
	}
	f.after(shutdownPoll, endIfIdle)
}
