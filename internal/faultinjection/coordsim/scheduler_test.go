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
	s.after(2*time.Second, nil, note("third, at the same time"))
	s.after(time.Second, crashed, note("never: event of an earlier incarnation"))
	s.after(time.Second, paused, note("after the pause"))
	s.after(2*time.Second, paused, note("last"))
	s.after(time.Hour, nil, note("never: due after the end"))
	crashed.crash()
	crashed.running = true
	paused.pause(3 * time.Second)
	s.runUntil(time.Minute)
	if want := []string{"first", "second", "third, at the same time", "after the pause", "last"}; !slices.Equal(got, want) {
		t.Errorf("events ran in the order %q, want %q", got, want)
	}
	if s.now != time.Minute {
		t.Errorf("time at the end is %v, want 1 minute", s.now)
	}
}

func TestScheduler_HandsOverPanics(t *testing.T) {
	owner, got := &process{running: true}, any(nil)
	s := &scheduler{onPanic: func(p *process, reason any) {
		if p != owner {
			t.Errorf("panic reported for process %v, want the owner of the event", p)
		}
		got = reason
	}}
	s.after(0, owner, func() { panic("broken") })
	s.runUntil(time.Second)
	if got != "broken" {
		t.Errorf("onPanic got %v, want the value of the panic: broken", got)
	}
}
