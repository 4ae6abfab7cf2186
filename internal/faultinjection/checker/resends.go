package checker

import (
	"cmp"
	"slices"
	"time"

	"frostlink/internal/settings"
)

// resends checks calls under ids of relays' own making: the class's allowance holds over all ids of a message.
func (j *judge) resends() {
	by := map[int][]*charge{} // message
	any := false
	for _, c := range j.order {
		by[c.msg] = append(by[c.msg], c)
		any = any || c.resend
	}
	if !any {
		return
	}
	for _, all := range by {
		var calls []*attempt
		of := map[*attempt]*charge{}
		for _, c := range all {
			for _, a := range c.attempts {
				calls = append(calls, a)
				of[a] = c
			}
		}
		slices.SortStableFunc(calls, func(a, b *attempt) int { return cmp.Compare(a.last, b.last) })
		j.lineage(calls, of)
	}
}

// lineage checks the calls of one message, in their order.
func (j *judge) lineage(calls []*attempt, of map[*attempt]*charge) {
	var mayRun, delivered *attempt
	for _, a := range calls {
		c := of[a]
		k := &j.Settings.Categories[c.class]
		if c.resend {
			switch {
			case delivered != nil && k.Idempotency != "retryable":
				j.breach(Twice, a.last, c.id, a.relay, c.dest, "%s resent, though it was delivered at %s", k.Name, clock(delivered.ended))
				return
			case mayRun != nil && k.Idempotency == "fragile",
				mayRun != nil && k.Idempotency == "dedup" && a.last > mayRun.last+settings.Seconds(k.MemorySpanS)+socketSlack:
				j.breach(Twice, a.last, c.id, a.relay, c.dest, "%s resent %s after a call (%s) that may have run", k.Name,
					clock(a.last-mayRun.last), mayRun.outcome)
				return
			}
			for _, b := range calls {
				if b != a && b.last < a.last && (b.ended < 0 || b.ended > a.last+socketSlack) && !j.Settings.Limits.SecondCopies {
					j.breach(SecondCopy, a.last, c.id, a.relay, c.dest, "resent to %s while a call to %s was out", a.host, b.host)
					return
				}
			}
		}
		if a.outcome == OK && delivered == nil {
			delivered = a
		}
		if a.mayHaveRun() && mayRun == nil {
			mayRun = a
		}
	}
}

// overwritten checks that no resend began to be delivered after a newer message of its subject had been.
func (j *judge) overwritten() {
	type subject struct {
		dest, class int
		name        string
	}
	by := map[subject][]*charge{}
	for _, c := range j.order {
		if c.subject != "" && c.delivered >= 0 {
			s := subject{c.dest, c.class, c.subject}
			by[s] = append(by[s], c)
		}
	}
	for _, c := range j.order {
		if !c.resend || c.subject == "" {
			continue
		}
		for _, newer := range by[subject{c.dest, c.class, c.subject}] {
			for _, a := range c.attempts {
				if newer.msg > c.msg && a.mayHaveRun() && newer.delivered < a.first {
					j.breach(Overwritten, a.first, c.id, a.relay, c.dest, "a status of %s resent after a newer one, %s, was delivered at %s",
						c.subject, newer.id, clock(newer.delivered))
					return
				}
			}
		}
	}
}

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
	j := &judge{
		Figures: f, over: over, charges: map[string]*charge{}, calls: map[int]*attempt{}, away: map[int][]span{},
		reset: map[int][]time.Duration{}, lost: map[int][]time.Duration{},
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
			c := j.charges[id]
			if c == nil {
				continue // it was refused before its first call
			}
			delivered = delivered || c.delivered >= 0
			if slices.Contains(k.NeverRan, id) && c.effects > 0 {
				j.breach(KeptWrong, over, id, k.Relay, c.dest, "kept as never run, and it had its effect")
			}
		}
		first := j.charges[k.IDs[0]]
		switch {
		case first == nil:
			j.breach(KeptWrong, over, k.IDs[0], k.Relay, -1, "kept, and nobody handed it in")
		case k.State == "delivered" && !delivered:
			j.breach(KeptWrong, over, k.IDs[0], k.Relay, first.dest, "kept as delivered, and no partner answered so")
		case first.taken && !first.resend && len(first.notices) == 0 && first.voids < 0:
			j.breach(KeptWrong, over, k.IDs[0], k.Relay, first.dest, "kept as %s, and it was not given up", k.State)
		case k.Why == "":
			j.breach(KeptWrong, over, k.IDs[0], k.Relay, first.dest, "kept as %s without a reason", k.State)
		}
	}
	for _, id := range unkept {
		in[id]++
		states["not kept"]++
	}
	for _, c := range j.order {
		switch given := c.taken && len(c.notices) > 0 && c.voids < 0; {
		case c.before && in[c.id] == 0:
			j.breach(NotKept, over, c.id, c.relay, c.dest, "it was in the store before the run, and is no more")
		case given && in[c.id] == 0:
			j.breach(NotKept, c.notices[0].At, c.id, c.relay, c.dest, "given up as %s, and in no store", c.notices[0].State)
		case in[c.id] > 1:
			j.breach(KeptWrong, over, c.id, c.relay, c.dest, "kept %d times", in[c.id])
		}
	}
	r.Breaches = append(r.Breaches, j.breaches...)
	return states
}
