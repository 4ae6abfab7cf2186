package fleet

import (
	"fmt"
	"maps"
	"slices"

	"frostlink/internal/trace"
)

// clockTolerance, in milliseconds, is how far a relay's clock may step back from one line to the next before that is
// reported: lines of different goroutines may change places by less.
const clockTolerance = 20

// Index is a fleet's traces by relay, message and key.
type Index struct {
	FleetSize int      // relays by the settings that one of them started with; 0: none started
	Gaps      []string // what is missing from the logs as a whole, in words

	relays      map[string]*relayLog
	messages    map[string][]RelayEvent // by id, in the order of the logs
	submissions map[string][]RelayEvent // accepted and rejected ones, by key
}

// relayLog is what one relay's log says of its processes.
type relayLog struct {
	starts       []float64
	shutdowns    []float64
	lastEvent    float64 // its log ends here
	backwardStep float64 // the largest one beyond clockTolerance
}

// NewIndex indexes events in the order of the logs, each relay's together.
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
	default: // says nothing of a process
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

// MessageCount is how many ids the logs name.
func (x *Index) MessageCount() int { return len(x.messages) }

// startedWithin tells whether a process of the relay began after one time and no later than another.
func (r *relayLog) startedWithin(from, to float64) bool {
	return slices.ContainsFunc(r.starts, func(at float64) bool { return at > from && at <= to })
}

// shutDownForGood tells whether the last that is known of the relay is that it was to shut down.
func (r *relayLog) shutDownForGood() bool {
	n := len(r.shutdowns)
	return n > 0 && !r.startedWithin(r.shutdowns[n-1], r.lastEvent)
}
