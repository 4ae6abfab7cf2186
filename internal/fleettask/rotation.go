package fleettask

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxTurn is how long a relay goes on with a destination's resends while others are queued for
	// its lease.
	maxTurn = 10 * time.Second
	// maxIdle is how long it keeps the lease while nothing is due.
	maxIdle = time.Second
)

// Rotation decides when a relay requests the lease to resend towards each destination, and when it
// releases it. The queue of the lease is first come, first served: relays get it in the order in
// which something became due at them. It has no I/O and no clock.
type Rotation struct {
	turns map[int]*turn // by destination
}

// turn is a relay's turn towards one destination.
type turn struct {
	lastDue   time.Duration // when something was last due
	token     uint64        // under which the lease is held; 0: it is not
	heldSince time.Duration
	releasing bool // it is requested again only once it is not held any more
}

// NewRotation returns a rotation that requests nothing.
func NewRotation() *Rotation { return &Rotation{turns: map[int]*turn{}} }

// RecordDue notes that something is due towards a destination.
func (r *Rotation) RecordDue(destination int, now time.Duration) {
	t := r.turns[destination]
	if t == nil {
		t = &turn{}
		r.turns[destination] = t
	}
	t.lastDue = now
}

// Step returns the destinations whose lease is to be requested, and those whose lease is to be
// released. held returns the token under which a destination's lease is held, and how many others
// are queued for it.
func (r *Rotation) Step(
	now time.Duration, held func(destination int) (token uint64, queueLength int, ok bool),
) (request, release []int) {
	for _, destination := range slices.Sorted(maps.Keys(r.turns)) {
		t := r.turns[destination]
		token, queueLength, ok := held(destination)
		if !ok {
			token = 0
		}
		if token != t.token {
			t.token, t.heldSince = token, now
		}
		idle := now-t.lastDue > maxIdle
		switch {
		case t.releasing && token == 0:
			t.releasing = false
			if idle {
				delete(r.turns, destination)
			}
		case t.releasing: // until it is not held any more
		case idle, token != 0 && queueLength > 0 && now-t.heldSince >= maxTurn:
			t.releasing = true
			release = append(release, destination)
		case token == 0:
			request = append(request, destination)
		}
	}
	return request, release
}

// MayResend reports whether a lease may be used: it is not being released.
func (r *Rotation) MayResend(destination int) bool {
	t := r.turns[destination]
	return t != nil && !t.releasing
}
