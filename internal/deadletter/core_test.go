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

func class(effect Effect) *Class {
	return &Class{Name: "c", Effect: effect, Memory: 15 * time.Second, Attempts: 12}
}

// life is a life whose attempts began so many seconds before noon.
func life(id string, reason Reason, attempts ...Attempt) Life {
	return Life{ID: id, Relay: "r", Taken: noon.Add(-time.Minute), Over: noon.Add(-time.Second), Reason: reason, Attempts: attempts}
}

func attempt(ago time.Duration, ran Ran) Attempt {
	return Attempt{Host: "h", Begun: noon.Add(-ago), Ran: ran}
}

func record(lives ...Life) *Record {
	return &Record{Version: Version, ID: "a", Class: "c", Lives: lives, State: Held, Since: noon.Add(-time.Second)}
}

func TestAllowed(t *testing.T) {
	attested := func(r *Record) *Record {
		r.Attests = append(r.Attests, Attest{By: "Amina", Evidence: "ledger 7", At: noon.Add(-time.Second)})
		return r
	}
	used := func(r *Record) *Record {
		attested(r).Attests[0].Used = true
		return r
	}
	in := func(r *Record, s State) *Record { r.State = s; return r }
	after := record(life("a", Doubtful, attempt(50*time.Second, May)), life("b", Spent, attempt(20*time.Second, Never)))
	after.Lives[1].Attest = &Attest{By: "Amina"}
	again := record(life("a", Doubtful, attempt(50*time.Second, May)), life("b", Doubtful, attempt(20*time.Second, May)))
	again.Lives[1].Attest = &Attest{By: "Amina"}
	for name, c := range map[string]struct {
		effect Effect
		rec    *Record
		at     time.Time
		want   bool
	}{
		"safe that may have run":                    {Safe, record(life("a", OutOfTime, attempt(20*time.Second, May))), noon, true},
		"safe, its attempts spent":                  {Safe, record(life("a", Spent, make([]Attempt, 12)...)), noon, false},
		"safe, spent over two lives":                {Safe, record(life("a", Spent, make([]Attempt, 6)...), life("b", Spent, make([]Attempt, 6)...)), noon, false},
		"safe, the clock set back":                  {Safe, record(life("a", OutOfTime)), noon.Add(-time.Hour), false},
		"safe, out at this moment":                  {Safe, in(record(life("a", OutOfTime)), Out), noon, false},
		"safe, delivered":                           {Safe, in(record(life("a", OutOfTime)), Delivered), noon, false},
		"keyed that never ran":                      {Keyed, record(life("a", OutOfTime, attempt(20*time.Second, Never))), noon, true},
		"keyed within its memory":                   {Keyed, record(life("a", OutOfTime, attempt(12*time.Second, May))), noon, true},
		"keyed at the end of its memory":            {Keyed, record(life("a", OutOfTime, attempt(14*time.Second, May))), noon, false},
		"keyed past its memory":                     {Keyed, record(life("a", OutOfTime, attempt(16*time.Second, May))), noon, false},
		"keyed, counted from the first":             {Keyed, record(life("a", OutOfTime, attempt(20*time.Second, May), attempt(5*time.Second, May))), noon, false},
		"keyed, its first in an earlier life":       {Keyed, record(life("a", OutOfTime, attempt(20*time.Second, May)), life("b", Spent, attempt(5*time.Second, Never))), noon, false},
		"keyed that has run":                        {Keyed, record(life("a", OutOfTime, attempt(5*time.Second, Did))), noon, false},
		"keyed past its memory, attested":           {Keyed, attested(record(life("a", OutOfTime, attempt(16*time.Second, May)))), noon, true},
		"keyed past its memory, attest used":        {Keyed, used(record(life("a", OutOfTime, attempt(16*time.Second, May)))), noon, false},
		"unsafe that never ran":                     {Unsafe, record(life("a", OutOfTime, attempt(20*time.Second, Never))), noon, true},
		"unsafe that may have run":                  {Unsafe, record(life("a", Doubtful, attempt(time.Second, May))), noon, false},
		"unsafe, attested":                          {Unsafe, attested(record(life("a", Doubtful, attempt(time.Second, May)))), noon, true},
		"unsafe, never run since the attest":        {Unsafe, after, noon, true},
		"unsafe, may have run since the attest":     {Unsafe, again, noon, false},
		"attempts spent, attested all the same":     {Unsafe, attested(record(life("a", Spent, make([]Attempt, 12)...))), noon, false},
		"an attempt of which nothing more is known": {Unsafe, record(life("a", ProcessEnded, Attempt{Host: "h", Begun: noon.Add(-time.Second)})), noon, false},
	} {
		if v := Allowed(class(c.effect), c.rec, nil, c.at); v.Allowed != c.want || v.Why == "" {
			t.Errorf("%s: %+v, want %v", name, v, c.want)
		}
	}
}

