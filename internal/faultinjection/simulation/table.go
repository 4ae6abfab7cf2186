package simulation

import (
	"math"
	"runtime"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"
)

// Row is the mean of some plays of one day at one size.
type Row struct {
	Day         string  `json:"day"`
	Relays      int     `json:"relays"`
	Plays       int     `json:"plays"`
	Worth       float64 `json:"worth"`       // delivered, as a share of what was asked for
	Spread      float64 `json:"spread"`      // standard deviation of that over the plays
	Refused     float64 `json:"refused"`     // calls at a limit or a full queue, for each message that was called for
	Door        float64 `json:"door"`        // calls to hosts that had all the connections they take, likewise
	Connections float64 `json:"connections"` // likewise
	Asks        float64 `json:"asks"`        // of the register, for each relay
	AskPeak     float64 `json:"ask_peak"`    // in one second, most
	Falls       int     `json:"falls"`       // partners pushed over, in all plays
	Faults      int     `json:"faults"`      // broken rules, in all plays
	Found       []Found `json:"found,omitempty"`
}

// Found is a play in which something was wrong: its seed plays it again.
type Found struct {
	Seed   int64    `json:"seed"`
	Falls  int      `json:"falls"`
	Faults []string `json:"faults,omitempty"`
}

// Maker makes the day of a name for so many relays from a seed: NewDay or Drawn.
type Maker func(name string, relays int, seed int64) (*Day, error)

// Measure plays days at a size by so many seeds, from the first on, as many at once as there are processors.
func Measure(of Maker, day string, relays, plays int, first int64) (Row, error) {
	row := Row{Day: day, Relays: relays, Plays: plays}
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
		if r.Falls+len(r.Faults) > 0 {
			row.Found = append(row.Found, Found{first + int64(i), r.Falls, r.Faults})
		}
		first, n := math.Max(1, float64(r.First)), float64(plays)
		worth = append(worth, r.Worth)
		row.Refused += float64(r.Refused) / first / n
		row.Door += float64(r.Door) / first / n
		row.Connections += float64(r.Connections) / first / n
		row.Asks += float64(r.Asks) / float64(relays) / n
		row.AskPeak = math.Max(row.AskPeak, float64(r.AskPeak))
		row.Falls += r.Falls
		row.Faults += len(r.Faults)
	}
	row.Worth = stat.Mean(worth, nil)
	if plays > 1 {
		row.Spread = stat.StdDev(worth, nil)
	}
	return row, nil
}

// Growth fits of(row) = a·relays^b by least squares on logarithms, and gives b; NaN where there are no two sizes, or a
// figure is 0.
func Growth(rows []Row, of func(Row) float64) float64 {
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
