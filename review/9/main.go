// Command 9 plays a case of the second review: a class gets a stricter effect by new settings, and a kept message of it that has run, and
// that has no key, must not be resent.
package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"frostlink/review/stand"
)

const (
	class       = "mutation-notice"
	destination = 7
	rate        = 20.0 // calls a second that the partner takes
	attempts    = 12   // allowed for a message
	service     = 300 * time.Millisecond
	warmUp      = 6                       // messages, from which the relay learns the destination's latency
	usualTime   = 28 * time.Second        // of messages
	noticeTime  = 2 * time.Second         // that the notice has left, and for which the partner then refuses politely
	keyTime     = 15 * time.Second        // for which partners remember a key
	inUseAfter  = 1200 * time.Millisecond // clients use new settings
	watched     = 20 * time.Second        // for the resend
	trafficGap  = 400 * time.Millisecond  // between other messages
)

// operator is the operator's file. One rule resends notices once. The clients of this deployment do not come again.
const operator = `version = 1
[undelivered]
folder = "{dir}/undelivered"
clients_return = false
[[undelivered.rule]]
class = "mutation-notice"
action = "resend"
after_s = 4
most = 2
rate = 5
`

// partner is the partner system. Once the class is keyed it drops a repeat of a key that it remembers.
type partner struct {
	c       *stand.Case
	keyed   atomic.Bool // the class is one of keyed messages
	refuses atomic.Bool

	mu   sync.Mutex // guards the fields below
	keys map[string]time.Time
	runs map[string]int // of each body
}

// handle runs a call. The body names the message.
func (p *partner) handle(call stand.Call) stand.Answer {
	if p.refuses.Load() {
		return stand.Answer{Status: http.StatusServiceUnavailable}
	}
	time.Sleep(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	if at, known := p.keys[call.Key]; known && call.Key != "" && time.Since(at) < keyTime {
		return stand.Answer{Status: http.StatusOK}
	}
	p.keys[call.Key] = time.Now()
	body := string(call.Body)
	p.runs[body]++
	if body != "notice" {
		return stand.Answer{Status: http.StatusOK}
	}
	p.c.Logf("partner: %s runs for the %d. time, key %q, class keyed: %v", call.ID, p.runs[body], call.Key, p.keyed.Load())
	if p.runs[body] > 1 {
		if p.keyed.Load() {
			p.c.Broken("a message of a keyed class that had run was resent without a key, and ran again")
		}
		return stand.Answer{Status: http.StatusOK}
	}
	p.refuses.Store(true)
	return stand.Answer{Reset: true}
}

func (p *partner) ran(body string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[body]
}

func main() { stand.Main(play) }

func play(ctx context.Context, c *stand.Case) {
	p := &partner{c: c, keys: map[string]time.Time{}, runs: map[string]int{}}
	platform := stand.NewPlatform(c)
	stand.NewHost(c, platform, "s-1", destination, rate, p.handle)
	relay := stand.NewRelay(c, stand.RelayConfig{
		Name: "n1", Relays: 1, Platform: platform, Operator: operator, Classes: classes("retryable"), Attempts: attempts,
	})
	relay.Start(ctx)
	for i := range warmUp {
		submit(ctx, c, relay, fmt.Sprintf("warm-%d", i), "", usualTime)
		stand.Sleep(ctx, service)
	}

	// The notice runs, its answer is lost, and the partner refuses politely until its time is up. It is handed back, and kept. Its client
	// does not come again.
	if status := submit(ctx, c, relay, "notice", "", noticeTime); status != http.StatusAccepted {
		c.NotRun("the notice was not accepted")
	}
	if !c.Await(ctx, 2*noticeTime, func() bool { return len(platform.Notices("notice")) > 0 }) {
		c.NotRun("the notice has not ended")
	}
	if p.ran("notice") != 1 {
		c.NotRun("the notice has run %d times", p.ran("notice"))
	}
	if c.Trouble {
		if !relay.Reconfigure(ctx, classes("dedup"), attempts) {
			c.NotRun("the new settings were not taken on")
		}
		p.keyed.Store(true)
	}
	p.refuses.Store(false)
	stand.Sleep(ctx, inUseAfter)
	traffic, stop := context.WithTimeout(ctx, watched)
	defer stop()
	for i := 0; traffic.Err() == nil; i++ {
		submit(traffic, c, relay, fmt.Sprintf("other-%d", i), fmt.Sprintf("key-%d", i), usualTime)
		stand.Sleep(traffic, trafficGap)
	}
	c.Logf("partner: the notice has run %d times", p.ran("notice"))
}

// classes returns the only class, with an effect.
func classes(effect string) []stand.Class {
	return []stand.Class{{Name: class, Idempotency: effect, DeadlineS: usualTime.Seconds()}}
}

func submit(ctx context.Context, c *stand.Case, relay *stand.Relay, id, key string, left time.Duration) (status int) {
	return stand.Submit(ctx, c, relay, stand.Message{ID: id, Class: class, Destination: destination, Key: key, Timeout: left, Body: id})
}
