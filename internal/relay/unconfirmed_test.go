package relay

import (
	"net/http"
	"testing"
	"time"
)

// unconfirmedReuse is long enough for a connection to rest, and slowResponse for a response on it to come early if it comes at once.
const unconfirmedReuse, slowResponse = 600 * time.Millisecond, 200 * time.Millisecond

// A process that dies while a delivery is unconfirmed is followed by one that starts, with a dead-letter store too, and that does not
// end the request a second time.
func TestUnconfirmedDelivery_SurvivesKill(t *testing.T) {
	for _, withStore := range []bool{false, true} {
		p := newPlatform(t)
		if withStore {
			p.enableDeadLetters("")
		}
		p.addEndpoint("h1", 7)
		p.respond = func(r *http.Request) int {
			if r.Header.Get("Request-Id") == "slow" {
				time.Sleep(slowResponse)
			}
			return http.StatusOK
		}
		c := p.start()
		p.mustAccept("status", "slow", "5")
		p.waitFor("the first request is delivered", func() bool { return p.journalEntryCount() == 0 })
		time.Sleep(unconfirmedReuse)
		p.mustAccept("status", "early", "2")
		p.waitFor("the delivery is recorded", func() bool { return p.hasUnconfirmedDelivery("early") })
		p.kill(c)
		c = p.start()
		p.waitFor("the journal is empty", func() bool { return p.journalEntryCount() == 0 })
		p.kill(c)
		if attempts, notices := p.attempts(), p.receivedNotices(); len(attempts) != 2 || len(notices) != 0 {
			t.Errorf("with a store: %v; attempts %v, notices %+v; want one attempt for each request, and no notice", withStore, attempts, notices)
		}
	}
}
