package policy

import "math"

// latencyGain is the weight of a new outcome in a mean latency: about the last ten calls count.
const latencyGain = 0.1

// latencyStats are mean latencies in seconds; 0 for unknown.
type latencyStats struct {
	samples int       // outcomes counted
	mean    float64   // of all classes
	byClass []float64 // means by class
}

// observe adds a latency to the means; the first ones weigh more, as what was there comes from
// other destinations.
func (l *latencyStats) observe(class int, latency float64) {
	l.samples++
	gain := math.Max(latencyGain, 1/float64(l.samples+1))
	observeMean(&l.mean, latency, gain)
	observeMean(&l.byClass[class], latency, gain)
}

// observeMean moves a mean towards a latency; an unknown one becomes it.
func observeMean(mean *float64, latency, gain float64) {
	if *mean == 0 {
		*mean = latency
	}
	*mean += gain * (latency - *mean)
}

// latencyOfKind returns the latencies of all destinations of a kind.
func (d *Dispatcher) latencyOfKind(kind int) *latencyStats {
	if d.kindLatency[kind] == nil {
		d.kindLatency[kind] = &latencyStats{byClass: make([]float64, len(d.settings.Classes))}
	}
	return d.kindLatency[kind]
}

// fillUnknownLatency fills what a queue does not know of its latencies from all destinations of its
// kind.
func (d *Dispatcher) fillUnknownLatency(q *queue) {
	ofKind := d.latencyOfKind(q.kind)
	if ofKind.samples == 0 {
		return
	}
	if q.latency.samples == 0 {
		q.latency.mean = ofKind.mean
	}
	for i, mean := range q.latency.byClass {
		if mean == 0 || q.latency.samples == 0 {
			q.latency.byClass[i] = ofKind.byClass[i]
		}
	}
}

// agedLatency returns the mean latency of a queue with the ages of calls in flight counted in, so
// that a hang shows before any outcome.
func (d *Dispatcher) agedLatency(q *queue) float64 {
	mean := q.latency.mean
	for _, c := range q.inFlight {
		if age := (d.now - c.sent).Seconds(); age > mean {
			mean += latencyGain * (age - mean)
		}
	}
	return mean
}
