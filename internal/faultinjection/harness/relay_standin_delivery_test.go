package harness

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// pacedInterval is the time between attempts at the destination that has an outage, once an attempt there has failed. At this
	// rate, attempts do not overload the destination while it is cold.
	pacedInterval = 250 * time.Millisecond
	// failureBackoff is the wait after an attempt that failed or was rejected without a Retry-After.
	failureBackoff = 400 * time.Millisecond
	// redeliveryWait is how long after the end of a key's TTL a stand-in that forgets it redelivers the message.
	redeliveryWait = 300 * time.Millisecond
	// maxStandInAttempts bounds the attempts of a message.
	maxStandInAttempts = 12
	// Stand-ins that lose messages, notify too late or notify twice do so with every misbehaveEvery-th message. The first two of
	// these misbehaviors do not affect ordered messages.
	misbehaveEvery = 5
)

// endpointFor returns the address of an endpoint for a message's n-th attempt, or "".
func (s *relayStandIn) endpointFor(m *standInMessage, n int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	wanted := m.destination
	if s.misbehavior == wrongEndpoint && n == 0 && m.destination == destinationDrops {
		wanted = destinationOther
	}
	grace := time.Duration(0)
	switch s.misbehavior {
	case usesAllSlack:
		grace = drainSlack
	case ignoresDrains:
		grace = time.Hour
	default: // all other stand-ins send nothing to a draining endpoint
	}
	var addrs []string
	for _, e := range s.endpoints {
		if e.destination == wanted && (e.drainedAt.IsZero() || time.Since(e.drainedAt) < grace) {
			addrs = append(addrs, e.addr)
		}
	}
	if len(addrs) == 0 {
		return ""
	}
	return addrs[(m.number+n)%len(addrs)]
}

// awaitSendTime waits until a message may be sent to its destination, and reports whether that is before end.
func (s *relayStandIn) awaitSendTime(m *standInMessage, end time.Time) bool {
	if s.misbehavior == ignoresRetryAfter && m.destination == destinationWaits || s.misbehavior == overloads && m.destination == destinationFalls {
		return time.Now().Before(end)
	}
	for {
		s.mu.Lock()
		at := s.retryAt[m.destination]
		if next := s.lastSent[m.destination].Add(pacedInterval); s.paced[m.destination] && next.After(at) {
			at = next
		}
		if !at.After(time.Now()) {
			s.lastSent[m.destination] = time.Now()
			s.mu.Unlock()
			return time.Now().Before(end)
		}
		s.mu.Unlock()
		if at.After(end) {
			return false
		}
		time.Sleep(time.Until(at))
	}
}

// backOff makes the stand-in send nothing to a destination for a while.
func (s *relayStandIn) backOff(destination int, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paced[destination] = s.paced[destination] || destination == destinationFalls
	if until := time.Now().Add(d); until.After(s.retryAt[destination]) {
		s.retryAt[destination] = until
	}
}

// misbehaves reports whether the stand-in has the given misbehavior and applies it to this message.
func (s *relayStandIn) misbehaves(how misbehavior, m *standInMessage) bool {
	return s.misbehavior == how && m.number%misbehaveEvery == 0
}

// deliver attempts a message until it is delivered or expires, or may not be attempted again.
func (s *relayStandIn) deliver(ctx context.Context, m *standInMessage) {
	if s.misbehaves(losesRequests, m) && !m.ordered {
		return
	}
	if s.misbehaves(outcomeTooLate, m) && !m.ordered {
		time.Sleep(time.Until(m.deadline) + 2500*time.Millisecond)
		s.notify(m.id, "undeliverable")
		return
	}
	end := m.deadline.Add(-outcomeReserve)
	if s.misbehavior == usesAllSlack {
		end = m.deadline.Add(outcomeSlack)
	}
	var delivered atomic.Bool    // by a concurrent attempt
	var firstUnknownAt time.Time // when the first attempt with an unknown outcome was sent; zero: there is none
	for n := 0; ; n++ {
		expired := !s.awaitSendTime(m, end) || n >= maxStandInAttempts && s.misbehavior != overloads
		if delivered.Load() { // no attempt may follow a delivery
			return
		}
		if !firstUnknownAt.IsZero() && !s.mayRetry(m, firstUnknownAt) {
			s.notify(m.id, "undeliverable")
			s.redeliverExecuted(ctx, m, firstUnknownAt, n)
			return
		}
		addr := s.endpointFor(m, n)
		if expired || addr == "" {
			time.Sleep(time.Until(end))
			if !delivered.Load() {
				s.notify(m.id, "deferred")
			}
			return
		}
		sent := time.Now()
		if s.misbehavior == concurrentAttempts && m.destination == destinationDrops && m.idempotency == "retryable" && !m.ordered && n == 0 {
			go func() {
				if status, _ := s.attempt(ctx, m, addr, end); status == http.StatusOK {
					delivered.Store(true)
				}
			}()
		}
		status, retryAfter := s.attempt(ctx, m, addr, end)
		switch {
		case status == http.StatusOK:
			s.completed(ctx, m)
			return
		case s.misbehavior == forgetsEnds:
		case status == http.StatusGone:
			return
		case status == http.StatusGatewayTimeout:
			s.notify(m.id, "undeliverable")
			return
		}
		if s.failed(m, status, retryAfter) && firstUnknownAt.IsZero() {
			firstUnknownAt = sent
		}
	}
}

