package checker

import "testing"

func TestJudge_ReportsAttemptsAtDrainingEndpoints(t *testing.T) {
	judgeEachViolation(t, map[string]violationCase{
		"an attempt after the time limit of a silent watch": {DrainBroken, func(l *logBuilder) {
			l.silentWatch()
			l.submit(8*sec, "a", status)
			l.attempt(8100*ms, "a", "h", OK, ms)
		}},
		"an attempt after the grace period": {DrainBroken, func(l *logBuilder) {
			l.notifyEndpoint(Draining)
			l.submit(sec, "a", status)
			l.attempt(2100*ms, "a", "h", OK, ms)
		}},
		"an attempt at a deleted endpoint": {DrainBroken, func(l *logBuilder) {
			l.notifyEndpoint(Deleted)
			l.submit(sec, "a", status)
			l.attempt(2100*ms, "a", "h", Rejected, ms)
			l.attempt(2200*ms, "a", "g", OK, ms)
		}},
		"an attempt after the relay counts as notified": {DrainBroken, func(l *logBuilder) {
			l.startRelays()
			l.showDraining()
			l.submit(sec, "a", status)
			l.attempt(8100*ms, "a", "h", OK, ms)
		}},
		"an attempt of a relay that polls too late": {DrainBroken, func(l *logBuilder) {
			l.startRelays()
			l.add(Event{At: 500 * ms, Kind: WatchEnded})
			l.discoveryDown(600 * ms)
			l.showDraining()
			l.submit(5*sec, "a", status)
			l.attempt(12100*ms, "a", "h", OK, ms)
		}},
	})
}

func TestJudge_AllowsAttemptsBeforeNotification(t *testing.T) {
	judgeWithoutViolations(t, map[string]func(l *logBuilder){
		"an attempt within the time limit of a silent watch": func(l *logBuilder) {
			l.silentWatch()
			l.submit(7*sec, "a", status)
			l.attempt(8*sec, "a", "h", OK, ms)
		},
		"a new watch before the time limit of a silent watch": func(l *logBuilder) { // the new watch delivers the changes that the silent one missed
			l.silentWatch()
			l.add(Event{At: 2500 * ms, Kind: WatchRequested, OK: true})
			l.submit(8*sec, "a", status)
			l.attempt(8100*ms, "a", "h", OK, ms)
		},
		"an attempt within the grace period": func(l *logBuilder) {
			l.notifyEndpoint(Draining)
			l.submit(sec, "a", status)
			l.attempt(2040*ms, "a", "h", OK, ms)
		},
		"an attempt before the relay counts as notified": func(l *logBuilder) {
			l.startRelays()
			l.showDraining()
			l.submit(sec, "a", status)
			l.attempt(8*sec, "a", "h", OK, ms)
		},
		"an attempt while discovery is down": func(l *logBuilder) {
			l.startRelays()
			l.discoveryDown(1500 * ms)
			l.showDraining()
			l.submit(sec, "a", status)
			l.attempt(9*sec, "a", "h", OK, ms)
			l.add(Event{At: 30 * sec, Kind: DiscoveryUp})
		},
		"only another relay was notified": func(l *logBuilder) {
			l.add(Event{At: sec, Kind: EndpointNotified, Relay: 1, Endpoint: "h", State: Draining})
			l.submit(sec, "a", status)
			l.attempt(4*sec, "a", "h", OK, ms)
		},
	})
}
