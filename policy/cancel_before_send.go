package policy

// cancelRepeatBeforeSend cancels the attempt of a message that is in flight if no byte of it has been sent yet and an earlier attempt
// of the message may have executed.
func (d *Dispatcher) cancelRepeatBeforeSend(m *message) {
	last := len(m.attempts) - 1
	if last < 0 || m.attempts[last].state != attemptInFlight || m.firstExecuted() == &m.attempts[last] {
		return
	}
	d.emit(CancelBeforeSend{ID: m.ID, Attempt: last})
}

// cancelBeforeSend cancels those of the given calls that have not sent a byte yet, for example because
// their connections are still being established. If the destination has answered one of the calls
// with Retry-After, answered is that call. If an endpoint starts draining or is removed, answered is
// nil.
func (d *Dispatcher) cancelBeforeSend(calls []*call, answered *call) {
	for _, c := range calls {
		if c == answered {
			continue
		}
		for _, m := range c.messages {
			if i, ok := m.openAttemptOf(c); ok {
				d.emit(CancelBeforeSend{ID: m.ID, Attempt: i})
			}
		}
	}
}
