package destination

import "time"

// keyMemory maps the idempotency keys of attempts that have had their effect, or still may, to the times when the keys expire.
type keyMemory map[string]time.Duration

func (k keyMemory) has(key string, now time.Duration) bool {
	expiry, ok := k[key]
	return ok && now < expiry
}

// rememberKey stores an attempt's idempotency key. It is called when the attempt is admitted.
func (m *Model) rememberKey(a *Attempt) {
	if a.Key != "" && !a.duplicate {
		m.keys[a.Key] = m.now + a.KeyTTL
	}
}

// forgetKey deletes the key of an attempt that did not have its effect. It ignores duplicates, because the key belongs to the first
// attempt with it.
func (m *Model) forgetKey(a *Attempt) {
	if !a.duplicate {
		delete(m.keys, a.Key)
	}
}

// ExpireKeys deletes the keys that have expired. Expired keys are ignored in any case; deleting them only saves memory.
func (m *Model) ExpireKeys(now time.Duration) {
	for key, expiry := range m.keys {
		if expiry <= now {
			delete(m.keys, key)
		}
	}
}
