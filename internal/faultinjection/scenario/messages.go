package scenario

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Message is a message that a client submits for delivery. All fields are drawn before the run, so that two runs of a scenario with
// the same seed submit the same messages regardless of the relays' responses.
type Message struct {
	Number            int
	At                time.Duration // time of its first submission
	Destination       int           // index in the scenario
	Class             int           // index in the scenario
	Tenant            int           // index in the scenario; -1: none
	OverQuota         bool          // beyond the quota of its tenant
	RelayDraw         float64       // random number from 0 to 1 that selects the relay for the submission
	Key               string        // idempotency key, only in classes that are idempotent by key
	OrderKey          string        // only in ordered classes
	Subject           string        // the subject whose status the message reports; the highest Number is the newest; "": none
	BodySize          int           // bytes
	HonoursRetryAfter bool
	Backoff           []time.Duration // wait before each retry
	ResubmitDelay     time.Duration   // time until the message is submitted again after its relay was unreachable, gave no response or was lost
}

// Messages draws all messages that clients submit, ordered by time.
func (s *Scenario) Messages(streams RandomStreams) []*Message {
	all := append(s.singleMessages(streams), s.burstMessages(streams)...)
	slices.SortStableFunc(all, func(a, b *Message) int { return cmp.Compare(a.At, b.At) })
	quotas := s.newQuotaBuckets()
	for i, m := range all {
		m.Number = i
		m.Tenant = s.tenantIndex(&s.Destinations[m.Destination])
		m.OverQuota = !quotas.take(m.Tenant, m.At)
		s.drawDetails(streams, m)
	}
	return all
}

// singleMessages draws the messages that are not part of a burst: a Poisson process at the maximum rate, thinned to the arrival rate
// at each time.
func (s *Scenario) singleMessages(streams RandomStreams) []*Message {
	var all []*Message
	times, destinations := streams.Stream("arrivals"), streams.Stream("partners")
	maxRate := s.maxArrivalRate()
	maxSingleRate := maxRate * (1 - s.Load.BurstShare)
	for at := times.ExpFloat64() / maxSingleRate; at < s.Length; at += times.ExpFloat64() / maxSingleRate {
		if times.Float64()*maxRate < s.ArrivalRate(at) {
			all = append(all, &Message{At: Seconds(at), Destination: drawIndex(destinations, s.trafficShares(at))})
		}
	}
	return all
}

// BacklogMessages draws messages that were submitted before the run. They are numbered from first.
func (s *Scenario) BacklogMessages(streams RandomStreams, first, count int) []*Message {
	destinations, shares := streams.Stream("partners before"), s.trafficShares(0)
	all := make([]*Message, count)
	for i := range all {
		m := &Message{Number: first + i, Destination: drawIndex(destinations, shares)}
		m.Tenant = s.tenantIndex(&s.Destinations[m.Destination])
		s.drawDetails(streams, m)
		all[i] = m
	}
	return all
}

// drawDetails draws the fields of a message that depend only on its number and time.
func (s *Scenario) drawDetails(streams RandomStreams, m *Message) {
	random := streams.Stream("message", m.Number)
	m.Class = drawIndex(random, s.classShares(m.At))
	m.RelayDraw = random.Float64()
	m.BodySize = int(s.Clients.BodySize.Draw(random))
	m.HonoursRetryAfter = random.Float64() < s.Clients.HonourRetryAfter
	m.ResubmitDelay = Seconds(s.Clients.ResubmitDelay.Draw(random))
	m.Backoff = s.Clients.drawBackoff(random)
	class := &s.Classes[m.Class]
	if class.Idempotency == IdempotentByKey {
		m.Key = fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64())
	}
	if class.Ordered {
		m.OrderKey = fmt.Sprintf("item-%d", random.IntN(class.OrderKeys))
	}
	if class.Subjects > 0 {
		m.Subject = fmt.Sprintf("parcel-%d", streams.Stream("subject", m.Number).IntN(class.Subjects))
	}
}

// classShares returns the weight of each class among the messages at a time; 0 for classes that are not offered then.
func (s *Scenario) classShares(at time.Duration) []float64 {
	shares := make([]float64, len(s.Classes))
	for i := range s.Classes {
		if s.IsOffered(s.Classes[i].Name, at.Seconds()) {
			shares[i] = s.Classes[i].Share
		}
	}
	return shares
}

// drawBackoff draws the waits before the retries of a message: exponential backoff with a random base, and a jitter of up to half a wait
// in either direction.
func (c *Clients) drawBackoff(random *rand.Rand) []time.Duration {
	var waits []time.Duration
	base := c.Backoff.Draw(random)
	for retry := range c.Retries {
		jitter := 0.5 + random.Float64()
		waits = append(waits, Milliseconds(base*math.Pow(c.BackoffGrowth, float64(retry))*jitter))
	}
	return waits
}
