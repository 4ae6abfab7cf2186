package relay

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"frostlink/internal/clock"
	"frostlink/internal/discovery"
	"frostlink/internal/invariant"
	"frostlink/internal/trace"
	"frostlink/internal/upstream"
	"frostlink/policy"
)

// This file is the loop's calls to hosts.

// send is a call that the module wants made.
type send struct {
	m       *message
	attempt int
	host    discovery.Endpoint
	timeout time.Duration
	writeBy time.Time // its last byte must have left; zero: at any time
	record  uint64    // the number of its record
}

// send notes an attempt and makes it ready to go.
func (l *loop) send(now time.Duration, a policy.Send) {
	m := l.messages[a.ID]
	if m == nil || m.over {
		return
	}
	h, ok := l.hosts[a.Endpoint]
	left := m.Deadline.Sub(clock.Instant(now))
	s := send{m: m, attempt: len(m.Attempts), host: h, timeout: left}
	if a.Timeout > 0 {
		s.timeout = min(left, a.Timeout)
	}
	if a.WriteWithin > 0 {
		s.writeBy = l.timeline.TimeOf(clock.Instant(now + a.WriteWithin))
	}
	violated, allowed := invariant.CheckSend(l.facts(m), clock.Instant(now))
	l.journal.BeginAttempt(m.Entry, a.Endpoint, clock.Instant(now))
	s.record, m.sending = l.journal.LastRecord(), true
	if !allowed {
		l.violated.Record(violated, m.ID, "destination", m.Destination, "endpoint", a.Endpoint, "attempt", s.attempt+1, "left", left)
		l.unsent(s)
		return
	}
	if !ok || h.Block != m.Destination {
		// Guards the protocol's rule that a message goes only to a listed host of its destination.
		slog.Error("send to a host that is not of the destination", "host", a.Endpoint, "dest", m.Destination)
		l.unsent(s)
		return
	}
	l.sends = append(l.sends, s)
}

// unsent reports an attempt that was not made.
func (l *loop) unsent(s send) {
	l.answered(answered{id: s.m.ID, attempt: s.attempt, host: s.host.Host, Result: upstream.Result{Outcome: policy.NotSent}})
	l.wakeAt = 0 // the module has an event to act on
}

// call makes a call in a goroutine of its own.
func (l *loop) call(s send) {
	if !l.journal.Durable(s.record) {
		l.violated.Record(invariant.SendUnrecorded, s.m.ID, "destination", s.m.Destination, "attempt", s.attempt+1)
		l.unsent(s)
		return
	}
	s.m.begun = time.Now()
	l.note(trace.Event{
		Kind: trace.AttemptStarted, ID: s.m.ID, Class: s.m.Class, Destination: s.m.Destination, Endpoint: s.host.Host, Count: s.attempt + 1,
		LeftMs: milliseconds(s.m.Deadline.Sub(l.timeline.Now())),
	})
	l.begin(s, l.pool.Call)
}

// begin has a call made, or waited for; by says how.
func (l *loop) begin(s send, by func(context.Context, upstream.Request) upstream.Result) {
	ctx, cancel := context.WithCancel(l.calls)
	begun := s.m.begun
	s.m.call, s.m.cancel, s.m.unsend = s, cancel, new(atomic.Bool)
	r := upstream.Request{
		Target: upstream.Target{Endpoint: s.host.Host, Addr: s.host.Dial}, ID: s.m.ID, IdempotencyKey: s.m.IdempotencyKey, Body: s.m.Body,
		Timeout: max(s.timeout-time.Since(begun), time.Millisecond), WriteBy: s.writeBy, CancelBeforeSend: s.m.unsend,
		Deadline: l.timeline.TimeOf(s.m.Deadline), OnDeadline: func() { l.put(timeUp{s.m.ID}) },
	}
	l.out++
	go func() {
		defer cancel()
		res := by(ctx, r)
		l.put(answered{id: s.m.ID, attempt: s.attempt, host: s.host.Host, took: time.Since(begun), made: true, Result: res})
	}()
}
