package destination

// MMcK gives the share of calls turned away and the mean time in seconds of those served, by the stationary
// distribution of an M/M/c/K queue (Erlang): Poisson arrivals at a rate a second, exponential service times of a mean
// in seconds, c slots, k calls at most that are served or wait. It is what a warm endpoint without a limit is measured
// against.
func MMcK(rate, mean float64, c, k int) (blocked, meanTime float64) {
	a, p, sum := rate*mean, 1.0, 1.0
	l := 0.0
	for n := 1; n <= k; n++ {
		p *= a / float64(min(n, c))
		sum += p
		l += float64(n) * p
	}
	blocked = p / sum
	return blocked, l / sum / (rate * (1 - blocked))
}
