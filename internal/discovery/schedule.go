package discovery

import (
	"time"

	"frostlink/internal/backoff"
)

const (
	// minBackoff is the shortest delay of the backoff. smallFleetBackoff is the longest delay in a
	// fleet of up to five relays; the longest delay in larger fleets is maxBackoffFactor times the
	// first window. Both are short because a relay counts as notified of a change in the list 6 s
	// after the change.
	minBackoff        = 250 * time.Millisecond
	smallFleetBackoff = 2 * time.Second
	// requestInterval is the time that discovery is assumed to need for one request of any relay.
	// The relays of a fleet spread their requests over a window of requestInterval times their
	// number, and after failures over a window that grows to maxBackoffFactor times the first.
	// Discovery also spends time on requests that it gives up later, so if requests arrive faster
	// than it can serve them, all of them fail from then on.
	requestInterval  = 100 * time.Millisecond
	maxBackoffFactor = 4
	// A fleet of largeFleet relays or more also spreads its first requests, and spreads all requests
	// except those after a silent watch over at least minLargeFleetSpread. In a fleet of fewer than
	// 40 relays, requestInterval times their number is shorter, and may be too short: a discovery
	// service that is sized for such a fleet may need some seconds to serve one request of each relay.
	largeFleet          = 10
	minLargeFleetSpread = 4 * time.Second
	// maxSpread bounds the first window of a large fleet, whatever the number of relays that share
	// discovery. At any scale, discovery can serve one request of every relay in 2 to 8 s (the range
	// of the site parameter all_call_s), in addition to watches and changes. With a longer window,
	// relays would be notified of draining and new endpoints later than necessary.
	maxSpread = 10 * time.Second
	// maxSilenceSpread bounds the spread of requests after watches that fell silent, in addition to
	// the 2 s over which the relays detect the silence. 6 s after its watch fell silent, a relay
	// counts as notified of the changes that it misses, even if it could not receive them.
	maxSilenceSpread = 1500 * time.Millisecond
	// minEstablished is the time that a watch must last for the backoff to be reset. The first line
	// does not suffice: it may arrive while discovery still works on the request, and discovery gives
	// up a request that takes more than 2 s.
	minEstablished = 2500 * time.Millisecond
)

// Schedule determines when one relay of a fleet requests a watch, so that the relays do not all send
// their requests at the same time.
type Schedule struct {
	retry, silence *backoff.Backoff
	spreadStart    bool
}

// NewSchedule returns the schedule of one relay, given the number of relays that share discovery.
// Each relay must have a seed of its own.
func NewSchedule(relays int, seed int64) *Schedule {
	span := time.Duration(max(1, relays)) * requestInterval
	if relays >= largeFleet {
		span = min(max(span, minLargeFleetSpread), maxSpread)
	}
	return &Schedule{
		retry:       backoff.New(minBackoff, span, max(smallFleetBackoff, maxBackoffFactor*span), seed),
		silence:     backoff.New(0, min(span, maxSilenceSpread), 0, seed),
		spreadStart: relays >= largeFleet,
	}
}

// Start returns the delay of the first request. Without a delay, a release that restarts the whole
// fleet makes all relays send their requests at the same time, for a list that they already have.
// All but the first few requests fail, and the retries keep discovery working on requests whose
// relays no longer wait.
func (s *Schedule) Start() time.Duration {
	if !s.spreadStart {
		return 0
	}
	return s.retry.Start()
}

// Retry returns the delay of the next request after a watch that lasted for the given time.
func (s *Schedule) Retry(lasted time.Duration) time.Duration {
	if lasted >= minEstablished {
		s.retry.Reset()
	}
	return s.retry.Next()
}

// AfterSilence returns the delay of the next request after a watch that fell silent or had no
// response. The delay does not grow with repeated failures: a link may be broken, and the relay has
// little time left before it counts as notified of the changes that it misses.
func (s *Schedule) AfterSilence() time.Duration { return s.silence.Start() }
