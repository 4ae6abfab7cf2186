package policy

import (
	"cmp"
	"slices"
)

// ordered reports whether a message must be sent in order with the other messages of its order key.
func (m *message) ordered() bool { return m.terms.Ordered && m.OrderKey != "" }

// isNextInOrder reports whether the message order allows m to be sent: m is not ordered, or no
// earlier message blocks its order key.
func (d *Dispatcher) isNextInOrder(m *message) bool {
	return !m.ordered() || d.orderKeys[m.OrderKey][0] == m
}

// trackKeyCooldown reports whether a completed message still blocks its order key, because its last
// attempt may still be executing. It adds the message to coolingDown, or removes it if the cooldown
// has ended.
func (d *Dispatcher) trackKeyCooldown(m *message) bool {
	if d.now >= m.cooldownUntil {
		d.coolingDown = remove(d.coolingDown, m)
		return false
	}
	if !slices.Contains(d.coolingDown, m) {
		d.coolingDown = append(d.coolingDown, m)
	}
	return true
}

// endKeyCooldowns evicts the completed messages whose cooldown has ended.
func (d *Dispatcher) endKeyCooldowns() {
	for _, m := range slices.Clone(d.coolingDown) {
		d.evict(m)
	}
}

// releaseOrderKey removes a message from its order key, so that the next message with that key may
// be sent.
func (d *Dispatcher) releaseOrderKey(m *message) {
	if waiting := remove(d.orderKeys[m.OrderKey], m); len(waiting) > 0 {
		d.orderKeys[m.OrderKey] = waiting
	} else {
		delete(d.orderKeys, m.OrderKey)
	}
}

// cooldownOnlyTerms are the terms of the placeholder messages of restoreKeyCooldown. They only mark
// the placeholders as ordered.
var cooldownOnlyTerms = Class{Ordered: true}

// keyCooldowns returns the order keys in cooldown after a message with a terminal outcome, sorted
// by key. They include the keys of unacknowledged messages, which are not in coolingDown yet: the
// successor process gets these messages without their attempts, and could not compute the cooldown.
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

// restoreKeyCooldown blocks an order key that was in cooldown in the predecessor process. It
// creates a placeholder for the predecessor's message, which has no ID, class or queue and is never
// in d.messages. Only evict, trackKeyCooldown, ordered and armTimer process the placeholder.
func (d *Dispatcher) restoreKeyCooldown(cooldown KeyCooldownSnapshot) {
	m := &message{
		Arrived: Arrived{OrderKey: cooldown.Key}, terms: &cooldownOnlyTerms, state: messageCompleted,
		cooldownUntil: cooldown.Until,
	}
	d.orderKeys[cooldown.Key] = append(d.orderKeys[cooldown.Key], m)
	d.coolingDown = append(d.coolingDown, m)
}
