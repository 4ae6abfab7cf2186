package policy

// attemptAllowed tells whether the rules allow another attempt of a held message now.
func (d *Dispatcher) attemptAllowed(m *message) bool {
	if len(m.attempts) >= d.settings.MaxAttempts || d.now >= m.deadline {
		return false
	}
	if m.class.Ordered && m.OrderKey != "" {
		if line := d.orderKeys[m.OrderKey]; line[0] != m {
			return false
		}
	}
	return true
}
