package checker

import (
	"slices"
)

// Quantile is how long things took, in seconds.
type Quantile struct {
	Median float64 `json:"p50"`
	P99    float64 `json:"p99"`
	Most   float64 `json:"most"`
}

// Quantiles gives the quantiles of times in seconds, and puts these in order.
func Quantiles(v []float64) Quantile {
	if len(v) == 0 {
		return Quantile{}
	}
	slices.Sort(v)
	at := func(q float64) float64 { return v[min(len(v)-1, int(q*float64(len(v))))] }
	return Quantile{at(0.5), at(0.99), v[len(v)-1]}
}
