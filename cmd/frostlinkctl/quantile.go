package main

// quantile returns the value that a share q of sorted values does not exceed. There must be one value at least.
func quantile(sorted []float64, q float64) float64 {
	return sorted[int(q*float64(len(sorted)-1))]
}
