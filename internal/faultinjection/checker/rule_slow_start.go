package checker

import (
	"time"

	"frostlink/internal/settings"
)

// checkSlowStart checks that no destination that was cold after an outage was overloaded by relays that had observed the outage.
func (h *history) checkSlowStart(log []Event) {
	all := readOutages(log)
	for _, o := range all {
		if o.cold {
			h.checkRecovery(o, warmUpEnd(h.Destinations[o.destination], o, all))
		}
	}
}

// warmUpEnd returns when a destination has warmed up after an outage, or when its next outage begins if that is earlier.
func warmUpEnd(d Destination, o outage, all []outage) time.Duration {
	until := o.to + d.SlowStartTime
	for _, later := range all {
		if later.destination == o.destination && later.from >= o.to {
			until = min(until, later.from)
		}
	}
	return until
}

// checkRecovery checks the recovery from one outage. It reports only the first overload, because the overload takes the destination
// out again.
func (h *history) checkRecovery(o outage, until time.Duration) {
	window := settings.Seconds(h.Settings.Rules.OverloadWindowS)
	observed := map[int]bool{}
	for relay := range h.Settings.Instances {
		observed[relay] = h.observedOutage(relay, o)
	}
	var recent []*attempt
	for _, a := range h.attempts {
		if a.destination != o.destination || a.lastByte < o.to || a.lastByte > until {
			continue
		}
		recent = append(recent, a)
		for recent[0].lastByte < a.lastByte-window {
			recent = recent[1:]
		}
		budget := h.recoveryBudget(o, a.lastByte)
		if float64(len(recent)) <= budget {
			continue
		}
		byObservers, busiest := countByObservers(recent, observed)
		if float64(byObservers) >= overloadShare*float64(len(recent)) {
			h.report(DestinationOverloaded, a.lastByte, "", busiest, o.destination, "%d calls in %.1f s, %s after its outage, where it bears %.0f; %d of them by relays that had seen it out",
				len(recent), h.Settings.Rules.OverloadWindowS, formatTime(a.lastByte-o.to), budget, byObservers)
		}
		return
	}
}

// recoveryBudget returns the number of attempts that a destination may get within the overload window at a time after an outage.
func (h *history) recoveryBudget(o outage, at time.Duration) float64 {
	rules, d := &h.Settings.Rules, h.Destinations[o.destination]
	capacityFraction := d.ColdCapacity + (1-d.ColdCapacity)*min(1, float64(at-o.to)/float64(max(1, d.SlowStartTime)))
	return rules.OverloadFactor*d.Capacity*capacityFraction*rules.OverloadWindowS + overloadSlack
}

// countByObservers returns the number of attempts by relays that had observed an outage, and the relay that made most of them.
func countByObservers(attempts []*attempt, observed map[int]bool) (count, busiest int) {
	byRelay := map[int]int{}
	for _, a := range attempts {
		if !observed[a.relay] {
			continue
		}
		count++
		byRelay[a.relay]++
		if byRelay[a.relay] > byRelay[busiest] || byRelay[busiest] == 0 {
			busiest = a.relay
		}
	}
	return count, busiest
}

// observedOutage reports whether an attempt or health check of a relay failed or was rejected at a destination during its outage.
// The log does not show connections that the kernel refused or that were never established. For such an outage a relay counts as
// having observed it if the relay had a request for the destination in flight for long enough.
func (h *history) observedOutage(relay int, o outage) bool {
	for _, a := range h.attempts {
		if a.relay == relay && a.destination == o.destination && a.firstByte <= o.to && a.endedAt >= o.from && a.failed() {
			return true
		}
	}
	needed := observedAfter
	switch o.kind {
	case outageUnreachable:
		needed += settings.Seconds(h.Settings.Limits.ConnectTimeoutS)
	case outageRefused, outageOverloaded:
	default:
		return false
	}
	for _, r := range h.requests {
		if r.relay == relay && r.destination == o.destination && r.accepted && r.inFlightDuring(o) >= needed {
			return true
		}
	}
	return false
}

// inFlightDuring returns for how long during an outage a request was accepted and not completed.
func (r *request) inFlightDuring(o outage) time.Duration {
	completed := r.completedAt()
	if completed < 0 {
		completed = r.deadline
	}
	return min(completed, o.to) - max(r.answeredAt, o.from)
}
