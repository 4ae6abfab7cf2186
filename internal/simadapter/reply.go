package simadapter

import (
	"bytes"
	"encoding/json"
	"fmt"

	"frostlink/policy"
)

// reply runs every instance that has events, and returns the reply to the batch.
func (s *session) reply() []byte {
	var b bytes.Buffer
	for _, failed := range s.failures {
		writeLine(&b, "die", failed.instance, failed.text)
	}
	for _, id := range s.active {
		// An instance that was killed in this batch is nil. If it was started again and has events since then, its id is in s.active a
		// second time, so in.active avoids running it twice.
		if in := s.instances[id]; in != nil && in.active {
			in.active = false
			s.act(&b, id, in)
		}
	}
	s.active, s.failures = s.active[:0], s.failures[:0]
	writeLine(&b, "ready")
	return b.Bytes()
}

// act passes an instance its events and writes its actions. If the instance panics, the panic is written in place of its actions, so that
// the simulator can report what failed.
func (s *session) act(b *bytes.Buffer, id int64, in *instance) {
	start := b.Len()
	defer func() {
		if p := recover(); p != nil {
			b.Truncate(start)
			writeLine(b, "die", id, fmt.Sprint("panic: ", p))
		}
	}()
	events := in.events
	in.events = nil
	for _, a := range in.dispatcher.Handle(s.now, events) {
		writeAction(b, id, a)
	}
}

// writeAction writes one action. Actions for which the protocol has no message are omitted.
func writeAction(b *bytes.Buffer, id int64, action policy.Action) {
	switch a := action.(type) {
	case policy.Send:
		writeLine(b, "relay", id, a.ID, a.Endpoint, a.Timeout.Seconds())
	case policy.Reject:
		writeLine(b, "refuse", id, a.ID, a.RetryAfter.Seconds())
	case policy.Fail:
		writeLine(b, "report_failure", id, a.ID)
	case policy.CancelAttempt:
		writeLine(b, "abort_attempt", id, a.ID, a.Attempt)
	case policy.CloseIdleConns:
		writeLine(b, "shut_idle", id, a.Endpoint)
	case policy.SetTimer:
		writeLine(b, "remind", id, a.After.Seconds(), 0)
	case policy.WatchEndpoints:
		writeLine(b, "subscribe", id, true)
	}
}

// writeLine writes one line of a reply.
func writeLine(b *bytes.Buffer, values ...any) {
	line, err := json.Marshal(values)
	if err != nil {
		panic(err) // can't happen: strings and finite numbers can always be encoded
	}
	b.Write(line)
	b.WriteByte('\n')
}
