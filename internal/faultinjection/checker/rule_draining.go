package checker

import (
	"slices"
	"time"

	"frostlink/internal/settings"
)

// failedWatchFactor extends the time within which a relay must poll the endpoint list, after a watch that failed.
const failedWatchFactor = 4

// discoveryEvents are the kinds of events that decide what a relay can know of the endpoint list.
var discoveryEvents = map[Kind]bool{
	EndpointShown: true, DiscoveryDown: true, DiscoveryUp: true, WatchRequested: true, WatchEnded: true, WatchSilent: true, Ready: true, Resumed: true,
	DiscoveryMoved: true, Killed: true, MachineLost: true, Crashed: true, Halted: true,
}

// relayEndpoint is an endpoint as one relay sees it.
type relayEndpoint struct {
	relay    int
	endpoint string
}

// checkDraining checks that no relay sent anything new to an endpoint later than the grace period after it was notified, or
// counts as notified, that the endpoint drains or is removed.
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

// drainingNotified returns when each relay was first notified, or counts as notified, that an endpoint drains or is removed,
// for each such endpoint.
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

// watchState is the state of a relay's watch on the endpoint list at some point of a log, as far as it matters for one change
// that discovery showed.
type watchState struct {
	shownAt      time.Duration // when discovery showed the change
	notifyWithin time.Duration // a relay counts as notified after this, while discovery is up
	pollWithin   time.Duration // a relay without a watch has to poll as often

	up       bool // discovery
	alive    bool // the relay
	watching bool

	reachableSince time.Duration // from shownAt on, discovery could notify the relay from then on
	lastContact    time.Duration // when the relay last watched or polled
	silentSince    time.Duration // its watch sends nothing from then on; never: it does
	pollDue        time.Duration // how long after lastContact the relay has to poll
}

// notifiedBefore returns when the relay counts as notified of the change, if that is before a time; else never.
func (w *watchState) notifiedBefore(at time.Duration) time.Duration {
	if !w.alive {
		return never
	}
	earliest := never
	consider := func(notifiedAt time.Duration) {
		if notifiedAt < at {
			earliest = min(earliest, notifiedAt)
		}
	}
	if w.up && w.reachableSince+w.notifyWithin < at {
		consider(max(w.shownAt, w.reachableSince) + w.notifyWithin)
	}
	if w.silentSince < never {
		consider(max(w.silentSince+w.notifyWithin, w.shownAt)) // one time limit for all that a silent watch misses
	}
	if !w.watching {
		consider(max(w.lastContact, w.shownAt) + w.pollDue)
	}
	return earliest
}

// read reads an event of discovery, or of this relay.
func (w *watchState) read(e Event) {
	switch e.Kind {
	case DiscoveryDown:
		w.up = false
	case DiscoveryUp:
		w.up, w.reachableSince = true, max(e.At, w.shownAt)
	case WatchSilent:
		w.silentSince = e.At
	case WatchRequested:
		w.lastContact, w.watching, w.pollDue = e.At, e.OK, w.pollWithin
		if e.OK {
			w.silentSince = never
		} else {
			w.pollDue = failedWatchFactor * w.pollWithin
		}
	case WatchEnded:
		w.lastContact, w.watching, w.pollDue = e.At, false, w.pollWithin
	case Ready, Resumed:
		w.alive, w.lastContact, w.reachableSince = true, e.At, max(w.reachableSince, e.At)
	case DiscoveryMoved:
		w.reachableSince, w.silentSince = max(w.reachableSince, e.At), never
	case Killed, MachineLost, Crashed, Halted:
		w.alive, w.watching, w.silentSince = false, false, never
	default:
	}
}

// countsAsNotified is when a relay counts as notified of what discovery showed at a time: once discovery has been up for long
// enough since, or the relay has neither watched nor polled for as long as the settings allow.
func (h *history) countsAsNotified(log []Event, relay int, shownAt time.Duration) time.Duration {
	pollWithin := settings.Seconds(h.Settings.Rules.PollWithinS)
	w := &watchState{
		shownAt: shownAt, notifyWithin: h.NotifyWithin, pollWithin: pollWithin,
		up: true, reachableSince: shownAt, silentSince: never, pollDue: pollWithin,
	}
	for _, e := range log {
		if e.At > shownAt {
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
