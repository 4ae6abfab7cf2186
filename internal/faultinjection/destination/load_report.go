package destination

import (
	"math/rand/v2"
	"time"

	"frostlink/internal/faultinjection/scenario"
)

// LoadReport is a destination's report about its rate limit. Both values contain random noise.
type LoadReport struct {
	Left  float64 // fraction of the limit that is unused
	Limit float64 // attempts per second
}

// delayedReport is a report that is not yet visible.
type delayedReport struct {
	visibleAt time.Duration
	report    LoadReport
}

// loadReports creates load reports with random noise at random intervals, and makes them visible after a random delay.
type loadReports struct {
	spec     *scenario.LoadReport // nil: the destination sends no reports
	random   *rand.Rand
	nextDraw time.Duration
	delayed  []delayedReport // ordered by visibleAt
	visible  *LoadReport     // the latest visible report; nil: none yet
}

func newLoadReports(spec *scenario.LoadReport, random *rand.Rand) loadReports {
	r := loadReports{spec: spec, random: random, nextDraw: never}
	if spec != nil {
		r.nextDraw = scenario.Milliseconds(spec.Every.Draw(random))
	}
	return r
}

func (r *loadReports) nextDue() time.Duration {
	if len(r.delayed) > 0 {
		return min(r.nextDraw, r.delayed[0].visibleAt)
	}
	return r.nextDraw
}

// updateLoadReports makes reports visible once their delay is over, and creates the next report if it is due.
func (m *Model) updateLoadReports() {
	r := &m.reports
	for len(r.delayed) > 0 && r.delayed[0].visibleAt <= m.now {
		r.visible = &r.delayed[0].report
		r.delayed = r.delayed[1:]
	}
	if r.nextDraw <= m.now {
		r.draw(m.now, m.limit)
	}
}

// draw creates a report about a limit, and draws the time of the next report. Without a limit no report is created, but the same
// random numbers are drawn from the stream.
func (r *loadReports) draw(now time.Duration, limit rateLimit) {
	noise := func() float64 { return max(0, 1+r.spec.Noise*r.random.NormFloat64()) }
	leftNoise, limitNoise := noise(), noise()
	visibleAt := now + scenario.Milliseconds(r.spec.Delay.Draw(r.random))
	r.nextDraw = now + scenario.Milliseconds(r.spec.Every.Draw(r.random))
	if limit == nil {
		return
	}
	if n := len(r.delayed); n > 0 {
		visibleAt = max(visibleAt, r.delayed[n-1].visibleAt) // reports become visible in the order of their creation
	}
	r.delayed = append(r.delayed, delayedReport{visibleAt, LoadReport{
		Left:  min(1, limit.fractionLeft(now)*leftNoise),
		Limit: limit.perSecond() * limitNoise,
	}})
}
