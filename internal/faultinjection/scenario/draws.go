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
	No        int
	At        time.Duration // of its first try
	Partner   int           // place in the script's list; its destination's number as well
	Class     int
	Tenant    int     // -1: none
	OverShare bool    // beyond its tenant's share
	Deal      float64 // 0 to 1: which of the relays gets it
	Key       string  // keyed classes
	Item      string  // ordered classes: what it is about
	Subject   string  // of what it is a status; its number says which of two is the newer
	Body      int     // bytes
	Honours   bool    // keeps to Retry-After
	Backoff   []time.Duration
	Again     time.Duration // until it comes to another relay when one that had it died
}

// clumpGap is the mean time between the messages of one clump.
const clumpGap = 20 * time.Millisecond

// Draws gives random numbers for named purposes. Each purpose has numbers of its own, so that a further draw for
// one changes no other.
type Draws struct{ seed int64 }

// NewDraws gives the draws of a seed.
func NewDraws(seed int64) Draws { return Draws{seed} }

// For gives the numbers for a purpose; n tells apart what it is needed for.
func (d Draws) For(purpose string, n ...int) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d/%s", d.seed, purpose)
	a, b := h.Sum64(), uint64(0x9e3779b97f4a7c15)
	for _, v := range n {
		b = (b ^ uint64(v)) * 0xbf58476d1ce4e5b9
		b ^= b >> 29
	}
	return rand.New(rand.NewPCG(a, b))
}

// In draws a number of a range.
func (r Range) In(chance *rand.Rand) float64 { return r.Low + (r.High-r.Low)*chance.Float64() }

// ID is the id of a message's n-th hand-in.
func (d Draws) ID(message, n int) string {
	return fmt.Sprintf("%012x%04x", d.For("id", message, n).Uint64()&0xffffffffffff, n&0xffff)
}

// Work draws the service time of a message's n-th call at a partner of pace 1: the message's own share of it is
// the same each time, the attempt's noise is not.
func (s *Script) Work(d Draws, m *Message, n int) time.Duration {
	c := &s.Classes[m.Class]
	w := c.Service / 1000
	own := d.For("work", m.No)
	switch c.Spread {
	case "exp":
		w *= own.ExpFloat64()
	case "lognormal":
		w *= lognormal(own, c.CV)
	}
	if c.Noise > 0 {
		w *= lognormal(d.For("noise", m.No, n), c.Noise)
	}
	return Seconds(w)
}

// lognormal draws a number of mean 1.
func lognormal(chance *rand.Rand, cv float64) float64 {
	σ2 := math.Log(1 + cv*cv)
	return math.Exp(math.Sqrt(σ2)*chance.NormFloat64() - σ2/2)
}

// RateAt is the rate of messages at a time, clumps included.
func (s *Script) RateAt(at float64) float64 {
	rate := s.Load.Rate
	switch s.Load.Shape {
	case "wave":
		rate *= 1 + s.Load.Swing*math.Sin(2*math.Pi*at/s.Load.Period)
	case "ramp":
		rate *= 1 + s.Load.Swing*(2*at/s.Length-1)
	}
	for i := range s.Events {
		e := &s.Events[i]
		if e.What != "jump" || at < e.At || at >= e.At+e.For {
			continue
		}
		part := 1.0
		if e.Rise > 0 {
			part = min(1, (at-e.At)/e.Rise, (e.At+e.For-at)/e.Rise)
		}
		rate *= 1 + (e.Factor-1)*part
	}
	return rate
}

