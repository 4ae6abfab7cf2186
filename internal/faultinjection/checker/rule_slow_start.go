package checker

import (
	"time"

	"frostlink/internal/settings"
)

// outage is one outage of a whole partner.
type outage struct {
	dest     int
	how      string
	from, to time.Duration
	cold     bool
}

// outages puts together when each partner was out as a whole.
func (j *history) outages(log []Event) []outage {
	var all []outage
	open := map[int]int{} // destination to its place in all
	for _, e := range log {
		switch {
		case e.Host != "":
		case e.Kind == Out:
			if i, ok := open[e.Dest]; ok {
				all[i].to = e.At
			}
			open[e.Dest] = len(all)
			all = append(all, outage{dest: e.Dest, how: e.State, from: e.At, to: never})
		case e.Kind == Back:
			if i, ok := open[e.Dest]; ok {
				all[i].to, all[i].cold = e.At, e.OK
				delete(open, e.Dest)
			}
		}
	}
	return all
}

// checkSlowStart checks that no partner that came back cold was pushed over by relays that had seen it fail.
func (j *history) checkSlowStart(log []Event) {
	r := &j.Settings.Rules
	width := settings.Seconds(r.OverloadForS)
	all := j.outages(log)
	for _, o := range all {
		if !o.cold {
			continue
		}
		d := j.Destinations[o.dest]
		until := o.to + d.Warm
		for _, later := range all { // it went out again, or fell
			if later.dest == o.dest && later.from >= o.to {
				until = min(until, later.from)
			}
		}
		knew := map[int]bool{}
		for relay := range j.Settings.NInstances {
			knew[relay] = j.sawOutage(relay, o)
		}
		var within []*attempt
		for _, a := range j.attempts {
			if a.destination != o.dest || a.lastByte < o.to || a.lastByte > until {
				continue
			}
			within = append(within, a)
			for within[0].lastByte < a.lastByte-width {
				within = within[1:]
			}
			warmth := d.ColdShare + (1-d.ColdShare)*min(1, float64(a.lastByte-o.to)/float64(max(1, d.Warm)))
			budget := r.OverloadFactor*d.Capacity*warmth*r.OverloadForS + overloadSlack
			if float64(len(within)) <= budget {
				continue
			}
			guilty, most, by := 0, 0, map[int]int{}
			for _, p := range within {
				if knew[p.relay] {
					guilty++
					by[p.relay]++
					if by[p.relay] > by[most] || by[most] == 0 {
						most = p.relay
					}
				}
			}
			if float64(guilty) >= overloadShare*float64(len(within)) {
				j.report(PushedOver, a.lastByte, "", most, o.dest, "%d calls in %.1f s, %s after its outage, where it bears %.0f; %d of them by relays that had seen it out",
					len(within), r.OverloadForS, formatTime(a.lastByte-o.to), budget, guilty)
			}
			break
		}
	}
}

// sawOutage tells whether a relay had a call or probe fail or be refused at a partner during its outage. Connections
// that the kernel refuses, or that never come up, no stand-in sees: there a relay that held a message for the
// partner for long enough is held to have tried.
func (j *history) sawOutage(relay int, o outage) bool {
	for _, a := range j.attempts {
		if a.relay == relay && a.destination == o.dest && a.firstByte <= o.to && a.endedAt >= o.from && a.failed() {
			return true
		}
	}
	need := observedAfter
	switch o.how {
	case "gone":
		need += settings.Seconds(j.Settings.Limits.ConnTimeoutS)
	case "refuse", "fell":
	default:
		return false
	}
	for _, c := range j.requests {
		if c.relay != relay || c.destination != o.dest || !c.accepted {
			continue
		}
		end := c.completedAt()
		if end < 0 {
			end = c.deadline
		}
		if min(end, o.to)-max(c.answeredAt, o.from) >= need {
			return true
		}
	}
	return false
}
