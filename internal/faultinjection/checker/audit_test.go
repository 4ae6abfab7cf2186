package checker

import (
	"fmt"
	"math"
	"testing"
	"time"

	"frostlink/internal/settings"
)

const sec = time.Second

// Each of these breaks one rule. The auditor has to report that one, once, and no other.
func TestEachBreachIsReportedAsItself(t *testing.T) {
	for name, c := range map[string]struct {
		rule Rule
		run  func(n *notes)
	}{
		"a message is never ended":   {OutcomeMissing, func(n *notes) { n.take(sec, "a", status) }},
		"it is lost after a refusal": {OutcomeMissing, func(n *notes) { n.take(sec, "a", status); n.call(2*sec, "a", "h", Rejected, ms) }},
		"lost after a call unsent":   {OutcomeMissing, func(n *notes) { n.take(sec, "a", status); n.call(10999*ms, "a", "h", NotSent, ms) }},
		"lost in a planned restart":  {OutcomeMissing, func(n *notes) { n.take(sec, "a", status); n.restart(2 * sec) }},
		"lost by a crash":            {OutcomeMissing, func(n *notes) { n.take(sec, "a", status); n.crash(2 * sec) }},
		"its notice comes late":      {OutcomeLate, func(n *notes) { n.take(sec, "a", status); n.notice(11400*ms, "a", Deferred) }},
		"its notice comes too late":  {OutcomeMissing, func(n *notes) { n.take(sec, "a", status); n.notice(11600*ms, "a", Deferred) }},
		"untried, given up after a restart": {FailedUntried, func(n *notes) {
			for i := range 7 {
				n.take(sec+time.Duration(i)*ms, fmt.Sprint(i), status)
			}
			n.call(1500*ms, "0", "h", Rejected, ms) // tried before
			n.restart(2 * sec)
			n.call(7*sec, "0", "h", OK, ms)
			n.call(7*sec, "1", "h", OK, ms)
			n.call(7*sec, "2", "h", Rejected, ms)
			for i := 2; i < 7; i++ {
				n.notice(8*sec+time.Duration(i)*ms, fmt.Sprint(i), Deferred)
			}
		}},
		"taken on once delivered": {AcceptedLate, func(n *notes) {
			for i := range 3 {
				at, id := time.Duration(i+1)*sec, fmt.Sprint(i)
				n.add(Event{At: at, Kind: Submitted, ID: id, Class: status, Duration: 10 * sec})
				n.call(at+ms, id, "h", OK, ms)
				n.add(Event{At: at + 5*ms, Kind: Answered, ID: id, Status: 202})
			}
			n.take(5*sec, "in time", status)
			n.call(6*sec, "in time", "h", OK, ms)
		}},
		"sent in spite of the clock of silence": {DrainBroken, func(n *notes) {
			n.silence()
			n.take(8*sec, "a", status)
			n.call(8100*ms, "a", "h", OK, ms)
		}},
		"it is delivered late": {OutcomeLate, func(n *notes) { n.take(sec, "a", status); n.call(9*sec, "a", "h", OK, 2400*ms) }},
		"lost after a restart": {OutcomeMissing, func(n *notes) { n.take(sec, "a", status); n.restart(10 * sec); n.notice(17*sec, "a", Deferred) }},
		"two notices that differ": {OutcomeTwice, func(n *notes) {
			n.take(sec, "a", status)
			n.notice(2*sec, "a", Deferred)
			n.notice(3*sec, "a", Undeliverable)
		}},
		"a notice after delivery": {OutcomeTwice, func(n *notes) {
			n.take(sec, "a", status)
			n.call(2*sec, "a", "h", OK, ms)
			n.notice(3*sec, "a", Undeliverable)
		}},
		"closed on without an answer": {Unanswered, func(n *notes) {
			n.add(Event{At: sec, Kind: Submitted, ID: "a", Class: status, Duration: 10 * sec})
			n.add(Event{At: sec + 5*ms, Kind: AnswerMissed, ID: "a", OK: true})
		}},
		"its end is late after it lay unread": {OutcomeMissing, func(n *notes) {
			n.add(Event{At: 500 * ms, Kind: Halted})
			n.add(Event{At: sec, Kind: Submitted, ID: "a", Class: status, Duration: 10 * sec})
			n.add(Event{At: 1300 * ms, Kind: Resumed})
			n.add(Event{At: 1310 * ms, Kind: Answered, ID: "a", Status: 202})
			n.notice(11700*ms, "a", Deferred)
		}},
		"a notice after delivery, its folder failed and nothing ended": {OutcomeTwice, func(n *notes) {
			n.add(Event{At: sec, Kind: FolderFails})
			n.take(sec, "a", status)
			n.call(2*sec, "a", "h", OK, ms)
			n.notice(3*sec, "a", Undeliverable)
			n.add(Event{At: 4 * sec, Kind: FolderWorks})
		}},
		"a notice after delivery and a kill, its folder worked by then": {OutcomeTwice, func(n *notes) {
			n.add(Event{At: sec, Kind: FolderFails})
			n.add(Event{At: sec, Kind: FolderFails}) // in two ways
			n.add(Event{At: 1500 * ms, Kind: FolderWorks})
			n.take(sec, "a", status)
			n.call(2*sec, "a", "h", OK, ms)
			n.add(Event{At: 2500 * ms, Kind: FolderWorks})
			n.crash(3 * sec)
			n.notice(5*sec, "a", Undeliverable)
		}},
		"a notice after delivery and a kill, its folder failed later": {OutcomeTwice, func(n *notes) {
			n.take(sec, "a", status)
			n.call(2*sec, "a", "h", OK, ms)
			n.add(Event{At: 2500 * ms, Kind: FolderFails})
			n.crash(3 * sec)
			n.notice(5*sec, "a", Undeliverable)
		}},
		"a notice after delivery and a kill, its folder failed when the response had been read": {OutcomeTwice, func(n *notes) {
			n.take(sec, "a", status)
			n.call(2*sec, "a", "h", OK, ms)
			n.add(Event{At: 2*sec + 52*ms, Kind: FolderFails})
			n.crash(3 * sec)
			n.notice(5*sec, "a", Undeliverable)
		}},
		"a notice after delivery, its folder failed while the response was in transit and nothing ended": {OutcomeTwice, func(n *notes) {
			n.take(sec, "a", status)
			n.call(2*sec, "a", "h", OK, ms)
			n.add(Event{At: 2*sec + 2*ms, Kind: FolderFails})
			n.notice(3*sec, "a", Undeliverable)
		}},
		"delivered after its notice": {OutcomeTwice, func(n *notes) {
			n.take(sec, "a", status)
			n.notice(2*sec, "a", Deferred)
			n.call(3*sec, "a", "h", OK, ms)
		}},
		"sent after its notice": {OutcomeTwice, func(n *notes) {
			n.take(sec, "a", status)
			n.notice(2*sec, "a", Deferred)
			n.call(3*sec, "a", "h", Rejected, ms)
		}},
		"a payment beyond its memory": {ExecutedTwice, func(n *notes) {
			n.take(sec, "a", payment)
			n.call(2*sec, "a", "h", Abandoned, sec)
			n.call(7100*ms, "a", "h", OK, ms)
		}},
		"the same over a restart": {ExecutedTwice, func(n *notes) {
			n.take(sec, "a", payment)
			n.call(2*sec, "a", "h", Interrupted, ms)
			n.restart(3 * sec)
			n.call(8*sec, "a", "h", OK, ms)
		}},
		"unsafe again after an error": {ExecutedTwice, func(n *notes) {
			n.take(sec, "a", order)
			n.call(2*sec, "a", "h", Error, ms)
			n.call(3*sec, "a", "h", OK, ms)
		}},
		"unsafe handed back, may run": {ExecutedTwice, func(n *notes) {
			n.take(sec, "a", order)
			n.call(2*sec, "a", "h", Reset, ms)
			n.notice(3*sec, "a", Deferred)
		}},
		"two effects seen by partners": {ExecutedTwice, func(n *notes) { n.take(sec, "a", payment); n.call(2*sec, "a", "h", OK, ms); n.effect(2, "a") }},
		"two copies at once": {ConcurrentAttempts, func(n *notes) {
			n.take(sec, "a", status)
			n.call(2*sec, "a", "h", OK, sec)
			n.call(2500*ms, "a", "g", OK, ms)
		}},
		"sent after a drain's grace": {DrainBroken, func(n *notes) {
			n.told(Draining)
			n.take(sec, "a", status)
			n.call(2100*ms, "a", "h", OK, ms)
		}},
		"sent to one that is gone": {DrainBroken, func(n *notes) {
			n.told(Deleted)
			n.take(sec, "a", status)
			n.call(2100*ms, "a", "h", Rejected, ms)
			n.call(2200*ms, "a", "g", OK, ms)
		}},
		"counts as told of a drain": {DrainBroken, func(n *notes) {
			n.up()
			n.draining()
			n.take(sec, "a", status)
			n.call(8100*ms, "a", "h", OK, ms)
		}},
		"asks too late": {DrainBroken, func(n *notes) {
			n.up()
			n.add(Event{At: 500 * ms, Kind: WatchEnded})
			n.regDown(600 * ms)
			n.draining()
			n.take(5*sec, "a", status)
			n.call(12100*ms, "a", "h", OK, ms)
		}},
		"a cold partner is pushed over": {DestinationOverloaded, func(n *notes) { n.out("shut"); n.burst(1500*ms, 1, 0); n.burst(3100*ms, 20, 0) }},
		"pushed, its refusals unseen": {DestinationOverloaded, func(n *notes) {
			n.out("refuse")
			n.take(sec, "w", status)
			n.burst(3100*ms, 20, 0)
			n.call(3600*ms, "w", "h", OK, ms)
		}},
		"pushed by probes": {DestinationOverloaded, func(n *notes) { n.out("shut"); n.burst(1500*ms, 1, 0); n.probes(3100*ms, 20) }},
		"sent out of turn": {OrderBroken, func(n *notes) {
			n.take(sec, "a", lined)
			n.take(2*sec, "b", lined)
			n.call(3*sec, "b", "h", OK, ms)
			n.call(4*sec, "a", "h", OK, ms)
		}},
		"sent while one is out": {OrderBroken, func(n *notes) {
			n.take(sec, "a", lined)
			n.take(2*sec, "b", lined)
			n.call(3*sec, "a", "h", OK, sec)
			n.call(3500*ms, "b", "h", OK, ms)
		}},
		"sent before a key has rested": {OrderBroken, func(n *notes) {
			n.take(sec, "a", lined)
			n.take(2*sec, "b", lined)
			n.call(3*sec, "a", "h", Reset, ms)
			n.notice(3100*ms, "a", Deferred)
			n.call(3400*ms, "b", "h", OK, ms)
		}},
		"a wait is ignored": {RetryAfterIgnored, func(n *notes) {
			n.take(sec, "a", status)
			n.call(2*sec, "a", "h", RetryAfter, ms, wait(sec))
			n.call(2900*ms, "a", "g", OK, ms)
		}},
		"by another message": {RetryAfterIgnored, func(n *notes) {
			n.take(sec, "a", status)
			n.take(sec, "b", status)
			n.call(2*sec, "a", "h", RetryAfter, ms, wait(sec))
			n.call(2900*ms, "b", "h", OK, ms)
			n.call(4*sec, "a", "h", OK, ms)
		}},
		"to another partner's host": {WrongDestination, func(n *notes) {
			n.take(sec, "a", status)
			n.call(2*sec, "a", "d", Rejected, ms, dest(1))
			n.call(3*sec, "a", "h", OK, ms)
		}},
		"a message out of nothing": {UnknownRequest, func(n *notes) { n.call(2*sec, "zz", "h", Rejected, ms) }},
	} {
		t.Run(name, func(t *testing.T) {
			n := &notes{}
			n.add(Event{Kind: Ready})
			c.run(n)
			r := Judge(figures(), n.log, 60*sec)
			if len(r.Violations) != 1 || r.Violations[0].Rule != c.rule {
				t.Errorf("want %q once, got %+v", c.rule, r.Violations)
			}
			for _, b := range r.Violations {
				if b.Relay != 1 || b.Text == "" || b.At <= 0 {
					t.Errorf("the report names too little: %+v", b)
				}
			}
		})
	}
}

