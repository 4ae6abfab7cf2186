package checker

import (
	"time"

	"frostlink/internal/settings"
)

// outage is an outage of a whole destination.
type outage struct {
	destination int
	how         string
	from, to    time.Duration
	cold        bool // the destination came back cold
}

// outages returns when each destination was out as a whole.
func outages(log []Event) []outage {
	var all []outage
	open := map[int]int{} // destination to its place in all
	for _, e := range log {
		switch {
		case e.Endpoint != "":
		case e.Kind == OutageBegan:
			if i, ok := open[e.Destination]; ok {
				all[i].to = e.At
			}
			open[e.Destination] = len(all)
			all = append(all, outage{destination: e.Destination, how: e.State, from: e.At, to: never})
		case e.Kind == OutageEnded:
			if i, ok := open[e.Destination]; ok {
				all[i].to, all[i].cold = e.At, e.OK
				delete(open, e.Destination)
			}
		}
	}
	return all
}

// checkSlowStart checks that no destination that came back cold was overloaded by relays that had observed its outage.
func (h *history) checkSlowStart(log []Event) {
	all := outages(log)
	for _, o := range all {
		if o.cold {
			h.checkRecovery(o, warmingUntil(h.Destinations[o.destination], o, all))
		}
	}
}

// warmingUntil is when a destination is warm after an outage, or out again.
func warmingUntil(d Destination, o outage, all []outage) time.Duration {
	until := o.to + d.SlowStartTime
	for _, later := range all {
		if later.destination == o.destination && later.from >= o.to {
			until = min(until, later.from)
		}
	}
	return until
}

// checkRecovery checks the recovery from one outage. It reports the first overload only: from there on the destination is out.
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
		guilty, worst := countGuilty(recent, observed)
		if float64(guilty) >= overloadShare*float64(len(recent)) {
			h.report(DestinationOverloaded, a.lastByte, "", worst, o.destination, "%d calls in %.1f s, %s after its outage, where it bears %.0f; %d of them by relays that had seen it out",
				len(recent), h.Settings.Rules.OverloadWindowS, formatTime(a.lastByte-o.to), budget, guilty)
		}
		return
	}
}

// recoveryBudget is how many attempts in the window of the settings a destination bears at a time after an outage.
func (h *history) recoveryBudget(o outage, at time.Duration) float64 {
	rules, d := &h.Settings.Rules, h.Destinations[o.destination]
	warmth := d.ColdCapacity + (1-d.ColdCapacity)*min(1, float64(at-o.to)/float64(max(1, d.SlowStartTime)))
	return rules.OverloadFactor*d.Capacity*warmth*rules.OverloadWindowS + overloadSlack
}

// countGuilty counts the attempts of relays that had observed an outage, and names the relay that made most of them.
func countGuilty(attempts []*attempt, observed map[int]bool) (guilty, worst int) {
	byRelay := map[int]int{}
	for _, a := range attempts {
		if !observed[a.relay] {
			continue
		}
		guilty++
		byRelay[a.relay]++
		if byRelay[a.relay] > byRelay[worst] || byRelay[worst] == 0 {
			worst = a.relay
		}
	}
	return guilty, worst
}

// observedOutage reports whether a relay had an attempt or probe fail or be rejected at a destination during its outage.
// Connections that the kernel refuses, or that never come up, no stand-in sees: there a relay that held a request for the
// destination for long enough counts as having tried.
func (h *history) observedOutage(relay int, o outage) bool {
	for _, a := range h.attempts {
		if a.relay == relay && a.destination == o.destination && a.firstByte <= o.to && a.endedAt >= o.from && a.failed() {
			return true
		}
	}
	need := observedAfter
	switch o.how {
	case "gone":
		need += settings.Seconds(h.Settings.Limits.ConnectTimeoutS)
	case "refuse", "fell":
	default:
		return false
	}
	for _, r := range h.requests {
		if r.relay == relay && r.destination == o.destination && r.accepted && r.heldDuring(o) >= need {
			return true
		}
	}
	return false
}

// heldDuring is for how long of an outage a relay held a request.
func (r *request) heldDuring(o outage) time.Duration {
	end := r.completedAt()
	if end < 0 {
		end = r.deadline
	}
	return min(end, o.to) - max(r.answeredAt, o.from)
}
