package fleet

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"frostlink/internal/trace"
)

// logged is a relay's log in short: each line "AT KIND ARGS" with times in milliseconds, for message m unless one is named.
func logged(relay, text string) (out []RelayEvent) {
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		var at float64
		var kind, arg string
		if n, _ := fmt.Sscan(line, &at, &kind, &arg); n < 2 {
			panic(line)
		}
		e := trace.Event{Version: trace.Version, At: at, Kind: trace.Kind(kind), ID: "m", Destination: 3, Class: "fee"}
		switch e.Kind {
		case trace.RelayStarted:
			e = trace.Event{Version: trace.Version, At: at, Kind: e.Kind, Count: 2}
		case trace.ShutdownRequested:
			e = trace.Event{Version: trace.Version, At: at, Kind: e.Kind}
		case trace.Accepted, trace.Rejected: // arg: the effect
			e.Idempotency, e.Deadline, e.KeyTTLMs, e.Key = arg, 12000, 6000, "k"
		case trace.Recovered: // arg: calls
			e.Deadline, e.Key = 12000, "k"
			fmt.Sscan(arg, &e.Count)
		case trace.AttemptStarted: // arg: number
			fmt.Sscan(arg, &e.Count)
			e.Endpoint = "h"
		case trace.AttemptEnded:
			e.Outcome, e.Endpoint = strings.ReplaceAll(arg, "-", " "), "h"
		case trace.Completed:
			e.Outcome = arg
		case "other": // the relay runs on
			e = trace.Event{Version: trace.Version, At: at, Kind: trace.WatchRequested}
		default: // has no argument
		}
		out = append(out, RelayEvent{relay, e})
	}
	return out
}

// Each kind of violation is planted in a log and named, and what is in order is not.
func TestHistory_NamesEachViolation(t *testing.T) {
	for _, tt := range []struct {
		name, log  string
		violations []ViolationKind
		gap        string // a part of one
	}{
		{"delivered", "0 start\n1 take keyed\n2 send 1\n9 answer delivered\n9 end delivered\n20000 other", nil, ""},
		{"refused at its arrival", "0 start\n1 turn keyed\n20000 other", nil, ""},
		{"repeated in time", "0 start\n1 take keyed\n2 send 1\n9 answer reset\n5900 send 2\n5950 answer delivered\n5950 end delivered\n20000 other", nil, ""},
		{"repeated once its key is forgotten", "0 start\n1 take keyed\n2 send 1\n9 answer reset\n6100 send 2\n6200 answer delivered\n6200 end delivered", []ViolationKind{PossibleDuplicate}, ""},
		{"repeated at the last moment over a connection that came late", "0 start\n1 take keyed\n2 send 1\n9 answer error\n5990 send 2\n7200 answer delivered\n7200 end delivered", nil, "left in time"},
		{"repeated late, but never run", "0 start\n1 take keyed\n2 send 1\n9 answer turned-away\n9000 send 2\n9100 answer delivered\n9100 end delivered", nil, ""},
		{"unsafe, repeated after a reset", "0 start\n1 take unsafe\n2 send 1\n9 answer reset\n20 send 2\n30 answer delivered\n30 end delivered", []ViolationKind{PossibleDuplicate}, ""},
		{"unsafe, out at a kill and sent again", "0 start\n1 take unsafe\n2 send 1\n1000 start\n1000 resume 1\n1010 send 2\n1100 answer delivered\n1100 end delivered", []ViolationKind{PossibleDuplicate}, ""},
		{"unsafe, never run and repeated", "0 start\n1 take unsafe\n2 send 1\n9 answer no-connection\n20 send 2\n30 answer delivered\n30 end delivered", nil, ""},
		{"safe, repeated at will", "0 start\n1 take safe\n2 send 1\n9 answer timed-out\n9000 send 2\n9100 answer delivered\n9100 end delivered", nil, ""},
		{"two copies out", "0 start\n1 take safe\n2 send 1\n3 send 2\n9 answer delivered\n9 end delivered", []ViolationKind{ConcurrentAttempts}, ""},
		{"out at a kill, sent again", "0 start\n1 take safe\n2 send 1\n1000 start\n1000 resume 1\n1010 send 2\n1100 answer delivered\n1100 end delivered", nil, ""},
		{"two ends", "0 start\n1 take safe\n2 send 1\n9 answer delivered\n9 end delivered\n30 end deferred", []ViolationKind{TwoOutcomes}, ""},
		{"an end that the process did not live to journal", "0 start\n1 take safe\n2 send 1\n9 answer delivered\n9 end delivered\n1000 start\n1000 resume 1\n1010 send 2\n1100 answer delivered\n1100 end delivered", nil, ""},
		{"two ends over a restart", "0 start\n1 take safe\n2 send 1\n9 answer delivered\n9 end delivered\n1000 start\n1000 resume 1\n1100 end deferred", []ViolationKind{TwoOutcomes}, ""},
		{"sent after its end", "0 start\n1 take safe\n2 end deferred\n3 send 1\n9 answer delivered\n50 notice", []ViolationKind{AttemptAfterOutcome}, ""},
		{"no end", "0 start\n1 take safe\n2 send 1\n9 answer reset\n20000 other", []ViolationKind{MissingOutcome}, ""},
		{"no end yet", "0 start\n1 take safe\n2 send 1\n9 answer reset\n9000 other", nil, "3000 ms before its time was up"},
		{"no end, and its relay was told to end", "0 start\n1 take safe\n9000 stop\n14000 other", nil, "no end yet"},
		{"late", "0 start\n1 take safe\n12400 end deferred\n12410 notice", []ViolationKind{LateOutcome}, ""},
		{"delivered late", "0 start\n1 take safe\n11000 send 1\n12400 answer delivered\n12400 end delivered", []ViolationKind{LateOutcome}, ""},
		{"in the slack", "0 start\n1 take safe\n12300 end deferred\n12310 notice", nil, ""},
		{"late after a restart", "0 start\n1 take safe\n12500 start\n12500 resume 0\n13000 end deferred\n13010 notice", nil, ""},
		{"late long after a restart", "0 start\n1 take safe\n9000 start\n9000 resume 0\n13000 end deferred\n13010 notice", []ViolationKind{LateOutcome}, ""},
		{"lost and sent again: the worst is first", "0 start\n1 take unsafe\n2 send 1\n9 answer reset\n20 send 2\n30 answer reset\n20000 other", []ViolationKind{MissingOutcome, PossibleDuplicate}, ""},
		{"its lines begin in the middle", "9 answer delivered\n9 end delivered", nil, "no line that it was made"},
		{"its journal knows more", "0 start\n1 take safe\n1000 start\n1000 resume 2\n1010 send 3\n1100 answer delivered\n1100 end delivered", nil, "the journal knows of 2 calls"},
		{"no notice", "0 start\n1 take safe\n2 end deferred\n20000 other", nil, "no line that the platform"},
	} {
		index := NewIndex(&Logs{Events: logged("n0", tt.log)})
		h := index.History("m")
		var got []ViolationKind
		for _, v := range h.Violations {
			got = append(got, v.Kind)
		}
		if !slices.Equal(got, tt.violations) {
			t.Errorf("%s: violations %v, want %q", tt.name, h.Violations, tt.violations)
		}
		if all := strings.Join(h.Gaps, "; "); (all == "") != (tt.gap == "") || !strings.Contains(all, tt.gap) {
			t.Errorf("%s: gaps %q, want %q", tt.name, all, tt.gap)
		}
		if named := len(index.Violating()) == 1; named != (len(tt.violations) > 0) {
			t.Errorf("%s: among the violating ones: %v", tt.name, named)
		}
	}
}

