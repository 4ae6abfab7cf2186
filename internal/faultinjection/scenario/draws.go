package scenario

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Message is one message that clients want delivered. All of it is drawn ahead, so that two runs of a script with
// one seed ask for the same, whatever the relays answer.
type Message struct {
	Number            int
	At                time.Duration // of its first try
	Destination       int           // place in the script's list; its destination's number as well
	Class             int
	Tenant            int     // -1: none
	OverQuota         bool    // beyond its tenant's share
	RelayDraw         float64 // 0 to 1: which of the relays gets it
	Key               string  // keyed classes
	OrderKey          string  // ordered classes: what it is about
	Subject           string  // of what it is a status; its number says which of two is the newer
	BodySize          int     // bytes
	HonoursRetryAfter bool    // keeps to Retry-After
	Backoff           []time.Duration
	ResubmitDelay     time.Duration // until it comes to another relay when one that had it died
}

// clumpGap is the mean time between the messages of one clump.
const clumpGap = 20 * time.Millisecond

// RandomStreams gives random numbers for named purposes. Each purpose has numbers of its own, so that a further draw for
// one changes no other.
type RandomStreams struct{ seed int64 }

// NewRandomStreams gives the draws of a seed.
func NewRandomStreams(seed int64) RandomStreams { return RandomStreams{seed} }

// Stream gives the numbers for a purpose; n tells apart what it is needed for.
func (d RandomStreams) Stream(purpose string, n ...int) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d/%s", d.seed, purpose)
	a, b := h.Sum64(), uint64(0x9e3779b97f4a7c15)
	for _, v := range n {
		b = (b ^ uint64(v)) * 0xbf58476d1ce4e5b9
		b ^= b >> 29
	}
	return rand.New(rand.NewPCG(a, b))
}

// Draw draws a number of a range.
func (r Range) Draw(chance *rand.Rand) float64 { return r.Low + (r.High-r.Low)*chance.Float64() }

// RequestID is the id of a message's n-th hand-in.
func (d RandomStreams) RequestID(message, n int) string {
	return fmt.Sprintf("%012x%04x", d.Stream("id", message, n).Uint64()&0xffffffffffff, n&0xffff)
}

// ServiceTime draws the service time of a message's n-th call at a partner of pace 1: the message's own share of it is
// the same each time, the attempt's noise is not.
func (s *Scenario) ServiceTime(d RandomStreams, m *Message, n int) time.Duration {
	c := &s.Classes[m.Class]
	w := c.ServiceTimeMS / 1000
	own := d.Stream("work", m.Number)
	switch c.Distribution {
	case "exp":
		w *= own.ExpFloat64()
	case "lognormal":
		w *= lognormal(own, c.CV)
	}
	if c.Noise > 0 {
		w *= lognormal(d.Stream("noise", m.Number, n), c.Noise)
	}
	return Seconds(w)
}

// lognormal draws a number of mean 1.
func lognormal(chance *rand.Rand, cv float64) float64 {
	σ2 := math.Log(1 + cv*cv)
	return math.Exp(math.Sqrt(σ2)*chance.NormFloat64() - σ2/2)
}

// ArrivalRate is the rate of messages at a time, clumps included.
func (s *Scenario) ArrivalRate(at float64) float64 {
	rate := s.Load.Rate
	switch s.Load.Shape {
	case "wave":
		rate *= 1 + s.Load.Amplitude*math.Sin(2*math.Pi*at/s.Load.Period)
	case "ramp":
		rate *= 1 + s.Load.Amplitude*(2*at/s.Length-1)
	}
	for i := range s.Faults {
		e := &s.Faults[i]
		if e.Kind != "jump" || at < e.At || at >= e.At+e.Duration {
			continue
		}
		part := 1.0
		if e.RampTime > 0 {
			part = min(1, (at-e.At)/e.RampTime, (e.At+e.Duration-at)/e.RampTime)
		}
		rate *= 1 + (e.Factor-1)*part
	}
	return rate
}

