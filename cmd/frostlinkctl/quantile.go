package main

// quantile returns the q-quantile of sorted values. There must be at least one value.
func quantile(sorted []float64, q float64) float64 {
	return sorted[int(q*float64(len(sorted)-1))]
}
