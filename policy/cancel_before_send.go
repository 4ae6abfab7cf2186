package policy

// cancelBeforeSend cancels those calls of which nothing has left yet, as while their connections
// are made: their destination asked not to be called with the outcome of one of them, answered, or
// their endpoint takes nothing new any more.
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
