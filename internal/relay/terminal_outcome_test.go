package relay

import (
	"net/http"
	"testing"

	"frostlink/internal/notification"
)

func TestRelay_DeliversAndEvicts(t *testing.T) {
	p := newPlatform(t)
	p.addEndpoint("h1", 7)
	p.start()
	for _, id := range []string{"a", "b", "c"} {
		p.mustAccept("payment", id, "20")
		if got := p.nextAttempt(); got != id {
			t.Errorf("attempt for %s, want %s", got, id)
		}
	}
	p.waitFor("the journal is empty", func() bool { return len(readEntries(t, p.dir)) == 0 })
	if n := p.receivedNotices(); len(n) != 0 {
		t.Errorf("notices for delivered requests: %v", n)
	}
}

// The platform gets one notice of a request that could not be delivered, and the notice is posted until it is received.
func TestNotice_IsPostedUntilReceived(t *testing.T) {
	p := newPlatform(t)
	p.addEndpoint("h1", 7)
	p.respond = func(*http.Request) int { return 0 }
	p.failingPosts = 3
	p.start()
	p.mustAccept("order", "m", "0.4")
	p.waitFor("the notice is received", func() bool { return len(p.receivedNotices()) > 0 })
	if n := p.receivedNotices(); len(n) != 1 || n[0] != (notification.Notice{ID: "m", Status: notification.Undeliverable}) {
		t.Errorf("notices: %v", n)
	}
	if p.failingPosts != 0 {
		t.Errorf("%d failures left", p.failingPosts)
	}
	p.waitFor("the request is evicted", func() bool { return len(readEntries(t, p.dir)) == 0 })
}

// A notice that the platform has not received is posted by the next process.
func TestNotice_IsPostedAfterRestart(t *testing.T) {
	p := newPlatform(t)
	p.addEndpoint("h1", 7)
	p.respond = func(*http.Request) int { return 0 }
	p.failingPosts = 1 << 30
	c := p.start()
	p.mustAccept("order", "m", "0.3")
	p.waitFor("the notice is pending", func() bool {
		e := readEntries(t, p.dir)
		return len(e) == 1 && e[0].PendingNotice != nil
	})
	p.kill(c)
	p.update(func() { p.failingPosts = 0 })
	p.start()
	p.waitFor("the notice is received", func() bool { return len(p.receivedNotices()) == 1 })
	p.waitFor("the request is evicted", func() bool { return len(readEntries(t, p.dir)) == 0 })
	if n := p.attempts(); len(n) != 1 {
		t.Errorf("attempts: %v", n)
	}
}

// After a final response there are no further attempts: a 410 withdraws the request without a notice, a 504 causes a notice.
func TestFinalResponse_EndsRequest(t *testing.T) {
	for status, want := range map[int]int{http.StatusGone: 0, http.StatusGatewayTimeout: 1} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			p := newPlatform(t)
			p.addEndpoint("h1", 7)
			p.respond = func(*http.Request) int { return status }
			p.start()
			p.mustAccept("status", "m", "20")
			p.waitFor("the request is completed", func() bool { return len(p.attempts()) > 0 && len(readEntries(t, p.dir)) == 0 })
			if n := p.receivedNotices(); len(n) != want || want > 0 && n[0].Status != notification.Deferred {
				t.Errorf("%d: notices %v", status, n)
			}
			if a := p.attempts(); len(a) != 1 {
				t.Errorf("%d: attempts %v", status, a)
			}
		})
	}
}
