package fleet

import (
	"cmp"
	"fmt"
	"slices"

	"frostlink/internal/trace"
)

const (
	// outcomeTolerance, in milliseconds, is how long after its deadline a message may get its outcome: the 300 ms that the
	// protocol allows, and the 50 ms that are added to every limit over real sockets.
	outcomeTolerance = 350
	// restartTolerance, in milliseconds, is how long after a restarted relay is ready its outcomes may be overdue.
	restartTolerance = 1500
	// keyTTLTolerance, in milliseconds, is added to a key's TTL over real sockets.
	keyTTLTolerance = 50
)

// provesNotExecuted are the outcomes of attempts that prove that the message was not executed.
var provesNotExecuted = map[string]bool{outcomeRejected: true, outcomeConnectFailed: true, outcomeNotSent: true}

// relayAudit checks the events of one message at one relay. The events are added in the order of the relay's log.
type relayAudit struct {
	history *History
	relay   string
	log     *relayLog

	firstEvent float64
	lastEvent  float64

	accepted    bool
	rejected    bool
	deadline    float64 // 0: unknown
	idempotency string
	keyTTL      float64

	attempts int         // the highest number of an attempt so far
	inFlight *RelayEvent // the event AttemptStarted of the attempt in flight; nil: none

	executedAt      float64 // when the first attempt that may have been executed was sent; 0: none
	executedOutcome string  // outcome of that attempt

	outcome     string // empty: none yet
	completedAt float64
	notified    bool
}

// until returns when the relay's work on the message ended, as far as the logs show: at the message's last event or, without
// an outcome, at the end of the log.
func (a *relayAudit) until() float64 {
	if a.outcome != "" {
		return a.lastEvent
	}
	return a.log.lastEvent
}

func (a *relayAudit) violation(kind ViolationKind, at float64, format string, args ...any) {
	a.history.Violations = append(a.history.Violations, Violation{kind, at, a.relay, fmt.Sprintf(format, args...)})
}

func (a *relayAudit) gap(format string, args ...any) {
	a.history.Gaps = append(a.history.Gaps, a.relay+": "+fmt.Sprintf(format, args...))
}

func (a *relayAudit) add(e RelayEvent) {
	if a.firstEvent == 0 {
		a.firstEvent = e.At
	}
	a.lastEvent = max(a.lastEvent, e.At)
	switch e.Kind {
	case trace.Accepted:
		a.accepted = true
		a.addTerms(&e)
	case trace.Rejected:
		a.rejected = true
		a.addTerms(&e)
	case trace.Recovered:
		a.accepted = true
		a.addTerms(&e)
		a.recovered(&e)
	case trace.AttemptStarted:
		a.attemptStarted(&e)
	case trace.AttemptEnded:
		a.attemptEnded(&e)
	case trace.Completed:
		a.completed(&e)
	case trace.Notified:
		a.notified = true
	default: // does not affect the terms of a message
	}
}

func (a *relayAudit) addTerms(e *RelayEvent) {
	a.deadline = max(a.deadline, e.Deadline)
	a.idempotency = cmp.Or(e.Idempotency, a.idempotency)
	a.keyTTL = max(a.keyTTL, e.KeyTTLMs)
}

// recovered handles the recovery of the message from the journal by a new process. An attempt that was in flight when the
// previous process ended may have been executed.
func (a *relayAudit) recovered(e *RelayEvent) {
	if a.inFlight != nil {
		a.mayHaveExecuted(a.inFlight, "out when the process ended")
		a.inFlight = nil
	}
	if e.Outcome != "" && a.outcome == "" {
		// The outcome was journalled, but its line was not written to the trace before the process ended, or is in another log.
		a.outcome = e.Outcome
		a.completedAt = e.At
	}
	if e.Count > a.attempts {
		a.gap("the journal knows of %d calls, and the log of %d", e.Count, a.attempts)
		a.attempts = e.Count
	}
}

func (a *relayAudit) mayHaveExecuted(attempt *RelayEvent, outcome string) {
	if a.executedAt == 0 {
		a.executedAt = attempt.At
		a.executedOutcome = outcome
	}
}

func (a *relayAudit) attemptStarted(e *RelayEvent) {
	switch {
	case a.inFlight != nil && a.log.startedWithin(a.inFlight.At, e.At):
		a.mayHaveExecuted(a.inFlight, "out when the process ended")
	case a.inFlight != nil:
		a.violation(ConcurrentAttempts, e.At, "call %d to %s while call %d to %s was out",
			e.Count, e.Endpoint, a.inFlight.Count, a.inFlight.Endpoint)
	}
	switch {
	case !a.accepted:
		a.gap("call %d to %s, and no line that it was taken on", e.Count, e.Endpoint)
	case a.outcome != "" && !a.log.startedWithin(a.completedAt, e.At):
		a.violation(AttemptAfterOutcome, e.At, "call %d to %s, %.0f ms after its end (%s)",
			e.Count, e.Endpoint, e.At-a.completedAt, a.outcome)
	}
	if a.executedAt > 0 {
		a.checkRetry(e)
	}
	a.attempts = max(a.attempts, e.Count)
	a.inFlight = e
}

