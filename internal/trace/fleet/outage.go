package fleet

import "frostlink/internal/trace"

const (
	// minOutage, in milliseconds, without a delivery and with at least minFailures failed attempts is an outage: shorter
	// gaps are common where a rate limit binds.
	minOutage   = 1000
	minFailures = 10
	// recoveryWindow, in milliseconds, after an outage is looked at closely: a destination that recovers is warming up.
	recoveryWindow = 3000
)

// Outage is a time in which a destination delivered nothing.
type Outage struct {
	From     float64 `json:"from_s"`
	To       float64 `json:"to_s"`
	Attempts int     `json:"calls"`  // made in it
	Relays   int     `json:"relays"` // that made them

	// Within the recovery window: attempts, the relays that made them, and those of the relays that had made none in the
	// outage, and so could not know of it.
	RecoveryAttempts int `json:"knocks"`
	RecoveryRelays   int `json:"knockers"`
	UnawareRelays    int `json:"unwarned"`
}

// outages finds the times without a delivery.
func (d *destinationEvents) outages(start float64) []Outage {
	var out []Outage
	failures := 0
	var from, last float64
	for i, e := range d.ended {
		last = e.At
		delivered := e.Outcome == trace.Delivered
		if !delivered {
			failures++
			if failures == 1 {
				from = e.At - e.DurationMs // it was sent while the destination was unhealthy already
			}
		}
		if !delivered && i < len(d.ended)-1 {
			continue
		}
		if failures >= minFailures && last-from >= minOutage {
			out = append(out, d.outage(from, last, start))
		}
		failures = 0
	}
	return out
}

// outage counts the attempts in an outage and in its recovery window.
func (d *destinationEvents) outage(from, to, start float64) Outage {
	out := Outage{From: (from - start) / millisecondsPerSecond, To: (to - start) / millisecondsPerSecond}
	aware := map[string]bool{}
	recovery := map[string]bool{}
	for _, e := range d.started {
		switch {
		case e.At >= from && e.At < to:
			out.Attempts++
			aware[e.Relay] = true
		case e.At >= to && e.At < to+recoveryWindow:
			out.RecoveryAttempts++
			if !recovery[e.Relay] && !aware[e.Relay] {
				out.UnawareRelays++
			}
			recovery[e.Relay] = true
		}
	}
	out.Relays = len(aware)
	out.RecoveryRelays = len(recovery)
	return out
}
