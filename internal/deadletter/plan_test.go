package deadletter

import (
	"testing"
	"time"
)

func TestDecide_AppliesFirstMatchingRule(t *testing.T) {
	rules, err := parseRules(t, `
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
	recordWith := func(change func(r *Record)) *Record {
		r := newRecord(newIncarnation("a", DeadlineExceeded))
		change(r)
		return r
	}
	shed := func(r *Record) { r.Incarnations[0].Reason = ShedAfterAcceptance }
	for name, c := range map[string]struct {
		record *Record
		now    time.Time
		action Action
		rule   int
		next   time.Time
	}{
		"no rule matches":                         {recordWith(func(*Record) {}), noon, Hold, 0, time.Time{}},
		"no rule matches yet":                     {recordWith(func(r *Record) { r.Tenant = "lahore" }), noon, Hold, 0, noon.Add(99 * time.Second)},
		"held by a rule":                          {recordWith(func(r *Record) { r.Destination = 4 }), noon, Hold, 4, time.Time{}},
		"redelivery not due yet":                  {recordWith(shed), noon, Hold, 2, noon.Add(29 * time.Second)},
		"redelivery outside its hours":            {recordWith(shed), noon.Add(time.Minute), Hold, 2, noon.Add(10 * time.Hour)},
		"redelivery in its hours":                 {recordWith(shed), noon.Add(11 * time.Hour), Redeliver, 2, noon.Add(11 * time.Hour)},
		"redelivery in its hours, after midnight": {recordWith(shed), noon.Add(17 * time.Hour), Redeliver, 2, noon.Add(17 * time.Hour)},
		"discard not due yet":                     {recordWith(func(r *Record) { r.Tenant = "lahore" }), noon.Add(2 * time.Minute), Hold, 3, noon.Add(59 * time.Minute)},
		"discard":                                 {recordWith(func(r *Record) { r.Tenant = "lahore" }), noon.Add(time.Hour), Discard, 3, noon.Add(time.Hour)},
		"an earlier rule will match":              {recordWith(func(r *Record) { r.Destination, r.Tenant = 4, "lahore" }), noon, Hold, 4, noon.Add(99 * time.Second)},
		"clock set back":                          {recordWith(shed), noon.Add(-time.Hour), Hold, 2, noon.Add(-time.Second)},
		"all incarnations that the rule allows": {recordWith(func(r *Record) {
			shed(r)
			r.Incarnations = append(r.Incarnations, r.Incarnations[0], r.Incarnations[0])
		}), noon.Add(11 * time.Hour), Hold, 2, time.Time{}},
	} {
		t.Run(name, func(t *testing.T) {
			plan := Decide(rules, testClass(Idempotent), c.record, nil, c.now)
			if plan.Action != c.action || plan.Rule != c.rule || !plan.At.Equal(c.next) || plan.Reason == "" {
				t.Errorf("unexpected plan %+v", plan)
			}
		})
	}
}
