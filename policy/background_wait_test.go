package policy

import (
	"testing"
	"time"
)

// A background message that gets no slot in the batch of its arrival is rejected. Guards against a second execution: a dead letter
// waited in the queue until its destination had forgotten the idempotency key, and was then sent.
func TestBackground_NeverWaitsInQueue(t *testing.T) {
	d := newDispatcher(t, testSettings(), Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1}, Endpoint{ID: "c", Destination: 2},
		Endpoint{ID: "d", Destination: 3})
	submitMany(d, 1) // one of the four slots
	got := d.Handle(time.Second, []Event{
		backgroundArrival("m", 0),
		Arrived{ID: "n", Destination: 1, TimeLeft: 10 * time.Second},
		Arrived{ID: "o", Destination: 2, TimeLeft: 10 * time.Second},
		Arrived{ID: "p", Destination: 3, TimeLeft: 10 * time.Second},
	})
	wantActions(t, "three free slots", got, "n>b o>c p>d reject m")
	if len(d.unfinished) != 4 {
		t.Errorf("%d messages without a terminal outcome, want the four in flight", len(d.unfinished))
	}
}

// Attempts under other IDs of a background message count for the limits on repeats: the key's TTL, the key's zone, MaxAttempts and
// NotIdempotent. Guards against a second execution: dead letters were sent as if they were new messages.
func TestBackground_EarlierAttemptsCount(t *testing.T) {
	const ttl, margin, batches = 4 * time.Second, 2 * time.Second, 10 * ms // as in testSettings
	const sent = time.Minute
	executed := PriorAttempt{Endpoint: "a", SentAt: sent}
	refused := PriorAttempt{Endpoint: "a", SentAt: sent, NotExecuted: true}
	late := PriorAttempt{Endpoint: "a", SentAt: sent + time.Second}
	byZone := func(s *Settings) { s.Classes[1].KeyPerZone = true }
	for name, c := range map[string]struct {
		class    int
		change   func(*Settings)
		earlier  []PriorAttempt
		endpoint Endpoint // the only one listed; "a" is in zone 1
		at       time.Duration
		want     string
		within   time.Duration // the Send's WriteWithin
	}{
		"key remembered":                   {class: 1, earlier: []PriorAttempt{executed}, at: sent + time.Second, want: "m>a", within: ttl - margin - batches - time.Second},
		"just before the margin":           {class: 1, earlier: []PriorAttempt{executed}, at: sent + ttl - margin - batches - ms, want: "m>a", within: ms},
		"within the margin":                {class: 1, earlier: []PriorAttempt{executed}, at: sent + ttl - margin - batches, want: "reject m"},
		"key forgotten":                    {class: 1, earlier: []PriorAttempt{executed}, at: sent + ttl, want: "reject m"},
		"counted from the first execution": {class: 1, earlier: []PriorAttempt{refused, executed, late}, at: sent + ttl - margin, want: "reject m"},
		"not executed":                     {class: 1, earlier: []PriorAttempt{refused}, at: sent + time.Hour, want: "m>a"},
		"new settings with a shorter TTL": {
			class: 1, change: func(s *Settings) { s.Classes[1].KeyTTL = 3 * time.Second }, earlier: []PriorAttempt{executed},
			at: sent + 1500*ms, want: "reject m",
		},
		"the key's zone":             {class: 1, change: byZone, earlier: []PriorAttempt{executed}, at: sent + time.Second, want: "m>a", within: ttl - margin - batches - time.Second},
		"another zone":               {class: 1, change: byZone, earlier: []PriorAttempt{executed}, endpoint: Endpoint{ID: "b", Zone: 2}, at: sent + time.Second, want: "reject m"},
		"another zone, not executed": {class: 1, change: byZone, earlier: []PriorAttempt{refused}, endpoint: Endpoint{ID: "b", Zone: 2}, at: sent + time.Second, want: "m>b"},
		"zone no longer known": {
			class: 1, change: byZone, earlier: []PriorAttempt{{Endpoint: "gone", SentAt: sent}}, at: sent + time.Second, want: "reject m",
		},
		"not idempotent, may have executed": {class: 2, earlier: []PriorAttempt{executed}, at: sent + time.Second, want: "reject m"},
		"not idempotent, not executed":      {class: 2, earlier: []PriorAttempt{refused}, at: sent + time.Second, want: "m>a"},
		"idempotent":                        {class: 0, earlier: []PriorAttempt{executed}, at: sent + time.Hour, want: "m>a"},
		"one attempt left":                  {change: func(s *Settings) { s.MaxAttempts = 3 }, earlier: []PriorAttempt{refused, refused}, at: sent + time.Second, want: "m>a"},
		"no attempt left":                   {change: func(s *Settings) { s.MaxAttempts = 2 }, earlier: []PriorAttempt{refused, refused}, at: sent + time.Second, want: "reject m"},
	} {
		t.Run(name, func(t *testing.T) {
			listed := Endpoint{ID: "a", Zone: 1}
			if c.endpoint.ID != "" {
				listed = c.endpoint
			}
			d := newDispatcher(t, testSettings(), Endpoint{ID: "a", Zone: 1})
			changed := testSettings()
			if c.change != nil {
				c.change(&changed)
			}
			list := []Endpoint{listed}
			if listed.ID != "a" {
				list = append(list, Endpoint{ID: "a", Zone: 1, Draining: true})
			}
			got := d.Handle(c.at, []Event{
				SettingsChanged{Settings: changed},
				EndpointsChanged{Full: true, Endpoints: list},
				Arrived{ID: "m", Class: c.class, TimeLeft: 30 * time.Second, Background: true, EarlierAttempts: c.earlier, KeyMargin: margin},
			})
			wantActions(t, name, got, c.want)
			for _, a := range got {
				if send, ok := a.(Send); ok && send.WriteWithin != c.within {
					t.Errorf("must be written within %v, want %v", send.WriteWithin, c.within)
				}
			}
		})
	}
}
