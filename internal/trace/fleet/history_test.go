package fleet

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"frostlink/internal/trace"
)

// parseLog returns the events of a relay's log that is given in a short form: one event per line, as "AT KIND ARG" with AT in
// milliseconds. Events that concern a message have the id m.
func parseLog(relay, text string) (out []RelayEvent) {
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
		case trace.Accepted, trace.Rejected: // arg: idempotency
			e.Idempotency, e.Deadline, e.KeyTTLMs, e.Key = arg, 12000, 6000, "k"
		case trace.Recovered: // arg: number of attempts sent
			e.Deadline, e.Key = 12000, "k"
			fmt.Sscan(arg, &e.Count)
		case trace.AttemptStarted: // arg: number of the attempt
			fmt.Sscan(arg, &e.Count)
			e.Endpoint = "h"
		case trace.AttemptEnded: // arg: outcome, with "-" for spaces
			e.Outcome, e.Endpoint = strings.ReplaceAll(arg, "-", " "), "h"
		case trace.Completed: // arg: outcome
			e.Outcome = arg
		case "other": // an event of the relay that has no message, which shows that the relay is running
			e = trace.Event{Version: trace.Version, At: at, Kind: trace.WatchRequested}
		default: // has no argument
		}
		out = append(out, RelayEvent{relay, e})
	}
	return out
}

// Each kind of violation in a log is reported, and a log without violations reports none.
func TestHistory_NamesEachViolation(t *testing.T) {
	for _, tt := range []struct {
		name, log  string
		violations []ViolationKind
		gap        string // part of the expected gap; empty: no gap
	}{
		{"delivered", "0 start\n1 take keyed\n2 send 1\n9 answer delivered\n9 end delivered\n20000 other", nil, ""},
		{"rejected on arrival", "0 start\n1 turn keyed\n20000 other", nil, ""},
		{"keyed, retried within the key's TTL", "0 start\n1 take keyed\n2 send 1\n9 answer reset\n5900 send 2\n5950 answer delivered\n5950 end delivered\n20000 other", nil, ""},
		{"keyed, retried past the key's TTL", "0 start\n1 take keyed\n2 send 1\n9 answer reset\n6100 send 2\n6200 answer delivered\n6200 end delivered", []ViolationKind{PossibleDuplicate}, ""},
		{"keyed, retried just within the key's TTL over a connection that was established late", "0 start\n1 take keyed\n2 send 1\n9 answer error\n5990 send 2\n7200 answer delivered\n7200 end delivered", nil, "left in time"},
		{"keyed, retried past the key's TTL, not executed", "0 start\n1 take keyed\n2 send 1\n9 answer turned-away\n9000 send 2\n9100 answer delivered\n9100 end delivered", nil, ""},
		{"not idempotent, retried after a reset", "0 start\n1 take unsafe\n2 send 1\n9 answer reset\n20 send 2\n30 answer delivered\n30 end delivered", []ViolationKind{PossibleDuplicate}, ""},
		{"not idempotent, in flight at a kill and retried", "0 start\n1 take unsafe\n2 send 1\n1000 start\n1000 resume 1\n1010 send 2\n1100 answer delivered\n1100 end delivered", []ViolationKind{PossibleDuplicate}, ""},
		{"not idempotent, retried, not executed", "0 start\n1 take unsafe\n2 send 1\n9 answer no-connection\n20 send 2\n30 answer delivered\n30 end delivered", nil, ""},
		{"idempotent, retried after a time-out", "0 start\n1 take safe\n2 send 1\n9 answer timed-out\n9000 send 2\n9100 answer delivered\n9100 end delivered", nil, ""},
		{"two attempts in flight", "0 start\n1 take safe\n2 send 1\n3 send 2\n9 answer delivered\n9 end delivered", []ViolationKind{ConcurrentAttempts}, ""},
		{"idempotent, in flight at a kill and retried", "0 start\n1 take safe\n2 send 1\n1000 start\n1000 resume 1\n1010 send 2\n1100 answer delivered\n1100 end delivered", nil, ""},
		{"two outcomes", "0 start\n1 take safe\n2 send 1\n9 answer delivered\n9 end delivered\n30 end deferred", []ViolationKind{TwoOutcomes}, ""},
		{"the same outcome again, as the process was killed before it journalled the first", "0 start\n1 take safe\n2 send 1\n9 answer delivered\n9 end delivered\n1000 start\n1000 resume 1\n1010 send 2\n1100 answer delivered\n1100 end delivered", nil, ""},
		{"two outcomes, before and after a restart", "0 start\n1 take safe\n2 send 1\n9 answer delivered\n9 end delivered\n1000 start\n1000 resume 1\n1100 end deferred", []ViolationKind{TwoOutcomes}, ""},
		{"attempt after the outcome", "0 start\n1 take safe\n2 end deferred\n3 send 1\n9 answer delivered\n50 notice", []ViolationKind{AttemptAfterOutcome}, ""},
		{"no outcome", "0 start\n1 take safe\n2 send 1\n9 answer reset\n20000 other", []ViolationKind{MissingOutcome}, ""},
		{"no outcome yet, the log ends before the deadline", "0 start\n1 take safe\n2 send 1\n9 answer reset\n9000 other", nil, "3000 ms before its time was up"},
		{"no outcome, the relay was shut down", "0 start\n1 take safe\n9000 stop\n14000 other", nil, "no end yet"},
		{"late outcome", "0 start\n1 take safe\n12400 end deferred\n12410 notice", []ViolationKind{LateOutcome}, ""},
		{"delivered late", "0 start\n1 take safe\n11000 send 1\n12400 answer delivered\n12400 end delivered", []ViolationKind{LateOutcome}, ""},
		{"outcome within the tolerance", "0 start\n1 take safe\n12300 end deferred\n12310 notice", nil, ""},
		{"late outcome just after a restart", "0 start\n1 take safe\n12500 start\n12500 resume 0\n13000 end deferred\n13010 notice", nil, ""},
		{"late outcome long after a restart", "0 start\n1 take safe\n9000 start\n9000 resume 0\n13000 end deferred\n13010 notice", []ViolationKind{LateOutcome}, ""},
		{"two violations, the worst first", "0 start\n1 take unsafe\n2 send 1\n9 answer reset\n20 send 2\n30 answer reset\n20000 other", []ViolationKind{MissingOutcome, PossibleDuplicate}, ""},
		{"the log begins after the message was accepted", "9 answer delivered\n9 end delivered", nil, "no line that it was made"},
		{"the journal has more attempts than the log", "0 start\n1 take safe\n1000 start\n1000 resume 2\n1010 send 3\n1100 answer delivered\n1100 end delivered", nil, "the journal knows of 2 calls"},
		{"no notification", "0 start\n1 take safe\n2 end deferred\n20000 other", nil, "no line that the platform"},
	} {
		index := NewIndex(&Logs{Events: parseLog("n0", tt.log)})
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
			t.Errorf("%s: Violating returns its history: %v", tt.name, named)
		}
	}
}

