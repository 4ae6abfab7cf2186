package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Every class keeps its number in the class table through any sequence of settings.
func TestMergeClasses_KeepsNumbers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), 1, 5, rapid.ID[string])
		var table []Class
		number := map[string]int{}
		for range rapid.IntRange(1, 6).Draw(t, "settings") {
			var settings []Class
			in := map[string]bool{}
			for _, name := range draw.Draw(t, "classes") {
				settings, in[name] = append(settings, Class{Name: name, Deadline: time.Second}), true
			}
			table = MergeClasses(table, settings)
			for i, c := range table {
				if n, had := number[c.Name]; had && n != i {
					t.Fatalf("class %s had number %d and now has %d", c.Name, n, i)
				}
				number[c.Name] = i
				if c.Retired == in[c.Name] {
					t.Fatalf("class %s: retired %v, in the settings %v", c.Name, c.Retired, in[c.Name])
				}
			}
			for name := range in {
				if _, ok := number[name]; !ok {
					t.Fatalf("class %s has no number", name)
				}
			}
		}
	})
}

// An attempt must be allowed both by the terms under which the message was accepted and by the
// terms in the current settings.
func TestStricterTerms(t *testing.T) {
	class := func(e Idempotency, ttl time.Duration, perZone bool) Class {
		return Class{Name: "c", Deadline: 10 * time.Second, Idempotency: e, KeyTTL: ttl, KeyPerZone: perZone}
	}
	s, u := class(Idempotent, 0, false), class(NotIdempotent, 0, false)
	k5, k2 := class(IdempotentByKey, 5*time.Second, false), class(IdempotentByKey, 2*time.Second, false)
	z5 := class(IdempotentByKey, 5*time.Second, true)
	retired := u
	retired.Retired = true
	tests := []struct {
		name           string
		old, now, want Class
	}{
		{"the same", k5, k5, k5},
		{"idempotent, by key now: it may have arrived without a key", s, k5, class(NotIdempotent, 0, false)},
		{"idempotent, not now", s, u, u},
		{"by key, not idempotent now", k5, u, class(NotIdempotent, 5*time.Second, false)},
		{"by key, idempotent now", k5, s, k5},
		{"not idempotent, idempotent now", u, s, u},
		{"not idempotent, by key now", u, k5, u},
		{"a shorter TTL", k5, k2, k2},
		{"a longer TTL", k2, k5, k2},
		{"per zone now", k5, z5, z5},
		{"per zone before", z5, k5, z5},
		{"retired", s, retired, s},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := *tt.old.stricterTerms(&tt.now); got != tt.want {
				t.Errorf("%+v, want %+v", got, tt.want)
			}
		})
	}
}

// New settings with stricter terms cancel a repeat of which no byte has been sent yet, and it is decided on again under the new terms.
// Guards against a second execution: the connection of a permitted repeat came up only after its terms had become stricter.
func TestSettingsChanged_StricterTermsCancelRepeatBeforeSend(t *testing.T) {
	unchanged := func(*Class) {}
	shorterTTL := func(c *Class) { c.KeyTTL = 2 * time.Second }
	notIdempotent := func(c *Class) { c.Idempotency = NotIdempotent }
	keyPerZone := func(c *Class) { c.KeyPerZone = true }
	for name, c := range map[string]struct {
		change   func(*Class)
		first    Outcome // of the message's first attempt
		canceled bool
		then     string // the actions once the repeat has ended as not sent
	}{
		"shorter TTL, still in time":       {shorterTTL, ConnectionReset, true, "m>a"},
		"no longer idempotent":             {notIdempotent, ConnectionReset, true, "fail m"},
		"key known in its zone only":       {keyPerZone, ConnectionReset, true, "m>a"},
		"milder":                           {func(c *Class) { c.Idempotency = Idempotent }, ConnectionReset, false, "m>a"},
		"unchanged":                        {unchanged, ConnectionReset, false, "m>a"},
		"shorter TTL, first not executed":  {shorterTTL, ConnectError, false, "m>a"},
		"not idempotent, was not executed": {notIdempotent, ConnectError, false, "m>a"},
	} {
		t.Run(name, func(t *testing.T) {
			s := testSettings()
			d := newDispatcher(t, s, Endpoint{ID: "a", Zone: 1})
			d.Handle(0, []Event{arrival("m", 1)})
			wantActions(t, "repeated", d.Handle(time.Second, []Event{ended("m", c.first)}), "m>a")
			next := testSettings()
			c.change(&next.Classes[1])
			canceled := slices.Contains(d.Handle(time.Second+ms, []Event{SettingsChanged{next}}), Action(CancelBeforeSend{ID: "m", Attempt: 1}))
			if canceled != c.canceled {
				t.Errorf("cancelled before it is sent: %v, want %v", canceled, c.canceled)
			}
			notSent := AttemptEnded{ID: "m", Endpoint: "a", Attempt: 1, Outcome: NotSent}
			wantActions(t, "not sent", d.Handle(time.Second+2*ms, []Event{notSent}), c.then)
		})
	}
}