// mayRetry reports whether a message whose outcome is unknown may be attempted again.
func (s *relayStandIn) mayRetry(m *standInMessage, firstUnknownAt time.Time) bool {
	switch m.idempotency {
	case "fragile":
		return false
	case "dedup":
		return s.misbehavior == executesTwice || time.Since(firstUnknownAt) <= m.keyTTL-200*time.Millisecond
	}
	return true
}

// completed misbehaves after a delivery, if the stand-in's misbehavior is of that kind.
func (s *relayStandIn) completed(ctx context.Context, m *standInMessage) {
	if s.misbehaves(outcomeTwice, m) {
		time.Sleep(600 * time.Millisecond)
		s.notify(m.id, "undeliverable")
	}
	if m.destination != destinationOther {
		return
	}
	switch s.misbehavior {
	case inventsMessages:
		invented := *m
		invented.body = []byte("nothing that a client sent")
		s.redeliver(ctx, &invented, 0)
	case overwrites:
		s.overwrite(ctx, m)
	default: // all other stand-ins do nothing after a delivery
	}
}

// failed backs off after an attempt that was not delivered, and reports whether the attempt's outcome is unknown.
func (s *relayStandIn) failed(m *standInMessage, status int, retryAfter time.Duration) (unknown bool) {
	switch status {
	case http.StatusTooManyRequests:
		s.backOff(m.destination, retryAfter)
		return false
	case http.StatusServiceUnavailable, http.StatusBadRequest:
		s.backOff(m.destination, failureBackoff)
		if s.misbehavior == overloads {
			time.Sleep(5 * time.Millisecond)
		}
		return false
	}
	s.backOff(m.destination, failureBackoff)
	if s.misbehavior == executesTwice && m.idempotency == "dedup" {
		time.Sleep(m.keyTTL + 300*time.Millisecond)
	}
	return true
}

// redeliver sends a message under an id that no client submitted.
func (s *relayStandIn) redeliver(ctx context.Context, m *standInMessage, n int) {
	copied := *m
	copied.id = "again-" + m.id
	if addr := s.endpointFor(m, n); addr != "" {
		s.attempt(ctx, &copied, addr, time.Now().Add(time.Second))
	}
}

// redeliverExecuted redelivers a message that may have been executed and may not be attempted again, if the stand-in's misbehavior
// is of that kind.
func (s *relayStandIn) redeliverExecuted(ctx context.Context, m *standInMessage, firstUnknownAt time.Time, n int) {
	switch {
	case s.misbehavior == redeliversExecuted && m.idempotency == "fragile":
		s.redeliver(ctx, m, n)
	case s.misbehavior == forgetsKeyExpiry && m.idempotency == "dedup":
		// As a relay in which a redelivery that was permitted in time waits, while nothing ends the permission.
		time.Sleep(time.Until(firstUnknownAt.Add(m.keyTTL + redeliveryWait)))
		s.redeliver(ctx, m, n)
	}
}

// overwrite redelivers the last message of a subject once a newer one is delivered.
func (s *relayStandIn) overwrite(ctx context.Context, m *standInMessage) {
	if m.subject == "" {
		return
	}
	s.mu.Lock()
	older := s.lastDelivered[m.subject]
	if older == nil || older.number < m.number {
		s.lastDelivered[m.subject] = m
	}
	s.mu.Unlock()
	if older != nil && older.number < m.number {
		s.redeliver(ctx, older, 0)
	}
}

// attempt makes one attempt. The status is 0 if the outcome is unknown.
func (s *relayStandIn) attempt(ctx context.Context, m *standInMessage, addr string, end time.Time) (status int, retryAfter time.Duration) {
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/inbox", bytes.NewReader(m.body))
	if err != nil {
		return 0, 0
	}
	req.Header.Set("Request-Id", m.id)
	if m.key != "" {
		req.Header["Idempotency-Key"] = []string{m.key}
	}
	req.GetBody = nil // keeps net/http from retrying by itself
	resp, err := s.client.Do(req)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return http.StatusServiceUnavailable, 0
		}
		return 0, 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	ms, _ := strconv.Atoi(resp.Header.Get("X-Retry-In-Ms"))
	return resp.StatusCode, time.Duration(ms) * time.Millisecond
}

// notify notifies the platform of a terminal outcome.
func (s *relayStandIn) notify(id, status string) {
	body := fmt.Sprintf("{\"id\":%q,\"status\":%q}\n", id, status)
	for range 20 {
		resp, err := s.client.Post("http://"+s.config.Discovery+"/v1/outcomes", "application/json", strings.NewReader(body))
		if err == nil {
			_ = resp.Body.Close()
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}
