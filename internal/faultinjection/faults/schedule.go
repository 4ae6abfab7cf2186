package faults

import (
	"math/rand/v2"
	"time"
)

// Fault is a fault of a schedule. The lease holder and the leader, which are the targets of some kinds, are only determined when the
// fault begins.
type Fault struct {
	At        time.Duration // start of the fault, from the time of the first execution
	Duration  time.Duration
	Kind      Kind
	Target    int       // index of the relay or member, modulo their number; not used by kinds that concern the holder or the leader
	Direction Direction // of a one-way partition or of slow links
}

const (
	// scheduleStream selects the random stream, of a run's seed, from which the schedule is drawn.
	scheduleStream = 0x6661756c7473
	firstFaultAt   = time.Second
	maxInterval    = 3 * time.Second // between the starts of two faults: 1.5 s on average
	minDuration    = 200 * time.Millisecond
	durationRange  = 3 * time.Second
)

// DrawSchedule draws a schedule from a seed. All faults begin before the given length of time. Responses are copied all the time.
func DrawSchedule(seed uint64, length time.Duration, members, relays int) []Fault {
	random := rand.New(rand.NewPCG(seed, scheduleStream))
	var weightedKinds []Kind // each kind once per unit of its weight
	for _, k := range kinds {
		for range k.weight {
			weightedKinds = append(weightedKinds, k.name)
		}
	}
	schedule := []Fault{{At: copiesBeginAt, Duration: length, Kind: ResponsesCopied}}
	for at := firstFaultAt; ; {
		at += time.Duration(random.Int64N(int64(maxInterval)))
		if at >= length {
			return schedule
		}
		schedule = append(schedule, Fault{ // values are drawn in the order of the fields: another order changes the schedule of a seed
			At:        at,
			Duration:  minDuration + time.Duration(random.Int64N(int64(durationRange))),
			Kind:      weightedKinds[random.IntN(len(weightedKinds))],
			Target:    random.IntN(members * relays),
			Direction: Direction(random.IntN(int(directions))),
		})
	}
}
