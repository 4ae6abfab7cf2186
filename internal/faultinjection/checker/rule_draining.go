package checker

import (
	"slices"
	"time"

	"frostlink/internal/settings"
)

// failedWatchFactor multiplies the time within which a relay must poll the endpoint list after a request for a watch has failed.
const failedWatchFactor = 4

// discoveryEvents are the kinds of events that affect when a relay can get a change of the endpoint list.
var discoveryEvents = map[Kind]bool{
	EndpointShown: true, DiscoveryDown: true, DiscoveryUp: true, WatchRequested: true, WatchEnded: true, WatchSilent: true, Ready: true, Resumed: true,
	DiscoveryMoved: true, Killed: true, MachineLost: true, Crashed: true, Halted: true,
}

// relayEndpoint is a pair of a relay and an endpoint.
type relayEndpoint struct {
	relay    int
	endpoint string
}

// checkDraining checks that no relay began an attempt or a health check at an endpoint after the grace period that starts when the
// relay was notified, or counts as notified, that the endpoint drains or is removed.
func (h *history) checkDraining(log []Event) {
	notified := h.drainNotifications(log)
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

// drainNotifications returns, for each relay and each endpoint that drains or is removed, when the relay was first notified of it or
// counts as notified.
func (h *history) drainNotifications(log []Event) map[relayEndpoint]time.Duration {
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
			note(relayEndpoint{relay, e.Endpoint}, h.countsAsNotifiedAt(changes, relay, e.At))
		}
	}
	return notified
}

// watchState is the state of a relay's watch on the endpoint list at one point of a log. It is used to find out when the relay counts
// as notified of one change of the list.
type watchState struct {
	shownAt      time.Duration // when discovery showed the change
	notifyWithin time.Duration // while discovery is up, a relay counts as notified after this time
	pollWithin   time.Duration // a relay without a watch has to poll within this time

	up       bool // discovery responds
	alive    bool // the relay's process runs
	watching bool // the relay has a watch

	reachableSince time.Duration // the time, not before shownAt, from which on discovery can notify the relay
	lastContact    time.Duration // when the relay last requested or lost a watch, or became ready
	silentSince    time.Duration // the time from which on discovery sends nothing on the watch; never: the watch is not silent
	pollDue        time.Duration // time after lastContact within which the relay has to poll
}

// notifiedBefore returns when the relay counts as notified of the change if that is before the given time, and never otherwise.
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
		consider(max(w.silentSince+w.notifyWithin, w.shownAt)) // the time limit counts from the time at which the watch became silent, and is the same for all changes that the watch misses
	}
	if !w.watching {
		consider(max(w.lastContact, w.shownAt) + w.pollDue)
	}
	return earliest
}

// read reads an event of discovery or of this relay.
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

// countsAsNotifiedAt returns when a relay counts as notified of a change that discovery showed at a time: as soon as discovery has
// been up for NotifyWithin since the change, the relay's watch has been silent for NotifyWithin, or the relay has neither watched nor
// polled for the longest time that the settings allow.
func (h *history) countsAsNotifiedAt(log []Event, relay int, shownAt time.Duration) time.Duration {
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