// None of these breaks a rule, though only just.
func TestTheEdgesOfTheRulesAreKept(t *testing.T) {
	for name, run := range map[string]func(n *notes){
		"closed on as the process ends, or on a connection that looks broken": func(n *notes) {
			n.add(Event{At: sec, Kind: Submitted, ID: "a", Class: status, Duration: 10 * sec})
			n.add(Event{At: sec + 5*ms, Kind: AnswerMissed, ID: "a", OK: true})
			n.crash(sec + 50*ms)
			n.add(Event{At: 5 * sec, Kind: SocketsBreak})
			n.add(Event{At: 6 * sec, Kind: Submitted, ID: "b", Class: status, Duration: 10 * sec})
			n.add(Event{At: 6*sec + 5*ms, Kind: AnswerMissed, ID: "b", OK: true})
			n.add(Event{At: 7 * sec, Kind: SocketsHold})
		},
		"a request that lay unread while its relay did not run": func(n *notes) {
			n.add(Event{At: 500 * ms, Kind: Halted})
			n.add(Event{At: sec, Kind: Submitted, ID: "a", Class: status, Duration: 10 * sec})
			n.add(Event{At: 1300 * ms, Kind: Resumed})
			n.add(Event{At: 1310 * ms, Kind: Answered, ID: "a", Status: 202})
			n.notice(11550*ms, "a", Deferred)
		},
		"a delivery that its relay could not record before it was killed": func(n *notes) {
			n.add(Event{At: sec, Kind: FolderFails})
			n.take(sec, "a", status)
			n.call(2*sec, "a", "h", OK, ms)
			n.crash(3 * sec)
			n.add(Event{At: 3500 * ms, Kind: FolderWorks})
			n.notice(5*sec, "a", Undeliverable)
		},
		"a delivery that its relay could not record: its folder failed while the response was in transit": func(n *notes) {
			n.take(sec, "a", status)
			n.call(2*sec, "a", "h", OK, ms)
			n.add(Event{At: 2*sec + 2*ms, Kind: FolderFails})
			n.crash(3 * sec)
			n.add(Event{At: 3500 * ms, Kind: FolderWorks})
			n.notice(5*sec, "a", Undeliverable)
		},
		"sent before the clock of silence": func(n *notes) {
			n.silence()
			n.take(7*sec, "a", status)
			n.call(8*sec, "a", "h", OK, ms)
		},
		"a watch anew before that": func(n *notes) { // and it brings what was missed
			n.silence()
			n.add(Event{At: 2500 * ms, Kind: WatchRequested, OK: true})
			n.take(8*sec, "a", status)
			n.call(8100*ms, "a", "h", OK, ms)
		},
		"half of the untried given up": func(n *notes) {
			for i := range 6 {
				n.take(sec+time.Duration(i)*ms, fmt.Sprint(i), status)
			}
			n.restart(2 * sec)
			for i := range 6 {
				if i%2 == 0 {
					n.call(7*sec+time.Duration(i)*ms, fmt.Sprint(i), "h", Rejected, ms)
				}
				n.notice(8*sec+time.Duration(i)*ms, fmt.Sprint(i), Deferred)
			}
		},
		"untried, their partner out": func(n *notes) {
			for i := range 6 {
				n.take(sec+time.Duration(i)*ms, fmt.Sprint(i), status)
				n.notice(9*sec+time.Duration(i)*ms, fmt.Sprint(i), Deferred)
			}
			n.add(Event{At: 3 * sec, Kind: OutageBegan, State: "refuse"})
			n.add(Event{At: 8 * sec, Kind: OutageEnded})
			n.restart(2 * sec)
		},
		"ended at the last moment": func(n *notes) { n.take(sec, "a", status); n.notice(11290*ms, "a", Deferred) },
		"the same notice twice": func(n *notes) {
			n.take(sec, "a", status)
			n.notice(2*sec, "a", Deferred)
			n.notice(3*sec, "a", Deferred)
		},
		"told that its time was up": func(n *notes) { n.take(sec, "a", status); n.call(11001*ms, "a", "h", NotSent, ms) },
		"refused at once": func(n *notes) {
			n.add(Event{At: sec, Kind: Submitted, ID: "a"})
			n.add(Event{At: sec, Kind: Answered, ID: "a", Status: 429})
		},
		"the client never heard": func(n *notes) {
			n.add(Event{At: sec, Kind: Submitted, ID: "a"})
			n.add(Event{At: sec, Kind: AnswerMissed, ID: "a"})
		},
		"overdue in a planned restart": func(n *notes) { n.take(sec, "a", status); n.restart(10 * sec); n.notice(16*sec, "a", Deferred) },
		"overdue while halted": func(n *notes) {
			n.take(sec, "a", status)
			n.add(Event{At: 8 * sec, Kind: Halted})
			n.add(Event{At: 15 * sec, Kind: Resumed})
			n.notice(16400*ms, "a", Deferred)
		},
		"its machine was lost": func(n *notes) {
			n.take(sec, "a", status)
			n.add(Event{At: 2 * sec, Kind: MachineLost})
			n.add(Event{At: 3 * sec, Kind: Ready})
		},
		"an answer crosses its giving up": func(n *notes) {
			n.take(sec, "a", status)
			n.call(2*sec, "a", "h", OK, ms)
			n.notice(2100*ms, "a", Undeliverable)
		},
		"the process died before it noted": func(n *notes) {
			n.take(sec, "a", status)
			n.call(2*sec, "a", "h", OK, ms)
			n.crash(2050 * ms)
			n.notice(9*sec, "a", Undeliverable)
		},
		"a payment within its memory": func(n *notes) {
			n.take(sec, "a", payment)
			n.call(2*sec, "a", "h", Abandoned, sec)
			n.call(7040*ms, "a", "h", OK, ms)
		},
		"a payment never taken by a partner": func(n *notes) {
			n.take(sec, "a", payment)
			n.call(2*sec, "a", "h", Rejected, ms)
			n.call(9*sec, "a", "h", OK, ms)
		},
		"a payment handed back, may run": func(n *notes) {
			n.take(sec, "a", payment)
			n.call(2*sec, "a", "h", Abandoned, sec)
			n.notice(4*sec, "a", Deferred)
		},
		"unsafe again after a refusal": func(n *notes) {
			n.take(sec, "a", order)
			n.call(2*sec, "a", "h", Rejected, ms)
			n.call(3*sec, "a", "h", OK, ms)
		},
		"unsafe given up, may run": func(n *notes) {
			n.take(sec, "a", order)
			n.call(2*sec, "a", "h", Reset, ms)
			n.notice(3*sec, "a", Undeliverable)
		},
		"status twice": func(n *notes) {
			n.take(sec, "a", status)
			n.call(2*sec, "a", "h", OK, ms)
			n.call(3*sec, "a", "h", OK, ms)
			n.effect(2, "a")
		},
		"the next call as the last ends": func(n *notes) {
			n.take(sec, "a", status)
			n.call(2*sec, "a", "h", Abandoned, sec)
			n.call(2960*ms, "a", "h", OK, ms)
		},
		"within a drain's grace": func(n *notes) {
			n.told(Draining)
			n.take(sec, "a", status)
			n.call(2040*ms, "a", "h", OK, ms)
		},
		"a drain that nobody told of yet": func(n *notes) {
			n.up()
			n.draining()
			n.take(sec, "a", status)
			n.call(8*sec, "a", "h", OK, ms)
		},
		"a drain while the register is down": func(n *notes) {
			n.up()
			n.regDown(1500 * ms)
			n.draining()
			n.take(sec, "a", status)
			n.call(9*sec, "a", "h", OK, ms)
			n.add(Event{At: 30 * sec, Kind: DiscoveryUp})
		},
		"told another relay": func(n *notes) {
			n.add(Event{At: sec, Kind: EndpointNotified, Relay: 1, Endpoint: "h", State: Draining})
			n.take(sec, "a", status)
			n.call(4*sec, "a", "h", OK, ms)
		},
		"as much as a cold partner bears":     func(n *notes) { n.out("shut"); n.burst(1500*ms, 1, 0); n.burst(3*sec, 18, 0) },
		"pushed over by one that saw nothing": func(n *notes) { n.out("shut"); n.burst(3100*ms, 40, 0) },
		"more than a third saw nothing": func(n *notes) {
			n.out("shut")
			n.burst(1500*ms, 1, 0)
			n.burst(3100*ms, 9, 1)
			n.burst(3100*ms, 12, 0)
		},
		"a burst at a warm partner": func(n *notes) { n.out("shut"); n.burst(1500*ms, 1, 0); n.burst(14*sec, 70, 0) },
		"refused before, while held briefly": func(n *notes) {
			n.out("refuse")
			n.take(2600*ms, "w", status)
			n.burst(3100*ms, 40, 0)
			n.call(5*sec, "w", "h", OK, ms)
		},
		"in order": func(n *notes) {
			n.take(sec, "a", lined)
			n.take(2*sec, "b", lined)
			n.call(3*sec, "a", "h", OK, sec)
			n.call(4001*ms, "b", "h", OK, ms)
		},
		"taken on at one time": func(n *notes) {
			n.take(sec, "a", lined)
			n.take(1003*ms, "b", lined)
			n.call(3*sec, "b", "h", OK, ms)
			n.call(4*sec, "a", "h", OK, ms)
		},
		"after a key has rested": func(n *notes) {
			n.take(sec, "a", lined)
			n.take(2*sec, "b", lined)
			n.call(3*sec, "a", "h", Reset, ms)
			n.notice(3100*ms, "a", Deferred)
			n.call(3510*ms, "b", "h", OK, ms)
		},
		"refused out of turn": func(n *notes) {
			n.take(sec, "a", lined)
			n.take(2*sec, "b", lined)
			n.notice(3*sec, "b", Deferred)
			n.call(4*sec, "a", "h", OK, ms)
		},
		"a wait that is over": func(n *notes) {
			n.take(sec, "a", status)
			n.call(2*sec, "a", "h", RetryAfter, ms, wait(sec))
			n.call(3002*ms, "a", "h", OK, ms)
		},
		"a call that crosses the wait": func(n *notes) {
			n.take(sec, "a", status)
			n.take(sec, "b", status)
			n.call(2*sec, "a", "h", RetryAfter, ms, wait(sec))
			n.call(2090*ms, "b", "h", OK, ms)
			n.call(4*sec, "a", "h", OK, ms)
		},
		"a restart ends a wait": func(n *notes) {
			n.take(sec, "a", status)
			n.call(2*sec, "a", "h", RetryAfter, ms, wait(8*sec))
			n.crash(2200 * ms)
			n.call(4*sec, "a", "h", OK, ms)
		},
		"a wait at another partner": func(n *notes) {
			n.take(sec, "a", status)
			n.call(2*sec, "a", "h", RetryAfter, ms, wait(sec))
			n.take2(sec, "b", 1)
			n.call(2500*ms, "b", "d", OK, ms, dest(1))
			n.call(4*sec, "a", "h", OK, ms)
		},
	} {
		t.Run(name, func(t *testing.T) {
			n := &notes{}
			n.add(Event{Kind: Ready})
			run(n)
			if r := Judge(figures(), n.log, 60*sec); len(r.Violations) != 0 {
				t.Errorf("got %+v", r.Violations)
			}
		})
	}
}

