package policy

// sendable tells whether the rules allow another attempt of a held message now.
func (d *Dispatcher) sendable(m *message) bool {
	if len(m.attempts) >= d.s.MaxAttempts || d.now >= m.expires {
		return false
	}
	if m.class.Ordered && m.OrderKey != "" {
		if line := d.keys[m.OrderKey]; line[0] != m {
			return false
		}
	}
	return true
}
