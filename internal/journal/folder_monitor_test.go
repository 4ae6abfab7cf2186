package journal

import (
	"testing"
	"time"
)

// The backoff before a write to a degraded folder grows with each failure, even after a recovery shorter
// than recoveryPeriod. The folder is healthy only after recoveryPeriod without a failure.
func TestFolderMonitor_BacksOffUntilHealthy(t *testing.T) {
	const ms = time.Millisecond
	var m FolderMonitor
	if m.State() != Healthy || !m.MayWrite(0) {
		t.Fatalf("initially %v", m.State())
	}
	now, backoffs := time.Duration(0), []time.Duration{20 * ms, 40 * ms}
	for _, backoff := range backoffs {
		m.WriteFailed(now)
		if m.State() != Degraded || m.MayWrite(now+backoff-1) || !m.MayWrite(now+backoff) || m.RetryAt() != now+backoff {
			t.Fatalf("after a failure at %v: %v, retry at %v", now, m.State(), m.RetryAt())
		}
		now += backoff
	}
	m.WriteSucceeded(now)
	if m.State() != Recovering || !m.MayWrite(now) {
		t.Fatalf("after a commit: %v", m.State())
	}
	m.WriteFailed(now + ms)
	if m.RetryAt() != now+ms+80*ms {
		t.Fatalf("after a failure while recovering: retry at %v", m.RetryAt())
	}
	now += time.Second
	m.WriteSucceeded(now)
	m.WriteSucceeded(now + recoveryPeriod - 1)
	if m.State() != Recovering {
		t.Fatalf("before the end of the recovery: %v", m.State())
	}
	if m.WriteSucceeded(now + recoveryPeriod); m.State() != Healthy {
		t.Fatalf("after the recovery: %v", m.State())
	}
	if m.WriteFailed(now); m.RetryAt() != now+minBackoff {
		t.Fatalf("the next failure backs off for %v", m.RetryAt()-now)
	}
	for range 20 {
		m.WriteFailed(now)
	}
	if m.RetryAt() != now+maxBackoff {
		t.Fatalf("longest backoff %v", m.RetryAt()-now)
	}
}