// sharesAt are the partners' shares of the traffic at a time.
func (s *Script) sharesAt(at float64) []float64 {
	shares, sum := make([]float64, len(s.Partners)), 0.0
	for i := range s.Partners {
		shares[i] = s.Partners[i].Share
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	for i := range s.Events {
		e := &s.Events[i]
		if e.What != "draw" || at < e.At || at >= e.At+e.For {
			continue
		}
		for j := range shares {
			shares[j] *= 1 - e.Share
		}
		shares[s.Partner(e.Partner)] += e.Share
	}
	return shares
}

// Messages draws all that clients send, by time.
func (s *Script) Messages(d Draws) []*Message {
	var all []*Message
	times := d.For("arrivals")
	most := 0.0
	for at := 0.0; at < s.Length; at += 0.1 {
		most = max(most, s.RateAt(at))
	}
	most *= 1.05 // between the times looked at
	partners := d.For("partners")
	single := most * (1 - s.Load.Clumps) // thinned to the rate of the time
	for at := times.ExpFloat64() / single; at < s.Length; at += times.ExpFloat64() / single {
		if times.Float64()*most < s.RateAt(at) {
			all = append(all, &Message{At: Seconds(at), Partner: pick(partners, s.sharesAt(at))})
		}
	}
	all = append(all, s.clumps(d)...)
	slices.SortStableFunc(all, func(a, b *Message) int { return cmp.Compare(a.At, b.At) })
	shares := s.newShares()
	for i, m := range all {
		m.No = i
		m.Tenant = s.tenant(m.Partner)
		m.OverShare = !shares.take(m.Tenant, m.At)
		s.describe(d, m)
	}
	return all
}

// Before draws so many messages that came before the run; their numbers begin at first.
func (s *Script) Before(d Draws, first, n int) []*Message {
	partners, shares := d.For("partners before"), s.sharesAt(0)
	all := make([]*Message, n)
	for i := range all {
		m := &Message{No: first + i, Partner: pick(partners, shares)}
		m.Tenant = s.tenant(m.Partner)
		s.describe(d, m)
		all[i] = m
	}
	return all
}

// describe draws what a message is by itself.
func (s *Script) describe(d Draws, m *Message) {
	var classes []float64
	for _, c := range s.Classes {
		if !s.Offered(c.Name, m.At.Seconds()) {
			c.Share = 0
		}
		classes = append(classes, c.Share)
	}
	chance := d.For("message", m.No)
	m.Class = pick(chance, classes)
	m.Deal = chance.Float64()
	m.Body = int(s.Clients.Body.In(chance))
	m.Honours = chance.Float64() < s.Clients.Honour
	m.Again = Seconds(s.Clients.Again.In(chance))
	for n, base := 0, s.Clients.Backoff.In(chance); n < s.Clients.Retries; n++ {
		m.Backoff = append(m.Backoff, Millis(base*math.Pow(s.Clients.Growth, float64(n))*(0.5+chance.Float64())))
	}
	c := &s.Classes[m.Class]
	if c.Effect == "keyed" {
		m.Key = fmt.Sprintf("%016x%016x", chance.Uint64(), chance.Uint64())
	}
	if c.Ordered {
		m.Item = fmt.Sprintf("item-%d", chance.IntN(c.Keys))
	}
	if c.Subjects > 0 {
		m.Subject = fmt.Sprintf("parcel-%d", d.For("subject", m.No).IntN(c.Subjects))
	}
}

// clumps draws the messages that come in clumps for one partner.
func (s *Script) clumps(d Draws) []*Message {
	if s.Load.Clumps == 0 {
		return nil
	}
	var all []*Message
	chance := d.For("clumps")
	// A clump is as many as its partner takes in so long, so that larger partners have larger ones.
	size := func(p int, span float64) int { return max(2, int(s.Rate(&s.Partners[p])*span)) }
	mean, shares := 0.0, s.sharesAt(0)
	for i, share := range shares {
		mean += share * float64(size(i, s.Load.Clump.Mean()))
	}
	for at := 0.0; ; {
		at += chance.ExpFloat64() * mean / (s.Load.Rate * s.Load.Clumps)
		if at >= s.Length {
			return all
		}
		p := pick(chance, s.sharesAt(at))
		n := size(p, s.Load.Clump.In(chance))
		for t := Seconds(at); n > 0; n-- {
			if t < Seconds(s.Length) {
				all = append(all, &Message{At: t, Partner: p})
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

func (s *Script) tenant(partner int) int {
	return slices.IndexFunc(s.Tenants, func(t Tenant) bool { return t.Name == s.Partners[partner].Tenant })
}

// shares tells which messages are within their tenants' shares: a bucket each, that holds a second's quota.
type shares struct {
	quota, left []float64
	at          []time.Duration
}

func (s *Script) newShares() *shares {
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
