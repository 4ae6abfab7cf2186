package deadletter

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// mayExecuteTwice reports whether a redelivery now could be a second execution. It depends only on the message's history and
// class, and shares no code with Allowed, because Allowed is checked against it.
func mayExecuteTwice(c *Class, r *Record, now time.Time) bool {
	if c.Idempotency == Idempotent {
		return false
	}
	attested := false
	for _, a := range r.Attestations {
		attested = attested || !a.Used
	}
	var risky []Attempt
	for _, incarnation := range r.Incarnations {
		if incarnation.Attestation != nil {
			risky = nil // the attestation covers the earlier attempts
		}
		for _, a := range incarnation.Attempts {
			if a.Execution != NotExecuted {
				risky = append(risky, a)
			}
		}
	}
	if len(risky) == 0 || attested {
		return false
	}
	for _, a := range risky {
		if c.Idempotency == NotIdempotent || a.Execution == Executed || now.Sub(a.StartedAt) >= c.KeyTTL || now.Before(a.StartedAt) {
			return true
		}
	}
	return false
}

// risksSecondExecution draws a message's history and rules, and reports whether decide redelivers the message although the
// message could be executed a second time or has had all attempts that its class allows.
func risksSecondExecution(t *rapid.T, decide func([]Rule, *Class, *Record, Newer, time.Time) Plan) bool {
	class := testClass(Idempotency(rapid.IntRange(0, 2).Draw(t, "idempotency")))
	r := newRecord()
	for i := range rapid.IntRange(1, 4).Draw(t, "incarnations") {
		incarnation := newIncarnation(fmt.Sprint(i), rapid.SampledFrom(reasons).Draw(t, "reason"))
		for range rapid.IntRange(0, 4).Draw(t, "attempts") {
			incarnation.Attempts = append(incarnation.Attempts, attemptAgo(time.Duration(rapid.IntRange(1, 60).Draw(t, "ago"))*time.Second,
				rapid.SampledFrom([]Execution{NotExecuted, ExecutionUnknown, Executed, ""}).Draw(t, "execution")))
		}
		if i > 0 && rapid.Bool().Draw(t, "attested") {
			incarnation.Attestation = &Attestation{By: "x"}
		}
		r.Incarnations = append(r.Incarnations, incarnation)
	}
	if rapid.Bool().Draw(t, "has attestation") {
		r.Attestations = []Attestation{{By: "x", Used: rapid.Bool().Draw(t, "used")}}
	}
	var rules []Rule
	for range rapid.IntRange(0, 3).Draw(t, "rules") {
		rule := Rule{
			Action: rapid.SampledFrom([]Action{Hold, Redeliver, Discard}).Draw(t, "action"), MaxIncarnations: rapid.IntRange(0, 99).Draw(t, "max incarnations"),
			Delay: float64(rapid.IntRange(0, 30).Draw(t, "delay")), Rate: 1,
		}
		if rapid.Bool().Draw(t, "has MayHaveExecuted") {
			mayHaveExecuted := rapid.Bool().Draw(t, "MayHaveExecuted")
			rule.MayHaveExecuted = &mayHaveExecuted
		}
		rules = append(rules, rule)
	}
	now := noon.Add(time.Duration(rapid.IntRange(-90, 90).Draw(t, "now")) * time.Second)
	plan := decide(rules, class, r, nil, now)
	return plan.Action == Redeliver && (mayExecuteTwice(class, r, now) || r.Attempts() >= class.MaxAttempts)
}

func TestDecide_NeverRisksSecondExecution(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if risksSecondExecution(t, Decide) {
			t.Fatal("a redelivery could be a second execution, or exceeds the class's attempts")
		}
	})
}

// The property above fails for a decision that does not call Allowed.
func TestDecide_PropertyCatchesMissingPermissionCheck(t *testing.T) {
	mutant := func(rules []Rule, _ *Class, r *Record, _ Newer, now time.Time) Plan {
		for i := range rules {
			if rules[i].matches(r, now) {
				return Plan{Action: rules[i].Action}
			}
		}
		return Plan{Action: Hold}
	}
	caught := false
	rapid.Check(t, func(t *rapid.T) { caught = risksSecondExecution(t, mutant) || caught })
	if !caught {
		t.Error("the property holds for a decision that does not call Allowed")
	}
}
