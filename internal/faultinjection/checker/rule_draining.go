package checker

import (
	"slices"
	"time"

	"frostlink/internal/settings"
)

// failedWatchFactor stretches the time within which a relay must ask, after a call to the register that failed.
const failedWatchFactor = 4

// discoveryEvents are the events that say what a relay could know of the register.
var discoveryEvents = map[Kind]bool{
	Shown: true, RegDown: true, RegUp: true, Asked: true, Unwatched: true, Silent: true, Ready: true, Resumed: true,
	Moved: true, Killed: true, Lost: true, Crashed: true, Halted: true,
}

// checkDraining checks that no relay sent anything new to an endpoint later than the grace after it was told that this
// drains or is gone, or counts as told.
func (j *history) checkDraining(log []Event) {
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
	news := slices.DeleteFunc(slices.Clone(log), func(e Event) bool { return !discoveryEvents[e.Kind] })
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
	for _, a := range j.attempts {
		key := about{a.relay, a.endpoint}
		if at, ok := told[key]; ok && a.firstByte > at+grace && !reported[key] {
			reported[key] = true
			j.report(DrainBroken, a.firstByte, j.idOf(a), a.relay, a.destination, "sent to %s %s after it was told that this drains or is gone",
				a.endpoint, formatTime(a.firstByte-at))
		}
	}
}

// countsAsTold is when a relay counts as told of what the register showed at a time: once the register was up for
// long enough since, or the relay neither watched nor asked for as long as the settings allow.
func (j *history) countsAsTold(log []Event, relay int, shown time.Duration) time.Duration {
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
				patience = failedWatchFactor * within
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
	return earliest(j.end)
}
