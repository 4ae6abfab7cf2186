package deadletter

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"frostlink/internal/strictconfig"
	"frostlink/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

var noon = time.Date(2026, 6, 30, 12, 0, 0, 0, time.UTC)

func class(effect Idempotency) *Class {
	return &Class{Name: "c", Idempotency: effect, KeyTTL: 15 * time.Second, MaxAttempts: 12}
}

// life is a life whose attempts began so many seconds before noon.
func life(id string, reason Reason, attempts ...Attempt) Incarnation {
	return Incarnation{ID: id, Relay: "r", AcceptedAt: noon.Add(-time.Minute), CompletedAt: noon.Add(-time.Second), Reason: reason, Attempts: attempts}
}

func attempt(ago time.Duration, ran Execution) Attempt {
	return Attempt{Endpoint: "h", StartedAt: noon.Add(-ago), Execution: ran}
}

func record(lives ...Incarnation) *Record {
	return &Record{Version: Version, ID: "a", Class: "c", Incarnations: lives, State: Held, Since: noon.Add(-time.Second)}
}

func TestAllowed(t *testing.T) {
	attested := func(r *Record) *Record {
		r.Attestations = append(r.Attestations, Attestation{By: "Amina", Evidence: "ledger 7", At: noon.Add(-time.Second)})
		return r
	}
	used := func(r *Record) *Record {
		attested(r).Attestations[0].Used = true
		return r
	}
	in := func(r *Record, s State) *Record { r.State = s; return r }
	after := record(life("a", OutcomeUnknown, attempt(50*time.Second, ExecutionUnknown)), life("b", AttemptsExhausted, attempt(20*time.Second, NotExecuted)))
	after.Incarnations[1].Attestation = &Attestation{By: "Amina"}
	again := record(life("a", OutcomeUnknown, attempt(50*time.Second, ExecutionUnknown)), life("b", OutcomeUnknown, attempt(20*time.Second, ExecutionUnknown)))
	again.Incarnations[1].Attestation = &Attestation{By: "Amina"}
	for name, c := range map[string]struct {
		effect Idempotency
		rec    *Record
		at     time.Time
		want   bool
	}{
		"safe that may have run":                    {Idempotent, record(life("a", DeadlineExceeded, attempt(20*time.Second, ExecutionUnknown))), noon, true},
		"safe, its attempts spent":                  {Idempotent, record(life("a", AttemptsExhausted, make([]Attempt, 12)...)), noon, false},
		"safe, spent over two lives":                {Idempotent, record(life("a", AttemptsExhausted, make([]Attempt, 6)...), life("b", AttemptsExhausted, make([]Attempt, 6)...)), noon, false},
		"safe, the clock set back":                  {Idempotent, record(life("a", DeadlineExceeded)), noon.Add(-time.Hour), false},
		"safe, out at this moment":                  {Idempotent, in(record(life("a", DeadlineExceeded)), Redelivering), noon, false},
		"safe, delivered":                           {Idempotent, in(record(life("a", DeadlineExceeded)), Delivered), noon, false},
		"keyed that never ran":                      {IdempotentByKey, record(life("a", DeadlineExceeded, attempt(20*time.Second, NotExecuted))), noon, true},
		"keyed within its memory":                   {IdempotentByKey, record(life("a", DeadlineExceeded, attempt(12*time.Second, ExecutionUnknown))), noon, true},
		"keyed at the end of its memory":            {IdempotentByKey, record(life("a", DeadlineExceeded, attempt(14*time.Second, ExecutionUnknown))), noon, false},
		"keyed past its memory":                     {IdempotentByKey, record(life("a", DeadlineExceeded, attempt(16*time.Second, ExecutionUnknown))), noon, false},
		"keyed, counted from the first":             {IdempotentByKey, record(life("a", DeadlineExceeded, attempt(20*time.Second, ExecutionUnknown), attempt(5*time.Second, ExecutionUnknown))), noon, false},
		"keyed, its first in an earlier life":       {IdempotentByKey, record(life("a", DeadlineExceeded, attempt(20*time.Second, ExecutionUnknown)), life("b", AttemptsExhausted, attempt(5*time.Second, NotExecuted))), noon, false},
		"keyed that has run":                        {IdempotentByKey, record(life("a", DeadlineExceeded, attempt(5*time.Second, Executed))), noon, false},
		"keyed past its memory, attested":           {IdempotentByKey, attested(record(life("a", DeadlineExceeded, attempt(16*time.Second, ExecutionUnknown)))), noon, true},
		"keyed past its memory, attest used":        {IdempotentByKey, used(record(life("a", DeadlineExceeded, attempt(16*time.Second, ExecutionUnknown)))), noon, false},
		"unsafe that never ran":                     {NotIdempotent, record(life("a", DeadlineExceeded, attempt(20*time.Second, NotExecuted))), noon, true},
		"unsafe that may have run":                  {NotIdempotent, record(life("a", OutcomeUnknown, attempt(time.Second, ExecutionUnknown))), noon, false},
		"unsafe, attested":                          {NotIdempotent, attested(record(life("a", OutcomeUnknown, attempt(time.Second, ExecutionUnknown)))), noon, true},
		"unsafe, never run since the attest":        {NotIdempotent, after, noon, true},
		"unsafe, may have run since the attest":     {NotIdempotent, again, noon, false},
		"attempts spent, attested all the same":     {NotIdempotent, attested(record(life("a", AttemptsExhausted, make([]Attempt, 12)...))), noon, false},
		"an attempt of which nothing more is known": {NotIdempotent, record(life("a", ProcessEnded, Attempt{Endpoint: "h", StartedAt: noon.Add(-time.Second)})), noon, false},
	} {
		if v := Allowed(class(c.effect), c.rec, nil, c.at); v.Allowed != c.want || v.Reason == "" {
			t.Errorf("%s: %+v, want %v", name, v, c.want)
		}
	}
}

