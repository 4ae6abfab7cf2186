package checker

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"frostlink/internal/settings"
)

const (
	// socketSlack is what the protocol adds to each limit in time on sockets.
	socketSlack = 50 * time.Millisecond
	// letThrough is how long after a wait was written calls may still come.
	letThrough = 100 * time.Millisecond
	// restartSlack after it is ready again a restarted relay's notices may be overdue.
	restartSlack = 1500 * time.Millisecond
	// lostAfter the time of a message its end is none any more: up to then it only earns nothing.
	lostAfter = 500 * time.Millisecond
	// crossing bounds how long two sides may take for the same: an answer that is written while the relay gives
	// its call up, a notice that is on its way while the next call goes out.
	crossing = 250 * time.Millisecond
	// folderRetry is how long after a folder works again a relay may take to write to it what it could not.
	folderRetry = 150 * time.Millisecond
	// pushSlack is the little slack for chance in the rule on returning destinations, in calls.
	pushSlack = 3
	// pushShare of what pushed a destination over must have come from relays that knew of its outage.
	pushShare = 2.0 / 3
	// seenAfter is how long a relay must have held a message for a partner that refuses connections, to be held to
	// have seen it: what the kernel refuses no stand-in sees.
	seenAfter = 500 * time.Millisecond
)

// attempt is one call for a message.
type attempt struct {
	no            int
	relay, dest   int
	host          string
	first, last   time.Duration
	ended         time.Duration // -1: never
	outcome       string
	wait          time.Duration
	probe, effect bool
}

// mayHaveRun tells what the relay could know: only a refusal proves that a call never ran.
func (a *attempt) mayHaveRun() bool {
	return a.outcome != Full && a.outcome != Wait && a.outcome != Unsent
}

// failed tells whether the relay saw the partner fail or refuse.
func (a *attempt) failed() bool { return a.outcome != OK && a.outcome != Unsent }

// charge is a message that a relay was handed.
type charge struct {
	id                  string
	msg, relay, dest    int
	class               int
	item                string
	handed, expires     time.Duration
	answered            time.Duration // -1: never
	status              int
	attempts            []*attempt
	delivered           time.Duration // -1: not
	gone                time.Duration // when a call was told that the message is out of time; -1: not
	notices             []Event
	effects             int
	taken               bool
	resend              bool
	before              bool // given up before the run
	subject             string
	closed              []time.Duration // when its connection was, without an answer
	excusedUntil, voids time.Duration   // end of a restart's excuse; when its machine was lost (-1: not)
}

// end is when a message came to its end, or -1.
func (c *charge) end() time.Duration {
	end := c.delivered
	if len(c.notices) > 0 && (end < 0 || c.notices[0].At < end) {
		end = c.notices[0].At
	}
	if c.gone >= 0 && (end < 0 || c.gone < end) {
		end = c.gone
	}
	return end
}

// span is a stretch of time.
type span struct{ from, to time.Duration }

func (s span) has(t time.Duration) bool { return t >= s.from && t <= s.to }

// periods are the stretches of time in which something held for a relay, which may begin several times before it ends.
type periods struct {
	of   map[int][]span
	open map[int]int
}

func newPeriods() periods { return periods{map[int][]span{}, map[int]int{}} }

func (p periods) begin(relay int, at time.Duration) {
	if p.open[relay]++; p.open[relay] == 1 {
		p.of[relay] = append(p.of[relay], span{at, never})
	}
}

func (p periods) end(relay int, at time.Duration) {
	if p.open[relay]--; p.open[relay] == 0 {
		all := p.of[relay]
		all[len(all)-1].to = at
	}
}

// hold tells whether it held at a time.
func (p periods) hold(relay int, at time.Duration) bool {
	return slices.ContainsFunc(p.of[relay], func(s span) bool { return s.has(at) })
}

// never is later than any run.
const never = time.Duration(1<<63 - 1)