// A history contains the events of all relays in order of time, with the relays' restarts, and lists the message's other ids.
// The index lists the gaps in the logs.
func TestHistory_SpansRelays(t *testing.T) {
	other := parseLog("n1", "0 start\n500 take keyed\n510 send 1\n600 answer delivered\n600 end delivered\n30000 other\n29900 other")
	for i := range other {
		if other[i].ID != "" {
			other[i].ID, other[i].Retry = "m2", "again"
		}
	}
	events := append(parseLog("n0", "0 start\n1 take keyed\n700 start\n700 resume 0\n12100 end deferred\n12101 notice\n30000 other"), other...)
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
		t.Error("an unknown id has a history, or the logs do not have two ids")
	}
	// Without the log of the first relay, the client of the earliest known submission states that it submitted the message before.
	if h := NewIndex(&Logs{Events: other}).History("m2"); len(h.Gaps) != 1 || !strings.Contains(h.Gaps[0], "handed in before") {
		t.Errorf("gaps %q", h.Gaps)
	}
}

// If the log of the process that accepted a message is missing, the message's key is in the logs only with its recovery. The
// history must then contain a gap, and History must not panic with "slices.MinFunc: empty list", as it did in 39 of 2,800 runs
// over drawn logs.
func TestHistory_RecoveryWithoutSubmission(t *testing.T) {
	events := parseLog("n0", "0 start\n700 resume 0\n710 send 1\n800 answer delivered\n800 end delivered\n30000 other")
	h := NewIndex(&Logs{Events: events}).History("m")
	if h == nil || len(h.Related) != 0 {
		t.Fatalf("history %+v", h)
	}
	if len(h.Gaps) != 1 || !strings.Contains(h.Gaps[0], "no hand-in") {
		t.Errorf("gaps %q", h.Gaps)
	}
}