// A payment that was handed back may have come again, by any relay: it is resent on an attest only.
func TestWhatWasHandedBackMayHaveComeAgain(t *testing.T) {
	for _, c := range []struct {
		effect  Idempotency
		status  string
		returns bool
		attest  bool
		want    bool
	}{
		{IdempotentByKey, deferred, true, false, false},
		{NotIdempotent, deferred, true, false, false},
		{Idempotent, deferred, true, false, true},
		{IdempotentByKey, deferred, false, false, true},
		{IdempotentByKey, "undeliverable", true, false, true},
		{IdempotentByKey, deferred, true, true, true},
	} {
		k := class(c.effect)
		k.ClientsResubmit = c.returns
		r := record(life("a", ShedAfterAcceptance, attempt(20*time.Second, NotExecuted)))
		r.Incarnations[0].Status = c.status
		if c.attest {
			r.Attestations = []Attestation{{By: "Amina", Evidence: "ledger", At: noon.Add(-time.Second)}}
		}
		if v := Allowed(k, r, nil, noon); v.Allowed != c.want || v.Reason == "" || c.attest != (v.Attestation != nil) {
			t.Errorf("%+v: %+v", c, v)
		}
	}
}

func rules(t *testing.T, text string) ([]Rule, error) {
	t.Helper()
	var s struct {
		Rules []Rule `toml:"rule"`
	}
	d := strictconfig.Decode("r", []byte(text), &s)
	for i := range s.Rules {
		s.Rules[i].Check(d, fmt.Sprintf("rule[%d]", i+1))
	}
	return s.Rules, d.Err()
}