// A history goes over all relays, by time, with their restarts; the same message's other ids are named, and gaps of the logs are named.
func TestHistory_SpansRelays(t *testing.T) {
	other := logged("n1", "0 start\n500 take keyed\n510 send 1\n600 answer delivered\n600 end delivered\n30000 other\n29900 other")
	for i := range other {
		if other[i].ID != "" {
			other[i].ID, other[i].Retry = "m2", "again"
		}
	}
	events := append(logged("n0", "0 start\n1 take keyed\n700 start\n700 resume 0\n12100 end deferred\n12101 notice\n30000 other"), other...)
	events[0].Count = 5
	index := NewIndex(&Logs{Events: events, BadLines: []BadLine{{"n0.log", 3, "torn"}}})
	h := index.History("m")
	var kinds []string
	for _, e := range h.Events {
		kinds = append(kinds, string(e.Kind))
	}
	if got := strings.Join(kinds, " "); got != "take resume start end notice" && got != "take start resume end notice" {
		t.Errorf("history %s", got)
	}
	if len(h.Related) != 1 || h.Related[0].ID != "m2" || h.Related[0].Decision != "taken on" || h.Related[0].Retry != "again" || len(h.Violations) > 0 {
		t.Errorf("related %+v, violations %v", h.Related, h.Violations)
	}
	gaps := strings.Join(index.Gaps, "; ")
	for _, want := range []string{"the other 3 did", "clock of n1 steps back by up to 100 ms", "1 lines can't be used"} {
		if !strings.Contains(gaps, want) {
			t.Errorf("gaps %q, want %q", gaps, want)
		}
	}
	if index.History("x") != nil || index.MessageCount() != 2 {
		t.Error("an id that no log names is followed")
	}
	// Without the first relay's log the hand-in that says "again" is the earliest.
	if h := NewIndex(&Logs{Events: other}).History("m2"); len(h.Gaps) != 1 || !strings.Contains(h.Gaps[0], "handed in before") {
		t.Errorf("gaps %q", h.Gaps)
	}
}

// A message whose key stands in the logs only with its recovery, since the log of the process that accepted it is missing, has a
// history with that gap. It panicked with "slices.MinFunc: empty list" (39 of 2,800 runs over drawn logs).
func TestHistory_RecoveryWithoutSubmission(t *testing.T) {
	events := logged("n0", "0 start\n700 resume 0\n710 send 1\n800 answer delivered\n800 end delivered\n30000 other")
	h := NewIndex(&Logs{Events: events}).History("m")
	if h == nil || len(h.Related) != 0 {
		t.Fatalf("history %+v", h)
	}
	if len(h.Gaps) != 1 || !strings.Contains(h.Gaps[0], "no hand-in") {
		t.Errorf("gaps %q", h.Gaps)
	}
}
