// Command 2 is a case of the review; see claim.txt beside it.
package main

import (
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"frostlink/review/stage"
)

const (
	class       = "fee-payment"
	destination = 3
	partners    = 4
	// deadline is how long a payment may be delivered, and memory how long the hosts of a zone remember its key, as in the site
	// lahore-delivery. left is how long a payment that comes again may still be delivered.
	deadline, memory, left = 28.0, 15.0, 6.0
	service                = 240 * time.Millisecond
	// registerLag is how long after a host's death the register says that it is gone.
	registerLag = 4500 * time.Millisecond
	zoneA       = "lhr-dc1"
	zoneB       = "lhr-dc2"
)

// run is one execution of a payment at a host.
type run struct {
	stage.Call
	zone string
}

// world is what all partner systems have executed. Each has one host in each of two zones. The hosts of a zone drop repeats of a key
// that they remember.
type world struct {
	stage *stage.Stage
	mu    sync.Mutex // guards the fields below
	runs  map[string][]run
	dying string // the host of this name dies once it has begun to execute the next payment
}

// begin is what a host of a zone does with a call.
func (w *world) begin(zone string, c stage.Call) stage.Answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, earlier := range w.runs[c.Key] {
		if earlier.zone == zone && c.At-earlier.At < time.Duration(memory*float64(time.Second)) {
			w.stage.Record("host %s drops call %s: it remembers key %s", c.Host, c.ID, c.Key)
			return stage.Delivered
		}
	}
	w.runs[c.Key] = append(w.runs[c.Key], run{c, zone})
	w.stage.Record("host %s in %s executes call %s, key %s", c.Host, zone, c.ID, c.Key)
	if w.dying == c.Host {
		w.dying = ""
		return stage.Die
	}
	return stage.Delivered
}

// violations returns the keys that were executed twice while the first execution's key was in force.
func (w *world) violations() (violations []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, runs := range w.runs {
		for _, r := range runs[1:] {
			violations = append(violations, fmt.Sprintf(
				"payment with key %s was executed by %s in %s, and %.3f s later, as %s, by %s in %s: a resend of a call that may have run left its group",
				key, runs[0].Host, runs[0].zone, (r.At-runs[0].At).Seconds(), r.ID, r.Host, r.zone))
		}
	}
	return violations
}

func main() { stage.Play(play) }

func play(s *stage.Stage) []string {
	w := &world{stage: s, runs: map[string][]run{}}
	platform := s.StartPlatform()
	for dest := 1; dest <= partners; dest++ {
		for _, zone := range []string{zoneA, zoneB} {
			h := s.StartHost(hostName(dest, zone), stage.Takes(service), func(c stage.Call) stage.Answer { return w.begin(zone, c) })
			platform.Add(stage.Entry{Host: h.Name, Dial: h.Addr, Site: zone, Block: dest})
		}
	}
	payments := stage.Class{Name: class, Idempotency: "dedup", Group: "zone", DeadlineS: deadline, MemoryS: memory}
	relay := s.NewRelay(platform, stage.Settings(16, []string{zoneA, zoneB}, payments), operatorFile(s))
	relay.Start()

	client := s.NewClient(relay.Addr)
	for i := range 4 * partners { // usual traffic
		submit(s, client, i%partners+1, deadline)
		time.Sleep(150 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if s.Trouble {
		w.mu.Lock()
		w.dying = hostName(destination, zoneA)
		w.mu.Unlock()
	}
	last := submit(s, client, destination, left)
	time.Sleep(registerLag)
	if s.Trouble {
		platform.Remove(hostName(destination, zoneA))
	}
	// The relay may resend the payment for as long as its first host remembers the key.
	time.Sleep(last.SentAt + time.Duration((memory+1)*float64(time.Second)) - s.Now())
	if !relay.Running() {
		s.Fail("the relay has ended: %s", relay.Log())
	}
	return w.violations()
}

// hostName returns the name of a partner's host in a zone.
func hostName(dest int, zone string) string { return fmt.Sprintf("s-%d-%s", dest, zone) }

// operatorFile returns an operator's file that keeps undelivered payments and resends them.
func operatorFile(s *stage.Stage) string {
	return fmt.Sprintf(`version = 1
[undelivered]
folder = %q
[[undelivered.rule]]
class = %q
action = "resend"
after_s = 1
most = 3
rate = 2
`, filepath.Join(s.Dir, "undelivered"), class)
}

// submit hands in a payment, which has to be taken on.
func submit(s *stage.Stage, client *stage.Client, dest int, timeout float64) *stage.Message {
	m := &stage.Message{ID: s.NewID(), Key: "k" + s.NewID(), Class: class, Dest: dest, TimeoutS: timeout, Body: "payment"}
	if !client.Submit(m) {
		s.Fail("payment %s was not taken on: %d", m.ID, m.Status)
	}
	return m
}
