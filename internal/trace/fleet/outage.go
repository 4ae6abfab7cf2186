package fleet

import "frostlink/internal/trace"

const (
	// An outage is a time without a delivery that lasts at least minOutage, in milliseconds, and has at least minFailures
	// failed attempts. Shorter gaps are common while a rate limit is reached.
	minOutage   = 1000
	minFailures = 10
	// recoveryWindow, in milliseconds, is the time after an outage in which attempts are counted separately, because a
	// destination is warming up then.
	recoveryWindow = 3000
)

// Outage is a time in which a destination delivered nothing.
type Outage struct {
	From     float64 `json:"from_s"` // seconds since the first event of the traces
	To       float64 `json:"to_s"`
	Attempts int     `json:"calls"`  // attempts started during the outage
	Relays   int     `json:"relays"` // relays that started them

	// The attempts started within the recovery window, the relays that started them, and how many of these relays had
	// started none during the outage and so could not have detected it.
	RecoveryAttempts int `json:"knocks"`
	RecoveryRelays   int `json:"knockers"`
	UnawareRelays    int `json:"unwarned"`
}

// outages finds the outages of the destination. start is the time of the first event of the traces.
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
				from = e.At - e.DurationMs // the destination was already unhealthy when the attempt was sent
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
