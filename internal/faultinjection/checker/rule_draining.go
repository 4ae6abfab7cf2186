package checker

import (
	"slices"
	"time"

	"frostlink/internal/settings"
)

// failedWatchFactor stretches the time within which a relay must ask for the endpoint list, after a watch that failed.
const failedWatchFactor = 4

// discoveryEvents say what a relay could know of the endpoint list.
var discoveryEvents = map[Kind]bool{
	EndpointShown: true, DiscoveryDown: true, DiscoveryUp: true, WatchRequested: true, WatchEnded: true, WatchSilent: true, Ready: true, Resumed: true,
	DiscoveryMoved: true, Killed: true, MachineLost: true, Crashed: true, Halted: true,
}

// relayEndpoint is an endpoint as one relay sees it.
type relayEndpoint struct {
	relay    int
	endpoint string
}

// checkDraining checks that no relay sent anything new to an endpoint later than the grace after it was notified, or counts as
// notified, that the endpoint drains or is removed.
func (h *history) checkDraining(log []Event) {
	notified := h.drainingNotified(log)
	grace := settings.Seconds(h.Settings.Rules.DrainGraceS) + socketSlack
	reported := map[relayEndpoint]bool{}
	for _, a := range h.attempts {
		key := relayEndpoint{a.relay, a.endpoint}
		if at, ok := notified[key]; ok && a.firstByte > at+grace && !reported[key] {
			reported[key] = true
			h.report(DrainBroken, a.firstByte, h.idOf(a), a.relay, a.destination, "sent to %s %s after it was told that this drains or is gone",
				a.endpoint, formatTime(a.firstByte-at))
		}
	}
}

// drainingNotified returns when each relay was first notified, or counts as notified, of each endpoint that drains or is
// removed.
func (h *history) drainingNotified(log []Event) map[relayEndpoint]time.Duration {
	notified := map[relayEndpoint]time.Duration{}
	note := func(key relayEndpoint, at time.Duration) {
		if known, ok := notified[key]; at < never && (!ok || at < known) {
			notified[key] = at
		}
	}
	for _, e := range log {
		if e.Kind == EndpointNotified && e.State != Serving {
			note(relayEndpoint{e.Relay, e.Endpoint}, e.At)
		}
	}
	changes := slices.DeleteFunc(slices.Clone(log), func(e Event) bool { return !discoveryEvents[e.Kind] })
	for _, e := range changes {
		if e.Kind != EndpointShown || e.State == Serving {
			continue
		}
		for relay := range h.Settings.Instances {
			note(relayEndpoint{relay, e.Endpoint}, h.countsAsNotified(changes, relay, e.At))
		}
	}
	return notified
}

// watchState is what is known of a relay's watch on the endpoint list, at some point of a log, as far as it matters for one
// change that discovery showed.
type watchState struct {
	shown      time.Duration // when discovery showed the change
	tellWithin time.Duration // what discovery shows counts as told after this, while it is up
	askWithin  time.Duration // a relay without a watch has to ask so often

	up, alive, watching bool
	upSince             time.Duration // discovery could tell the relay, from shown on
	since               time.Duration // the relay last watched or asked
	silentSince         time.Duration // its watch says nothing from then on; never: it does
	patience            time.Duration // from since on, it has to ask
}

// notifiedBefore returns when the relay counts as notified of the change, if that is before a time; else never.
func (w *watchState) notifiedBefore(at time.Duration) time.Duration {
	if !w.alive {
		return never
	}
	earliest := never
	consider := func(t time.Duration) {
		if t < at {
			earliest = min(earliest, t)
		}
	}
	if w.up && w.upSince+w.tellWithin < at {
		consider(max(w.shown, w.upSince) + w.tellWithin)
	}
	if w.silentSince < never {
		consider(max(w.silentSince+w.tellWithin, w.shown)) // one clock for all that a silent watch misses
	}
	if !w.watching {
		consider(max(w.since, w.shown) + w.patience)
	}
	return earliest
}

// read takes in an event of discovery, or one of this relay.
func (w *watchState) read(e Event) {
	switch e.Kind {
	case DiscoveryDown:
		w.up = false
	case DiscoveryUp:
		w.up, w.upSince = true, max(e.At, w.shown)
	case WatchSilent:
		w.silentSince = e.At
	case WatchRequested:
		w.since, w.watching, w.patience = e.At, e.OK, w.askWithin
		if e.OK {
			w.silentSince = never
		} else {
			w.patience = failedWatchFactor * w.askWithin
		}
	case WatchEnded:
		w.since, w.watching, w.patience = e.At, false, w.askWithin
	case Ready, Resumed:
		w.alive, w.since, w.upSince = true, e.At, max(w.upSince, e.At)
	case DiscoveryMoved:
		w.upSince, w.silentSince = max(w.upSince, e.At), never
	case Killed, MachineLost, Crashed, Halted:
		w.alive, w.watching, w.silentSince = false, false, never
	default:
	}
}

// countsAsNotified is when a relay counts as notified of what discovery showed at a time: once discovery was up for long enough
// since, or the relay neither watched nor asked for as long as the settings allow.
func (h *history) countsAsNotified(log []Event, relay int, shown time.Duration) time.Duration {
	within := settings.Seconds(h.Settings.Rules.PollWithinS)
	w := &watchState{
		shown: shown, tellWithin: h.NotifyWithin, askWithin: within,
		up: true, upSince: shown, silentSince: never, patience: within,
	}
	for _, e := range log {
		if e.At > shown {
			if at := w.notifiedBefore(e.At); at < never {
				return at
			}
		}
		if e.Kind == DiscoveryDown || e.Kind == DiscoveryUp || e.Relay == relay {
			w.read(e)
		}
	}
	return w.notifiedBefore(h.end)
}
