package harness

import (
	"fmt"
	"net/http"
	"testing"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/scenario"
)

// earlyEndScenario returns a scenario in which three in ten messages are over at the first attempt, if that comes on a used connection: endpoints, whose usual responses take
// 60 ms, answer with a status at once, and reset the connection while the relay may await a confirmation.
func earlyEndScenario(status int) string {
	return fmt.Sprintf(`version = 1
name = "early-ends"
length_s = 4
relays = 1

[rules]
answer_slack_s = 1.5

[clients]
retries = 0
answer_ms = 2000

[load]
rate = 100

[[class]]
name = "payment"
aim_s = 1
deadline_s = 3
effect = "keyed"
memory_s = 5
service_ms = 60

[[class]]
name = "status"
aim_s = 1
deadline_s = 3
effect = "safe"
service_ms = 60

[[partner]]
name = "ends"
share = 1
endpoints = 2
slots = 20
queue = 20

[[event]]
at_s = 1
what = "early_end"
for_s = 60
share = 0.3
status = %d
delay_ms = [60, 900]
`, status)
}

// No call follows a response that comes early and ends its message, although the connection is reset before the response is confirmed.
func TestRelays_TolerateEarlyEnds(t *testing.T) {
	program := buildRelay(t)
	for _, status := range []int{http.StatusGone, http.StatusGatewayTimeout} {
		s, err := scenario.Parse("early-ends.toml", []byte(earlyEndScenario(status)))
		if err != nil {
			t.Fatal(err)
		}
		result := playConclusive(t, s, Options{Seed: 1, RelayCommand: []string{program}})
		for _, v := range result.Violations {
			t.Errorf("%d: %+v", status, v)
		}
		for _, f := range result.Failures {
			t.Errorf("%d: %s", status, f)
		}
		if result.EarlyEnds < minDelivered {
			t.Errorf("%d: only %d messages were over at their first attempt", status, result.EarlyEnds)
		}
	}
}

// A relay that forgets responses that end a message is caught, and one that heeds them is not.
func TestRun_CatchesRelayThatForgetsEnds(t *testing.T) {
	for _, status := range []int{http.StatusGone, http.StatusGatewayTimeout} {
		for _, misbehavior := range []misbehavior{forgetsEnds, "keeps"} {
			t.Run(fmt.Sprint(misbehavior, " ", status), func(t *testing.T) {
				found := map[checker.Rule]int{}
				for _, v := range playStandIn(t, earlyEndScenario(status), string(misbehavior)).Violations {
					found[v.Rule]++
				}
				if caught := found[checker.SentAfterEnd] > 0; caught != (misbehavior == forgetsEnds) {
					t.Errorf("violations %v", found)
				}
			})
		}
	}
}
