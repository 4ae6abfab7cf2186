package destination

import (
	"math/rand/v2"
	"time"

	"frostlink/internal/faultinjection/scenario"
)

// LoadReport is what a destination reports of its limit, with noise.
type LoadReport struct {
	Left  float64 // fraction of the limit that is left
	Limit float64 // attempts per second
}

// delayedReport is a report that is not yet visible.
type delayedReport struct {
	visibleAt time.Duration
	report    LoadReport
}

// loadReports draws reports and delays them.
type loadReports struct {
	spec     *scenario.LoadReport // nil: there are no reports
	random   *rand.Rand
	nextDraw time.Duration
	delayed  []delayedReport // by time
	visible  *LoadReport     // nil: none yet
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

// updateLoadReports makes reports visible whose delay is over, and draws one if that is due.
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

// draw draws a report of a limit, and the time of the next one. A destination without a limit draws as well, but reports nothing.
func (r *loadReports) draw(now time.Duration, limit rateLimit) {
	noise := func() float64 { return max(0, 1+r.spec.Noise*r.random.NormFloat64()) }
	leftNoise, limitNoise := noise(), noise()
	visibleAt := now + scenario.Milliseconds(r.spec.Delay.Draw(r.random))
	r.nextDraw = now + scenario.Milliseconds(r.spec.Every.Draw(r.random))
	if limit == nil {
		return
	}
	if n := len(r.delayed); n > 0 {
		visibleAt = max(visibleAt, r.delayed[n-1].visibleAt) // reports do not overtake each other
	}
	r.delayed = append(r.delayed, delayedReport{visibleAt, LoadReport{
		Left:  min(1, limit.fractionLeft(now)*leftNoise),
		Limit: limit.perSecond() * limitNoise,
	}})
}
