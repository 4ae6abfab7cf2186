package policy

import "math"

// latencyGain is the weight of a new sample in a moving average of latencies, which thus covers
// about the last ten calls.
const latencyGain = 0.1

// latencyStats holds moving averages of latencies, in seconds; 0 if unknown.
type latencyStats struct {
	samples int       // number of samples
	mean    float64   // over all classes
	byClass []float64 // by class
}

// observe adds a sample to the means. The first samples get a higher weight, because the initial
// means were measured at other destinations.
func (l *latencyStats) observe(class int, latency float64) {
	l.samples++
	gain := math.Max(latencyGain, 1/float64(l.samples+1))
	observeMean(&l.mean, latency, gain)
	observeMean(&l.byClass[class], latency, gain)
}

// observeMean moves a mean towards a sample. An unknown mean is set to the sample.
func observeMean(mean *float64, latency, gain float64) {
	if *mean == 0 {
		*mean = latency
	}
	*mean += gain * (latency - *mean)
}

// latencyOfKind returns the latency statistics over all destinations of a kind.
func (d *Dispatcher) latencyOfKind(kind int) *latencyStats {
	if d.kindLatency[kind] == nil {
		d.kindLatency[kind] = &latencyStats{byClass: make([]float64, len(d.settings.Classes))}
	}
	return d.kindLatency[kind]
}

// fillUnknownLatency sets the unknown mean latencies of a queue to the means over all destinations
// of its kind.
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

// agedLatency returns the mean latency of a queue, updated with the age of each call in flight that
// is older than the mean, so that a hang raises the value before any outcome arrives.
func (d *Dispatcher) agedLatency(q *queue) float64 {
	mean := q.latency.mean
	for _, c := range q.inFlight {
		if age := (d.now - c.sent).Seconds(); age > mean {
			mean += latencyGain * (age - mean)
		}
	}
	return mean
}
