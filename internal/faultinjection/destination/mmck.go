package destination

// MMcK returns the share of attempts that are rejected, and the mean time in seconds that the other attempts spend waiting and being
// executed, for an M/M/c/K queue (Erlang): Poisson arrivals with a rate per second, exponential service times with a mean in seconds,
// c servers, and at most k attempts that are executed or wait. A warm endpoint without a limit is such a queue.
//
// With a = rate·mean, the stationary probability of n attempts is p(n) = p(n-1) · a / min(n, c). The share p(k) is rejected
// (arrivals see time averages), and by Little's law the mean time is the mean number of attempts divided by the rate admitted.
func MMcK(rate, mean float64, c, k int) (rejected, meanTime float64) {
	a := rate * mean
	p, sum := 1.0, 1.0 // p(n) and the sum up to it, in units of p(0)
	meanNumber := 0.0  // in the same units
	for n := 1; n <= k; n++ {
		p *= a / float64(min(n, c))
		sum += p
		meanNumber += float64(n) * p
	}
	rejected = p / sum
	return rejected, meanNumber / sum / (rate * (1 - rejected))
}