// checkRetry checks an attempt that follows an attempt that may have been executed.
func (a *relayAudit) checkRetry(e *RelayEvent) {
	elapsed := e.At - a.executedAt
	switch {
	case a.idempotency == trace.NotIdempotent:
		a.violation(PossibleDuplicate, e.At, "call %d to %s, though one %.0f ms before may have run (%s)",
			e.Count, e.Endpoint, elapsed, a.executedOutcome)
	case a.keyExpired(elapsed):
		a.violation(PossibleDuplicate, e.At, "call %d to %s, %.0f ms after one that may have run (%s); its key is kept for %.0f ms",
			e.Count, e.Endpoint, elapsed, a.executedOutcome, a.keyTTL)
	}
}

// keyExpired reports whether the message's key has expired, elapsed milliseconds after the first attempt that may have been
// executed.
func (a *relayAudit) keyExpired(elapsed float64) bool {
	return a.idempotency == trace.IdempotentByKey && a.keyTTL > 0 && elapsed > a.keyTTL+keyTTLTolerance
}

func (a *relayAudit) attemptEnded(e *RelayEvent) {
	attempt := a.inFlight
	if attempt == nil {
		a.gap("call %d to %s ended (%s), and no line that it was made", e.Count, e.Endpoint, e.Outcome)
		attempt = &RelayEvent{e.Relay, trace.Event{At: e.At - e.DurationMs, Endpoint: e.Endpoint, Count: e.Count}}
	}
	a.inFlight = nil
	if provesNotExecuted[e.Outcome] {
		return
	}
	a.mayHaveExecuted(attempt, e.Outcome)
	// The connection may have been established long after the attempt was decided on. All that is known is that the last
	// byte of the attempt was sent before the response.
	started := attempt.At - a.executedAt
	ended := e.At - a.executedAt
	if started > 0 && a.keyExpired(ended) && !a.keyExpired(started) {
		a.gap("call %d to %s was made %.0f ms after one that may have run, and answered %.0f ms after it; its key is kept for %.0f ms: "+
			"whether it left in time does not show", e.Count, e.Endpoint, started, ended, a.keyTTL)
	}
}

func (a *relayAudit) completed(e *RelayEvent) {
	switch {
	case a.outcome == "":
		a.outcome = e.Outcome
		a.completedAt = e.At
	case a.outcome == e.Outcome && a.log.startedWithin(a.completedAt, e.At):
		// The first process was killed before it could journal the outcome, and the next one reached the same outcome.
	default:
		a.violation(TwoOutcomes, e.At, "%s, and %s %.0f ms before", e.Outcome, a.outcome, e.At-a.completedAt)
	}
	due := a.deadline + outcomeTolerance
	if a.deadline == 0 || e.At <= due || e.Outcome == trace.Withdrawn {
		return
	}
	if !a.mayCompleteLate(due, e.At) {
		a.violation(LateOutcome, e.At, "%s %.0f ms after its time was up", e.Outcome, e.At-a.deadline)
	}
}

// mayCompleteLate reports whether a completion after due is no violation, because the relay was shut down, killed or starting
// when the message was due: either a process started after the message's first event and the completion came at most
// restartTolerance after that start, or no process started between a shutdown request and due.
func (a *relayAudit) mayCompleteLate(due, completed float64) bool {
	for _, start := range a.log.starts {
		if start > a.firstEvent && completed <= start+restartTolerance {
			return true
		}
	}
	return slices.ContainsFunc(a.log.shutdowns, func(at float64) bool { return at <= due && !a.log.startedWithin(at, due) })
}

// finish checks for a missing outcome and a missing notification at the end of the log.
func (a *relayAudit) finish() {
	if a.accepted && a.rejected {
		a.gap("taken on and refused: two hand-ins under one id")
	}
	if a.accepted && a.outcome == "" {
		a.finishWithoutOutcome()
	}
	awaitsNotice := a.outcome == trace.Deferred || a.outcome == trace.Undeliverable
	if awaitsNotice && !a.notified && a.log.lastEvent > a.completedAt+outcomeTolerance && !a.log.shutDownForGood() {
		a.gap("no line that the platform has its notice")
	}
}

func (a *relayAudit) finishWithoutOutcome() {
	switch {
	case a.deadline == 0:
		a.gap("no end, and no line tells when its time is up")
	case a.log.lastEvent < a.deadline+outcomeTolerance+restartTolerance || a.log.shutDownForGood():
		a.gap("no end yet: the log ends %.0f ms before its time was up", max(0, a.deadline-a.log.lastEvent))
	default:
		a.violation(MissingOutcome, a.deadline, "taken on, and no end when its time was up")
	}
}
