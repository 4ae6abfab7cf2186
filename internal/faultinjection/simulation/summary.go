package simulation

import (
	"math"
	"runtime"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"
)

// Summary is the mean of several runs of one day at one size.
type Summary struct {
	Day                string      `json:"day"`
	Relays             int         `json:"relays"`
	Plays              int         `json:"plays"`
	DeliveredWeight    float64     `json:"worth"`       // priority weight delivered, as a share of all
	StdDev             float64     `json:"spread"`      // of DeliveredWeight
	Rejected           float64     `json:"refused"`     // attempts that a limit or a full queue rejected, per message with an attempt
	ConnectionRejected float64     `json:"door"`        // attempts whose connection exceeded the endpoint's limit, per message with an attempt
	Connections        float64     `json:"connections"` // per message with an attempt
	Polls              float64     `json:"asks"`        // of discovery, per relay
	PeakPolls          float64     `json:"ask_peak"`    // the maximum in one second, over all runs
	Overloads          int         `json:"falls"`       // of recovering destinations, in all runs
	Failures           int         `json:"faults"`      // broken rules, in all runs
	FailedRuns         []FailedRun `json:"found,omitempty"`
}

// FailedRun is a run with failures or overloads. Its seed reproduces it.
type FailedRun struct {
	Seed      int64    `json:"seed"`
	Overloads int      `json:"falls"`
	Failures  []string `json:"faults,omitempty"`
}

// DayMaker returns the day with a name, for a number of relays and a seed: NewDay or NewDrawnDay.
type DayMaker func(name string, relays int, seed int64) (*Day, error)

// Measure runs a day at one size with consecutive seeds from firstSeed on, up to GOMAXPROCS runs at a time.
func Measure(newDay DayMaker, day string, relays, plays int, firstSeed int64) (Summary, error) {
	summary := Summary{Day: day, Relays: relays, Plays: plays}
	results := make([]*Result, plays)
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i := range results {
		group.Go(func() (err error) {
			d, err := newDay(day, relays, firstSeed+int64(i))
			if err == nil {
				results[i], err = Play(d)
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return summary, err //nolint:wrapcheck // the error is from this package
	}
	var weights []float64
	for i, r := range results {
		weights = append(weights, r.DeliveredWeight)
		summary.add(r, firstSeed+int64(i))
	}
	summary.DeliveredWeight = stat.Mean(weights, nil)
	if plays > 1 {
		summary.StdDev = stat.StdDev(weights, nil)
	}
	return summary, nil
}

// add adds the result of a run.
func (s *Summary) add(r *Result, seed int64) {
	if r.Overloads+len(r.Failures) > 0 {
		s.FailedRuns = append(s.FailedRuns, FailedRun{seed, r.Overloads, r.Failures})
	}
	attempted, plays := math.Max(1, float64(r.AttemptedMessages)), float64(s.Plays)
	s.Rejected += float64(r.Rejected) / attempted / plays
	s.ConnectionRejected += float64(r.ConnectionRejected) / attempted / plays
	s.Connections += float64(r.Connections) / attempted / plays
	s.Polls += float64(r.Polls) / float64(s.Relays) / plays
	s.PeakPolls = math.Max(s.PeakPolls, float64(r.PeakPolls))
	s.Overloads += r.Overloads
	s.Failures += len(r.Failures)
}

// GrowthExponent fits value(summary) = a·relays^b by least squares on logarithms, and returns b. It returns NaN if there are fewer
// than two sizes, or if a value is 0.
func GrowthExponent(summaries []Summary, value func(Summary) float64) float64 {
	var x, y []float64
	for _, s := range summaries {
		x, y = append(x, math.Log(float64(s.Relays))), append(y, math.Log(value(s)))
	}
	_, b := stat.LinearRegression(x, y, nil, false)
	if math.IsInf(b, 0) {
		return math.NaN()
	}
	return b
}
