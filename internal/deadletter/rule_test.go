package deadletter

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"frostlink/internal/strictconfig"
)

// parseRules parses and checks the rules of an operator's file.
func parseRules(t *testing.T, text string) ([]Rule, error) {
	t.Helper()
	var section struct {
		Rules []Rule `toml:"rule"`
	}
	document := strictconfig.Decode("r", []byte(text), &section)
	for i := range section.Rules {
		section.Rules[i].Check(document, fmt.Sprintf("rule[%d]", i+1))
	}
	return section.Rules, document.Err()
}

func TestRule_CheckReportsEachFault(t *testing.T) {
	_, err := parseRules(t, "[[rule]]\naction='send'\n[[rule]]\naction='resend'\nmost=1\nhours='8-9'\n[[rule]]\naction='discard'\nrate=2\nreason='bored'\nolder_than_s=-1\n")
	want := []string{
		`r:2: rule[1].action: "send" is none of hold, resend, discard`, `r:3: rule[2].rate: is missing`,
		`r:5: rule[2].most: 1 incarnations`, `r:6: rule[2].hours: "8" is not a time of day`, `r:7: rule[3].after_age_s: is missing`,
		`r:9: rule[3].rate: has no meaning for "discard"`, `r:10: rule[3].reason: "bored" is none of`, `r:11: rule[3].older_than_s: -1 is below 0`,
	}
	got := strings.Split(fmt.Sprint(err), "\n")
	if len(got) != len(want) {
		t.Fatalf("got\n%v", err)
	}
	for i := range want {
		if !strings.HasPrefix(got[i], want[i]) {
			t.Errorf("got %s, want %s...", got[i], want[i])
		}
	}
}

func TestRule_ReportsConflictsWithItsClass(t *testing.T) {
	yes := true
	classes := []Class{
		{Name: "fee-payment", Idempotency: IdempotentByKey, KeyTTL: 15 * time.Second, MaxAttempts: 12},
		{Name: "order", Idempotency: NotIdempotent, MaxAttempts: 3},
		{Name: "parcel-status", Idempotency: Idempotent, MaxAttempts: 12},
	}
	for name, c := range map[string]struct {
		rule  Rule
		fault string // empty: none
	}{
		"idempotent class":                              {Rule{Action: Redeliver, Class: "parcel-status", MayHaveExecuted: &yes, MaxIncarnations: 3, Delay: 60}, ""},
		"no class":                                      {Rule{Action: Redeliver, MaxIncarnations: 3, Delay: 60}, ""},
		"hold of an unknown class":                      {Rule{Action: Hold, Class: "nothing"}, ""},
		"keyed class, within the key's TTL":             {Rule{Action: Redeliver, Class: "fee-payment", MayHaveExecuted: &yes, MaxIncarnations: 3, Delay: 5}, ""},
		"keyed class, past the key's TTL":               {Rule{Action: Redeliver, Class: "fee-payment", MayHaveExecuted: &yes, MaxIncarnations: 3, Delay: 60}, "partners remember a key for 15s only"},
		"class that is not idempotent":                  {Rule{Action: Redeliver, Class: "order", MayHaveExecuted: &yes, MaxIncarnations: 3}, "may not be repeated"},
		"class that is not idempotent, outcome unknown": {Rule{Action: Redeliver, Class: "order", Reason: string(OutcomeUnknown), MaxIncarnations: 3}, "may not be repeated"},
		"more incarnations than attempts":               {Rule{Action: Redeliver, Class: "order", MaxIncarnations: 4}, "is allowed 3 attempts"},
		"redelivery of an unknown class":                {Rule{Action: Redeliver, Class: "nothing", MaxIncarnations: 4}, "which the relay does not have"},
	} {
		t.Run(name, func(t *testing.T) {
			got := strings.Join(c.rule.Conflicts(classes), "; ")
			if c.fault == "" && got != "" || !strings.Contains(got, c.fault) {
				t.Errorf("conflicts %q, want %q", got, c.fault)
			}
		})
	}
}
