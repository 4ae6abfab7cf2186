package destination

import "time"

// keyMemory has the idempotency keys of attempts that may have their effect, each with its expiry.
type keyMemory map[string]time.Duration

func (k keyMemory) has(key string, now time.Duration) bool {
	expiry, ok := k[key]
	return ok && now < expiry
}

// rememberKey remembers an attempt's key from its admission on.
func (m *Model) rememberKey(a *Attempt) {
	if a.Key != "" && !a.duplicate {
		m.keys[a.Key] = m.now + a.KeyTTL
	}
}

// forgetKey forgets the key of an attempt that did not have its effect. That of a duplicate belongs to the first attempt.
func (m *Model) forgetKey(a *Attempt) {
	if !a.duplicate {
		delete(m.keys, a.Key)
	}
}

// ExpireKeys deletes the keys that have expired. It only saves memory.
func (m *Model) ExpireKeys(now time.Duration) {
	for key, expiry := range m.keys {
		if expiry <= now {
			delete(m.keys, key)
		}
	}
}
