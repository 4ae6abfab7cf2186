// Command 7 plays a case of the second review: a new configuration moves discovery and adds a class without a key that may be absent. The
// relay has to take it on: to send nothing to an endpoint that drains, and to tell the platform of each message that it can't deliver.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"frostlink/review/stand"
)

const (
	class       = "parcel-status"
	destination = 7
	refusing    = 8    // the number of a destination that turns every call away
	rate        = 20.0 // calls a second that a partner takes
	attempts    = 12   // allowed for a message
	service     = 100 * time.Millisecond
	settling    = 3 * time.Second // before the new configuration
	toldAfter   = 4 * time.Second // after SIGHUP, what discovery has to tell counts as told
	grace       = time.Second     // for sends to an endpoint that drains
	lateness    = 200 * time.Millisecond
	endWithin   = 350 * time.Millisecond // after the time of a message, in which its notice counts
	messageTime = 3 * time.Second        // that a message to the refusing destination has
	usualTime   = 28 * time.Second       // that other messages have
	trafficGap  = 200 * time.Millisecond // between messages
	watched     = 6 * time.Second        // after the grace
)

func main() { stand.Main(play) }

func play(ctx context.Context, c *stand.Case) {
	platform := stand.NewPlatform(c)
	var drained atomic.Bool // the grace of the endpoint that drains is over
	var late atomic.Int64   // calls to it after that
	serve := func(stand.Call) stand.Answer {
		time.Sleep(service)
		return stand.Answer{Status: http.StatusOK}
	}
	stand.NewHost(c, platform, "s-1", destination, rate, func(call stand.Call) stand.Answer {
		if drained.Load() && late.Add(1) == 1 {
			c.Logf("partner: %s begins at s-1, which drains", call.ID)
		}
		return serve(call)
	})
	stand.NewHost(c, platform, "s-2", destination, rate, serve)
	stand.NewHost(c, platform, "s-3", refusing, rate, func(stand.Call) stand.Answer {
		return stand.Answer{Status: http.StatusServiceUnavailable}
	})
	stretch := 0.5
	running := []stand.Class{{Name: class, Idempotency: "retryable", DeadlineS: usualTime.Seconds(), Stretch: &stretch}}
	relay := stand.NewRelay(c, stand.RelayConfig{Name: "n1", Relays: 1, Platform: platform, Classes: running, Attempts: attempts})
	relay.Start(ctx)
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		for i := 0; traffic.Err() == nil; i++ {
			submit(traffic, c, relay, fmt.Sprintf("m-%d", i), destination, usualTime)
			stand.Sleep(traffic, trafficGap)
		}
	}()
	stand.Sleep(ctx, settling)
	if c.Trouble {
		added := stand.Class{Name: "mutation-notice", Idempotency: "retryable", DeadlineS: usualTime.Seconds()}
		if os.Getenv("TROUBLE") == "present" { // a control: the same with the key
			added.Stretch = &stretch
		}
		platform.Move()
		c.Logf("relay: has taken the new configuration on: %v", relay.Reconfigure(ctx, append(running, added), attempts))
	}
	platform.SetHealth("s-1", "DRAINING")
	stand.Sleep(ctx, toldAfter+grace+lateness)
	drained.Store(true)
	if submit(ctx, c, relay, "refused", refusing, messageTime) != http.StatusAccepted {
		c.NotRun("the message to the refusing destination was not accepted")
	}
	stand.Sleep(ctx, messageTime+endWithin)
	if len(platform.Notices("refused")) == 0 {
		c.Broken("the platform has no notice of a message that was accepted and not delivered, %v after its time", endWithin)
	}
	stand.Sleep(ctx, watched-messageTime-endWithin)
	if n := late.Load(); n > 0 {
		c.Broken("%d calls began at an endpoint that drains, after the grace", n)
	}
}

func submit(ctx context.Context, c *stand.Case, relay *stand.Relay, id string, destination int, left time.Duration) (status int) {
	return stand.Submit(ctx, c, relay, stand.Message{ID: id, Class: class, Destination: destination, Timeout: left, Body: id})
}
