package scenario

import (
	"math/rand/v2"
	"time"
)

// burstGap is the mean time between the messages of one burst.
const burstGap = 20 * time.Millisecond

// minBurstSize is the least number of messages that arrive as a burst.
const minBurstSize = 2

// burstMessages draws the messages that arrive in bursts, each for one destination.
func (s *Scenario) burstMessages(streams RandomStreams) []*Message {
	if s.Load.BurstShare == 0 {
		return nil
	}
	var all []*Message
	random := streams.Stream("clumps")
	meanSize, burstRate := s.meanBurstSize(), s.Load.Rate*s.Load.BurstShare // messages; messages per second
	for at := 0.0; ; {
		at += random.ExpFloat64() * meanSize / burstRate
		if at >= s.Length {
			return all
		}
		destination := drawIndex(random, s.trafficShares(at))
		size := s.burstSize(destination, s.Load.BurstLength.Draw(random))
		all = append(all, s.drawBurst(random, destination, at, size)...)
	}
}

// drawBurst draws the times of one burst's messages. What would come after the run is left out.
func (s *Scenario) drawBurst(random *rand.Rand, destination int, start float64, size int) []*Message {
	var messages []*Message
	at, end := Seconds(start), Seconds(s.Length)
	for range size {
		if at < end {
			messages = append(messages, &Message{At: at, Destination: destination})
		}
		at += time.Duration(random.ExpFloat64() * float64(burstGap))
	}
	return messages
}

// burstSize returns the messages of a burst: what its destination admits in a time, so that larger destinations get larger bursts.
func (s *Scenario) burstSize(destination int, seconds float64) int {
	return max(minBurstSize, int(s.AdmittedRate(&s.Destinations[destination])*seconds))
}

// meanBurstSize returns the mean over all destinations, at the shares of the run's start.
func (s *Scenario) meanBurstSize() float64 {
	mean := 0.0
	for i, share := range s.trafficShares(0) {
		mean += share * float64(s.burstSize(i, s.Load.BurstLength.Mean()))
	}
	return mean
}