// Judge judges a run that was over at a time.
func Judge(f Figures, log []Event, over time.Duration) *Report {
	j := &judge{
		Figures: f, over: over, charges: map[string]*charge{}, calls: map[int]*attempt{}, away: map[int][]span{},
		reset: map[int][]time.Duration{}, lost: map[int][]time.Duration{}, failing: newPeriods(), breaking: newPeriods(), halted: newPeriods(),
	}
	log = byTime(log)
	j.read(log)
	for _, c := range j.order {
		j.ends(c)
		j.closes(c)
		j.repeats(c)
	}
	j.resends()
	j.overwritten()
	j.standing(log)
	j.drains(log)
	j.waits()
	j.returns(log)
	j.orders()
	j.figures(log)
	slices.SortStableFunc(j.breaches, func(a, b Breach) int { return cmp.Compare(a.At, b.At) })
	r := &Report{Breaches: append([]Breach{}, j.breaches...)} // never null in JSON
	j.count(r, log)
	return r
}

type judge struct {
	Figures
	over     time.Duration
	charges  map[string]*charge
	order    []*charge // as handed in
	calls    map[int]*attempt
	listed   []*attempt // calls and probes, as they came
	away     map[int][]span
	reset    map[int][]time.Duration // when each relay's process ended
	lost     map[int][]time.Duration // when each relay's machine was lost
	failing  periods                 // when each relay's folder failed
	breaking periods                 // when connections of each were made to look broken
	halted   periods                 // when each did not run
	breaches []Breach
}

func (j *judge) breach(rule Rule, at time.Duration, id string, relay, dest int, format string, args ...any) {
	name := ""
	if dest >= 0 && dest < len(j.Destinations) {
		name = j.Destinations[dest].Name
	}
	j.breaches = append(j.breaches, Breach{rule, at, id, relay + 1, name, fmt.Sprintf(format, args...)})
}

