package lease

import (
	"fmt"
	"testing"
	"time"

	"frostlink/internal/coord"
)

// Results that list ever new leases, which this process has not requested, make it hold no more than it may.
func TestCore_BoundsLeasesThatWereNotRequested(t *testing.T) {
	core := New(Config{Name: "n1", TTL: time.Second, Timeout: time.Second, Servers: 1})
	core.Request("wanted", "")
	for round := range 100 {
		var held []coord.Grant
		for i := range 50 {
			held = append(held, coord.Grant{Lease: fmt.Sprint("other-", round, "-", i), Token: 1})
		}
		core.applyHoldings(0, coord.Result{Held: held})
		core.Request("wanted", "")
	}
	if len(core.requests) > core.maxHeld() || core.maxHeld() != heldPerRequest+minMaxHeld {
		t.Errorf("%d leases, %d at most, for one that was requested", len(core.requests), core.maxHeld())
	}
}
