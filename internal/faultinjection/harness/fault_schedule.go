package harness

import (
	"fmt"
	"strings"
	"time"

	"frostlink/internal/faultinjection/destination"
	"frostlink/internal/faultinjection/scenario"
)

// outageModes maps each kind of outage to the mode of the affected endpoints.
var outageModes = map[scenario.FaultKind]destination.Mode{
	scenario.FaultConnectionsRefused: destination.ModeRefusing, scenario.FaultOverloaded: destination.ModeOverloaded, scenario.FaultUnresponsive: destination.ModeUnresponsive,
	scenario.FaultUnreachable: destination.ModeUnreachable, scenario.FaultFailing: destination.ModeFailing,
}

// faultSchedulers schedule the faults that are not injected into relays. Faults that are injected into relays are in relayFaults.
var faultSchedulers = map[scenario.FaultKind]func(*harness, *scheduledFault) []scheduledAction{
	scenario.FaultConnectionsRefused: scheduleOutage,
	scenario.FaultOverloaded:         scheduleOutage,
	scenario.FaultUnresponsive:       scheduleOutage,
	scenario.FaultUnreachable:        scheduleOutage,
	scenario.FaultFailing:            scheduleOutage,
	scenario.FaultSlowdown:           scheduleDegradation,
	scenario.FaultResets:             scheduleDegradation,
	scenario.FaultPause:              scheduleDegradation,
	scenario.FaultDrain:              scheduleDrain,
	scenario.FaultReplacement:        scheduleReplacements,
	scenario.FaultExtraResponse:      scheduleExtraResponses,
	scenario.FaultEarlyEnd:           scheduleEarlyEnds,
	scenario.FaultLoadSurge:          scheduleLoadChange,
	scenario.FaultTrafficShift:       scheduleLoadChange,
	scenario.FaultDiscoveryDown:      scheduleDiscoveryFailure,
	scenario.FaultNetworkPartition:   scheduleSplit,
	scenario.FaultDatagramLoss:       scheduleLoss,
	scenario.FaultDatagramTruncation: scheduleTruncation,
}

// scheduledFault is a fault of the scenario with its times.
type scheduledFault struct {
	*scenario.Fault
	index      int // in the scenario
	begin, end time.Duration
}

func newScheduledFault(index int, f *scenario.Fault) *scheduledFault {
	begin := scenario.Seconds(f.At)
	return &scheduledFault{Fault: f, index: index, begin: begin, end: begin + scenario.Seconds(f.Duration)}
}

// beginAndEnd returns the two actions of a fault that lasts for some time: its begin and its end.
func (f *scheduledFault) beginAndEnd(description string, begin, end func()) []scheduledAction {
	return []scheduledAction{{f.begin, description + " begins", begin}, {f.end, description + " ends", end}}
}

// endpointIndex returns the index of the endpoint that fails, or destination.AllEndpoints.
func (f *scheduledFault) endpointIndex() int {
	if f.Endpoint == 0 {
		return destination.AllEndpoints
	}
	return f.Endpoint - 1
}

// describeEndpoints describes a fault of endpoints.
func (f *scheduledFault) describeEndpoints() string {
	if f.Endpoint == 0 {
		return fmt.Sprintf("%s: %s", f.Destination, f.Kind)
	}
	return fmt.Sprintf("%s, endpoint %d: %s", f.Destination, f.Endpoint, f.Kind)
}

// scheduleFault returns the actions of a fault. Every kind that a scenario file can have is in faultSchedulers or in relayFaults.
func (h *harness) scheduleFault(f *scheduledFault) []scheduledAction {
	if schedule := faultSchedulers[f.Kind]; schedule != nil {
		return schedule(h, f)
	}
	if inject := relayFaults[f.Kind]; inject != nil {
		return scheduleRelayFault(h, f, inject)
	}
	h.recordFailure("no fault of kind %q is known", f.Kind)
	return nil
}

// destinationOf returns the destination that a fault affects.
func (h *harness) destinationOf(f *scheduledFault) *destinationServer {
	return h.destinations[h.scenario.DestinationIndex(f.Destination)]
}

func scheduleOutage(h *harness, f *scheduledFault) []scheduledAction {
	d, endpoint := h.destinationOf(f), f.endpointIndex()
	return f.beginAndEnd(f.describeEndpoints(), func() { d.beginOutage(endpoint, f.Fault) }, func() { d.endOutage(endpoint, !f.StaysWarm) })
}

func scheduleDegradation(h *harness, f *scheduledFault) []scheduledAction {
	d, endpoint := h.destinationOf(f), f.endpointIndex()
	return f.beginAndEnd(f.describeEndpoints(), func() { d.beginDegradation(endpoint, f.Fault) }, func() { d.endDegradation(endpoint, f.Fault) })
}

// scheduleLoadChange only adds a change of the load to the timeline: the change was already applied when the messages were drawn.
func scheduleLoadChange(_ *harness, f *scheduledFault) []scheduledAction {
	return f.beginAndEnd(strings.TrimSpace(f.Kind+" "+f.Destination), func() {}, func() {})
}

func scheduleDiscoveryFailure(h *harness, f *scheduledFault) []scheduledAction {
	return f.beginAndEnd("register away ("+f.Mode+")", func() { h.discovery.setFailure(discoveryFailure(f.Mode)) },
		func() { h.discovery.setFailure(discoveryWorks) })
}

func scheduleSplit(h *harness, f *scheduledFault) []scheduledAction {
	return f.beginAndEnd(fmt.Sprintf("network split, %v on one side", f.Relays), func() { h.network.setSplit(f.Relays) },
		func() { h.network.setSplit(nil) })
}

func scheduleLoss(h *harness, f *scheduledFault) []scheduledAction {
	return f.beginAndEnd("datagrams lost", func() { h.network.setLoss(f.Share) }, func() { h.network.setLoss(h.scenario.Network.Loss) })
}

func scheduleTruncation(h *harness, f *scheduledFault) []scheduledAction {
	return f.beginAndEnd("datagrams cut in half", func() { h.network.setTruncation(f.Share) },
		func() { h.network.setTruncation(h.scenario.Network.Halved) })
}
