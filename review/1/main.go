// Command 1 is a case of the review; see claim.txt beside it.
package main

import (
	"fmt"
	"path/filepath"
	"time"

	"frostlink/review/stage"
)

const (
	payment, status = "fee-payment", "parcel-status"
	// destination is the dealer; the other partners, with lower numbers, get as much traffic each.
	destination, others = 4, 3
	// deadline and memory are those of the site lahore-delivery.
	deadline, memory = 28.0, 15 * time.Second
	// left is how long a payment that comes again may still be delivered.
	left = 6.0
	// The dealer's service times, and by how much it is slower for a while.
	usualPayment, usualStatus = 550 * time.Millisecond, 360 * time.Millisecond
	slower                    = 14
	slowFor                   = 14 * time.Second
)

func main() { stage.Play(play) }

func play(s *stage.Stage) []string {
	d := startDealer(s)
	platform := s.StartPlatform()
	platform.Add(stage.Entry{Host: "s-dealer", Dial: d.addr, Site: "lhr-dc1", Block: destination})
	for dest := 1; dest <= others; dest++ {
		h := s.StartHost(fmt.Sprintf("s-%d", dest), stage.Takes(usualStatus), func(stage.Call) stage.Answer { return stage.Delivered })
		platform.Add(stage.Entry{Host: h.Name, Dial: h.Addr, Site: "lhr-dc1", Block: dest})
	}
	settings := stage.Settings(16, []string{"lhr-dc1"},
		stage.Class{Name: payment, Idempotency: "dedup", Group: "all", DeadlineS: deadline, MemoryS: memory.Seconds()},
		stage.Class{Name: status, Idempotency: "retryable", DeadlineS: deadline})
	operator := fmt.Sprintf("version = 1\n[undelivered]\nfolder = %q\nclients_return = false\n[[undelivered.rule]]\nclass = %q\n"+
		"action = \"resend\"\nafter_s = 6.4\nmost = 3\nrate = 2\n", filepath.Join(s.Dir, "undelivered"), payment)
	relay := s.NewRelay(platform, settings, operator)
	relay.Start()
	client := s.NewClient(relay.Addr)
	usualTraffic(s, client, 6)

	// The dealer's connections are taken by others for a moment: the relay learns that it gets only one.
	otherTraffic(s, client, 2)
	leave := d.fill()
	submit(s, client, payment, deadline)
	time.Sleep(30 * time.Millisecond)
	submit(s, client, payment, deadline)
	time.Sleep(1400 * time.Millisecond)
	leave()
	time.Sleep(time.Second)
	usualTraffic(s, client, 2)

	if s.Trouble {
		d.setFactor(slower)
	}
	first := submit(s, client, payment, left)
	at := func(after time.Duration) { time.Sleep(first.SentAt + after - s.Now()) }
	at(time.Second)
	otherTraffic(s, client, 3)
	at(10800 * time.Millisecond)
	submit(s, client, status, deadline)
	at(slowFor)
	if s.Trouble {
		d.setFactor(1)
	}
	at(24 * time.Second)
	if !relay.Running() {
		s.Fail("the relay has ended: %s", relay.Log())
	}
	return violations(d)
}

// usualTraffic hands in payments one after another.
func usualTraffic(s *stage.Stage, client *stage.Client, messages int) {
	for range messages {
		otherTraffic(s, client, 1)
		submit(s, client, payment, deadline)
		time.Sleep(usualPayment + 350*time.Millisecond)
	}
}

// otherTraffic hands in messages to each of the other partners.
func otherTraffic(s *stage.Stage, client *stage.Client, messages int) {
	for i := range others * messages {
		submitTo(s, client, i%others+1, payment, deadline)
	}
}

// submit hands in a message to the dealer.
func submit(s *stage.Stage, client *stage.Client, class string, timeout float64) *stage.Message {
	return submitTo(s, client, destination, class, timeout)
}

// submitTo hands in a message, which has to be taken on.
func submitTo(s *stage.Stage, client *stage.Client, dest int, class string, timeout float64) *stage.Message {
	m := &stage.Message{ID: s.NewID(), Class: class, Dest: dest, TimeoutS: timeout, Body: "message"}
	if class == payment {
		m.Key = "k" + s.NewID()
	}
	if !client.Submit(m) {
		s.Fail("message %s was not taken on: %d", m.ID, m.Status)
	}
	return m
}

// violations returns the payments that were sent again, after a call that may have run, when their key was remembered no more.
func violations(d *dealer) (violations []string) {
	const slack = 50 * time.Millisecond
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, runs := range d.runs {
		for _, again := range runs[1:] {
			if age := again.at - runs[0].at; age > memory+slack {
				violations = append(violations, fmt.Sprintf(
					"payment with key %s was executed as %s, and again as %s, %.3f s later, when its key was remembered no more",
					key, runs[0].id, again.id, age.Seconds()))
			}
		}
	}
	return violations
}
