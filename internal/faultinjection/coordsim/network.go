package coordsim

import "time"

// link is the path of messages from one process to another, by their numbers.
type link struct{ from, to int }

// network carries messages between processes.
type network struct {
	scheduler *scheduler
	random    randomSource

	lossProbability      float64
	duplicateProbability float64
	minDelay, maxDelay   time.Duration
	duplicateDelay       time.Duration         // how much later a duplicate comes, at most
	extraDelay           map[int]time.Duration // of what goes to a process, by its number
	partitions           map[link]int          // faults that partition a link now
}

// send delivers a message from one process to another, or loses or duplicates it.
func (n *network) send(from, to *process, deliver func()) {
	copies := 1
	if n.random.chance(n.lossProbability) {
		copies = 0
	}
	if n.random.chance(n.duplicateProbability) {
		copies++
	}
	for i := range copies {
		delay := n.random.between(n.minDelay, n.maxDelay) + n.extraDelay[to.number]
		if i > 0 {
			delay += n.random.between(0, n.duplicateDelay)
		}
		n.scheduler.after(delay, nil, func() {
			// A partition loses what is in flight, too. What arrives at a process that is down is lost.
			if n.partitions[link{from.number, to.number}] == 0 && to.running {
				n.scheduler.after(0, to, deliver) // an event of the process: it may be paused
			}
		})
	}
}

// direction is a direction of messages, seen from a process.
type direction int

const (
	bothWays direction = iota
	outgoing
	incoming
)

// partition loses the messages between a process and others, in a direction, for a while.
func (n *network) partition(process int, others []int, d direction, duration time.Duration) {
	var links []link
	for _, other := range others {
		if other != process && d != incoming {
			links = append(links, link{process, other})
		}
		if other != process && d != outgoing {
			links = append(links, link{other, process})
		}
	}
	for _, l := range links {
		n.partitions[l]++
	}
	n.scheduler.after(duration, nil, func() {
		for _, l := range links {
			if n.partitions[l] > 0 { // else the quiet period has begun
				n.partitions[l]--
			}
		}
	})
}

// heal ends all faults of the network. Delays stay as they were drawn, up to a bound.
func (n *network) heal(maxDelay time.Duration) {
	n.lossProbability, n.duplicateProbability = 0, 0
	n.maxDelay = min(n.maxDelay, maxDelay)
	clear(n.partitions)
	clear(n.extraDelay)
}
