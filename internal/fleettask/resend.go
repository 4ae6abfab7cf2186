package fleettask

import (
	"context"
	"fmt"
	"sync"
	"time"

	"frostlink/internal/clock"
	"frostlink/internal/lease"
)

// ResendLease returns the name of the lease for resending undelivered messages to a destination.
func ResendLease(destination int) string { return fmt.Sprint("resend/", destination) }

// ResendGuard states why a late resend is harmless.
var ResendGuard = lease.Idempotent("a resend is a message like any other: module, journal and rules see to it that it is never sent " +
	"against its class, and a late one costs the partner one call more")

const (
	// roundCost is the time that a round of resends may take, from its first Begin to its End.
	roundCost = 300 * time.Millisecond
	// rotationInterval is the pause between steps of the rotation.
	rotationInterval = 50 * time.Millisecond
)

// ResendGate lets only one relay of the fleet at a time resend messages to a destination, so that
// the resend rate in a redelivery rule applies to the whole fleet.
type ResendGate struct {
	client *lease.Client

	mu       sync.Mutex // guards the fields below
	rotation *Rotation
	acts     []resendAct // of the present round
}

// resendAct is the act under which a round resends messages to a destination.
type resendAct struct {
	destination int
	act         *lease.Act
}

// Begin reports whether resends to a destination are allowed until End. The token identifies the
// grant of the lease: each grant has another token.
func (r *ResendGate) Begin(destination int) (token uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotation.RecordDue(destination, clock.SinceBoot())
	for _, a := range r.acts {
		if a.destination == destination {
			return a.act.Token, a.act.Ctx.Err() == nil
		}
	}
	if !r.rotation.MayResend(destination) {
		return 0, false
	}
	act, err := r.client.Act(context.Background(), ResendLease(destination), roundCost)
	if err != nil {
		return 0, false
	}
	r.acts = append(r.acts, resendAct{destination, act})
	return act.Token, true
}

// End ends a round. The caller has submitted all resends of the round by then.
func (r *ResendGate) End() {
	r.mu.Lock()
	acts := r.acts
	r.acts = nil
	r.mu.Unlock()
	for _, a := range acts {
		a.act.End()
	}
}

// run requests and releases leases until its context ends.
func (r *ResendGate) run(ctx context.Context) {
	ticker := time.NewTicker(rotationInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r.mu.Lock()
		request, release := r.rotation.Step(clock.SinceBoot(), r.held)
		r.mu.Unlock()
		for _, destination := range request {
			r.client.Request(ResendLease(destination), "resends what was not delivered; "+ResendGuard.String())
		}
		for _, destination := range release {
			r.client.Release(ResendLease(destination), "")
		}
	}
}

// held returns the token under which a destination's lease is held, and the number of other relays
// that are queued for it.
func (r *ResendGate) held(destination int) (token uint64, queueLength int, ok bool) {
	grant, ok := r.client.Grant(ResendLease(destination))
	return grant.Token, grant.QueueLength, ok
}