// read puts the log together by message and call.
func (j *judge) read(log []Event) {
	begun := map[int]time.Duration{} // of each relay's present absence
	leave := func(relay int, at time.Duration) {
		if _, away := begun[relay]; !away {
			begun[relay] = at
		}
	}
	for _, e := range log {
		c := j.charges[e.ID]
		switch e.Kind {
		case HandedIn:
			c = &charge{
				id: e.ID, msg: e.Msg, relay: e.Relay, dest: e.Dest, class: e.Class, item: e.Item, subject: e.Subject, handed: e.At,
				expires: e.At + e.For, answered: -1, delivered: -1, gone: -1, voids: -1,
			}
			j.charges[e.ID] = c
			j.order = append(j.order, c)
		case Resent, Before:
			c = &charge{
				id: e.ID, msg: e.Msg, relay: e.Relay, dest: e.Dest, class: e.Class, subject: e.Subject, handed: e.At,
				resend: e.Kind == Resent, before: e.Kind == Before, expires: never, answered: -1, delivered: -1, gone: -1, voids: -1,
			}
			j.charges[e.ID] = c
			j.order = append(j.order, c)
		case Answered:
			if c != nil && c.answered < 0 {
				c.answered, c.status = e.At, e.Status
				c.taken = e.Status == 200 || e.Status == 202
			}
		case Called, Probed:
			a := &attempt{
				no: e.Call, relay: e.Relay, dest: e.Dest, host: e.Host, first: e.First, last: e.At, ended: -1,
				probe: e.Kind == Probed,
			}
			j.calls[e.Call] = a
			j.listed = append(j.listed, a)
			switch {
			case e.Kind == Probed:
			case c == nil:
				j.breach(Unknown, e.At, e.ID, e.Relay, e.Dest, "call to %s for an id that no client handed in", e.Host)
			default:
				if c.dest != e.Dest {
					j.breach(WrongHost, e.At, e.ID, e.Relay, c.dest, "call to %s, which is %s's", e.Host,
						j.Destinations[e.Dest].Name)
				}
				c.attempts = append(c.attempts, a)
			}
		case Ended:
			if a := j.calls[e.Call]; a != nil && a.ended < 0 {
				a.ended, a.outcome, a.wait = e.At, e.Outcome, e.For
				if c != nil && e.Outcome == OK && c.delivered < 0 {
					c.delivered = e.At
				}
				if c != nil && e.Outcome == Unsent && a.last > c.expires && c.gone < 0 {
					c.gone = e.At // the platform has told the relay that its time was up: nothing more is owed
				}
			}
		case Effect:
			if c != nil {
				c.effects++
			}
		case Noticed:
			if c != nil {
				c.notices = append(c.notices, e)
			}
		case Stopping, Halted:
			leave(e.Relay, e.At)
			if e.Kind == Halted {
				j.halted.begin(e.Relay, e.At)
			}
		case Unheard:
			if c != nil && e.OK {
				c.closed = append(c.closed, e.At)
			}
		case SocketsBreak:
			j.breaking.begin(e.Relay, e.At)
		case SocketsHold:
			j.breaking.end(e.Relay, e.At)
		case FolderFails:
			j.failing.begin(e.Relay, e.At)
		case FolderWorks:
			j.failing.end(e.Relay, e.At)
		case Killed, Crashed:
			leave(e.Relay, e.At)
			j.reset[e.Relay] = append(j.reset[e.Relay], e.At)
		case Lost:
			leave(e.Relay, e.At)
			j.reset[e.Relay] = append(j.reset[e.Relay], e.At)
			j.lost[e.Relay] = append(j.lost[e.Relay], e.At)
		case Ready, Resumed:
			if e.Kind == Resumed {
				j.halted.end(e.Relay, e.At)
			}
			if from, ok := begun[e.Relay]; ok {
				j.away[e.Relay] = append(j.away[e.Relay], span{from, e.At + restartSlack})
				delete(begun, e.Relay)
			}
		}
	}
	for relay, from := range begun {
		j.away[relay] = append(j.away[relay], span{from, never})
	}
	for _, c := range j.order {
		for _, at := range j.lost[c.relay] {
			if c.voids < 0 && at >= c.handed {
				c.voids = at
			}
		}
	}
}

// excused tells whether a relay was away at a time, and until when.
func (j *judge) excused(relay int, at time.Duration) (until time.Duration, ok bool) {
	for _, s := range j.away[relay] {
		if s.has(at) {
			return s.to, true
		}
	}
	return 0, false
}

// unread is how long a request lay unread at a relay that did not run when it came: nothing in it tells when it was sent, so that its
// time counts from when it could be read.
func (j *judge) unread(c *charge) time.Duration {
	for _, s := range j.halted.of[c.relay] {
		if s.has(c.handed) && s.to != never {
			return s.to - c.handed
		}
	}
	return 0
}

// closes checks that no relay closed a new connection on a request that was sent whole, without an answer. Of a process that ended, or
// a connection that was made to look broken, that is no fault.
func (j *judge) closes(c *charge) {
	for _, at := range c.closed {
		_, away := j.excused(c.relay, at)
		_, leaving := j.excused(c.relay, at+crossing)
		if !away && !leaving && !j.breaking.hold(c.relay, at) {
			j.breach(Unanswered, at, c.id, c.relay, c.dest, "sent at %s, closed on at %s", clock(c.handed), clock(at))
		}
	}
}

// unrecorded tells whether a relay could not record what it learned at a time: its folder failed then, and its process ended before
// that worked again. The next one can't know of it, however right the relay is.
func (j *judge) unrecorded(relay int, at time.Duration) bool {
	for _, failing := range j.failing.of[relay] {
		if !failing.has(at) {
			continue
		}
		for _, ended := range j.reset[relay] {
			if ended >= at && ended <= min(failing.to, never-folderRetry)+folderRetry {
				return true
			}
		}
	}
	return false
}

