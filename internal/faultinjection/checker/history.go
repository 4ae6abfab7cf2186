package checker

import (
	"slices"
	"time"
)

// attempt is one call for a message.
type attempt struct {
	number              int
	relay, destination  int
	endpoint            string
	firstByte, lastByte time.Duration
	endedAt             time.Duration // -1: never
	outcome             string
	retryAfter          time.Duration
	probe, effect       bool
}

// mayHaveExecuted tells what the relay could know: only a refusal proves that a call never ran.
func (a *attempt) mayHaveExecuted() bool {
	return a.outcome != Full && a.outcome != Wait && a.outcome != Unsent
}

// failed tells whether the relay saw the partner fail or refuse.
func (a *attempt) failed() bool { return a.outcome != OK && a.outcome != Unsent }

// request is a message that a relay was handed.
type request struct {
	id                          string
	message, relay, destination int
	class                       int
	orderKey                    string
	submittedAt, deadline       time.Duration
	answeredAt                  time.Duration // -1: never
	status                      int
	attempts                    []*attempt
	deliveredAt                 time.Duration // -1: not
	expiredAt                   time.Duration // when a call was told that the message is out of time; -1: not
	notices                     []Event
	effects                     int
	accepted                    bool
	redelivery                  bool
	fromStore                   bool // given up before the run
	subject                     string
	closedAt                    []time.Duration // when its connection was, without an answer
	excusedUntil, machineLostAt time.Duration   // end of a restart's excuse; when its machine was lost (-1: not)
}

// completedAt is when a message came to its end, or -1.
func (c *request) completedAt() time.Duration {
	end := c.deliveredAt
	if len(c.notices) > 0 && (end < 0 || c.notices[0].At < end) {
		end = c.notices[0].At
	}
	if c.expiredAt >= 0 && (end < 0 || c.expiredAt < end) {
		end = c.expiredAt
	}
	return end
}

type history struct {
	Figures
	end              time.Duration
	requestsByID     map[string]*request
	requests         []*request // as handed in
	attemptsByNumber map[int]*attempt
	attempts         []*attempt // calls and probes, as they came
	absences         map[int][]interval
	processEnds      map[int][]time.Duration // when each relay's process ended
	machineLosses    map[int][]time.Duration // when each relay's machine was lost
	folderFailures   relayIntervals          // when each relay's folder failed
	socketFailures   relayIntervals          // when connections of each were made to look broken
	halts            relayIntervals          // when each did not run
	breaches         []Breach
}

// read puts the log together by message and call.
func (j *history) read(log []Event) {
	begun := map[int]time.Duration{} // of each relay's present absence
	leave := func(relay int, at time.Duration) {
		if _, away := begun[relay]; !away {
			begun[relay] = at
		}
	}
	for _, e := range log {
		c := j.requestsByID[e.ID]
		switch e.Kind {
		case HandedIn:
			c = &request{
				id: e.ID, message: e.Msg, relay: e.Relay, destination: e.Dest, class: e.Class, orderKey: e.Item, subject: e.Subject, submittedAt: e.At,
				deadline: e.At + e.For, answeredAt: -1, deliveredAt: -1, expiredAt: -1, machineLostAt: -1,
			}
			j.requestsByID[e.ID] = c
			j.requests = append(j.requests, c)
		case Resent, Before:
			c = &request{
				id: e.ID, message: e.Msg, relay: e.Relay, destination: e.Dest, class: e.Class, subject: e.Subject, submittedAt: e.At,
				redelivery: e.Kind == Resent, fromStore: e.Kind == Before, deadline: never, answeredAt: -1, deliveredAt: -1, expiredAt: -1, machineLostAt: -1,
			}
			j.requestsByID[e.ID] = c
			j.requests = append(j.requests, c)
		case Answered:
			if c != nil && c.answeredAt < 0 {
				c.answeredAt, c.status = e.At, e.Status
				c.accepted = e.Status == 200 || e.Status == 202
			}
		case Called, Probed:
			a := &attempt{
				number: e.Call, relay: e.Relay, destination: e.Dest, endpoint: e.Host, firstByte: e.First, lastByte: e.At, endedAt: -1,
				probe: e.Kind == Probed,
			}
			j.attemptsByNumber[e.Call] = a
			j.attempts = append(j.attempts, a)
			switch {
			case e.Kind == Probed:
			case c == nil:
				j.report(Unknown, e.At, e.ID, e.Relay, e.Dest, "call to %s for an id that no client handed in", e.Host)
			default:
				if c.destination != e.Dest {
					j.report(WrongHost, e.At, e.ID, e.Relay, c.destination, "call to %s, which is %s's", e.Host,
						j.Destinations[e.Dest].Name)
				}
				c.attempts = append(c.attempts, a)
			}
		case Ended:
			if a := j.attemptsByNumber[e.Call]; a != nil && a.endedAt < 0 {
				a.endedAt, a.outcome, a.retryAfter = e.At, e.Outcome, e.For
				if c != nil && e.Outcome == OK && c.deliveredAt < 0 {
					c.deliveredAt = e.At
				}
				if c != nil && e.Outcome == Unsent && a.lastByte > c.deadline && c.expiredAt < 0 {
					c.expiredAt = e.At // the platform has told the relay that its time was up: nothing more is owed
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
				j.halts.begin(e.Relay, e.At)
			}
		case Unheard:
			if c != nil && e.OK {
				c.closedAt = append(c.closedAt, e.At)
			}
		case SocketsBreak:
			j.socketFailures.begin(e.Relay, e.At)
		case SocketsHold:
			j.socketFailures.end(e.Relay, e.At)
		case FolderFails:
			j.folderFailures.begin(e.Relay, e.At)
		case FolderWorks:
			j.folderFailures.end(e.Relay, e.At)
		case Killed, Crashed:
			leave(e.Relay, e.At)
			j.processEnds[e.Relay] = append(j.processEnds[e.Relay], e.At)
		case Lost:
			leave(e.Relay, e.At)
			j.processEnds[e.Relay] = append(j.processEnds[e.Relay], e.At)
			j.machineLosses[e.Relay] = append(j.machineLosses[e.Relay], e.At)
		case Ready, Resumed:
			if e.Kind == Resumed {
				j.halts.end(e.Relay, e.At)
			}
			if from, ok := begun[e.Relay]; ok {
				j.absences[e.Relay] = append(j.absences[e.Relay], interval{from, e.At + restartSlack})
				delete(begun, e.Relay)
			}
		}
	}
	for relay, from := range begun {
		j.absences[relay] = append(j.absences[relay], interval{from, never})
	}
	for _, c := range j.requests {
		for _, at := range j.machineLosses[c.relay] {
			if c.machineLostAt < 0 && at >= c.submittedAt {
				c.machineLostAt = at
			}
		}
	}
}

func (j *history) idOf(a *attempt) string {
	for _, c := range j.requests {
		if slices.Contains(c.attempts, a) {
			return c.id
		}
	}
	return ""
}
