package discovery

import (
	"time"

	"frostlink/internal/backoff"
)

const (
	// minBackoff is the shortest span of the backoff, and smallFleetBackoff the longest of a few
	// relays: what discovery has to tell is held against a relay after 6 s.
	minBackoff        = 250 * time.Millisecond
	smallFleetBackoff = 2 * time.Second
	// requestInterval is the time in which discovery is trusted to work on one request, whoever
	// makes it: relays spread their requests over as much for each relay of the fleet, and after
	// failures over up to maxBackoffFactor times that. Requests that discovery gives up on have
	// cost it their work all the same: sent faster than it works, all of them fail from then on.
	requestInterval  = 100 * time.Millisecond
	maxBackoffFactor = 4
	// largeFleet relays or more spread their first requests too, and all requests over
	// minLargeFleetSpread at least: what serves a small fleet is sized for it, and may take some
	// seconds for a request of each relay.
	largeFleet          = 10
	minLargeFleetSpread = 4 * time.Second
	// maxSpread is the longest first span, however many relays share discovery: it can work on one
	// request of every relay in 2 to 8 s at any scale (all_call_s of the site's ranges), and serves
	// watches and changes beside. A relay that asks later than it must knows nothing of drains and
	// new endpoints meanwhile.
	maxSpread = 10 * time.Second
	// maxSilenceSpread is what the requests after watches that fell silent are spread over at most,
	// beside the 2 s over which they are found silent: a relay that has no list 6 s after that is
	// held to what it could not know.
	maxSilenceSpread = 1500 * time.Millisecond
	// minEstablished is how long a watch must have lasted for the backoff to begin anew: the first
	// line may come before discovery has done its work, which it gives up on after 2 s.
	minEstablished = 2500 * time.Millisecond
)

// Schedule says when one relay of a fleet asks discovery for a watch, so that not all ask at once.
type Schedule struct {
	retry, silence *backoff.Backoff
	spreadStart    bool
}

// NewSchedule returns the schedule of one of so many relays that share discovery. The seed is that
// relay's own.
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

// Start returns the delay of the first request. It guards against a release that starts the whole
// fleet: each relay would ask at once for a list that it has, all but the first few in vain, and
// their retries would have discovery work on requests that nobody waits for any more.
func (s *Schedule) Start() time.Duration {
	if !s.spreadStart {
		return 0
	}
	return s.retry.Start()
}

// Retry returns the delay of the next request after a watch that has lasted for a time.
func (s *Schedule) Retry(lasted time.Duration) time.Duration {
	if lasted >= minEstablished {
		s.retry.Reset()
	}
	return s.retry.Next()
}

// AfterSilence returns the delay of the next request after a watch that fell silent, or had no
// response: a link may be cut, and the time runs after which the relay is held to what it misses.
// It does not grow.
func (s *Schedule) AfterSilence() time.Duration { return s.silence.Start() }
