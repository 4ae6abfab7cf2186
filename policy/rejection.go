package policy

import (
	"math"
	"time"
)

const (
	// pauseCalls at the pace, and leastPause where no pace is known, is the first pause after a refusal,
	// longestHold the longest: about the longest span in which receivers count calls.
	pauseCalls, leastPause, longestHold = 0.5, 100 * time.Millisecond, time.Second
)

// full notes a refusal by the destination: a cut of the pace and a pause, twice as long for each
// refusal in a row, since refused calls may eat the limit; a run of them is a destination that is shut. A
// refusal at the door says nothing of the limit: it pauses, and leaves the pace.
func (d *Dispatcher) full(q *queue, door bool) {
	if q.fulls++; q.fulls == 1 {
		q.firstFull = d.now
	}
	if q.pace > 0 && !door {
		q.pace = math.Max(paceFloor*d.even(q), math.Min(q.pace*paceCut, (q.pace+d.even(q))/2))
		q.tokens = math.Min(q.tokens, 0)
	}
	hold := math.Max(leastPause.Seconds(), q.mean)
	if q.pace > 0 {
		hold = pauseCalls / math.Max(q.pace, pacedCalls/burstSpan.Seconds())
	}
	hold = math.Min(hold*math.Pow(2, float64(q.fulls-1)), math.Max(hold, longestHold.Seconds()))
	hold *= 0.5 + d.chance.Float64() // relays that were refused together do not come back together
	until := &q.holdUntil
	if door {
		until = &q.doorUntil // what is in already may go on
	} else {
		q.limitAt = d.now
	}
	*until, q.pausedAt = max(*until, d.now+time.Duration(hold*float64(time.Second))), d.now
	if d.once(q, q.fulls) || q.fulls > failuresToSick && d.now-q.firstFull > shutAfter {
		for _, ep := range q.eps {
			d.sicken(ep)
		}
	}
}
