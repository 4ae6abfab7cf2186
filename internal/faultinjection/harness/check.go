package harness

import (
	"maps"
	"math"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/scenario"
)

// voidLateShare is the share of late harness events above which a run is void: the machine was too busy for a verdict on the
// relays.
const voidLateShare = 0.01

// check judges the run from its log and the relays' dead-letter stores.
func (h *harness) check(messages []*scenario.Message) (*Result, error) {
	result, end := h.measure()
	log, parameters := h.eventLog(), h.parameters()
	result.Report = checker.Judge(parameters, log, end)
	result.MeasureWeight(parameters, requestsOf(messages), log)
	result.Redeliveries = redeliveries(log, h.scenario)
	if h.scenario.Relay.Operator == "" {
		return result, nil
	}
	stored, dropped, err := h.deadLetters()
	if err != nil {
		return nil, err
	}
	if len(stored)+len(dropped) > 0 {
		result.Undelivered = result.CheckStores(parameters, log, stored, dropped, end)
	}
	return result, nil
}

// measure returns a result that has the harness's own measurements but no verdict yet, and the time at which the run ended.
func (h *harness) measure() (result *Result, end time.Duration) {
	h.mu.Lock()
	result = &Result{
		Scenario: h.scenario.Name, Seed: h.options.Seed, Events: h.events, MaxLateness: h.maxLateness,
		Failures: append([]string{}, h.failures...), Timeline: h.timeline,
		Occurred:  maps.Clone(h.occurred),
		LateShare: float64(h.lateEvents) / math.Max(1, float64(h.events)),
	}
	end = h.now()
	h.mu.Unlock()
	result.Void = result.LateShare > voidLateShare
	result.Datagrams = h.network.counts()
	result.EarlyEnds = h.earlyEnds.count()
	if result.ExtraResponses = h.extra.counts(); result.ExtraResponses != nil {
		result.Occurred[ExtraResponseWritten] = result.ExtraResponses.Written
	}
	for _, relay := range h.relays {
		result.Failures = append(result.Failures, relay.violations()...)
		result.Processes = append(result.Processes, relay.measuredUsage())
	}
	for i := range h.scenario.Destinations {
		result.DestinationNames = append(result.DestinationNames, h.scenario.Destinations[i].Name)
	}
	result.Overloads = h.overloads()
	return result, end
}

// overloads returns how often each destination was overloaded, by name, or nil if no destination was.
func (h *harness) overloads() (byName map[string]int) {
	for i, destination := range h.destinations {
		destination.mu.Lock()
		n := destination.model.Overloads()
		destination.mu.Unlock()
		if n == 0 {
			continue
		}
		if byName == nil {
			byName = map[string]int{}
		}
		byName[h.scenario.Destinations[i].Name] = n
	}
	return byName
}

// parameters returns the settings and destination capacities that the checker judges the run by.
func (h *harness) parameters() checker.Parameters {
	p := checker.Parameters{Settings: h.scenario.RelaySettings(0), NotifyWithin: scenario.Seconds(h.scenario.Discovery.NotifyWithin)}
	for i := range h.scenario.Destinations {
		destination := &h.scenario.Destinations[i]
		p.Destinations = append(p.Destinations, checker.Destination{
			Name: destination.Name, Capacity: h.scenario.Capacity(destination),
			ColdCapacity: destination.ColdCapacity, SlowStartTime: scenario.Seconds(destination.SlowStartTime),
		})
	}
	return p
}

// requestsOf returns the messages that clients were to submit, in the form that the checker reads.
func requestsOf(messages []*scenario.Message) []checker.Request {
	requests := make([]checker.Request, len(messages))
	for i, m := range messages {
		requests[i] = checker.Request{At: m.At, Destination: m.Destination, Class: m.Class, Tenant: m.Tenant, OverQuota: m.OverQuota}
	}
	return requests
}