// ends checks that a message that was taken on has exactly one end, in time.
func (j *judge) ends(c *charge) {
	if !c.taken {
		return
	}
	due := c.expires + j.unread(c) + settings.Seconds(j.Settings.Rules.AnswerSlackS)
	for until, away := j.excused(c.relay, due); away; until, away = j.excused(c.relay, due) {
		if until == never {
			due = never
			break
		}
		due = until + 1
	}
	end := c.end()
	switch {
	case c.voids >= 0 && (end < 0 || end >= c.voids):
		return // its relay's machine was lost, and it with that
	case end < 0 && due < j.over:
		j.breach(NoEnd, due, c.id, c.relay, c.dest, "taken on at %s, no end by %s", clock(c.answered), clock(due))
		return
	case end > max(due, c.expires+lostAfter+socketSlack):
		j.breach(NoEnd, end, c.id, c.relay, c.dest, "ended at %s, %s after its time was up: that is no end", clock(end), clock(end-c.expires))
	case end > due:
		j.breach(LateEnd, end, c.id, c.relay, c.dest, "ended at %s, due by %s", clock(end), clock(due))
	}
	for _, n := range c.notices {
		if n.State != c.notices[0].State {
			j.breach(TwoEnds, n.At, c.id, c.relay, c.dest, "notices of %s and of %s", c.notices[0].State, n.State)
			return
		}
	}
	if len(c.notices) == 0 {
		return
	}
	told := c.notices[0].At
	// An answer that crosses the relay's giving up, or that a process did not live to note, is no second end.
	if c.delivered >= 0 && (told > c.delivered+crossing || c.delivered > told+crossing) {
		if _, away := j.excused(c.relay, c.delivered+crossing); !away && !j.unrecorded(c.relay, c.delivered) {
			j.breach(TwoEnds, max(told, c.delivered), c.id, c.relay, c.dest, "delivered at %s, and noticed as %s at %s",
				clock(c.delivered), c.notices[0].State, clock(told))
			return
		}
	}
	for _, a := range c.attempts {
		if a.first > told+crossing && a.outcome != OK {
			j.breach(TwoEnds, a.first, c.id, c.relay, c.dest, "sent to %s at %s, after its end at %s", a.host,
				clock(a.first), clock(told))
			return
		}
	}
}

// repeats checks that no effect can have happened twice, and that no two copies were out at once.
func (j *judge) repeats(c *charge) {
	k := &j.Settings.Categories[c.class]
	var mayRun *attempt // the first
	broken := false
	for i, a := range c.attempts {
		for _, b := range c.attempts[:i] {
			if !j.Settings.Limits.SecondCopies && (b.ended < 0 || b.ended > a.last+socketSlack) && b.last <= a.last {
				j.breach(SecondCopy, a.last, c.id, c.relay, c.dest, "call to %s while one to %s was out", a.host, b.host)
				return
			}
		}
		if mayRun != nil && !broken {
			switch k.Idempotency {
			case "fragile":
				broken = true
				j.breach(Twice, a.last, c.id, a.relay, c.dest, "%s sent to %s again, though the call to %s at %s (%s) may have run",
					k.Name, a.host, mayRun.host, clock(mayRun.last), mayRun.outcome)
			case "dedup":
				if limit := mayRun.last + settings.Seconds(k.MemorySpanS) + socketSlack; a.last > limit {
					broken = true
					j.breach(Twice, a.last, c.id, a.relay, c.dest,
						"%s sent to %s again %s after the call at %s (%s) that may have run; its key is kept for %v s", k.Name,
						a.host, clock(a.last-mayRun.last), clock(mayRun.last), mayRun.outcome, k.MemorySpanS)
				}
			}
		}
		if mayRun == nil && a.mayHaveRun() {
			mayRun = a
		}
	}
	if mayRun != nil && k.Idempotency == "fragile" && !broken {
		for _, n := range c.notices {
			if n.State == Deferred && (c.delivered < 0 || c.delivered > n.At) {
				broken = true
				j.breach(Twice, n.At, c.id, c.relay, c.dest, "%s handed back as safe to repeat, though the call at %s (%s) may have run",
					k.Name, clock(mayRun.last), mayRun.outcome)
				break
			}
		}
	}
	if c.effects > 1 && k.Idempotency != "retryable" && !broken {
		j.breach(Twice, c.attempts[len(c.attempts)-1].last, c.id, c.relay, c.dest, "%s had its effect %d times", k.Name, c.effects)
	}
}

