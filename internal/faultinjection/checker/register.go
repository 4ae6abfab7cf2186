package checker

import (
	"slices"
	"time"

	"frostlink/internal/settings"
)

// failedAsk stretches the time within which a relay must ask, after a call to the register that failed.
const failedAsk = 4

// ofRegister are the events that say what a relay could know of the register.
var ofRegister = map[Kind]bool{
	Shown: true, RegDown: true, RegUp: true, Asked: true, Unwatched: true, Silent: true, Ready: true, Resumed: true,
	Moved: true, Killed: true, Lost: true, Crashed: true, Halted: true,
}

// drains checks that no relay sent anything new to an endpoint later than the grace after it was told that this
// drains or is gone, or counts as told.
func (j *judge) drains(log []Event) {
	type about struct {
		relay int
		host  string
	}
	told := map[about]time.Duration{}
	for _, e := range log {
		if e.Kind == Told && e.State != Serving {
			key := about{e.Relay, e.Host}
			if _, known := told[key]; !known {
				told[key] = e.At
			}
		}
	}
	news := slices.DeleteFunc(slices.Clone(log), func(e Event) bool { return !ofRegister[e.Kind] })
	for _, e := range news {
		if e.Kind != Shown || e.State == Serving {
			continue
		}
		for relay := range j.Settings.NInstances {
			key := about{relay, e.Host}
			at := j.countsAsTold(news, relay, e.At)
			if was, known := told[key]; at < never && (!known || at < was) {
				told[key] = at
			}
		}
	}
	grace := settings.Seconds(j.Settings.Rules.DrainGraceS) + socketSlack
	reported := map[about]bool{}
	for _, a := range j.listed {
		key := about{a.relay, a.host}
		if at, ok := told[key]; ok && a.first > at+grace && !reported[key] {
			reported[key] = true
			j.breach(DrainBroken, a.first, j.idOf(a), a.relay, a.dest, "sent to %s %s after it was told that this drains or is gone",
				a.host, clock(a.first-at))
		}
	}
}

// countsAsTold is when a relay counts as told of what the register showed at a time: once the register was up for
// long enough since, or the relay neither watched nor asked for as long as the settings allow.
func (j *judge) countsAsTold(log []Event, relay int, shown time.Duration) time.Duration {
	within := settings.Seconds(j.Settings.Rules.AskWithinS)
	up, watching, alive := true, false, false
	silent := never                  // since then its watch says nothing: one clock for all that it misses
	var since, upSince time.Duration // it last watched or asked; the register has been up, from shown on
	upSince = shown
	patience := within
	earliest := func(at time.Duration) time.Duration {
		best := never
		if up && alive && upSince+j.TellWithin < at {
			best = max(shown, upSince) + j.TellWithin
		}
		if heard := silent + j.TellWithin; silent < never && alive && max(heard, shown) < at {
			best = min(best, max(heard, shown))
		}
		if !watching && alive && max(since, shown)+patience < at {
			best = min(best, max(since, shown)+patience)
		}
		return best
	}
	for _, e := range log {
		if e.At > shown {
			if at := earliest(e.At); at < never {
				return at
			}
		}
		switch {
		case e.Kind == RegDown:
			up = false
		case e.Kind == RegUp:
			up, upSince = true, max(e.At, shown)
		case e.Relay != relay:
		case e.Kind == Silent:
			silent = e.At
		case e.Kind == Asked:
			since, watching, patience = e.At, e.OK, within
			if e.OK {
				silent = never
			}
			if !e.OK {
				patience = failedAsk * within
			}
		case e.Kind == Unwatched:
			since, watching, patience = e.At, false, within
		case e.Kind == Ready, e.Kind == Resumed:
			alive, since, upSince = true, e.At, max(upSince, e.At)
		case e.Kind == Moved:
			upSince, silent = max(upSince, e.At), never
		case e.Kind == Killed, e.Kind == Lost, e.Kind == Crashed, e.Kind == Halted:
			alive, watching, silent = false, false, never
		}
	}
	return earliest(j.over)
}

// outage is one outage of a whole partner.
type outage struct {
	dest     int
	how      string
	from, to time.Duration
	cold     bool
}

// outages puts together when each partner was out as a whole.
func (j *judge) outages(log []Event) []outage {
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

// returns checks that no partner that came back cold was pushed over by relays that had seen it fail.
func (j *judge) returns(log []Event) {
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
		for _, a := range j.listed {
			if a.dest != o.dest || a.last < o.to || a.last > until {
				continue
			}
			within = append(within, a)
			for within[0].last < a.last-width {
				within = within[1:]
			}
			warmth := d.ColdShare + (1-d.ColdShare)*min(1, float64(a.last-o.to)/float64(max(1, d.Warm)))
			budget := r.OverloadFactor*d.Capacity*warmth*r.OverloadForS + pushSlack
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
			if float64(guilty) >= pushShare*float64(len(within)) {
				j.breach(PushedOver, a.last, "", most, o.dest, "%d calls in %.1f s, %s after its outage, where it bears %.0f; %d of them by relays that had seen it out",
					len(within), r.OverloadForS, clock(a.last-o.to), budget, guilty)
			}
			break
		}
	}
}

// sawOutage tells whether a relay had a call or probe fail or be refused at a partner during its outage. Connections
// that the kernel refuses, or that never come up, no stand-in sees: there a relay that held a message for the
// partner for long enough is held to have tried.
func (j *judge) sawOutage(relay int, o outage) bool {
	for _, a := range j.listed {
		if a.relay == relay && a.dest == o.dest && a.first <= o.to && a.ended >= o.from && a.failed() {
			return true
		}
	}
	need := seenAfter
	switch o.how {
	case "gone":
		need += settings.Seconds(j.Settings.Limits.ConnTimeoutS)
	case "refuse", "fell":
	default:
		return false
	}
	for _, c := range j.order {
		if c.relay != relay || c.dest != o.dest || !c.taken {
			continue
		}
		end := c.end()
		if end < 0 {
			end = c.expires
		}
		if min(end, o.to)-max(c.answered, o.from) >= need {
			return true
		}
	}
	return false
}
