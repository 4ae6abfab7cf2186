package policy

// cancelBeforeSend cancels the given calls of which no byte has been sent yet, for example because
// their connections are still being established. If the destination has answered one of the calls
// with Retry-After, answered is that call. It is nil if an endpoint starts draining or is removed.
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
