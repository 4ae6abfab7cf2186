package policy

import (
	"fmt"
	"testing"
	"time"
)

func TestAttemptTimeout_NoneWithoutIdempotency(t *testing.T) {
	for i, want := range []bool{true, true, false} {
		d := newDispatcher(t, testSettings(), Endpoint{ID: "a"})
		got := d.Handle(0, []Event{Arrived{ID: fmt.Sprint("m", i), Class: i, TimeLeft: 10 * time.Second}})
		if send := got[0].(Send); (send.Timeout > 0) != want {
			t.Errorf("class %d: timeout %v", i, send.Timeout)
		}
	}
}
