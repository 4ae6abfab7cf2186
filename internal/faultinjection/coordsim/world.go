// Package coordsim plays whole quorums of the coordination service in virtual time: the cores that run (raft, state
// machine, client) under a network that loses, delays, doubles, reorders and cuts one way, with pauses, crashes at
// every write, disks set back and clocks apart. One seed plays the same run again. The checkers know nothing of the
// cores: they see acts, grants and answers on true time.
package coordsim

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// event is something that happens to one process at a moment of true time.
type event struct {
	at   time.Duration
	seq  uint64
	to   *process // nil: to the world itself
	life int      // of the process; an event of an earlier life does not happen
	do   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// process is what pauses, crashes and clocks have in common for members and clients.
type process struct {
	number int
	life   int // grows with every crash
	up     bool
	// busy is until when nothing happens to it: it is paused, or waits for its disk.
	busy time.Duration
	rate float64 // of its clock, against true time
	zero time.Duration
}

// world holds the events to come.
type world struct {
	now   time.Duration // true time
	seq   uint64
	queue events
	rand  *rand.Rand
	net   network
	panic func(p *process, what any) // takes the panic of a process
}

// after has something happen to a process, unless it has crashed by then.
func (w *world) after(d time.Duration, p *process, do func()) {
	w.seq++
	e := event{at: w.now + d, seq: w.seq, to: p, do: do}
	if p != nil {
		e.life = p.life
	}
	heap.Push(&w.queue, e)
}

// run lets everything happen up to a moment. What would happen to a process that is paused happens when it goes on,
// in the same order.
func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		switch {
		case e.to == nil:
			w.do(e)
		case !e.to.up || e.life != e.to.life:
		case w.now < e.to.busy:
			e.at = e.to.busy
			heap.Push(&w.queue, e)
		default:
			w.do(e)
		}
	}
	w.now = until
}

// do lets an event happen. A process that panics by it has ended.
func (w *world) do(e event) {
	defer func() {
		if p := recover(); p != nil {
			w.panic(e.to, p)
		}
	}()
	e.do()
}

// clock is what a process's boot-time clock shows: it goes on while the process is paused.
func (w *world) clock(p *process) time.Duration {
	return p.zero + time.Duration(float64(w.now)*p.rate)
}

// until is how much true time passes until a process's clock shows a moment.
func (w *world) until(p *process, at time.Duration) time.Duration {
	return max(0, time.Duration(float64(at-w.clock(p))/p.rate)+1)
}

// chance is true with a probability.
func (w *world) chance(p float64) bool { return w.rand.Float64() < p }

// between draws a time, short ones as likely as long ones on a logarithmic scale.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rand.Float64()*w.rand.Float64()*float64(high-low))
}

// network is how messages fare.
type network struct {
	loss, double float64
	low, high    time.Duration
	again        time.Duration         // a doubled message comes so much later, at most
	late         map[int]time.Duration // what goes to a process takes so much longer
	cut          map[[2]int]int        // by from and to: how many cuts lie there
}

// send brings a message from one process to another, or not, or twice.
func (w *world) send(from, to *process, do func()) {
	copies := 1
	if w.chance(w.net.loss) {
		copies = 0
	}
	if w.chance(w.net.double) {
		copies++
	}
	for i := range copies {
		d := w.between(w.net.low, w.net.high) + w.net.late[to.number]
		if i > 0 {
			d += w.between(0, w.net.again)
		}
		w.after(d, nil, func() {
			// A cut holds what is under way, too. What arrives at a process that is down is gone.
			if w.net.cut[[2]int{from.number, to.number}] == 0 && to.up {
				w.after(0, to, do) // an event of the process: it may be paused
			}
		})
	}
}