// A payment that was handed back may have come again, by any relay: it is resent on an attest only.
func TestWhatWasHandedBackMayHaveComeAgain(t *testing.T) {
	for _, c := range []struct {
		effect  Effect
		status  string
		returns bool
		attest  bool
		want    bool
	}{
		{Keyed, deferred, true, false, false},
		{Unsafe, deferred, true, false, false},
		{Safe, deferred, true, false, true},
		{Keyed, deferred, false, false, true},
		{Keyed, "undeliverable", true, false, true},
		{Keyed, deferred, true, true, true},
	} {
		k := class(c.effect)
		k.Returns = c.returns
		r := record(life("a", RefusedLate, attempt(20*time.Second, Never)))
		r.Lives[0].Status = c.status
		if c.attest {
			r.Attests = []Attest{{By: "Amina", Evidence: "ledger", At: noon.Add(-time.Second)}}
		}
		if v := Allowed(k, r, nil, noon); v.Allowed != c.want || v.Why == "" || c.attest != (v.Attest != nil) {
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
		r := record(life("a", OutOfTime))
		change(r)
		return r
	}
	late := func(r *Record) { r.Lives[0].Reason = RefusedLate }
	for name, c := range map[string]struct {
		rec    *Record
		at     time.Time
		action string
		rule   int
		next   time.Time
	}{
		"none matches":                {with(func(*Record) {}), noon, Hold, 0, time.Time{}},
		"none matches yet":            {with(func(r *Record) { r.Tenant = "lahore" }), noon, Hold, 0, noon.Add(99 * time.Second)},
		"held by a rule":              {with(func(r *Record) { r.Partner = 4 }), noon, Hold, 4, time.Time{}},
		"resend not due yet":          {with(late), noon, Hold, 2, noon.Add(29 * time.Second)},
		"resend outside its hours":    {with(late), noon.Add(time.Minute), Hold, 2, noon.Add(10 * time.Hour)},
		"resend in its hours":         {with(late), noon.Add(11 * time.Hour), Resend, 2, noon.Add(11 * time.Hour)},
		"and after midnight":          {with(late), noon.Add(17 * time.Hour), Resend, 2, noon.Add(17 * time.Hour)},
		"discard not due yet":         {with(func(r *Record) { r.Tenant = "lahore" }), noon.Add(2 * time.Minute), Hold, 3, noon.Add(59 * time.Minute)},
		"discard":                     {with(func(r *Record) { r.Tenant = "lahore" }), noon.Add(time.Hour), Discard, 3, noon.Add(time.Hour)},
		"an earlier rule will match":  {with(func(r *Record) { r.Partner, r.Tenant = 4, "lahore" }), noon, Hold, 4, noon.Add(99 * time.Second)},
		"the clock was set back":      {with(late), noon.Add(-time.Hour), Hold, 2, noon.Add(-time.Second)},
		"it had all the rule's lives": {with(func(r *Record) { late(r); r.Lives = append(r.Lives, r.Lives[0], r.Lives[0]) }), noon.Add(11 * time.Hour), Hold, 2, time.Time{}},
	} {
		p := Decide(all, class(Safe), c.rec, nil, c.at)
		if p.Action != c.action || p.Rule != c.rule || !p.At.Equal(c.next) || p.Why == "" {
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
		{Name: "fee-payment", Effect: Keyed, Memory: 15 * time.Second, Attempts: 12},
		{Name: "order", Effect: Unsafe, Attempts: 3},
		{Name: "parcel-status", Effect: Safe, Attempts: 12},
	}
	for _, c := range []struct {
		rule  Rule
		fault string
	}{
		{Rule{Action: Resend, Class: "parcel-status", MayHaveRun: &yes, Most: 3, After: 60}, ""},
		{Rule{Action: Resend, Most: 3, After: 60}, ""},
		{Rule{Action: Hold, Class: "nothing"}, ""},
		{Rule{Action: Resend, Class: "fee-payment", MayHaveRun: &yes, Most: 3, After: 5}, ""},
		{Rule{Action: Resend, Class: "fee-payment", MayHaveRun: &yes, Most: 3, After: 60}, "partners remember a key for 15s only"},
		{Rule{Action: Resend, Class: "order", MayHaveRun: &yes, Most: 3}, "may not be repeated"},
		{Rule{Action: Resend, Class: "order", Reason: string(Doubtful), Most: 3}, "may not be repeated"},
		{Rule{Action: Resend, Class: "order", Most: 4}, "is allowed 3 attempts"},
		{Rule{Action: Resend, Class: "nothing", Most: 4}, "which the relay does not have"},
	} {
		got := strings.Join(c.rule.Against(classes), "; ")
		if c.fault == "" && got != "" || !strings.Contains(got, c.fault) {
			t.Errorf("%+v: %q, want %q", c.rule, got, c.fault)
		}
	}
}

// forbidden says by itself whether a resend now could have an effect twice, from the lineage alone: the check that
// Allowed is held against.
func forbidden(c *Class, r *Record, now time.Time) bool {
	if c.Effect == Safe {
		return false
	}
	attested := false
	for _, a := range r.Attests {
		attested = attested || !a.Used
	}
	var risky []Attempt
	for _, l := range r.Lives {
		if l.Attest != nil {
			risky = nil // a person has vouched for what came before
		}
		for _, a := range l.Attempts {
			if a.Ran != Never {
				risky = append(risky, a)
			}
		}
	}
	if len(risky) == 0 || attested {
		return false
	}
	for _, a := range risky {
		if c.Effect == Unsafe || a.Ran == Did || now.Sub(a.Begun) >= c.Memory || now.Before(a.Begun) {
			return true
		}
	}
	return false
}

// hostile draws any history and any rules, and reports whether a decision let through what is forbidden.
func hostile(t *rapid.T, decide func([]Rule, *Class, *Record, Newer, time.Time) Plan) (broken bool) {
	c := class(Effect(rapid.IntRange(0, 2).Draw(t, "effect")))
	r := record()
	for i := range rapid.IntRange(1, 4).Draw(t, "lives") {
		l := life(fmt.Sprint(i), rapid.SampledFrom(reasons).Draw(t, "reason"))
		for range rapid.IntRange(0, 4).Draw(t, "attempts") {
			l.Attempts = append(l.Attempts, attempt(time.Duration(rapid.IntRange(1, 60).Draw(t, "ago"))*time.Second,
				rapid.SampledFrom([]Ran{Never, May, Did, ""}).Draw(t, "ran")))
		}
		if i > 0 && rapid.Bool().Draw(t, "attested") {
			l.Attest = &Attest{By: "x"}
		}
		r.Lives = append(r.Lives, l)
	}
	if rapid.Bool().Draw(t, "attest") {
		r.Attests = []Attest{{By: "x", Used: rapid.Bool().Draw(t, "used")}}
	}
	var set []Rule
	for range rapid.IntRange(0, 3).Draw(t, "rules") {
		rule := Rule{
			Action: rapid.SampledFrom([]string{Hold, Resend, Discard}).Draw(t, "action"), Most: rapid.IntRange(0, 99).Draw(t, "most"),
			After: float64(rapid.IntRange(0, 30).Draw(t, "after")), Rate: 1,
		}
		if rapid.Bool().Draw(t, "says") {
			may := rapid.Bool().Draw(t, "may")
			rule.MayHaveRun = &may
		}
		set = append(set, rule)
	}
	now := noon.Add(time.Duration(rapid.IntRange(-90, 90).Draw(t, "now")) * time.Second)
	p := decide(set, c, r, nil, now)
	return p.Action == Resend && (forbidden(c, r, now) || r.Attempts() >= c.Attempts)
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
