package policy

import (
	"cmp"
	"slices"
)

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

// restoredTerms are the terms of the messages that stand for a predecessor's cooldowns: of their
// class only the order matters.
var restoredTerms = Class{Ordered: true}

// keyCooldowns returns the order keys that are blocked after a message with an outcome, also those
// whose cooldown begins to count only once that outcome is acknowledged: the next process gets such
// a message without its attempts. They are sorted by key.
func (d *Dispatcher) keyCooldowns() (cooldowns []KeyCooldownSnapshot) {
	add := func(m *message) {
		if m.ordered() && d.now < m.cooldownUntil {
			cooldowns = append(cooldowns, KeyCooldownSnapshot{Key: m.OrderKey, Until: m.cooldownUntil})
		}
	}
	for _, m := range d.coolingDown {
		add(m)
	}
	for _, m := range d.messages {
		if m.state == messageUnacknowledged {
			add(m)
		}
	}
	slices.SortFunc(cooldowns, func(a, b KeyCooldownSnapshot) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Until, b.Until))
	})
	return cooldowns
}

// restoreKeyCooldown blocks an order key that a predecessor knew to be cooling down. What stands
// for the predecessor's message has no ID, no class and no queue; it meets evict, coolDown,
// ordered and the timer, and is never among d.messages.
func (d *Dispatcher) restoreKeyCooldown(cooldown KeyCooldownSnapshot) {
	m := &message{
		Arrived: Arrived{OrderKey: cooldown.Key}, terms: &restoredTerms, state: messageCompleted,
		cooldownUntil: cooldown.Until,
	}
	d.orderKeys[cooldown.Key] = append(d.orderKeys[cooldown.Key], m)
	d.coolingDown = append(d.coolingDown, m)
}
