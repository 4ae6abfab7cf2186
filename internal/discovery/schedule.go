package discovery

import (
	"time"

	"frostlink/internal/backoff"
)

const (
	// askAgainMost is the longest back-off of a few relays, since what discovery has to tell counts as told after 6 s, and
	// askAgain the shortest.
	askAgainMost = 2 * time.Second
	askAgain     = 250 * time.Millisecond
	// callPace is the time in which discovery is trusted to take one call, whoever makes it: relays spread their calls over
	// as much for each relay of the fleet, and failed ones over up to mostPaces times that. Calls that it gives up on have
	// cost it their work all the same: faster than it works, all of them fail from then on.
	callPace, mostPaces = 100 * time.Millisecond, 4
	// herd relays or more spread their first asks too, and all asks over herdSpan at least: what serves a small fleet is
	// sized for it, and may take some seconds for a call of each.
	herd, herdSpan = 10, 4 * time.Second
	// allCalls is the longest first span, however many share discovery: it can take one call from every relay in 2 to 8 s at
	// any scale (all_call_s of the site's ranges), and serves watches and changes beside. A relay that asks later than it
	// must knows nothing of drains and new hosts meanwhile.
	allCalls = 10 * time.Second
	// silentSpan is what the first asks after watches that fell silent are spread over at most, beside the 2 s over which
	// they are found silent: those who have not heard 6 s after that are held to what they could not know.
	silentSpan = 1500 * time.Millisecond
	// held is how long a watch must have stood to count as had: the first line may come before discovery has done its work,
	// which it gives up on after 2 s.
	held = 2500 * time.Millisecond
)

// Schedule says when one relay of a fleet asks discovery: none asks because all others do.
type Schedule struct {
	repeat, silent *backoff.Backoff
	spread         bool
}

// NewSchedule is for one of so many relays that share a discovery; the seed is its own.
func NewSchedule(relays int, seed int64) *Schedule {
	span := time.Duration(max(1, relays)) * callPace
	if relays >= herd {
		span = min(max(span, herdSpan), allCalls)
	}
	return &Schedule{
		backoff.New(askAgain, span, max(askAgainMost, mostPaces*span), seed),
		backoff.New(0, min(span, silentSpan), 0, seed), relays >= herd,
	}
}

// Start is the delay of the first ask. Guards against a release that starts the whole fleet: each would ask at once for a
// list that it has, all but the first few in vain, and those that ask again would keep discovery at work on calls that
// nobody waits for any more.
func (s *Schedule) Start() time.Duration {
	if !s.spread {
		return 0
	}
	return s.repeat.Start()
}

// Retry is the delay of the next ask after one whose watch stood for so long.
func (s *Schedule) Retry(stood time.Duration) time.Duration {
	if stood >= held {
		s.repeat.Reset()
	}
	return s.repeat.Next()
}

// AfterSilence is the delay of the next ask after a watch that fell silent, or one that was not answered: a link may be cut, and
// the clock of what is not told runs. It grows with no further one.
func (s *Schedule) AfterSilence() time.Duration { return s.silent.Start() }
