package harness

import (
	"fmt"
	"strings"

	"frostlink/internal/faultinjection/scenario"
)

// relayFault injects a fault into a relay, and returns when the fault is over.
type relayFault func(*relay, *scenario.Fault)

// relayFaults are the faults that are injected into relays, and the actions of operators on relays.
var relayFaults = map[scenario.FaultKind]relayFault{
	scenario.FaultKill:           repeatedly(func(r *relay, f *scenario.Fault) { r.killAndRestart(f, false) }),
	scenario.FaultMachineLost:    func(r *relay, f *scenario.Fault) { r.killAndRestart(f, true) },
	scenario.FaultTerminate:      repeatedly((*relay).restart),
	scenario.FaultSuspend:        func(r *relay, f *scenario.Fault) { r.suspend(scenario.Seconds(f.Duration)) },
	scenario.FaultUpgrade:        repeatedly(func(r *relay, f *scenario.Fault) { r.upgrade(f.Signals) }),
	scenario.FaultCrowd:          func(r *relay, f *scenario.Fault) { r.crowd(scenario.Seconds(f.Duration), f.IdleCallers, f.Hostile) },
	scenario.FaultStandby:        func(r *relay, f *scenario.Fault) { r.standby(scenario.Seconds(f.Duration)) },
	scenario.FaultSettingsChange: func(r *relay, f *scenario.Fault) { r.applySettings(f) },
	scenario.FaultAdminLoad:      func(r *relay, f *scenario.Fault) { r.scrape(scenario.Seconds(f.Duration), f.IdleCallers) },
	scenario.FaultSyscallErrors:  func(r *relay, f *scenario.Fault) { r.failSyscalls(f, scenario.SocketSyscalls[f.Syscall]) },
	scenario.FaultDiskErrors:     func(r *relay, f *scenario.Fault) { r.failSyscalls(f, scenario.FileSyscalls...) },
	scenario.FaultClockStep: recordingFailure(func(r *relay, f *scenario.Fault) error {
		return r.clock.Step(scenario.Seconds(f.ClockStep))
	}),
	scenario.FaultDiscoveryMove: recordingFailure(func(r *relay, _ *scenario.Fault) error { return r.moveDiscovery() }),
}

// repeatedly returns a fault that calls inject, which replaces a relay's process, and calls it again if the scenario specifies a
// second replacement.
func repeatedly(inject relayFault) relayFault {
	return func(r *relay, f *scenario.Fault) {
		inject(r, f)
		r.repeatFault(f, func() { inject(r, f) })
	}
}

// recordingFailure returns a fault that records a failure of the run if its injection fails.
func recordingFailure(inject func(*relay, *scenario.Fault) error) relayFault {
	return func(r *relay, f *scenario.Fault) {
		if err := inject(r, f); err != nil {
			r.h.recordFailure("%s: %v", r.name, err)
		}
	}
}

// scheduleRelayFault schedules a fault of one relay or of all. The timeline does not wait for the end of the fault.
func scheduleRelayFault(h *harness, f *scheduledFault, inject relayFault) (actions []scheduledAction) {
	for i, r := range h.relays {
		if f.Relay != 0 && f.Relay != i+1 {
			continue
		}
		actions = append(actions, scheduledAction{f.begin, f.describeRelay(r), func() {
			h.background.Go(func() { inject(r, f.Fault) })
		}})
	}
	return actions
}

// describeRelay describes a fault of a relay.
func (f *scheduledFault) describeRelay(r *relay) string {
	text := r.name + ": " + f.Kind
	if f.Errno != "" {
		text = fmt.Sprintf("%s: %s %s with %s in %v of calls for %v s", r.name, f.Kind, f.Syscall, f.Errno, f.Share, f.Duration)
	}
	if f.ClockStep != 0 {
		text += fmt.Sprintf(" by %+v s", f.ClockStep)
	}
	return strings.TrimSpace(text)
}
