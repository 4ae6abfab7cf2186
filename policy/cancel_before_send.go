package policy

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
