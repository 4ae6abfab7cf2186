package fleettask

import (
	"context"
	"fmt"
	"sync"
	"time"

	"frostlink/internal/clock"
	"frostlink/internal/lease"
)

// ResendLease is the lease under which a partner's undelivered messages are resent.
func ResendLease(partner int) string { return fmt.Sprint("resend/", partner) }

// ResendGuard says why a resend that leaves late does no harm.
var ResendGuard = lease.Idempotent("a resend is a message like any other: module, journal and rules see to it that it is never sent " +
	"against its class, and a late one costs the partner one call more")

// roundCost is how long a round of resends may take from its first look to its last offer.
const roundCost = 300 * time.Millisecond

// stepEvery is between looks at the turns.
const stepEvery = 50 * time.Millisecond

// Resend lets one relay of the fleet at a time resend towards a partner: the rate that a rule names is the fleet's then.
// It is the undelivered.Gate of a relay whose operator wants that.
type Resend struct {
	client *lease.Client

	mu    sync.Mutex
	turns *Turns
	acts  []*lease.Act // of this round, by partner
	of    []int
}

// Begin allows resends towards a partner until End, or refuses: then they stay where they are. The token is that of the
// turn, another one each time.
func (r *Resend) Begin(partner int) (token uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turns.Need(partner, clock.SinceBoot())
	for i, p := range r.of {
		if p == partner {
			return r.acts[i].Token, r.acts[i].Ctx.Err() == nil
		}
	}
	if !r.turns.May(partner) {
		return 0, false
	}
	act, err := r.client.Act(context.Background(), ResendLease(partner), roundCost)
	if err != nil {
		return 0, false
	}
	r.acts, r.of = append(r.acts, act), append(r.of, partner)
	return act.Token, true
}

// End ends a round: what it decided has been offered.
func (r *Resend) End() {
	r.mu.Lock()
	acts := r.acts
	r.acts, r.of = nil, nil
	r.mu.Unlock()
	for _, a := range acts {
		a.End()
	}
}

// run asks for turns and gives them back until its context ends.
func (r *Resend) run(ctx context.Context) {
	ticks := time.NewTicker(stepEvery)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
		r.mu.Lock()
		want, drop := r.turns.Step(clock.SinceBoot(), func(partner int) (uint64, int, bool) {
			g, ok := r.client.Grant(ResendLease(partner))
			return g.Token, g.QueueLength, ok
		})
		r.mu.Unlock()
		for _, partner := range want {
			r.client.Request(ResendLease(partner), "resends what was not delivered; "+ResendGuard.String())
		}
		for _, partner := range drop {
			r.client.Release(ResendLease(partner), "")
		}
	}
}
