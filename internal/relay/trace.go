package relay

import (
	"time"

	"frostlink/internal/journal"
	"frostlink/internal/trace"
	"frostlink/policy"
)

// This file is what the loop notes in the relay's trace.

// note notes an event of now, where a trace is wanted.
func (l *loop) note(e trace.Event) {
	if l.trace != nil {
		l.trace.Note(l.now(), e)
	}
}

// traceAnswer notes the end of a call.
func (l *loop) traceAnswer(m *message, e answered) {
	if l.trace == nil {
		return
	}
	t := trace.Event{Kind: trace.Answer, ID: m.ID, Class: m.Class, Dest: m.Dest, Host: e.host, How: outcomes[e.Outcome], Count: e.attempt + 1,
		Ms: float64(e.took.Microseconds()) / 1000, Fresh: e.Fresh, WaitMs: float64(e.Wait.Microseconds()) / 1000}
	if e.Report != nil {
		t.Left, t.Limit = e.Report.Left, e.Report.Limit
	}
	l.note(t)
}

// effects are those of classes, as the trace names them.
var effects = map[policy.Effect]string{policy.Safe: trace.Safe, policy.Keyed: trace.Keyed, policy.Unsafe: trace.Unsafe}

// traceMessage notes what becomes of a message as it comes, with its terms.
func (l *loop) traceMessage(kind trace.Kind, m *journal.Entry, retry string, t trace.Event) {
	if l.trace == nil {
		return
	}
	t.Kind, t.ID, t.Class, t.Dest = kind, m.ID, m.Class, m.Dest
	t.LeftMs = milliseconds(m.Expires.Sub(l.timeline.Now()))
	t.Key, t.Retry, t.Due = trace.Digest(m.Key), retry, float64(m.Expires)/float64(time.Millisecond)
	terms := l.journal.Terms(m)
	if class := l.class(m.Class); terms == nil && class >= 0 {
		terms = &l.cfg.policy.Classes[class]
	}
	if terms != nil {
		t.Effect = effects[terms.Effect]
		if terms.Effect == policy.Keyed {
			t.MemoryMs = float64(terms.Memory.Microseconds()) / 1000
		}
	}
	l.note(t)
}

// Why messages are refused at their arrival, beside the reasons of package undelivered.
const (
	refusedUnlisted   = "no list names its destination"
	refusedNoRoom     = "the journal has no room"
	refusedNoFolder   = "the folder can't be written"
	refusedByModule   = "admission"
	refusedUnrecorded = "its record could not be written"
)

// milliseconds is a span as traces have it, to the microsecond.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// traceTurn notes a message that is refused at its arrival, why, and how long its client is to stay away.
func (l *loop) traceTurn(m *journal.Entry, retry, why string, away time.Duration) {
	l.traceMessage(trace.Turn, m, retry, trace.Event{Ms: float64(away.Milliseconds()), Why: why})
}

// traceResume notes a message that was taken up from the journal.
func (l *loop) traceResume(e *journal.Entry) {
	t := trace.Event{Count: len(e.Attempts)}
	switch {
	case e.Owed != nil:
		t.How = e.Owed.Status
	case e.Delivered:
		t.How = trace.Delivered
	}
	l.traceMessage(trace.Resume, e, "", t)
}

// traceEnd notes the end of a message that was accepted, and why it was not delivered.
func (l *loop) traceEnd(m *message, how string) {
	if l.trace == nil {
		return
	}
	t := trace.Event{Kind: trace.End, ID: m.ID, Class: m.Class, Dest: m.Dest, How: how}
	if how != trace.Delivered && how != trace.Withdrawn {
		t.Why = string(l.reason(m, how))
	}
	if class := l.class(m.Class); class >= 0 {
		terms := &l.cfg.policy.Classes[class]
		age := l.timeline.Now().Sub(m.Expires) + terms.Deadline
		t.Ms, t.Late = float64(age.Milliseconds()), age > terms.Aim
	}
	l.note(t)
}
