package harness

import (
	"math"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/scenario"
)

// replacementsPerFault is the number of random streams reserved for the replacements of one fault, so that the replacements of
// different faults use different streams.
const replacementsPerFault = 1000

// scheduleDrain schedules that an endpoint drains and is removed.
func scheduleDrain(h *harness, f *scheduledFault) []scheduledAction {
	old := h.destinationOf(f).endpoints[f.endpointIndex()]
	return newRemoval(h, f, f.index, f.begin, old).schedule()
}

// scheduleReplacements schedules the replacement of a share of the endpoints, one after another.
func scheduleReplacements(h *harness, f *scheduledFault) (actions []scheduledAction) {
	var endpoints []*endpointServer
	for _, d := range h.destinations {
		if f.Destination == "" || d.name() == f.Destination {
			endpoints = append(endpoints, d.endpoints...)
		}
	}
	random := h.random.Stream("replace", f.index)
	random.Shuffle(len(endpoints), func(i, j int) { endpoints[i], endpoints[j] = endpoints[j], endpoints[i] })
	endpoints = endpoints[:int(math.Ceil(f.Share*float64(len(endpoints))))]
	for i, old := range endpoints {
		at := scenario.Seconds(f.At + f.ReplacementTime*float64(i)/float64(max(1, len(endpoints)-1)))
		reusesAddresses := random.Float64() < f.ReusedAddresses
		removal := newRemoval(h, f, f.index*replacementsPerFault+i, at, old)
		actions = append(actions, removal.schedule()...)
		actions = append(actions, removal.scheduleSuccessor(reusesAddresses)...)
	}
	return actions
}

// removal is the planned removal of an endpoint: the endpoint drains, and is then removed. Discovery publishes either change
// after a delay.
type removal struct {
	harness     *harness
	destination *destinationServer
	old         *endpointServer
	stream      int // number of its random streams
	drainAt     time.Duration
	removeAt    time.Duration
}

func newRemoval(h *harness, f *scheduledFault, stream int, at time.Duration, old *endpointServer) *removal {
	return &removal{
		harness: h, destination: old.destination, old: old, stream: stream,
		drainAt: at, removeAt: at + scenario.Seconds(f.DrainTime),
	}
}

// schedule schedules the drain and the removal.
func (r *removal) schedule() []scheduledAction {
	discovery, d := r.harness.discovery, r.destination
	name := d.name() + ": " + r.old.id
	return []scheduledAction{
		{r.drainAt, name + " drains", func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.applyActions(d.model.DrainEndpoint(d.now(), r.old.index))
		}},
		{r.drainAt + discovery.publishDelay("drain", r.stream), "", func() { discovery.publish(r.old, checker.Draining) }},
		{r.removeAt, name + " is gone", func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			r.old.remove()
		}},
		{r.removeAt + discovery.publishDelay("gone", r.stream), "", func() { discovery.publish(r.old, checker.Deleted) }},
	}
}

// scheduleSuccessor schedules the start of an endpoint that replaces the old one: at new addresses when the drain begins, or
// at the old addresses when the old endpoint has been removed.
func (r *removal) scheduleSuccessor(reusesAddresses bool) []scheduledAction {
	at, addrs, description := r.drainAt, []string(nil), "a new endpoint comes"
	if reusesAddresses {
		at, addrs, description = r.removeAt, r.old.addrs, "a new endpoint comes at the address of one that has gone"
	}
	discovery, d := r.harness.discovery, r.destination
	var successor *endpointServer // nil: it could not be started
	return []scheduledAction{
		{at, d.name() + ": " + description, func() {
			e, err := d.addEndpoint(addrs)
			if err != nil {
				r.harness.recordFailure("%v", err)
				return
			}
			successor = e
		}},
		{at + discovery.publishDelay("new", r.stream), "", func() {
			if successor != nil {
				discovery.publish(successor, checker.Serving)
			}
		}},
	}
}
