package fleet

import (
	"fmt"
	"maps"
	"slices"

	"frostlink/internal/trace"
)

// clockTolerance, in milliseconds, is the largest decrease of time from one line of a log to the next that is not reported as
// a step of the clock. Smaller decreases occur because goroutines write their lines concurrently.
const clockTolerance = 20

// Index holds the traces of a fleet by relay, message and idempotency key.
type Index struct {
	FleetSize int      // largest number of relays in the settings with which a relay started; 0: the logs contain no start
	Gaps      []string // descriptions of what is missing from the logs as a whole

	relays      map[string]*relayLog
	messages    map[string][]RelayEvent // events by message id, in the order of the logs
	submissions map[string][]RelayEvent // events Accepted and Rejected, by key
}

// relayLog holds the process events of one relay's log.
type relayLog struct {
	starts       []float64
	shutdowns    []float64
	lastEvent    float64 // latest time in the log
	backwardStep float64 // largest backward step of the clock that exceeds clockTolerance; 0: none
}

// NewIndex indexes the events of logs. The events of each relay must be consecutive and in the order of its log.
func NewIndex(logs *Logs) *Index {
	index := &Index{
		relays:      map[string]*relayLog{},
		messages:    map[string][]RelayEvent{},
		submissions: map[string][]RelayEvent{},
	}
	for _, e := range logs.Events {
		index.addToRelay(&e)
		if e.ID == "" {
			continue
		}
		index.messages[e.ID] = append(index.messages[e.ID], e)
		if submitted := e.Kind == trace.Accepted || e.Kind == trace.Rejected; submitted && e.Key != "" {
			index.submissions[e.Key] = append(index.submissions[e.Key], e)
		}
	}
	index.findGaps(len(logs.BadLines))
	return index
}

func (x *Index) addToRelay(e *RelayEvent) {
	relay := x.relays[e.Relay]
	if relay == nil {
		relay = &relayLog{lastEvent: e.At}
		x.relays[e.Relay] = relay
	}
	if step := relay.lastEvent - e.At; step > max(clockTolerance, relay.backwardStep) {
		relay.backwardStep = step
	}
	relay.lastEvent = max(relay.lastEvent, e.At)
	switch e.Kind {
	case trace.RelayStarted:
		relay.starts = append(relay.starts, e.At)
		x.FleetSize = max(x.FleetSize, e.Count)
	case trace.ShutdownRequested:
		relay.shutdowns = append(relay.shutdowns, e.At)
	default: // not a process event
	}
}

func (x *Index) findGaps(badLines int) {
	if missing := x.FleetSize - len(x.relays); missing > 0 {
		x.addGap("the settings name %d relays, and there are logs of %d: what the other %d did does not show",
			x.FleetSize, len(x.relays), missing)
	}
	for _, name := range slices.Sorted(maps.Keys(x.relays)) {
		if step := x.relays[name].backwardStep; step > 0 {
			x.addGap("the clock of %s steps back by up to %.0f ms: its times can't be held against others'", name, step)
		}
	}
	if badLines > 0 {
		x.addGap("%d lines can't be used: what they held is missing", badLines)
	}
}

func (x *Index) addGap(format string, args ...any) {
	x.Gaps = append(x.Gaps, fmt.Sprintf(format, args...))
}

// MessageCount returns the number of message ids in the logs.
func (x *Index) MessageCount() int { return len(x.messages) }

// startedWithin reports whether a process of the relay started after from and not later than to.
func (r *relayLog) startedWithin(from, to float64) bool {
	return slices.ContainsFunc(r.starts, func(at float64) bool { return at > from && at <= to })
}

// shutDownForGood reports whether the relay was not started again after its last shutdown request.
func (r *relayLog) shutDownForGood() bool {
	n := len(r.shutdowns)
	return n > 0 && !r.startedWithin(r.shutdowns[n-1], r.lastEvent)
}