// waits checks that a relay that was told to wait sent nothing to that partner until the wait was over.
func (j *judge) waits() {
	type told struct{ from, until time.Duration }
	type towards struct{ relay, dest int }
	by := map[towards][]told{} // in the order in which they were told
	for _, a := range j.listed {
		if a.outcome != Wait {
			continue
		}
		until := a.ended + a.wait
		for _, end := range j.reset[a.relay] { // a restart ends it
			if end >= a.ended {
				until = min(until, end)
			}
		}
		key := towards{a.relay, a.dest}
		by[key] = append(by[key], told{a.ended, until})
	}
	for _, a := range j.listed {
		key := towards{a.relay, a.dest}
		// Calls come here in the order of their last bytes: a wait that is over for one is over for all that follow.
		by[key] = slices.DeleteFunc(by[key], func(w told) bool {
			if a.last >= w.until {
				return true
			}
			if a.last <= w.from+letThrough {
				return false
			}
			j.breach(WaitIgnored, a.last, j.idOf(a), a.relay, a.dest, "call to %s %s before the end of a wait told at %s", a.host,
				clock(w.until-a.last), clock(w.from))
			return true // one report a wait
		})
	}
}

func (j *judge) idOf(a *attempt) string {
	for _, c := range j.order {
		if slices.Contains(c.attempts, a) {
			return c.id
		}
	}
	return ""
}

// orders checks that messages with one key went one at a time, in the order in which their relay took them on.
func (j *judge) orders() {
	type turn struct {
		relay int
		item  string
	}
	lines := map[turn][]*charge{}
	for _, c := range j.order {
		if c.taken && c.item != "" && j.Settings.Categories[c.class].FifoByKey {
			key := turn{c.relay, c.item}
			lines[key] = append(lines[key], c)
		}
	}
	pause := settings.Seconds(j.Settings.Rules.OrderPauseS)
	for _, line := range lines {
		for i, c := range line {
			if broken := j.outOfTurn(line[:i], c, pause); broken != nil {
				j.breach(OrderBroken, c.attempts[0].first, c.id, c.relay, c.dest, "sent while %s, which came before it, was not over",
					broken.id)
			}
		}
	}
}

// outOfTurn finds a message that came before another with its key, and was neither over nor at rest when that went.
func (j *judge) outOfTurn(before []*charge, c *charge, pause time.Duration) *charge {
	if len(c.attempts) == 0 {
		return nil
	}
	sent := c.attempts[0].first
	for _, b := range before {
		// Only where one answer came before the other request is it known which was taken on first.
		if b.answered >= c.handed || j.restarted(b.relay, b.answered, sent) {
			continue
		}
		end := b.end()
		if end < 0 || end > sent+crossing || b.delivered >= 0 && len(b.notices) == 0 && end > sent {
			return b
		}
		for _, a := range b.attempts {
			if a.ended < 0 || a.ended > sent {
				return b
			}
			if unknown := a.outcome == Reset || a.outcome == Left || a.outcome == Cut; unknown && sent < a.ended+pause-socketSlack {
				return b
			}
		}
	}
	return nil
}

// restarted tells whether a relay's process ended between two times.
func (j *judge) restarted(relay int, from, to time.Duration) bool {
	return slices.ContainsFunc(j.reset[relay], func(at time.Duration) bool { return at >= from && at <= to })
}

// clock writes a time for people.
func clock(t time.Duration) string { return fmt.Sprintf("%.3f s", t.Seconds()) }
