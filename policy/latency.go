package policy

import (
	"math"
)

const (
	// latencyGain is the weight of a new outcome in a mean latency: about the last ten calls count.
	latencyGain = 0.1
)

// latencies are mean latencies in seconds; 0 for unknown.
type latencies struct {
	n     int     // outcomes counted
	mean  float64 // of all classes
	class []float64
}

// observe adds a latency to the means; the first ones weigh more, as what was there is borrowed.
func (l *latencies) observe(class int, took float64) {
	l.n++
	gain := math.Max(latencyGain, 1/float64(l.n+1))
	for _, mean := range []*float64{&l.mean, &l.class[class]} {
		if *mean == 0 {
			*mean = took
		}
		*mean += gain * (took - *mean)
	}
}

// pool gives what is known of a kind.
func (d *Dispatcher) pool(kind int) *latencies {
	if d.pools[kind] == nil {
		d.pools[kind] = &latencies{class: make([]float64, len(d.s.Classes))}
	}
	return d.pools[kind]
}

// borrow fills what a queue does not know of its latencies from all destinations of its kind.
func (d *Dispatcher) borrow(q *queue) {
	pool := d.pool(q.kind)
	if pool.n == 0 {
		return
	}
	if q.n == 0 {
		q.mean = pool.mean
	}
	for i, mean := range q.class {
		if mean == 0 || q.n == 0 {
			q.class[i] = pool.class[i]
		}
	}
}

// latency is the mean latency of a queue with the ages of calls out counted in, so that a hang shows
// before any outcome.
func (d *Dispatcher) latency(q *queue) float64 {
	mean := q.mean
	for _, c := range q.out {
		if age := (d.now - c.sent).Seconds(); age > mean {
			mean += latencyGain * (age - mean)
		}
	}
	return mean
}
