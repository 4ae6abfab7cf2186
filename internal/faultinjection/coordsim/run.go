package coordsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"frostlink/internal/coord"
	"frostlink/internal/coord/replica"
)

// run is one play.
type run struct {
	world   *world
	members []*member
	clients []*client
	writers []*writer
	names   []string // of leases

	ttl, guard    time.Duration
	passEvery     time.Duration
	high          time.Duration // of the network's delays, without a fault
	length, tail  time.Duration
	snapshotEvery uint64
	keepEntries   uint64
	calm          bool
	replaced      bool // the member that was to be
	clocks        bool // a run about clocks: clients are cut off, and little else

	acts    []*act
	grants  []grant
	handed  []handed
	history []operation
	faults  []Violation
	counts  map[string]int
	nextID  uint64
}

// Result is what a play came to.
type Result struct {
	Seed           uint64         `json:"seed"`
	Members        int            `json:"members"`
	TTL            time.Duration  `json:"ttl"`
	Executions     int            `json:"acts"`
	Grants         int            `json:"grants"`
	Operations     int            `json:"values"` // writes and reads
	Violations     []Violation    `json:"faults,omitempty"`
	InjectedFaults map[string]int `json:"done"` // faults that were caused, by kind
}

// Play plays the run of a seed.
func Play(seed uint64) Result {
	r := draw(seed)
	r.play()
	r.check()
	return Result{
		Seed: seed, Members: len(r.members), TTL: r.ttl, Executions: len(r.acts), Grants: len(r.grants), Operations: len(r.history),
		Violations: r.faults, InjectedFaults: r.counts,
	}
}

// draw draws a run: its size, its network, its clocks.
func draw(seed uint64) *run {
	rng := rand.New(rand.NewPCG(seed, 0x71756f72756d))
	w := &world{rand: rng}
	w.net = network{cut: map[[2]int]int{}, late: map[int]time.Duration{}, low: 50 * time.Microsecond, again: 3 * time.Second}
	r := &run{world: w, counts: map[string]int{}, guard: 50 * time.Millisecond, passEvery: 100 * time.Millisecond, length: 25 * time.Second, snapshotEvery: 20 + rng.Uint64N(400)}
	r.keepEntries = rng.Uint64N(r.snapshotEvery)
	w.panic = func(p *process, what any) {
		r.fault("panic", "%v", what)
		if p != nil {
			p.up = false
			p.life++
		}
	}
	ttls := []time.Duration{time.Second, 2 * time.Second, 5 * time.Second}
	r.ttl = ttls[rng.IntN(len(ttls))]
	rate := func() float64 { return 1 + 400e-6*(2*rng.Float64()-1) }
	switch rng.IntN(4) {
	case 0: // a fast network, clients that are cut off, long leases and no guard: what counts are the clocks
		w.net.high = 200 * time.Microsecond
		r.ttl, r.guard, r.clocks = 30*time.Second, 0, true
		rate = func() float64 { return 1 + 490e-6*float64(1-2*rng.IntN(2)) }
		r.length, r.passEvery = 100*time.Second, 2*time.Millisecond
	case 1:
		w.net.high, w.net.loss, w.net.double = 250*time.Millisecond, 0.05*rng.Float64(), 0.1*rng.Float64()
	default:
		w.net.high, w.net.loss, w.net.double = 5*time.Millisecond, 0.1*rng.Float64(), 0.1*rng.Float64()
	}
	r.high = w.net.high
	r.tail = 2*r.ttl + 10*time.Second
	process := func(number int) process {
		return process{number: number, rate: rate(), zero: time.Duration(rng.Int64N(int64(time.Hour)))}
	}
	var first []coord.Member
	for range 3 + 2*rng.IntN(2) {
		r.nextID++
		r.members = append(r.members, &member{process: process(len(r.members)), run: r, id: r.nextID, usual: w.between(200*time.Microsecond, 20*time.Millisecond)})
		first = append(first, coord.Member{ID: r.nextID, Address: fmt.Sprint("m", r.nextID)})
	}
	for _, m := range r.members {
		if r.clocks {
			m.usual = 200 * time.Microsecond
		}
		m.disk, m.slow = replica.Bootstrap(cluster, first), m.usual
	}
	for i := range 1 + rng.IntN(3) {
		r.names = append(r.names, fmt.Sprint("lease-", i))
	}
	for i := range 2 + rng.IntN(4) {
		r.clients = append(r.clients, &client{process: process(100 + i), run: r, name: fmt.Sprint("c", i), names: r.names})
	}
	for i := range 4 {
		r.writers = append(r.writers, &writer{process: process(200 + i), run: r, name: fmt.Sprint("w", i), revokes: i == 2, reads: i == 3})
	}
	return r
}

// play lets the run pass: trouble first, then calm.
func (r *run) play() {
	w := r.world
	for _, m := range r.members {
		m.start()
	}
	for _, c := range r.clients {
		w.after(w.between(0, 2*time.Second), nil, c.start)
	}
	for _, v := range r.writers {
		w.after(w.between(0, 2*time.Second), nil, v.start)
	}
	r.trouble()
	w.run(r.length)
	r.heal()
	w.run(r.length + r.tail)
}

// heal ends all trouble.
func (r *run) heal() {
	r.calm = true
	w := r.world
	w.net.loss, w.net.double = 0, 0
	w.net.high = min(w.net.high, 5*time.Millisecond)
	clear(w.net.cut)
	clear(w.net.late)
	for _, m := range r.members {
		m.busy = min(m.busy, w.now)
		m.full, m.slow = false, 2*time.Millisecond
		w.after(0, nil, m.start)
	}
	for _, c := range r.clients {
		c.busy = min(c.busy, w.now)
		if !c.up {
			c.start()
		}
		w.after(0, &c.process, func() { // all want all they may
			for _, name := range c.names {
				c.core.Request(name, "calm")
			}
			c.step()
		})
	}
}

// member gives the member with an id, or nil.
func (r *run) member(id uint64) *member {
	for _, m := range r.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

// others gives the ids of all members but one.
func (r *run) others(id uint64) []uint64 {
	var ids []uint64
	for _, m := range r.members {
		if m.id != id && m.stopped == nil {
			ids = append(ids, m.id)
		}
	}
	return ids
}
