package policy

// cancelBeforeSend cancels the calls of which no byte has been sent yet, for example because their
// connections are still being established. It is used when the destination answers one of the
// calls, answered, with Retry-After, and when an endpoint drains or is removed; answered is nil
// then.
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
