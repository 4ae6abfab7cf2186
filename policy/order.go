package policy

import "slices"

// ordered reports whether a message is sent in order with others of its key.
func (m *message) ordered() bool { return m.terms.Ordered && m.OrderKey != "" }

// inTurn reports whether no earlier message with the order key of m blocks it.
func (d *Dispatcher) inTurn(m *message) bool {
	return !m.ordered() || d.orderKeys[m.OrderKey][0] == m
}

// coolDown reports whether a completed message still blocks its order key: its last attempt may
// still be executing.
func (d *Dispatcher) coolDown(m *message) bool {
	if d.now >= m.cooldownUntil {
		d.coolingDown = remove(d.coolingDown, m)
		return false
	}
	if !slices.Contains(d.coolingDown, m) {
		d.coolingDown = append(d.coolingDown, m)
	}
	return true
}

// endKeyCooldowns evicts the completed messages whose order keys have cooled down.
func (d *Dispatcher) endKeyCooldowns() {
	for _, m := range slices.Clone(d.coolingDown) {
		d.evict(m)
	}
}

// releaseOrderKey lets the next message of an order key go.
func (d *Dispatcher) releaseOrderKey(m *message) {
	if waiting := remove(d.orderKeys[m.OrderKey], m); len(waiting) > 0 {
		d.orderKeys[m.OrderKey] = waiting
	} else {
		delete(d.orderKeys, m.OrderKey)
	}
}
