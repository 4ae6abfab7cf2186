package checker

import (
	"strings"
	"testing"
	"time"

	"frostlink/internal/settings"
)

// at returns a time that is given in seconds.
func at(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// handoverLog returns the log of a relay whose process is replaced at 10 s while request m is in flight, followed by more events.
func handoverLog(more ...Event) []Event {
	log := []Event{
		{At: at(0), Kind: Started, Process: 1},
		{At: at(0.1), Kind: Ready, Process: 1},
		{At: at(8), Kind: Submitted, ID: "m", Duration: at(25)},
		{At: at(8.01), Kind: Answered, ID: "m", Status: 202},
		{At: at(9), Kind: AttemptSent, ID: "m", Endpoint: "h", Attempt: 1, FirstByte: at(9)},
		{At: at(9.9), Kind: Started, Process: 2},
		{At: at(10), Kind: Ready, Process: 2},
	}
	return append(log, more...)
}

// delivered is the event that ends the first attempt of request m with its delivery.
var delivered = Event{At: at(13), Kind: AttemptEnded, ID: "m", Attempt: 1, Outcome: OK, Executed: true}

// deliveredRequests returns the events of requests that are submitted and delivered while the second process serves.
func deliveredRequests(count int) (log []Event) {
	for i := range count {
		id := "n" + strings.Repeat("x", i)
		log = append(log, Event{At: at(11), Kind: Submitted, ID: id, Duration: at(9)}, Event{At: at(11.01), Kind: Answered, ID: id, Status: 202},
			Event{At: at(11.1), Kind: AttemptSent, ID: id, Endpoint: "h", Attempt: 100 + i, FirstByte: at(11.1)},
			Event{At: at(11.2), Kind: AttemptEnded, ID: id, Attempt: 100 + i, Outcome: OK, Executed: true})
	}
	return log
}

// openRequests returns the events of requests that are accepted while the second process serves, and delivered 9 s later.
func openRequests(count int) (log []Event) {
	requests := deliveredRequests(count)
	for i := 0; i < len(requests); i += 4 {
		log = append(log, requests[i:i+2]...)
	}
	for i := 2; i < len(requests); i += 4 {
		sent, ended := requests[i], requests[i+1]
		sent.At, sent.FirstByte, ended.At = sent.At+at(8), sent.FirstByte+at(8), ended.At+at(8)
		log = append(log, sent, ended)
	}
	return append(log, delivered)
}

// scrapeOf returns a scrape of the second process's metrics at 14 s.
func scrapeOf(success, attempts, inFlight int) Event {
	return Event{At: at(14), Kind: MetricsRead, Process: 2, Metrics: &Scrape{
		Success:      map[string]int{"status": success},
		BackendCalls: attempts, Inflight: inFlight,
	}}
}

// handoverCase is a log and the rule that it violates; an empty rule means none.
type handoverCase struct {
	log  []Event
	rule Rule
}

// judgeHandovers checks that each log violates its rule at least once, and no other rule.
func judgeHandovers(t *testing.T, cases map[string]handoverCase) {
	t.Helper()
	parameters := Parameters{Settings: settings.Settings{
		Instances: 1, Classes: []settings.Class{{Name: "status", Idempotency: idempotent}},
		Rules: settings.Rules{AnswerSlackS: 0.3, PollWithinS: 10},
	}, Destinations: []Destination{{Name: "p", Capacity: 100, ColdCapacity: 1}}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			violated := map[Rule]bool{}
			for _, violation := range Judge(parameters, c.log, at(40)).Violations {
				violated[violation.Rule] = true
			}
			if c.rule == "" && len(violated) > 0 || c.rule != "" && (len(violated) != 1 || !violated[c.rule]) {
				t.Errorf("got violations of rules %v, want only rule %q", violated, c.rule)
			}
		})
	}
}

// A process and the successor that replaces it count as one relay: the successor has to respect the predecessor's attempts in flight
// and a Retry-After that the predecessor got.
func TestJudge_TreatsProcessesOfARelayAsOne(t *testing.T) {
	judgeHandovers(t, map[string]handoverCase{
		"the attempt goes on": {handoverLog(delivered, scrapeOf(1, 0, 0)), ""},
		"a second attempt while the first is in flight": {handoverLog(
			Event{At: at(11), Kind: AttemptSent, ID: "m", Endpoint: "h", Attempt: 2, FirstByte: at(11)},
			Event{At: at(11.5), Kind: AttemptEnded, ID: "m", Attempt: 2, Outcome: Rejected}, delivered), ConcurrentAttempts},
		"the successor ignores a Retry-After": {handoverLog(
			Event{At: at(9.5), Kind: AttemptEnded, ID: "m", Attempt: 1, Outcome: RetryAfter, Duration: at(5)},
			Event{At: at(11), Kind: AttemptSent, ID: "m", Endpoint: "h", Attempt: 2, FirstByte: at(11)},
			Event{At: at(11.5), Kind: AttemptEnded, ID: "m", Attempt: 2, Outcome: OK, Executed: true}), RetryAfterIgnored},
		"the successor respects a Retry-After": {handoverLog(
			Event{At: at(9.5), Kind: AttemptEnded, ID: "m", Attempt: 1, Outcome: RetryAfter, Duration: at(1)},
			Event{At: at(11), Kind: AttemptSent, ID: "m", Endpoint: "h", Attempt: 2, FirstByte: at(11)},
			Event{At: at(11.5), Kind: AttemptEnded, ID: "m", Attempt: 2, Outcome: OK, Executed: true}), ""},
		"no outcome, and no restart that excuses it": {handoverLog(), OutcomeMissing},
	})
}
