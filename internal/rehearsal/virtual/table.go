package virtual

import (
	"math"

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
}

// Measure plays days at a size, one seed after the other from 1 on.
func Measure(day string, relays, plays int) (Row, error) {
	row := Row{Day: day, Relays: relays, Plays: plays}
	var worth []float64
	for seed := 1; seed <= plays; seed++ {
		d, err := NewDay(day, relays, int64(seed))
		if err != nil {
			return row, err
		}
		r, err := Play(d)
		if err != nil {
			return row, err
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
