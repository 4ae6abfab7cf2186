package simulation

import (
	"math"
	"runtime"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"
)

// Summary is the mean of some plays of one day at one size.
type Summary struct {
	Day                string      `json:"day"`
	Relays             int         `json:"relays"`
	Plays              int         `json:"plays"`
	DeliveredWeight    float64     `json:"worth"`       // delivered, as a share of what was asked for
	StdDev             float64     `json:"spread"`      // standard deviation of that over the plays
	Rejected           float64     `json:"refused"`     // calls at a limit or a full queue, for each message that was called for
	ConnectionRejected float64     `json:"door"`        // calls to hosts that had all the connections they take, likewise
	Connections        float64     `json:"connections"` // likewise
	Polls              float64     `json:"asks"`        // of the register, for each relay
	PeakPolls          float64     `json:"ask_peak"`    // in one second, most
	Overloads          int         `json:"falls"`       // partners pushed over, in all plays
	Failures           int         `json:"faults"`      // broken rules, in all plays
	FailedRuns         []FailedRun `json:"found,omitempty"`
}

// FailedRun is a play in which something was wrong: its seed plays it again.
type FailedRun struct {
	Seed      int64    `json:"seed"`
	Overloads int      `json:"falls"`
	Failures  []string `json:"faults,omitempty"`
}

// Maker makes the day of a name for so many relays from a seed: NewDay or Drawn.
type Maker func(name string, relays int, seed int64) (*Day, error)

// Measure plays days at a size by so many seeds, from the first on, as many at once as there are processors.
func Measure(of Maker, day string, relays, plays int, first int64) (Summary, error) {
	row := Summary{Day: day, Relays: relays, Plays: plays}
	var worth []float64
	results := make([]*Result, plays)
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i := range results {
		group.Go(func() (err error) {
			d, err := of(day, relays, first+int64(i))
			if err == nil {
				results[i], err = Play(d)
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return row, err
	}
	for i, r := range results {
		if r.Overloads+len(r.Failures) > 0 {
			row.FailedRuns = append(row.FailedRuns, FailedRun{first + int64(i), r.Overloads, r.Failures})
		}
		first, n := math.Max(1, float64(r.AttemptedMessages)), float64(plays)
		worth = append(worth, r.DeliveredWeight)
		row.Rejected += float64(r.Rejected) / first / n
		row.ConnectionRejected += float64(r.ConnectionRejected) / first / n
		row.Connections += float64(r.Connections) / first / n
		row.Polls += float64(r.Polls) / float64(relays) / n
		row.PeakPolls = math.Max(row.PeakPolls, float64(r.PeakPolls))
		row.Overloads += r.Overloads
		row.Failures += len(r.Failures)
	}
	row.DeliveredWeight = stat.Mean(worth, nil)
	if plays > 1 {
		row.StdDev = stat.StdDev(worth, nil)
	}
	return row, nil
}

// GrowthExponent fits of(row) = a·relays^b by least squares on logarithms, and gives b; NaN where there are no two sizes, or a
// figure is 0.
func GrowthExponent(rows []Summary, of func(Summary) float64) float64 {
	var x, y []float64
	for _, r := range rows {
		x, y = append(x, math.Log(float64(r.Relays))), append(y, math.Log(of(r)))
	}
	_, b := stat.LinearRegression(x, y, nil, false)
	if math.IsInf(b, 0) {
		return math.NaN()
	}
	return b
}
