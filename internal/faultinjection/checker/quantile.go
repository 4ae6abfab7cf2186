package checker

import "slices"

// Quantiles are quantiles of times, in seconds.
type Quantiles struct {
	Median float64 `json:"p50"`
	P99    float64 `json:"p99"`
	Max    float64 `json:"most"`
}

// QuantilesOf returns the quantiles of times in seconds. It sorts the slice in place.
func QuantilesOf(times []float64) Quantiles {
	if len(times) == 0 {
		return Quantiles{}
	}
	slices.Sort(times)
	quantile := func(q float64) float64 { return times[min(len(times)-1, int(q*float64(len(times))))] }
	return Quantiles{Median: quantile(0.5), P99: quantile(0.99), Max: times[len(times)-1]}
}
