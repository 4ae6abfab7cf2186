package checker

import (
	"strings"
	"testing"
	"time"

	"frostlink/internal/settings"
)

// replaced is the log of a relay whose process is replaced at 10 s while it has a message out, and of what partners and
// doors see from then on.
func replaced(more ...Event) []Event {
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
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

// Two processes of which one takes the other's place are one relay: what one has out, or was told, binds the other.
func TestTwoProcessesAreOneRelay(t *testing.T) {
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	ok := Event{At: at(13), Kind: AttemptEnded, ID: "m", Attempt: 1, Outcome: OK, Executed: true}
	shows := func(p int, success, calls, inflight int) Event {
		return Event{At: at(14), Kind: MetricsRead, Process: p, Metrics: &Scrape{
			Success:      map[string]int{"status": success},
			BackendCalls: calls, Inflight: inflight,
		}}
	}
	many := func(n int) (log []Event) { // messages that come and go while the second process serves
		for i := range n {
			id := "n" + strings.Repeat("x", i)
			log = append(log, Event{At: at(11), Kind: Submitted, ID: id, Duration: at(9)}, Event{At: at(11.01), Kind: Answered, ID: id, Status: 202},
				Event{At: at(11.1), Kind: AttemptSent, ID: id, Endpoint: "h", Attempt: 100 + i, FirstByte: at(11.1)},
				Event{At: at(11.2), Kind: AttemptEnded, ID: id, Attempt: 100 + i, Outcome: OK, Executed: true})
		}
		return log
	}
	for _, c := range []struct {
		name string
		log  []Event
		want Rule // empty: none
	}{
		{"the call goes on", replaced(ok, shows(2, 1, 0, 0)), ""},
		{"the old one sends again", replaced(Event{At: at(11), Kind: AttemptSent, ID: "m", Endpoint: "h", Attempt: 2, FirstByte: at(11)},
			Event{At: at(11.5), Kind: AttemptEnded, ID: "m", Attempt: 2, Outcome: Rejected}, ok), ConcurrentAttempts},
		{"the new one forgets a wait", replaced(
			Event{At: at(9.5), Kind: AttemptEnded, ID: "m", Attempt: 1, Outcome: RetryAfter, Duration: at(5)},
			Event{At: at(11), Kind: AttemptSent, ID: "m", Endpoint: "h", Attempt: 2, FirstByte: at(11)},
			Event{At: at(11.5), Kind: AttemptEnded, ID: "m", Attempt: 2, Outcome: OK, Executed: true}), RetryAfterIgnored},
		{"the wait is heeded", replaced(
			Event{At: at(9.5), Kind: AttemptEnded, ID: "m", Attempt: 1, Outcome: RetryAfter, Duration: at(1)},
			Event{At: at(11), Kind: AttemptSent, ID: "m", Endpoint: "h", Attempt: 2, FirstByte: at(11)},
			Event{At: at(11.5), Kind: AttemptEnded, ID: "m", Attempt: 2, Outcome: OK, Executed: true}), ""},
		{"no end, and no restart that excuses it", replaced(), OutcomeMissing},
		{"figures agree", append(replaced(ok), append(many(40), shows(2, 41, 40, 0))...), ""},
		{"figures off by three", append(replaced(ok), append(many(40), shows(2, 44, 43, 3))...), ""},
		{"repeats count twice", append(replaced(ok), append(many(40), shows(2, 50, 40, 0))...), MetricsWrong},
		{"ends are not counted", append(replaced(ok), append(many(40), shows(2, 30, 40, 0))...), MetricsWrong},
		{"calls are not counted", append(replaced(ok), append(many(40), shows(2, 41, 30, 0))...), MetricsWrong},
		{"what is over stays in flight", append(replaced(ok), append(many(40), shows(2, 41, 40, 12))...), MetricsWrong},
		{"the new one goes on with the old one's counts", append(many(40), append(replaced(ok),
			Event{At: at(30), Kind: Started, Process: 3}, Event{At: at(31), Kind: Ready, Process: 3},
			Event{At: at(33), Kind: MetricsRead, Process: 3, Metrics: &Scrape{Success: map[string]int{"status": 41}}})...), MetricsWrong},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := Parameters{Settings: settings.Settings{
				Instances: 1, Classes: []settings.Class{{Name: "status", Idempotency: "retryable"}},
				Rules: settings.Rules{AnswerSlackS: 0.3, PollWithinS: 10},
			}, Destinations: []Destination{{Name: "p", Capacity: 100, ColdCapacity: 1}}}
			rules := map[Rule]bool{}
			for _, b := range Judge(f, c.log, at(40)).Violations {
				rules[b.Rule] = true
			}
			if c.want == "" && len(rules) > 0 || c.want != "" && (len(rules) != 1 || !rules[c.want]) {
				t.Errorf("breaches of %v, want of %q", rules, c.want)
			}
		})
	}
}
