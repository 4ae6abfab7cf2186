package simulation

import (
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/destination"
)

// In a replacement the old endpoint starts to drain drainDelay after the new endpoint is listed, and is removed removeDelay after that
// listing.
const (
	drainDelay  = time.Second
	removeDelay = 4 * time.Second
)

// faults has the function that applies each kind of fault.
var faults = map[FaultKind]func(f *fleet, fault Fault){
	FaultLimitLowered:   (*fleet).lowerLimit,
	FaultOutage:         (*fleet).beginOutage,
	FaultRecovery:       (*fleet).recoverDestination,
	FaultUnreachable:    (*fleet).makeUnreachable,
	FaultSlowdown:       (*fleet).slowDown,
	FaultErrors:         (*fleet).failAttempts,
	FaultReplacement:    (*fleet).replaceEndpoints,
	FaultKill:           (*fleet).killRelays,
	FaultRollingRestart: (*fleet).restartRelays,
	FaultDiscoveryDown:  func(f *fleet, fault Fault) { f.discovery.fail(fault.Duration) },
	FaultPartition:      (*fleet).beginPartition,
	FaultNetworkHarm:    (*fleet).harmAttempts,
	FaultCopies:         (*fleet).copyResponses,
	FaultEarlyEnds:      (*fleet).endMessagesEarly,
	FaultClientsLeaving: (*fleet).haveClientsLeave,
}

// apply begins a fault.
func (f *fleet) apply(fault Fault) { faults[fault.Kind](f, fault) }

func (f *fleet) lowerLimit(fault Fault) {
	d := f.destinations[fault.Destination]
	f.carryOut(d, d.LowerLimit(f.now, fault.Share))
}

func (f *fleet) beginOutage(fault Fault) {
	d := f.destinations[fault.Destination]
	f.record(checker.Event{Kind: checker.OutageBegan, Destination: d.number, State: "refuse"})
	f.carryOut(d, d.Fail(f.now, destination.AllEndpoints, destination.ModeRefusing, 0))
	f.resetConns(d)
}

func (f *fleet) recoverDestination(fault Fault) {
	d := f.destinations[fault.Destination]
	f.record(checker.Event{Kind: checker.OutageEnded, Destination: d.number, OK: true})
	f.carryOut(d, d.Recover(f.now, destination.AllEndpoints, true))
	for _, r := range f.relays {
		if r.alive && f.Bug.TrustsGossip {
			r.forgetOutages()
		}
	}
}

func (f *fleet) makeUnreachable(fault Fault) {
	d := f.destinations[fault.Destination]
	f.record(checker.Event{Kind: checker.OutageBegan, Destination: d.number, State: "gone"})
	f.carryOut(d, d.Fail(f.now, destination.AllEndpoints, destination.ModeUnreachable, 0))
	f.after(fault.Duration, func() { f.recoverDestination(fault) })
}

func (f *fleet) slowDown(fault Fault) {
	d := f.destinations[fault.Destination]
	f.carryOut(d, d.SetSlowdown(f.now, destination.AllEndpoints, fault.Factor))
	f.after(fault.Duration, func() { f.carryOut(d, d.SetSlowdown(f.now, destination.AllEndpoints, 1)) })
}

func (f *fleet) failAttempts(fault Fault) {
	d := f.destinations[fault.Destination]
	f.carryOut(d, d.Fail(f.now, destination.AllEndpoints, destination.ModeFailing, fault.Share))
	f.after(fault.Duration, func() { f.carryOut(d, d.Recover(f.now, destination.AllEndpoints, false)) })
}

// replaceEndpoints adds a new endpoint for each endpoint of a destination, then drains and removes the old ones.
func (f *fleet) replaceEndpoints(fault Fault) {
	d := f.destinations[fault.Destination]
	replaced := d.endpoints
	d.endpoints = nil
	for i, old := range replaced {
		index, actions := d.AddEndpoint(f.now, f.random.Stream("pause", d.number, len(replaced)+i))
		f.carryOut(d, actions)
		f.discovery.publish(f.addEndpoint(d, index), serving)
		f.after(drainDelay, func() {
			f.carryOut(d, d.DrainEndpoint(f.now, old.index))
			f.discovery.publish(old, draining)
		})
		f.after(removeDelay, func() {
			f.carryOut(d, d.RemoveEndpoint(f.now, old.index))
			f.resetConns(d)
			f.discovery.publish(old, deleted)
		})
	}
}

func (f *fleet) killRelays(fault Fault) {
	for _, r := range f.relaysFrom(fault.First, fault.Share) {
		r.kill()
	}
}

func (f *fleet) restartRelays(fault Fault) {
	for i, r := range f.relaysFrom(fault.First, fault.Share) {
		if i%2 == 0 {
			r.shutDown()
		} else {
			r.kill()
		}
	}
}

func (f *fleet) harmAttempts(fault Fault) {
	f.harmShare = fault.Share
	f.after(fault.Duration, func() { f.harmShare = 0 })
}

func (f *fleet) haveClientsLeave(fault Fault) {
	f.leavingShare = fault.Share
	f.after(fault.Duration, func() { f.leavingShare = 0 })
}

func (f *fleet) copyResponses(fault Fault) {
	f.copiedShare = fault.Share
	f.after(fault.Duration, func() { f.copiedShare = 0 })
}
