package relay

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"frostlink/internal/deadletter"
	"frostlink/internal/wait/waittest"
)

// conflictLogged is the message that a relay logs for each redelivery rule that its settings forbid.
const conflictLogged = "redelivery rule conflicts with the settings"

// resendRule is a rule that the settings of testSettings allow.
const resendRule = `[[undelivered.rule]]
class = "status"
action = "resend"
most = 5
rate = 2
`

// keyedRule is a rule on requests that may have been executed, within the key TTL of testSettings.
const keyedRule = `[[undelivered.rule]]
class = "payment"
action = "resend"
may_have_run = true
after_s = 5
most = 3
rate = 2
`

// replaceOnce returns a change of settings. It fails the test if the settings do not have the old text.
func replaceOnce(t *testing.T, old, with string) func(string) string {
	t.Helper()
	return func(settings string) string {
		if !strings.Contains(settings, old) {
			t.Fatalf("the settings do not have %q", old)
		}
		return strings.Replace(settings, old, with, 1)
	}
}

// Guards against a relay that never starts again (review/6): new settings that a redelivery rule does not fit are applied at SIGHUP, and
// the next process has to start with them as well, however the process before it ends. The accepted requests still get their outcome.
func TestRun_StartsWithRuleThatNewSettingsForbid(t *testing.T) {
	fewerAttempts := replaceOnce(t, `"max_attempts":12`, `"max_attempts":4`)
	tests := []struct {
		name, rule     string
		change         func(string) string
		reason         string
		sharedListener bool // as a replacement needs it
		end            func(p *platform, c *child, reason string)
	}{
		{"fewer attempts, killed", resendRule, fewerAttempts, "allows 5 lives, and class status is allowed 4 attempts", false, restartKilled},
		{"fewer attempts, terminated", resendRule, fewerAttempts, "allows 5 lives, and class status is allowed 4 attempts", false, restartTerminated},
		{"fewer attempts, replaced", resendRule, fewerAttempts, "allows 5 lives, and class status is allowed 4 attempts", true, replaceProcess},
		{"class removed, killed", resendRule, replaceOnce(t, `"name":"status"`, `"name":"status-ii"`), "which the relay does not have", false, restartKilled},
		{"class removed, replaced", resendRule, replaceOnce(t, `"name":"status"`, `"name":"status-ii"`), "which the relay does not have", true, replaceProcess},
		{"not idempotent any more, killed", keyedRule, replaceOnce(t, `"idempotency":"dedup"`, `"idempotency":"fragile"`), "that class may not be repeated", false, restartKilled},
		{"shorter key TTL, killed", keyedRule, replaceOnce(t, `"memory_span_s":15`, `"memory_span_s":3`), "partners remember a key for 3s only", false, restartKilled},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPlatform(t)
			p.enableDeadLetters(tt.rule)
			p.addAdminEndpoint()
			p.addEndpoint("h1", 7)
			if tt.sharedListener {
				p.shareListener()
			}
			p.closeAfterResponses()
			p.respond = func(*http.Request) int { return http.StatusServiceUnavailable }
			c := p.start()
			p.changeSettings = tt.change
			p.reloadConfig(c, readFile(t, p.writeConfig()), true)
			p.mustAccept("order", "held", "25") // its class stays as it was
			p.nextAttempt()
			p.update(func() { p.respond = func(*http.Request) int { return http.StatusOK } })
			tt.end(p, c, tt.reason)
			p.waitFor("the accepted request has its outcome", func() bool { return len(readEntries(t, p.dir)) == 0 })
		})
	}
}

// startNext starts the next process, which must not end.
func (p *platform) startNext() *child {
	p.t.Helper()
	c := p.spawn()
	p.waitFor("the next process is ready", func() bool {
		select {
		case err := <-c.exited:
			p.t.Fatalf("the next process has ended: %v, %s", err, c.Stderr)
		default:
		}
		return p.health() == http.StatusOK
	})
	return c
}

