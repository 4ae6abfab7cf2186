package coordsim

import (
	"slices"
	"testing"
	"time"
)

func TestScheduler_RunsEventsInOrder(t *testing.T) {
	s := &scheduler{}
	paused, crashed := &process{running: true}, &process{running: true}
	var got []string
	note := func(what string) func() { return func() { got = append(got, what) } }
	s.after(2*time.Second, nil, note("second"))
	s.after(time.Second, nil, note("first"))
	s.after(2*time.Second, nil, note("third, of the same moment"))
	s.after(time.Second, crashed, note("never: of an earlier incarnation"))
	s.after(time.Second, paused, note("after the pause"))
	s.after(2*time.Second, paused, note("last"))
	s.after(time.Hour, nil, note("never: after the end"))
	crashed.crash()
	crashed.running = true
	paused.pause(3 * time.Second)
	s.runUntil(time.Minute)
	if want := []string{"first", "second", "third, of the same moment", "after the pause", "last"}; !slices.Equal(got, want) {
		t.Errorf("%q, want %q", got, want)
	}
	if s.now != time.Minute {
		t.Errorf("it is %v at the end", s.now)
	}
}

func TestScheduler_HandsOverPanics(t *testing.T) {
	owner, got := &process{running: true}, any(nil)
	s := &scheduler{onPanic: func(p *process, reason any) {
		if p != owner {
			t.Errorf("panic of %v", p)
		}
		got = reason
	}}
	s.after(0, owner, func() { panic("broken") })
	s.runUntil(time.Second)
	if got != "broken" {
		t.Errorf("%v", got)
	}
}
