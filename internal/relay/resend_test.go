package relay

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"frostlink/internal/deadletter"
	"frostlink/internal/operatorconfig"
)

const resendRule = `clients_return = false
[[undelivered.rule]]
action = "resend"
after_s = 0.2
most = 50
rate = 100
`

// again gives the calls under ids that the relay made up.
func (p *platform) again() (ids []string) {
	for _, id := range p.sent() {
		if strings.HasPrefix(id, "again-") {
			ids = append(ids, id)
		}
	}
	return ids
}

// A message that was given up is resent by a rule, under a new id with its key and body, once it can be delivered;
// the platform hears of no end but the first.
func TestUndeliveredMessagesAreResent(t *testing.T) {
	p := newPlatform(t)
	folder := p.keeping(resendRule)
	p.addHost("h1", 7)
	type call struct{ id, key, length string }
	calls := make(chan call, 100)
	var up atomic.Bool
	p.answer = func(r *http.Request) int {
		calls <- call{r.Header.Get("Request-Id"), r.Header.Get("Idempotency-Key"), r.Header.Get("Content-Length")}
		if up.Load() {
			return http.StatusOK
		}
		return http.StatusServiceUnavailable
	}
	c := p.start()
	p.take("order", "a", "1")
	p.until("it is given up", func() bool { return len(p.told()) == 1 })
	up.Store(true)
	p.until("it is resent", func() bool { return len(p.again()) == 1 })
	p.until("the journal lets go of both", func() bool { return p.journalled() == 0 })
	p.kill(c)
	r, totals := p.stored(folder, "a")
	if totals.States[deadletter.Delivered] != 1 || len(r.Lives) != 2 || r.Last().ID != p.again()[0] || r.Last().Attempts[0].Ran != deadletter.Did {
		t.Errorf("%+v, %+v", totals, r)
	}
	close(calls)
	first, last := call{}, call{}
	for k := range calls {
		if first.id == "" {
			first = k
		}
		last = k
	}
	if first.id != "a" || last.id != r.Last().ID || first.key != last.key {
		t.Errorf("first call %+v, last %+v", first, last)
	}
	if len(p.told()) != 1 {
		t.Errorf("notices %+v", p.told())
	}
}

// What may have run is not resent, whatever the rule says; and while a partner is down only a few resends go.
func TestWhatMayHaveRunStays(t *testing.T) {
	p := newPlatform(t)
	folder := p.keeping(resendRule)
	p.addHost("h1", 7)
	p.addHost("h2", 8)
	p.answer = func(r *http.Request) int {
		if strings.HasPrefix(r.Header.Get("Request-Id"), "ran") {
			return http.StatusInternalServerError
		}
		return http.StatusServiceUnavailable
	}
	c := p.start()
	p.take("order", "ran", "20")
	p.until("it is given up", func() bool { return len(p.told()) == 1 })
	if resp := p.handIn("order", "full", "1", func(r *http.Request) { r.Header.Set("X-Envelope", "dest=8") }); resp.StatusCode != 202 {
		t.Fatal(resp.Status)
	}
	p.until("the other one too", func() bool { return len(p.told()) == 2 })
	p.until("the other one is resent", func() bool { return len(p.again()) > 0 })
	p.kill(c)
	if r, _ := p.stored(folder, "ran"); len(r.Lives) != 1 || r.State != deadletter.Held || !strings.Contains(r.Why, "may have run") {
		t.Errorf("%+v", r)
	}
}

// A relay that is killed while a resend is out counts that as one that may have run, also where the next process ends it.
func TestAKillDuringAResend(t *testing.T) {
	p := newPlatform(t)
	folder := p.keeping(resendRule)
	p.addHost("h1", 7)
	var stuck atomic.Bool
	p.answer = func(r *http.Request) int {
		if stuck.Load() {
			return 0
		}
		return http.StatusServiceUnavailable
	}
	c := p.start()
	p.take("order", "a", "1")
	p.until("it is given up", func() bool { return len(p.told()) == 1 })
	stuck.Store(true)
	p.until("a resend is out", func() bool { return len(p.again()) > 0 })
	p.kill(c)
	before := len(p.again())
	c = p.start()
	p.until("the journal lets go", func() bool { return p.journalled() == 0 })
	p.kill(c)
	r, totals := p.stored(folder, "a")
	if totals.Messages != 1 || r.State != deadletter.Held || r.MayHaveRun() == nil || len(p.again()) != before {
		t.Errorf("%+v, %d calls more", r, len(p.again())-before)
	}
}

// A rule that its class can never allow stops the relay before it listens.
func TestRulesThatTheClassesForbid(t *testing.T) {
	p := newPlatform(t)
	p.keeping("[[undelivered.rule]]\nclass = \"order\"\nmay_have_run = true\naction = \"resend\"\nmost = 2\nrate = 1\n")
	cfg, err := ReadConfig(p.config())
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Own, err = operatorconfig.Read(p.own); err != nil {
		t.Fatal(err)
	}
	if err := Run(t.Context(), cfg, p.dir, nil); err == nil || !strings.Contains(err.Error(), "undelivered.rule[1]: resends order messages that may have run") {
		t.Errorf("error %v", err)
	}
}
