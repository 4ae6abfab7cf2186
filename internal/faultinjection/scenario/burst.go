package scenario

import (
	"math/rand/v2"
	"time"
)

// burstGap is the mean time between the messages of one burst.
const burstGap = 20 * time.Millisecond

// minBurstSize is the smallest number of messages in a burst.
const minBurstSize = 2

// burstMessages draws the messages that arrive in bursts. All messages of a burst are for the same destination.
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

// drawBurst draws the times of the messages of one burst. Messages after the end of the run are left out.
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

// burstSize returns the number of messages of a burst: the number that its destination admits in the given time, so that larger
// destinations get larger bursts, but at least minBurstSize.
func (s *Scenario) burstSize(destination int, seconds float64) int {
	return max(minBurstSize, int(s.AdmittedRate(&s.Destinations[destination])*seconds))
}

// meanBurstSize returns the mean burst size over all destinations, weighted by their traffic shares at the start of the run.
func (s *Scenario) meanBurstSize() float64 {
	mean := 0.0
	for i, share := range s.trafficShares(0) {
		mean += share * float64(s.burstSize(i, s.Load.BurstLength.Mean()))
	}
	return mean
}
