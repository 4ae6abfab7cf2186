package relay

import (
	"testing"
	"time"
)

// The timer that the dispatcher set last fires even if the dispatcher is woken before that, since the dispatcher does not set it
// again.
func TestTimer_NoneIsLost(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		set  func(l *loop)
		wake []time.Duration // the wake-ups within a minute
	}{
		"one timer":                 {func(l *loop) { l.setTimer(30 * ms) }, []time.Duration{30 * ms}},
		"a later timer follows":     {func(l *loop) { l.setTimer(3 * ms); l.setTimer(time.Second) }, []time.Duration{3 * ms, time.Second}},
		"an earlier timer follows":  {func(l *loop) { l.setTimer(time.Second); l.setTimer(3 * ms) }, []time.Duration{3 * ms}},
		"the loop is woken at once": {func(l *loop) { l.setTimer(time.Second); l.wakeAt = 0 }, []time.Duration{ms, time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			l := &loop{wakeAt: time.Hour}
			c.set(l)
			var got []time.Duration
			for now := ms; now <= time.Minute; now += ms {
				if l.timerFired(now) {
					got = append(got, now)
				}
			}
			if len(got) != len(c.wake) {
				t.Errorf("%s: woken at %v, want %v", name, got, c.wake)
				return
			}
			for i := range got {
				if got[i] != c.wake[i] {
					t.Errorf("%s: woken at %v, want %v", name, got, c.wake)
				}
			}
		})
	}
}