func TestRules(t *testing.T) {
	all, err := rules(t, `
[[rule]]
class = "other"
action = "resend"
most = 3
rate = 1
[[rule]]
reason = "refused-late"
action = "resend"
after_s = 30
most = 3
rate = 2.5
hours = "22:00-06:00"
[[rule]]
tenant = "lahore"
older_than_s = 100
action = "discard"
after_age_s = 3600
[[rule]]
partner = 4
action = "hold"
`)
	if err != nil {
		t.Fatal(err)
	}
	with := func(change func(r *Record)) *Record {
		r := record(life("a", DeadlineExceeded))
		change(r)
		return r
	}
	late := func(r *Record) { r.Incarnations[0].Reason = ShedAfterAcceptance }
	for name, c := range map[string]struct {
		rec    *Record
		at     time.Time
		action Action
		rule   int
		next   time.Time
	}{
		"none matches":               {with(func(*Record) {}), noon, Hold, 0, time.Time{}},
		"none matches yet":           {with(func(r *Record) { r.Tenant = "lahore" }), noon, Hold, 0, noon.Add(99 * time.Second)},
		"held by a rule":             {with(func(r *Record) { r.Destination = 4 }), noon, Hold, 4, time.Time{}},
		"resend not due yet":         {with(late), noon, Hold, 2, noon.Add(29 * time.Second)},
		"resend outside its hours":   {with(late), noon.Add(time.Minute), Hold, 2, noon.Add(10 * time.Hour)},
		"resend in its hours":        {with(late), noon.Add(11 * time.Hour), Redeliver, 2, noon.Add(11 * time.Hour)},
		"and after midnight":         {with(late), noon.Add(17 * time.Hour), Redeliver, 2, noon.Add(17 * time.Hour)},
		"discard not due yet":        {with(func(r *Record) { r.Tenant = "lahore" }), noon.Add(2 * time.Minute), Hold, 3, noon.Add(59 * time.Minute)},
		"discard":                    {with(func(r *Record) { r.Tenant = "lahore" }), noon.Add(time.Hour), Discard, 3, noon.Add(time.Hour)},
		"an earlier rule will match": {with(func(r *Record) { r.Destination, r.Tenant = 4, "lahore" }), noon, Hold, 4, noon.Add(99 * time.Second)},
		"the clock was set back":     {with(late), noon.Add(-time.Hour), Hold, 2, noon.Add(-time.Second)},
		"it had all the rule's lives": {with(func(r *Record) {
			late(r)
			r.Incarnations = append(r.Incarnations, r.Incarnations[0], r.Incarnations[0])
		}), noon.Add(11 * time.Hour), Hold, 2, time.Time{}},
	} {
		p := Decide(all, class(Idempotent), c.rec, nil, c.at)
		if p.Action != c.action || p.Rule != c.rule || !p.At.Equal(c.next) || p.Reason == "" {
			t.Errorf("%s: %+v", name, p)
		}
	}
}

