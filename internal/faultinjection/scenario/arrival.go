package scenario

import "math"

// ArrivalRate returns the number of messages per second that arrive at a time, including the messages of bursts.
func (s *Scenario) ArrivalRate(at float64) float64 {
	rate := s.Load.Rate * s.loadFactor(at)
	for i := range s.Faults {
		if fault := &s.Faults[i]; fault.Kind == FaultLoadSurge && fault.isActive(at) {
			rate *= fault.surgeFactor(at)
		}
	}
	return rate
}

// loadFactor returns the factor by which the shape of the load multiplies the mean rate at a time.
func (s *Scenario) loadFactor(at float64) float64 {
	switch s.Load.Shape {
	case LoadWave:
		return 1 + s.Load.Amplitude*math.Sin(2*math.Pi*at/s.Load.Period)
	case LoadRamp:
		return 1 + s.Load.Amplitude*(2*at/s.Length-1)
	case LoadSteady:
	}
	return 1
}

// surgeFactor returns the factor by which an active load surge multiplies the rate. It rises and falls linearly over the ramp time.
func (f *Fault) surgeFactor(at float64) float64 {
	progress := 1.0
	if f.RampTime > 0 {
		progress = min(1, (at-f.At)/f.RampTime, (f.At+f.Duration-at)/f.RampTime)
	}
	return 1 + (f.Factor-1)*progress
}

// maxArrivalRate returns an upper bound of the arrival rate over the whole run, estimated from samples.
func (s *Scenario) maxArrivalRate() float64 {
	const sampleInterval, margin = 0.1, 1.05 // the margin covers peaks between two samples
	highest := 0.0
	for at := 0.0; at < s.Length; at += sampleInterval {
		highest = max(highest, s.ArrivalRate(at))
	}
	return highest * margin
}

// trafficShares returns the share of the traffic of each destination at a time. The shares add up to 1.
func (s *Scenario) trafficShares(at float64) []float64 {
	shares, sum := make([]float64, len(s.Destinations)), 0.0
	for i := range s.Destinations {
		shares[i] = s.Destinations[i].Share
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	for i := range s.Faults {
		fault := &s.Faults[i]
		if fault.Kind != FaultTrafficShift || !fault.isActive(at) {
			continue
		}
		for j := range shares {
			shares[j] *= 1 - fault.Share
		}
		shares[s.DestinationIndex(fault.Destination)] += fault.Share
	}
	return shares
}