func TestWorth(t *testing.T) {
	f := figures()
	f.Settings.Tenants = []settings.Tenant{{Name: "x"}, {Name: "y"}}
	f.Settings.OverQuotaFraction = 0.2
	var asked []Request
	n := &notes{}
	for i := range 30 {
		at := time.Duration(i) * sec
		asked = append(asked, Request{At: at, Class: status, Tenant: i % 2, OverQuota: i == 29})
		id := fmt.Sprint(i)
		n.add(Event{At: at, Kind: Submitted, ID: id, Message: i, Duration: 10 * sec})
		switch {
		case i == 0: // delivered before its client heard that it was taken on
			n.call(at+ms, id, "h", OK, ms)
			n.add(Event{At: at + 10*ms, Kind: Answered, ID: id, Status: 202})
		case i < 10: // delivered in time
			n.add(Event{At: at, Kind: Answered, ID: id, Status: 202})
			n.call(at+sec, id, "h", OK, ms)
		case i < 20: // 6 s: half way down to a half
			n.add(Event{At: at, Kind: Answered, ID: id, Status: 202})
			n.call(at+6*sec-ms, id, "h", OK, ms)
		default:
			n.add(Event{At: at, Kind: Answered, ID: id, Status: 429})
		}
	}
	r := Judge(f, n.log, 60*sec)
	r.MeasureWeight(f, asked, n.log)
	near := func(what string, got, want float64) {
		t.Helper()
		if math.Abs(got-want) > 1e-9 {
			t.Errorf("%s %v, want %v", what, got, want)
		}
	}
	near("whole", r.DeliveredWeight.Total, (10+7.5)/29.2)
	near("worst 10 s", r.DeliveredWeight.WorstWindow, 0)
	near("its begin", r.DeliveredWeight.WorstWindowStart.Seconds(), 20)
	near("tenant", r.DeliveredWeight.WorstTenant, (5+3.75)/15)
	if r.Counts.Delivered != 20 || r.Counts.InTime != 10 || r.Counts.Rejected != 10 || r.Counts.Accepted != 20 {
		t.Errorf("counts %+v", r.Counts)
	}
}
