package checker

import (
	"slices"
)

// QuantilesOf is how long things took, in seconds.
type Quantiles struct {
	Median float64 `json:"p50"`
	P99    float64 `json:"p99"`
	Max    float64 `json:"most"`
}

// QuantilesOf gives the quantiles of times in seconds, and puts these in order.
func QuantilesOf(v []float64) Quantiles {
	if len(v) == 0 {
		return Quantiles{}
	}
	slices.Sort(v)
	at := func(q float64) float64 { return v[min(len(v)-1, int(q*float64(len(v))))] }
	return Quantiles{at(0.5), at(0.99), v[len(v)-1]}
}
