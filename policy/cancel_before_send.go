package policy

// cancelBeforeSend takes back those calls that have not left yet, as while their connections are made: their
// destination has told one to wait, or their endpoint takes nothing new any more.
func (d *Dispatcher) cancelBeforeSend(calls []*call, told *call) {
	for _, c := range calls {
		for _, m := range c.messages {
			if i := len(m.attempts) - 1; c != told && m.attempts[i].call == c && m.attempts[i].open {
				d.emit(CancelBeforeSend{ID: m.ID, Attempt: i})
			}
		}
	}
}
