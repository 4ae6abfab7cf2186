package fleettask

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxHoldTime is how long a relay holds a destination's lease while other relays are queued for
	// it.
	maxHoldTime = 10 * time.Second
	// maxIdle is how long a relay holds a lease while no resend is due.
	maxIdle = time.Second
)

// Rotation decides when a relay requests the lease for resending to each destination, and when it
// releases it. The queue of a lease is first come, first served, so relays get the lease in the
// order in which resends became due at them. Rotation has no I/O and no clock.
type Rotation struct {
	destinations map[int]*destinationState // by destination
}

// destinationState is the state of the rotation for one destination.
type destinationState struct {
	lastDue   time.Duration // when a resend was last due
	token     uint64        // under which the lease is held; 0: not held
	heldSince time.Duration
	releasing bool // the lease is being released; it is requested again only once it is not held any more
}

// NewRotation returns a rotation without destinations.
func NewRotation() *Rotation { return &Rotation{destinations: map[int]*destinationState{}} }

// RecordDue records that a resend to a destination is due.
func (r *Rotation) RecordDue(destination int, now time.Duration) {
	t := r.destinations[destination]
	if t == nil {
		t = &destinationState{}
		r.destinations[destination] = t
	}
	t.lastDue = now
}

// Step returns the destinations whose lease is to be requested, and those whose lease is to be
// released. held returns the token under which a destination's lease is held, and the number of
// other relays that are queued for it.
func (r *Rotation) Step(
	now time.Duration, held func(destination int) (token uint64, queueLength int, ok bool),
) (request, release []int) {
	for _, destination := range slices.Sorted(maps.Keys(r.destinations)) {
		t := r.destinations[destination]
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
				delete(r.destinations, destination)
			}
		case t.releasing: // wait until the lease is not held any more
		case idle, token != 0 && queueLength > 0 && now-t.heldSince >= maxHoldTime:
			t.releasing = true
			release = append(release, destination)
		case token == 0:
			request = append(request, destination)
		}
	}
	return request, release
}

// MayResend reports whether a destination's lease may be used for resends. A lease that is being
// released may not be used.
func (r *Rotation) MayResend(destination int) bool {
	t := r.destinations[destination]
	return t != nil && !t.releasing
}