// Guards against a relay that does not start in an empty folder, as after the loss of its machine, with a rule that the settings forbid: no
// process can tell a mistake of the operator from settings that changed while no process ran. The conflict is logged with file, key and
// reason, and counted, and the relay serves.
func TestRun_ReportsRulesThatClassesForbid(t *testing.T) {
	p := newPlatform(t)
	p.enableDeadLetters("[[undelivered.rule]]\nclass = \"order\"\nmay_have_run = true\naction = \"resend\"\nmost = 2\nrate = 1\n")
	p.addAdminEndpoint()
	p.addEndpoint("h1", 7)
	c := p.startNext()
	p.expectConflictLogged(c, "resends order messages that may have run")
	p.mustAccept("status", "served", "20")
	if id := p.nextAttempt(); id != "served" {
		t.Errorf("attempt for %s", id)
	}
}

// Guards against redeliveries by a rule that the settings forbid at the start: what its class does not allow to be repeated is held, while
// the other rules go on.
func TestRun_HoldsWhatAConflictingRuleMayNotRedeliver(t *testing.T) {
	p := newPlatform(t)
	folder := p.enableDeadLetters("clients_return = false\n" + strings.Replace(keyedRule, "after_s = 5\n", "", 1) + resendRule)
	p.changeSettings = replaceOnce(t, `"idempotency":"dedup"`, `"idempotency":"fragile"`)
	p.addAdminEndpoint()
	p.addEndpoint("h1", 7)
	p.closeAfterResponses()
	p.respond = func(r *http.Request) int {
		switch r.Header.Get("Request-Id") {
		case "executed":
			return http.StatusInternalServerError
		case "later":
			return http.StatusServiceUnavailable
		default: // a redelivery
			return http.StatusOK
		}
	}
	c := p.start()
	p.mustAccept("payment", "executed", "20")
	p.waitFor("the payment has failed and is stored", func() bool { return len(p.receivedNotices()) == 1 && p.journalEntryCount() == 0 })
	p.mustAccept("status", "later", "1")
	p.waitFor("the status was not delivered", func() bool { return len(p.receivedNotices()) == 2 })
	p.waitFor("the status is delivered by a redelivery", func() bool { return len(p.redeliveries()) > 0 && p.journalEntryCount() == 0 })
	p.kill(c)
	record, totals := p.readDeadLetter(folder, "executed")
	if record.State != deadletter.Held || len(record.Incarnations) != 1 || totals.States[deadletter.Held] != 1 {
		t.Errorf("the payment is %s after %d submissions; states %v", record.State, len(record.Incarnations), totals.States)
	}
}

// restartKilled kills a process and starts the next one.
func restartKilled(p *platform, c *child, reason string) {
	p.t.Helper()
	p.kill(c)
	p.expectConflictLogged(p.startNext(), reason)
}

// restartTerminated ends a process by SIGTERM and starts the next one.
func restartTerminated(p *platform, c *child, reason string) {
	p.t.Helper()
	p.terminate(c)
	p.expectConflictLogged(p.startNext(), reason)
}

// terminate ends a process by SIGTERM.
func (p *platform) terminate(c *child) {
	p.t.Helper()
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		p.t.Fatal(err)
	}
	if err := waittest.Receive(p.t, c.exited); err != nil {
		p.t.Errorf("the terminated process: %v", err)
	}
}

// replaceProcess starts a process that takes over from the one that runs.
func replaceProcess(p *platform, c *child, reason string) {
	p.t.Helper()
	successor := p.startSuccessor()
	p.terminate(c)
	p.expectConflictLogged(successor, reason)
}

// expectConflictLogged checks the number of conflicts that a process reports and, when the test has ended, its log.
func (p *platform) expectConflictLogged(c *child, reason string) {
	p.t.Helper()
	p.waitFor("the conflict is counted", func() bool {
		resp, err := http.Get("http://" + c.adminAddr + "/status/resources")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		var reported resources
		return json.NewDecoder(resp.Body).Decode(&reported) == nil && reported.RuleConflicts == 1
	})
	p.t.Cleanup(func() {
		p.kill(c)
		log := c.Stderr.(*bytes.Buffer).String()
		if strings.Count(log, conflictLogged) != 1 {
			p.t.Errorf("the conflict is not logged once: %s", log)
		}
		for _, want := range []string{"file=" + p.operatorPath, "key=undelivered.rule[1]", reason} {
			if !strings.Contains(log, want) {
				p.t.Errorf("the log lacks %q: %s", want, log)
			}
		}
	})
}