func TestRulesThatAreRefused(t *testing.T) {
	_, err := rules(t, "[[rule]]\naction='send'\n[[rule]]\naction='resend'\nmost=1\nhours='8-9'\n[[rule]]\naction='discard'\nrate=2\nreason='bored'\nolder_than_s=-1\n")
	want := []string{
		`r:2: rule[1].action: "send" is none of hold, resend, discard`, `r:3: rule[2].rate: is missing`,
		`r:5: rule[2].most: 1 lives`, `r:6: rule[2].hours: "8" is no time`, `r:7: rule[3].after_age_s: is missing`,
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

func TestRulesAgainstTheirClasses(t *testing.T) {
	yes := true
	classes := []Class{
		{Name: "fee-payment", Idempotency: IdempotentByKey, KeyTTL: 15 * time.Second, MaxAttempts: 12},
		{Name: "order", Idempotency: NotIdempotent, MaxAttempts: 3},
		{Name: "parcel-status", Idempotency: Idempotent, MaxAttempts: 12},
	}
	for _, c := range []struct {
		rule  Rule
		fault string
	}{
		{Rule{Action: Redeliver, Class: "parcel-status", MayHaveExecuted: &yes, MaxIncarnations: 3, Delay: 60}, ""},
		{Rule{Action: Redeliver, MaxIncarnations: 3, Delay: 60}, ""},
		{Rule{Action: Hold, Class: "nothing"}, ""},
		{Rule{Action: Redeliver, Class: "fee-payment", MayHaveExecuted: &yes, MaxIncarnations: 3, Delay: 5}, ""},
		{Rule{Action: Redeliver, Class: "fee-payment", MayHaveExecuted: &yes, MaxIncarnations: 3, Delay: 60}, "partners remember a key for 15s only"},
		{Rule{Action: Redeliver, Class: "order", MayHaveExecuted: &yes, MaxIncarnations: 3}, "may not be repeated"},
		{Rule{Action: Redeliver, Class: "order", Reason: string(OutcomeUnknown), MaxIncarnations: 3}, "may not be repeated"},
		{Rule{Action: Redeliver, Class: "order", MaxIncarnations: 4}, "is allowed 3 attempts"},
		{Rule{Action: Redeliver, Class: "nothing", MaxIncarnations: 4}, "which the relay does not have"},
	} {
		got := strings.Join(c.rule.Conflicts(classes), "; ")
		if c.fault == "" && got != "" || !strings.Contains(got, c.fault) {
			t.Errorf("%+v: %q, want %q", c.rule, got, c.fault)
		}
	}
}

// forbidden says by itself whether a resend now could have an effect twice, from the lineage alone: the check that
// Allowed is held against.
func forbidden(c *Class, r *Record, now time.Time) bool {
	if c.Idempotency == Idempotent {
		return false
	}
	attested := false
	for _, a := range r.Attestations {
		attested = attested || !a.Used
	}
	var risky []Attempt
	for _, l := range r.Incarnations {
		if l.Attestation != nil {
			risky = nil // a person has vouched for what came before
		}
		for _, a := range l.Attempts {
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

// hostile draws any history and any rules, and reports whether a decision let through what is forbidden.
func hostile(t *rapid.T, decide func([]Rule, *Class, *Record, Newer, time.Time) Plan) (broken bool) {
	c := class(Idempotency(rapid.IntRange(0, 2).Draw(t, "effect")))
	r := record()
	for i := range rapid.IntRange(1, 4).Draw(t, "lives") {
		l := life(fmt.Sprint(i), rapid.SampledFrom(reasons).Draw(t, "reason"))
		for range rapid.IntRange(0, 4).Draw(t, "attempts") {
			l.Attempts = append(l.Attempts, attempt(time.Duration(rapid.IntRange(1, 60).Draw(t, "ago"))*time.Second,
				rapid.SampledFrom([]Execution{NotExecuted, ExecutionUnknown, Executed, ""}).Draw(t, "ran")))
		}
		if i > 0 && rapid.Bool().Draw(t, "attested") {
			l.Attestation = &Attestation{By: "x"}
		}
		r.Incarnations = append(r.Incarnations, l)
	}
	if rapid.Bool().Draw(t, "attest") {
		r.Attestations = []Attestation{{By: "x", Used: rapid.Bool().Draw(t, "used")}}
	}
	var set []Rule
	for range rapid.IntRange(0, 3).Draw(t, "rules") {
		rule := Rule{
			Action: rapid.SampledFrom([]Action{Hold, Redeliver, Discard}).Draw(t, "action"), MaxIncarnations: rapid.IntRange(0, 99).Draw(t, "most"),
			Delay: float64(rapid.IntRange(0, 30).Draw(t, "after")), Rate: 1,
		}
		if rapid.Bool().Draw(t, "says") {
			may := rapid.Bool().Draw(t, "may")
			rule.MayHaveExecuted = &may
		}
		set = append(set, rule)
	}
	now := noon.Add(time.Duration(rapid.IntRange(-90, 90).Draw(t, "now")) * time.Second)
	p := decide(set, c, r, nil, now)
	return p.Action == Redeliver && (forbidden(c, r, now) || r.Attempts() >= c.MaxAttempts)
}

func TestNoRulesLetThroughWhatAClassForbids(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if hostile(t, Decide) {
			t.Fatal("a resend that could have its effect twice")
		}
	})
}

// The check above has teeth: a core without Allowed is caught by it.
func TestACoreWithoutItsCheckIsCaught(t *testing.T) {
	mutant := func(set []Rule, _ *Class, r *Record, _ Newer, now time.Time) Plan {
		for i := range set {
			if set[i].matches(r, now) {
				return Plan{Action: set[i].Action}
			}
		}
		return Plan{Action: Hold}
	}
	caught := false
	rapid.Check(t, func(t *rapid.T) { caught = hostile(t, mutant) || caught })
	if !caught {
		t.Error("a core that resends whatever the rules say passes")
	}
}
