package discovery

import (
	"net/http"
	"testing"
	"time"

	"frostlink/internal/wait/waittest"
)

// A few relays ask at once. Of ten or more the first requests are spread over the whole span, and
// later ones over windows that double from it, until a watch is established.
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
		var start, first, last, afterReset time.Duration // the longest of all seeds
		for seed := range int64(300) {
			s := NewSchedule(tt.relays, seed)
			start = max(start, s.Start())
			first = max(first, s.Retry(0))
			for range 6 {
				s.Retry(minEstablished - 1) // its first line came, and no more
			}
			last = max(last, s.Retry(0))
			afterReset = max(afterReset, s.Retry(minEstablished))
		}
		near := func(got, window time.Duration) bool { return got <= window && got >= window*9/10 }
		if tt.spreadStart != near(start, tt.first) || !tt.spreadStart && start != 0 {
			t.Errorf("%d relays: first requests come up to %v late", tt.relays, start)
		}
		if !near(first, tt.first) || !near(last, tt.last) || !near(afterReset, tt.first) {
			t.Errorf("%d relays: windows of %v, %v and, after an established watch, %v; want %v and %v", tt.relays, first, last, afterReset, tt.first, tt.last)
		}
	}
}

// Watches that fall silent at a whole fleet are opened anew within the 6 s after which a relay is
// held to what it misses. The 6 s run from the silence, which is found up to 2 s after the last
// byte; the policy's pause before it asks again, and 1 s for the response, are counted in.
func TestSchedule_SilentFleetIsInTime(t *testing.T) {
	const deadline, policyPause, response = 6 * time.Second, 500 * time.Millisecond, time.Second
	for _, relays := range []int{1, 24, 300, 3000} {
		for seed := range int64(200) {
			s := NewSchedule(relays, seed)
			s.Start()
			for i := range 4 { // also several in a row
				if at := maxSilence + policyPause + s.AfterSilence() + response; at > deadline {
					t.Fatalf("%d relays, silence %d: a list %v after the last byte", relays, i, at)
				}
			}
		}
	}
}

// Each watch that falls silent is followed by a request without the backoff of failed ones, the
// first one of all as well.
func TestWatcher_DoesNotBackOffAfterSilence(t *testing.T) {
	const relays = 3000
	seed := int64(0)
	for ; ; seed++ { // one whose first request comes soon, and whose backoff outlasts what the test waits for
		s := NewSchedule(relays, seed)
		if s.Start() < time.Second/2 && s.Retry(0) > 0 && s.Retry(0) > 0 && s.Retry(0) > waittest.Long+waittest.Long/2 {
			break
		}
	}
	asked := make(chan bool, 10)
	w := newTestWatcher(t, 50*time.Millisecond, func(_ http.ResponseWriter, r *http.Request) {
		asked <- true
		<-r.Context().Done() // no byte at all
	})
	w.ShareWith(relays, seed)
	w.onWatchEnd = func(int) { w.Subscribe() }
	w.Subscribe()
	go w.Run(t.Context())
	for range 5 {
		waittest.Receive(t, asked)
	}
}

// A watcher of a large fleet follows its schedule from its first request on.
func TestWatcher_LargeFleetDelaysFirstWatch(t *testing.T) {
	seed := int64(0)
	for ; ; seed++ { // one that need not be waited for long
		if d := NewSchedule(80, seed).Start(); d > 300*time.Millisecond && d < 600*time.Millisecond {
			break
		}
	}
	asked := make(chan time.Time, 10)
	start := time.Now()
	w := newTestWatcher(t, waittest.Long, func(rw http.ResponseWriter, _ *http.Request) {
		asked <- time.Now()
		rw.WriteHeader(http.StatusServiceUnavailable)
	})
	w.ShareWith(80, seed)
	go w.Run(t.Context())
	w.Subscribe()
	if waited, want := waittest.Receive(t, asked).Sub(start), NewSchedule(80, seed).Start(); waited < want {
		t.Errorf("asked after %v, before %v is due", waited, want)
	}
}
