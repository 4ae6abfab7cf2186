package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestFor(t *testing.T) {
	for _, test := range []struct {
		name       string
		d          time.Duration
		timeout    time.Duration
		want       bool
		wantWaited time.Duration
	}{
		{"context outlives the wait", time.Second, time.Minute, true, time.Second},
		{"context ends first", time.Minute, time.Second, false, time.Second},
		{"no wait", 0, time.Second, true, 0},
		{"negative wait", -time.Second, time.Second, true, 0},
		{"no wait, context ended", 0, 0, false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
				defer cancel()
				start := time.Now()
				if got := For(ctx, test.d); got != test.want {
					t.Errorf("got %v, want %v", got, test.want)
				}
				if waited := time.Since(start); waited != test.wantWaited {
					t.Errorf("waited %v, want %v", waited, test.wantWaited)
				}
			})
		})
	}
}
