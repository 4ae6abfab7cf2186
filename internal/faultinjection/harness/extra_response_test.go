package harness

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/scenario"
)

// copyingScenario has a busy destination that writes copies of a share of its responses, also while it has a request in hand.
const copyingScenario = `version = 1
name = "copying"
length_s = 4
relays = 1

[limits]
retry_after_s = 1

[rules]
answer_slack_s = 1.5

[clients]
retries = 0
answer_ms = 2000

[load]
rate = 150

[[class]]
name = "status"
aim_s = 1
deadline_s = 3
effect = "safe"
service_ms = 60
spread = "exp"

[[class]]
name = "order"
aim_s = 1
deadline_s = 3
effect = "unsafe"
service_ms = 60
spread = "exp"

[[partner]]
name = "copies"
share = 1
endpoints = 2
slots = 8
queue = 2

[[event]]
at_s = 0
what = "extra_response"
for_s = 60
form = "copy"
share = 0.3
delay_ms = [2, 60]
busy = true
`

// A copy of a response that an endpoint writes to a connection is not taken for the response to the next request: no rule is broken.
func TestRelays_TolerateCopiedResponses(t *testing.T) {
	path := filepath.Join("..", "..", "..", "scenarios", "extra-response.toml")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	s, err := scenario.Parse(path, text)
	if err != nil {
		t.Fatal(err)
	}
	result := playConclusive(t, s, Options{Seed: s.Seed, RelayCommand: []string{buildRelay(t)}})
	for _, v := range result.Violations {
		t.Errorf("%+v", v)
	}
	for _, f := range result.Failures {
		t.Error(f)
	}
	if x := result.ExtraResponses; x == nil || x.Written < minDelivered {
		t.Errorf("responses written that nobody asked for: %+v", x)
	}
}

// A relay that takes every response on a connection for the response to its last request is caught.
func TestRun_CatchesRelayThatTakesCopiedResponses(t *testing.T) {
	result := playStandIn(t, copyingScenario, "keeps")
	found := map[checker.Rule]int{}
	for _, v := range result.Violations {
		found[v.Rule]++
	}
	if found[checker.OutcomeMissing] == 0 {
		t.Errorf("no violation of %q found, but %v", checker.OutcomeMissing, found)
	}
	if x := result.ExtraResponses; x == nil || x.Busy == 0 {
		t.Errorf("copies written: %+v, want some while a request was in hand", x)
	}
}

// Copies of acknowledgements and of watch events are written as often as a fault says.
func TestRun_CopiesResponsesOfThePlatform(t *testing.T) {
	for _, source := range []string{scenario.SourcePlatform, scenario.SourceDiscovery} {
		t.Run(source, func(t *testing.T) {
			t.Parallel()
			event := fmt.Sprintf("\n[[event]]\nat_s = 0\nwhat = \"extra_response\"\nfor_s = 60\nform = \"copy\"\nshare = 1\ndelay_ms = 20\nsource = %q\n", source)
			if result := playStandIn(t, plantedScenario+event, "keeps"); result.ExtraResponses == nil {
				t.Error("no copy was written")
			}
		})
	}
}

// A rejection that an endpoint writes before it has read the request is the request's own: no rule is broken, and the rejected requests
// are sent again.
func TestRelays_TolerateEarlyRejections(t *testing.T) {
	text := strings.Replace(copyingScenario, "form = \"copy\"", "form = \"early\"", 1)
	s, err := scenario.Parse("early.toml", []byte(strings.Replace(text, "busy = true\n", "", 1)))
	if err != nil {
		t.Fatal(err)
	}
	result := playConclusive(t, s, Options{Seed: s.Seed, RelayCommand: []string{buildRelay(t)}})
	for _, v := range result.Violations {
		t.Errorf("%+v", v)
	}
	if x := result.ExtraResponses; x == nil || x.Written < minDelivered {
		t.Errorf("early rejections: %+v", x)
	}
}
