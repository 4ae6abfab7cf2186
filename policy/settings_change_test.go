package policy

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The table of classes keeps every number, whatever files come.
func TestMergeClasses_KeepsNumbers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), 1, 5, rapid.ID[string])
		var table []Class
		number := map[string]int{}
		for range rapid.IntRange(1, 6).Draw(t, "files") {
			var file []Class
			in := map[string]bool{}
			for _, name := range draw.Draw(t, "classes") {
				file, in[name] = append(file, Class{Name: name, Deadline: time.Second}), true
			}
			table = MergeClasses(table, file)
			for i, c := range table {
				if n, had := number[c.Name]; had && n != i {
					t.Fatalf("%s was number %d and is %d", c.Name, n, i)
				}
				number[c.Name] = i
				if c.Retired == in[c.Name] {
					t.Fatalf("%s: retired %v, in the file %v", c.Name, c.Retired, in[c.Name])
				}
			}
			for name := range in {
				if _, ok := number[name]; !ok {
					t.Fatalf("%s has no number", name)
				}
			}
		}
	})
}

// An attempt needs leave from the terms that a message was taken on under and from those of the settings now.
func TestStricterTerms(t *testing.T) {
	class := func(e Idempotency, memory time.Duration, byZone bool) Class {
		return Class{Name: "c", Deadline: 10 * time.Second, Idempotency: e, KeyTTL: memory, KeyPerZone: byZone}
	}
	s, k5, k2, z5, u := class(Idempotent, 0, false), class(IdempotentByKey, 5*time.Second, false), class(IdempotentByKey, 2*time.Second, false),
		class(IdempotentByKey, 5*time.Second, true), class(NotIdempotent, 0, false)
	gone := u
	gone.Retired = true
	tests := []struct {
		name           string
		old, now, want Class
	}{
		{"the same", k5, k5, k5},
		{"safe, keyed now: it may have come without a key", s, k5, class(NotIdempotent, 0, false)},
		{"safe, unsafe now", s, u, u},
		{"keyed, unsafe now", k5, u, class(NotIdempotent, 5*time.Second, false)},
		{"keyed, safe now", k5, s, k5},
		{"unsafe, safe now", u, s, u},
		{"unsafe, keyed now", u, k5, u},
		{"a shorter memory", k5, k2, k2},
		{"a longer memory", k2, k5, k2},
		{"by zone now", k5, z5, z5},
		{"by zone before", z5, k5, z5},
		{"gone", s, gone, s},
	}
	for _, tt := range tests {
		if got := *tt.old.stricterTerms(&tt.now); got != tt.want {
			t.Errorf("%s: %+v, want %+v", tt.name, got, tt.want)
		}
	}
}

// New settings bind what is under way: fewer attempts end what has had them, a message keeps its class when that goes,
// and a new class is served beside the old ones.
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
	wantActions(t, "taken on", d.Handle(now, []Event{arrival("m", 0)}), "m>a")
	wantActions(t, "tried again", d.Handle(now+ms, []Event{reset("m", 0)}), "m>a")

	next := s
	next.MaxAttempts = 2
	next.Classes = MergeClasses(s.Classes, append([]Class{{Name: "new", Deadline: 10 * time.Second, PriorityWeight: 1}}, s.Classes[1:]...))
	if got := next.Classes[0]; !got.Retired || got.Name != s.Classes[0].Name {
		t.Fatalf("class 0 is %+v", got)
	}
	added := len(next.Classes) - 1
	wantActions(t, "new settings end nothing that is out", d.Handle(now+2*ms, []Event{SettingsChanged{next}}), "")
	wantActions(t, "a message of a new class", d.Handle(now+3*ms, []Event{Arrived{ID: "n", Class: added, TimeLeft: 5 * time.Second}}), "n>a")
	wantActions(t, "it is delivered", d.Handle(now+4*ms, []Event{AttemptEnded{ID: "n", Endpoint: "a", Outcome: Succeeded}}), "")
	wantActions(t, "no third attempt", d.Handle(now+5*ms, []Event{reset("m", 1)}), "reject m")

	// One that is held with as many attempts as the settings now allow gets its end at once.
	d = newDispatcher(t, s, Endpoint{ID: "a"})
	full := AttemptEnded{ID: "h", Endpoint: "a", Outcome: Rejected, RetryAfter: 5 * time.Second}
	d.Handle(now, []Event{arrival("h", 0)})
	wantActions(t, "held for a wait", d.Handle(now+ms, []Event{full}), "")
	next.MaxAttempts = 1
	wantActions(t, "cut", d.Handle(now+2*ms, []Event{SettingsChanged{next}}), "reject h")

	// A class that was safe and is unsafe now: what was out under it and may have run is not sent again, nor handed back.
	d = newDispatcher(t, s, Endpoint{ID: "a"})
	d.Handle(now, []Event{arrival("m", 0)})
	next = s
	strict := s.Classes[0]
	strict.Idempotency = NotIdempotent
	next.Classes = MergeClasses(s.Classes, append([]Class{strict}, s.Classes[1:]...))
	d.Handle(now+ms, []Event{SettingsChanged{next}})
	wantActions(t, "may have run, unsafe now", d.Handle(now+2*ms, []Event{reset("m", 0)}), "fail m")
}
