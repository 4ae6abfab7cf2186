package discovery

import (
	"net/http"
	"testing"
	"time"

	"frostlink/internal/wait/waittest"
)

// The relays of a small fleet send their first requests at once. In a fleet of ten or more, the first
// requests are spread over the first window. Later requests are spread over windows that double from
// the first one, until a watch is established.
func TestSchedule_SpreadsRelays(t *testing.T) {
	for _, tt := range []struct {
		relays      int
		first, last time.Duration // windows of the backoff
		spreadStart bool
	}{
		{1, minBackoff, 2 * time.Second, false},
		{3, 300 * time.Millisecond, 2 * time.Second, false},
		{9, 900 * time.Millisecond, 3600 * time.Millisecond, false},
		{10, 4 * time.Second, 16 * time.Second, true},
		{80, 8 * time.Second, 32 * time.Second, true},
		{160, 10 * time.Second, 40 * time.Second, true},
		{300, 10 * time.Second, 40 * time.Second, true},
	} {
		var start, first, last, afterReset time.Duration // the longest delays of all seeds
		for seed := range int64(300) {
			s := NewSchedule(tt.relays, seed)
			start = max(start, s.Start())
			first = max(first, s.Retry(0))
			for range 6 {
				s.Retry(minEstablished - 1) // the watch ended just before it counted as established
			}
			last = max(last, s.Retry(0))
			afterReset = max(afterReset, s.Retry(minEstablished))
		}
		near := func(got, window time.Duration) bool { return got <= window && got >= window*9/10 }
		if tt.spreadStart != near(start, tt.first) || !tt.spreadStart && start != 0 {
			t.Errorf("%d relays: first requests are delayed by up to %v", tt.relays, start)
		}
		if !near(first, tt.first) || !near(last, tt.last) || !near(afterReset, tt.first) {
			t.Errorf("%d relays: windows of %v, %v and, after an established watch, %v; want %v and %v", tt.relays, first, last, afterReset, tt.first, tt.last)
		}
	}
}

// If the watches of a whole fleet fall silent, every relay has a new list within the 6 s after which
// it counts as notified of the changes that it misses. The 6 s begin when a watch falls silent, up to
// 2 s after its last byte; the test takes the worst case, the last byte itself. The 6 s include the
// detection of the silence, the policy's pause before it subscribes again, and 1 s for the response.
func TestSchedule_SilentFleetIsInTime(t *testing.T) {
	const deadline, policyPause, response = 6 * time.Second, 500 * time.Millisecond, time.Second
	for _, relays := range []int{1, 24, 300, 3000} {
		for seed := range int64(200) {
			s := NewSchedule(relays, seed)
			s.Start()
			for i := range 4 { // the delay must not grow with several silent watches in a row
				if at := maxSilence + policyPause + s.AfterSilence() + response; at > deadline {
					t.Fatalf("%d relays, silent watch %d: a list only %v after the last byte", relays, i, at)
				}
			}
		}
	}
}

// After a silent watch, including the very first one, the next request is sent without the backoff
// for failed requests.
func TestWatcher_DoesNotBackOffAfterSilence(t *testing.T) {
	const relays = 3000
	seed := int64(0)
	for ; ; seed++ { // a seed with a short first delay and a backoff longer than the test waits
		s := NewSchedule(relays, seed)
		if s.Start() < time.Second/2 && s.Retry(0) > 0 && s.Retry(0) > 0 && s.Retry(0) > waittest.Long+waittest.Long/2 {
			break
		}
	}
	requested := make(chan bool, 10)
	w := newTestWatcher(t, 50*time.Millisecond, func(_ http.ResponseWriter, r *http.Request) {
		requested <- true
		<-r.Context().Done() // sends no byte at all
	})
	w.ShareWith(relays, seed)
	w.onWatchEnd = func(int) { w.Subscribe() }
	w.Subscribe()
	go w.Run(t.Context())
	for range 5 {
		waittest.Receive(t, requested)
	}
}

// In a large fleet, the first request of a watcher is delayed by the schedule.
func TestWatcher_LargeFleetDelaysFirstWatch(t *testing.T) {
	seed := int64(0)
	for ; ; seed++ { // a seed with a short first delay
		if d := NewSchedule(80, seed).Start(); d > 300*time.Millisecond && d < 600*time.Millisecond {
			break
		}
	}
	requested := make(chan time.Time, 10)
	start := time.Now()
	w := newTestWatcher(t, waittest.Long, func(rw http.ResponseWriter, _ *http.Request) {
		requested <- time.Now()
		rw.WriteHeader(http.StatusServiceUnavailable)
	})
	w.ShareWith(80, seed)
	go w.Run(t.Context())
	w.Subscribe()
	if waited, want := waittest.Receive(t, requested).Sub(start), NewSchedule(80, seed).Start(); waited < want {
		t.Errorf("first request after %v, want at least %v", waited, want)
	}
}