// sharesAt are the partners' shares of the traffic at a time.
func (s *Scenario) sharesAt(at float64) []float64 {
	shares, sum := make([]float64, len(s.Destinations)), 0.0
	for i := range s.Destinations {
		shares[i] = s.Destinations[i].Share
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	for i := range s.Faults {
		e := &s.Faults[i]
		if e.Kind != "draw" || at < e.At || at >= e.At+e.Duration {
			continue
		}
		for j := range shares {
			shares[j] *= 1 - e.Share
		}
		shares[s.DestinationIndex(e.Destination)] += e.Share
	}
	return shares
}

// Messages draws all that clients send, by time.
func (s *Scenario) Messages(d RandomStreams) []*Message {
	var all []*Message
	times := d.Stream("arrivals")
	most := 0.0
	for at := 0.0; at < s.Length; at += 0.1 {
		most = max(most, s.ArrivalRate(at))
	}
	most *= 1.05 // between the times looked at
	partners := d.Stream("partners")
	single := most * (1 - s.Load.BurstShare) // thinned to the rate of the time
	for at := times.ExpFloat64() / single; at < s.Length; at += times.ExpFloat64() / single {
		if times.Float64()*most < s.ArrivalRate(at) {
			all = append(all, &Message{At: Seconds(at), Destination: pick(partners, s.sharesAt(at))})
		}
	}
	all = append(all, s.clumps(d)...)
	slices.SortStableFunc(all, func(a, b *Message) int { return cmp.Compare(a.At, b.At) })
	shares := s.newShares()
	for i, m := range all {
		m.Number = i
		m.Tenant = s.tenant(m.Destination)
		m.OverQuota = !shares.take(m.Tenant, m.At)
		s.describe(d, m)
	}
	return all
}

// BacklogMessages draws so many messages that came before the run; their numbers begin at first.
func (s *Scenario) BacklogMessages(d RandomStreams, first, n int) []*Message {
	partners, shares := d.Stream("partners before"), s.sharesAt(0)
	all := make([]*Message, n)
	for i := range all {
		m := &Message{Number: first + i, Destination: pick(partners, shares)}
		m.Tenant = s.tenant(m.Destination)
		s.describe(d, m)
		all[i] = m
	}
	return all
}

// describe draws what a message is by itself.
func (s *Scenario) describe(d RandomStreams, m *Message) {
	var classes []float64
	for _, c := range s.Classes {
		if !s.IsOffered(c.Name, m.At.Seconds()) {
			c.Share = 0
		}
		classes = append(classes, c.Share)
	}
	chance := d.Stream("message", m.Number)
	m.Class = pick(chance, classes)
	m.RelayDraw = chance.Float64()
	m.BodySize = int(s.Clients.BodySize.Draw(chance))
	m.HonoursRetryAfter = chance.Float64() < s.Clients.HonourRetryAfter
	m.ResubmitDelay = Seconds(s.Clients.ResubmitDelay.Draw(chance))
	for n, base := 0, s.Clients.Backoff.Draw(chance); n < s.Clients.Retries; n++ {
		m.Backoff = append(m.Backoff, Milliseconds(base*math.Pow(s.Clients.BackoffGrowth, float64(n))*(0.5+chance.Float64())))
	}
	c := &s.Classes[m.Class]
	if c.Idempotency == "keyed" {
		m.Key = fmt.Sprintf("%016x%016x", chance.Uint64(), chance.Uint64())
	}
	if c.Ordered {
		m.OrderKey = fmt.Sprintf("item-%d", chance.IntN(c.OrderKeys))
	}
	if c.Subjects > 0 {
		m.Subject = fmt.Sprintf("parcel-%d", d.Stream("subject", m.Number).IntN(c.Subjects))
	}
}

// clumps draws the messages that come in clumps for one partner.
func (s *Scenario) clumps(d RandomStreams) []*Message {
	if s.Load.BurstShare == 0 {
		return nil
	}
	var all []*Message
	chance := d.Stream("clumps")
	// A clump is as many as its partner takes in so long, so that larger partners have larger ones.
	size := func(p int, span float64) int { return max(2, int(s.AdmittedRate(&s.Destinations[p])*span)) }
	mean, shares := 0.0, s.sharesAt(0)
	for i, share := range shares {
		mean += share * float64(size(i, s.Load.BurstLength.Mean()))
	}
	for at := 0.0; ; {
		at += chance.ExpFloat64() * mean / (s.Load.Rate * s.Load.BurstShare)
		if at >= s.Length {
			return all
		}
		p := pick(chance, s.sharesAt(at))
		n := size(p, s.Load.BurstLength.Draw(chance))
		for t := Seconds(at); n > 0; n-- {
			if t < Seconds(s.Length) {
				all = append(all, &Message{At: t, Destination: p})
			}
			t += time.Duration(chance.ExpFloat64() * float64(clumpGap))
		}
	}
}

// pick draws an index by weight.
func pick(chance *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	v := chance.Float64() * sum
	for i, w := range weights {
		if v -= w; v < 0 {
			return i
		}
	}
	return len(weights) - 1
}

func (s *Scenario) tenant(partner int) int {
	return slices.IndexFunc(s.Tenants, func(t Tenant) bool { return t.Name == s.Destinations[partner].Tenant })
}

// shares tells which messages are within their tenants' shares: a bucket each, that holds a second's quota.
type shares struct {
	quota, left []float64
	at          []time.Duration
}

func (s *Scenario) newShares() *shares {
	q := &shares{}
	for _, t := range s.Tenants {
		q.quota = append(q.quota, t.Quota)
		q.left = append(q.left, t.Quota)
		q.at = append(q.at, 0)
	}
	return q
}

func (q *shares) take(tenant int, at time.Duration) bool {
	if tenant < 0 || q.quota[tenant] == 0 {
		return true
	}
	q.left[tenant] = min(q.quota[tenant], q.left[tenant]+(at-q.at[tenant]).Seconds()*q.quota[tenant])
	q.at[tenant] = at
	if q.left[tenant] < 1 {
		return false
	}
	q.left[tenant]--
	return true
}