// The cancellations of new settings come in the same order in every run.
func TestSettingsChanged_SameEventsSameActions(t *testing.T) {
	const messages = 20
	run := func() (cancelled []Action) {
		s := testSettings()
		s.MaxInFlight = messages
		var endpoints []Endpoint
		for i := range messages {
			endpoints = append(endpoints, Endpoint{ID: fmt.Sprint("e", i), Destination: i})
		}
		d := newDispatcher(t, s, endpoints...)
		var arrivals, resets []Event
		for i := range messages {
			id := fmt.Sprint("m", i)
			arrivals = append(arrivals, Arrived{ID: id, Class: 1, Destination: i, TimeLeft: 10 * time.Second})
			resets = append(resets, AttemptEnded{ID: id, Endpoint: fmt.Sprint("e", i), Outcome: ConnectionReset})
		}
		d.Handle(0, arrivals)
		d.Handle(time.Second, resets)
		s.Classes = slices.Clone(s.Classes)
		s.Classes[1].KeyTTL = 2 * time.Second
		for _, a := range d.Handle(time.Second+ms, []Event{SettingsChanged{s}}) {
			if _, ok := a.(CancelBeforeSend); ok {
				cancelled = append(cancelled, a)
			}
		}
		return cancelled
	}
	first := run()
	if len(first) != messages {
		t.Fatalf("%d repeats are cancelled, want %d", len(first), messages)
	}
	if second := run(); !slices.Equal(first, second) {
		t.Errorf("two runs on the same events differ: %v and %v", first, second)
	}
}

// New settings apply to unfinished messages: a message that has used up the lowered MaxAttempts is
// ended, a message keeps its class when the class is retired, and messages of a new class are
// served.
func TestSettingsChanged_BindsMessagesUnderWay(t *testing.T) {
	s := testSettings()
	for i := range s.Classes {
		s.Classes[i].Name = string(rune('a' + i))
	}
	d := newDispatcher(t, s, Endpoint{ID: "a"})
	reset := func(id string, attempt int) Event {
		return AttemptEnded{ID: id, Endpoint: "a", Attempt: attempt, Outcome: ConnectionReset}
	}
	now := time.Second
	wantActions(t, "accepted", d.Handle(now, []Event{arrival("m", 0)}), "m>a")
	wantActions(t, "retried", d.Handle(now+ms, []Event{reset("m", 0)}), "m>a")

	next := s
	next.MaxAttempts = 2
	next.Classes = MergeClasses(s.Classes, append([]Class{{Name: "new", Deadline: 10 * time.Second, PriorityWeight: 1}}, s.Classes[1:]...))
	if got := next.Classes[0]; !got.Retired || got.Name != s.Classes[0].Name {
		t.Fatalf("class 0 is %+v", got)
	}
	added := len(next.Classes) - 1
	wantActions(t, "new settings end no attempt in flight", d.Handle(now+2*ms, []Event{SettingsChanged{next}}), "")
	wantActions(t, "a message of a new class", d.Handle(now+3*ms, []Event{
		Arrived{ID: "n", Class: added, TimeLeft: 5 * time.Second},
	}), "n>a")
	wantActions(t, "delivered", d.Handle(now+4*ms, []Event{ended("n", Succeeded)}), "")
	wantActions(t, "no third attempt", d.Handle(now+5*ms, []Event{reset("m", 1)}), "reject m")

	// A queued message that has used up the MaxAttempts of the new settings is given up immediately.
	d = newDispatcher(t, s, Endpoint{ID: "a"})
	full := AttemptEnded{ID: "h", Endpoint: "a", Outcome: Rejected, RetryAfter: 5 * time.Second}
	d.Handle(now, []Event{arrival("h", 0)})
	wantActions(t, "queued until Retry-After", d.Handle(now+ms, []Event{full}), "")
	next.MaxAttempts = 1
	wantActions(t, "given up", d.Handle(now+2*ms, []Event{SettingsChanged{next}}), "reject h")

	// A class changes from idempotent to not idempotent: a message of the class that was in flight
	// and may have executed is neither sent again nor rejected.
	d = newDispatcher(t, s, Endpoint{ID: "a"})
	d.Handle(now, []Event{arrival("m", 0)})
	next = s
	strict := s.Classes[0]
	strict.Idempotency = NotIdempotent
	next.Classes = MergeClasses(s.Classes, append([]Class{strict}, s.Classes[1:]...))
	d.Handle(now+ms, []Event{SettingsChanged{next}})
	wantActions(t, "may have executed, not idempotent now", d.Handle(now+2*ms, []Event{reset("m", 0)}), "fail m")
}
