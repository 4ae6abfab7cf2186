package faults

import (
	"math/rand/v2"
	"time"
)

// Fault is a fault of a schedule. Which processes are holder and leader is only known when it begins.
type Fault struct {
	At        time.Duration // since the first execution had begun
	Duration  time.Duration
	Kind      Kind
	Target    int       // number of a relay or member, where the kind leaves it open
	Direction Direction // of a partition in one direction, or of slow links
}

const (
	// scheduleStream is the random stream of schedules, of each seed.
	scheduleStream = 0x6661756c7473
	firstFaultAt   = time.Second
	maxInterval    = 3 * time.Second // between two faults: 1.5 s on average
	minDuration    = 200 * time.Millisecond
	durationRange  = 3 * time.Second
)

// DrawSchedule draws a schedule of faults from a seed, up to a length of time.
func DrawSchedule(seed uint64, length time.Duration, members, relays int) []Fault {
	random := rand.New(rand.NewPCG(seed, scheduleStream))
	var names []Kind // each as often as its weight
	for _, k := range kinds {
		for range k.weight {
			names = append(names, k.name)
		}
	}
	var schedule []Fault
	for at := firstFaultAt; ; {
		at += time.Duration(random.Int64N(int64(maxInterval)))
		if at >= length {
			return schedule
		}
		schedule = append(schedule, Fault{ // drawn in the order of the fields
			At:        at,
			Duration:  minDuration + time.Duration(random.Int64N(int64(durationRange))),
			Kind:      names[random.IntN(len(names))],
			Target:    random.IntN(members * relays),
			Direction: Direction(random.IntN(int(directions))),
		})
	}
}
