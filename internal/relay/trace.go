package relay

import (
	"time"

	"mallowlead/internal/journal"
	"mallowlead/internal/trace"
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
		Ms: float64(e.took.Microseconds()) / 1000, Fresh: e.Fresh}
	if e.Report != nil {
		t.Left, t.Limit = e.Report.Left, e.Report.Limit
	}
	l.note(t)
}

// traceTurn notes a message that is refused at its arrival, with how long its client is to stay away.
func (l *loop) traceTurn(m *journal.Entry, away time.Duration) {
	l.note(trace.Event{Kind: trace.Turn, ID: m.ID, Class: m.Class, Dest: m.Dest, Ms: float64(away.Milliseconds())})
}

// traceEnd notes the end of a message that was taken on.
func (l *loop) traceEnd(m *message, how string) {
	if l.trace == nil {
		return
	}
	t := trace.Event{Kind: trace.End, ID: m.ID, Class: m.Class, Dest: m.Dest, How: how}
	if class := l.class(m.Class); class >= 0 {
		terms := &l.cfg.policy.Classes[class]
		age := l.now() - l.clock(m.Expires) + terms.Deadline
		t.Ms, t.Late = float64(age.Milliseconds()), age > terms.Aim
	}
	l.note(t)
}
