package policy

import (
	"math"
)

const (
	// latencyGain is the weight of a new outcome in a mean latency: about the last ten calls count.
	latencyGain = 0.1
)

// latencyStats are mean latencies in seconds; 0 for unknown.
type latencyStats struct {
	latencySamples int     // outcomes counted
	meanLatency    float64 // of all classes
	classLatency   []float64
}

// observe adds a latency to the means; the first ones weigh more, as what was there is borrowed.
func (l *latencyStats) observe(class int, took float64) {
	l.latencySamples++
	gain := math.Max(latencyGain, 1/float64(l.latencySamples+1))
	for _, mean := range []*float64{&l.meanLatency, &l.classLatency[class]} {
		if *mean == 0 {
			*mean = took
		}
		*mean += gain * (took - *mean)
	}
}

// latencyOfKind gives what is known of a kind.
func (d *Dispatcher) latencyOfKind(kind int) *latencyStats {
	if d.kindLatency[kind] == nil {
		d.kindLatency[kind] = &latencyStats{classLatency: make([]float64, len(d.settings.Classes))}
	}
	return d.kindLatency[kind]
}

// fillUnknownLatency fills what a queue does not know of its latencies from all destinations of its kind.
func (d *Dispatcher) fillUnknownLatency(q *queue) {
	pool := d.latencyOfKind(q.kind)
	if pool.latencySamples == 0 {
		return
	}
	if q.latencySamples == 0 {
		q.meanLatency = pool.meanLatency
	}
	for i, mean := range q.classLatency {
		if mean == 0 || q.latencySamples == 0 {
			q.classLatency[i] = pool.classLatency[i]
		}
	}
}

// agedLatency is the mean latency of a queue with the ages of calls out counted in, so that a hang shows
// before any outcome.
func (d *Dispatcher) agedLatency(q *queue) float64 {
	mean := q.meanLatency
	for _, c := range q.inFlight {
		if age := (d.now - c.sent).Seconds(); age > mean {
			mean += latencyGain * (age - mean)
		}
	}
	return mean
}
