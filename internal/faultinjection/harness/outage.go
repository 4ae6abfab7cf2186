package harness

import (
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/destination"
	"frostlink/internal/faultinjection/scenario"
)

// affected returns the endpoints that a fault affects: the one with the given index, or all. The lock is held.
func (d *destinationServer) affected(endpoint int) (affected []*endpointServer) {
	for _, e := range d.endpoints {
		if endpoint == destination.AllEndpoints || e.index == endpoint {
			affected = append(affected, e)
		}
	}
	return affected
}

// affectedID returns the id of the one endpoint that a fault affects, or an empty string if it affects all. The lock is held.
func (d *destinationServer) affectedID(endpoint int) string {
	if affected := d.affected(endpoint); endpoint != destination.AllEndpoints && len(affected) > 0 {
		return affected[0].id
	}
	return ""
}

// beginOutage begins an outage of one endpoint or of all.
func (d *destinationServer) beginOutage(endpoint int, f *scenario.Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	mode := outageModes[f.Kind]
	d.harness.record(checker.Event{Kind: checker.OutageBegan, Destination: d.number, Endpoint: d.affectedID(endpoint), State: f.Kind})
	if endpoint == destination.AllEndpoints {
		d.outage = &mode
	}
	actions := d.model.Fail(d.now(), endpoint, mode, f.Share)
	for _, e := range d.affected(endpoint) {
		e.setMode(mode)
	}
	d.applyActions(actions)
}

// endOutage ends an outage. Cold endpoints are slow at first.
func (d *destinationServer) endOutage(endpoint int, cold bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	actions := d.model.Recover(d.now(), endpoint, cold)
	for _, e := range d.affected(endpoint) {
		e.setMode(d.model.Mode(e.index))
	}
	if endpoint == destination.AllEndpoints {
		d.outage = nil
	}
	d.harness.record(checker.Event{Kind: checker.OutageEnded, Destination: d.number, Endpoint: d.affectedID(endpoint), OK: cold})
	d.applyActions(actions)
}

// degradation holds the functions that begin and end a degradation of endpoints.
type degradation struct {
	begin func(m *destination.Model, now time.Duration, endpoint int, f *scenario.Fault) []destination.Action
	end   func(m *destination.Model, now time.Duration, endpoint int) []destination.Action
}

// degradations are the faults in which endpoints still respond.
var degradations = map[scenario.FaultKind]degradation{
	scenario.FaultSlowdown: {
		func(m *destination.Model, now time.Duration, endpoint int, f *scenario.Fault) []destination.Action {
			return m.SetSlowdown(now, endpoint, f.Factor)
		},
		func(m *destination.Model, now time.Duration, endpoint int) []destination.Action {
			return m.SetSlowdown(now, endpoint, 1)
		},
	},
	scenario.FaultResets: {
		func(m *destination.Model, now time.Duration, endpoint int, f *scenario.Fault) []destination.Action {
			return m.SetResetShare(now, endpoint, f.Share)
		},
		func(m *destination.Model, now time.Duration, endpoint int) []destination.Action {
			return m.SetResetShare(now, endpoint, 0)
		},
	},
	scenario.FaultPause: {
		func(m *destination.Model, now time.Duration, endpoint int, _ *scenario.Fault) []destination.Action {
			return m.SetStopped(now, endpoint, true)
		},
		func(m *destination.Model, now time.Duration, endpoint int) []destination.Action {
			return m.SetStopped(now, endpoint, false)
		},
	},
}

// beginDegradation begins a degradation of one endpoint or of all.
func (d *destinationServer) beginDegradation(endpoint int, f *scenario.Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyActions(degradations[f.Kind].begin(d.model, d.now(), endpoint, f))
}

// endDegradation ends a degradation of one endpoint or of all.
func (d *destinationServer) endDegradation(endpoint int, f *scenario.Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyActions(degradations[f.Kind].end(d.model, d.now(), endpoint))
}
