package coordsim

import "time"

// link is one direction between two processes, given by their numbers.
type link struct{ from, to int }

// network carries messages between processes.
type network struct {
	scheduler *scheduler
	random    randomSource

	lossProbability      float64
	duplicateProbability float64
	minDelay, maxDelay   time.Duration
	duplicateDelay       time.Duration         // maximum additional delay of a duplicate
	extraDelay           map[int]time.Duration // of messages to a process, by its number
	partitions           map[link]int          // number of faults that currently partition a link
}

// send sends a message from one process to another. The message may be delayed, lost or duplicated.
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
			// A message is lost if its link is partitioned or its receiver is down at its arrival.
			if n.partitions[link{from.number, to.number}] == 0 && to.running {
				n.scheduler.after(0, to, deliver) // run as an event of the receiver, so that a pause of the receiver defers the delivery
			}
		})
	}
}

// direction is the direction of messages relative to a process.
type direction int

const (
	bothWays direction = iota
	outgoing
	incoming
)

// partition loses messages between a process and others for a time, in one direction or both.
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
			if n.partitions[l] > 0 { // the count is 0 if the quiet period has healed the network
				n.partitions[l]--
			}
		}
	})
}

// heal ends all network faults, and reduces the maximum delay of messages to maxDelay if it is longer.
func (n *network) heal(maxDelay time.Duration) {
	n.lossProbability, n.duplicateProbability = 0, 0
	n.maxDelay = min(n.maxDelay, maxDelay)
	clear(n.partitions)
	clear(n.extraDelay)
}
