package checker

import (
	"slices"
	"time"
)

// Kept is a message as a relay's store of undelivered ones has it at the end of a run.
type Kept struct {
	Relay    int
	IDs      []string // of all its lives
	State    string   // held, due, out, delivered, superseded or discarded
	Why      string
	NeverRan []string // ids of its lives in which it holds that no call can have run
}

// Stores checks what relays kept against the log: each message that was taken on and given up is in the store of its
// relay, once; what is held never to have run has not; what is delivered was. unkept are ids that a store lists as not
// kept. It gives the count of each state.
func (r *Report) Stores(f Figures, log []Event, kept []Kept, unkept []string, over time.Duration) map[string]int {
	j := &history{
		Figures: f, end: over, requestsByID: map[string]*request{}, attemptsByNumber: map[int]*attempt{}, absences: map[int][]interval{},
		processEnds: map[int][]time.Duration{}, machineLosses: map[int][]time.Duration{},
	}
	j.read(byTime(log))
	j.breaches = nil // the ends of reading are Judge's
	states := map[string]int{}
	in := map[string]int{}
	for _, k := range kept {
		states[k.State]++
		delivered := false
		for _, id := range k.IDs {
			in[id]++
			c := j.requestsByID[id]
			if c == nil {
				continue // it was refused before its first call
			}
			delivered = delivered || c.deliveredAt >= 0
			if slices.Contains(k.NeverRan, id) && c.effects > 0 {
				j.report(KeptWrong, over, id, k.Relay, c.destination, "kept as never run, and it had its effect")
			}
		}
		first := j.requestsByID[k.IDs[0]]
		switch {
		case first == nil:
			j.report(KeptWrong, over, k.IDs[0], k.Relay, -1, "kept, and nobody handed it in")
		case k.State == "delivered" && !delivered:
			j.report(KeptWrong, over, k.IDs[0], k.Relay, first.destination, "kept as delivered, and no partner answered so")
		case first.accepted && !first.redelivery && len(first.notices) == 0 && first.machineLostAt < 0:
			j.report(KeptWrong, over, k.IDs[0], k.Relay, first.destination, "kept as %s, and it was not given up", k.State)
		case k.Why == "":
			j.report(KeptWrong, over, k.IDs[0], k.Relay, first.destination, "kept as %s without a reason", k.State)
		}
	}
	for _, id := range unkept {
		in[id]++
		states["not kept"]++
	}
	for _, c := range j.requests {
		switch given := c.accepted && len(c.notices) > 0 && c.machineLostAt < 0; {
		case c.fromStore && in[c.id] == 0:
			j.report(NotKept, over, c.id, c.relay, c.destination, "it was in the store before the run, and is no more")
		case given && in[c.id] == 0:
			j.report(NotKept, c.notices[0].At, c.id, c.relay, c.destination, "given up as %s, and in no store", c.notices[0].State)
		case in[c.id] > 1:
			j.report(KeptWrong, over, c.id, c.relay, c.destination, "kept %d times", in[c.id])
		}
	}
	r.Breaches = append(r.Breaches, j.breaches...)
	return states
}
