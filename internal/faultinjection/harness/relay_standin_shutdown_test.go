package harness

import (
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"frostlink/internal/faultinjection/checker"
)

// Misbehaviors at a shutdown or a restart.
const (
	closesReadRequests   misbehavior = "closes read requests" // without a response, after SIGTERM
	endsOnSecondSIGTERM  misbehavior = "ends on a second SIGTERM"
	losesStateAtRestart  misbehavior = "forgets at a restart" // as every stand-in does, since none has a journal
	shutdownResponseTime             = 300 * time.Millisecond
)

// shutdownScenario is a scenario without faults. The test below appends terminateRepeatedly or killAfterAcceptance.
const shutdownScenario = `version = 1
name = "shutdown"
length_s = 9
relays = 1
[load]
rate = 60
[clients]
answer_ms = 2000
[[class]]
name = "status"
aim_s = 1
deadline_s = 3
effect = "safe"
service_ms = 150
spread = "fixed"
[[partner]]
name = "p"
share = 1
slots = 40
queue = 50
`

// terminateRepeatedly shuts the relay down with a series of signals. killAfterAcceptance kills the relay right after it has accepted a
// request (202).
const (
	terminateRepeatedly = "[[event]]\nat_s = 1\nwhat = \"term\"\nsignals = \"reload\"\n"
	killAfterAcceptance = "[[event]]\nat_s = 1\nwhat = \"kill\"\nbehind = true\n"
)

// onTermination keeps SIGTERM from ending the stand-in, and records that SIGTERM has arrived. A second SIGTERM ends the stand-in if
// that is its misbehavior.
func (s *relayStandIn) onTermination() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	go func() {
		<-signals
		s.terminated.Store(true)
		if <-signals; s.misbehavior == endsOnSecondSIGTERM {
			os.Exit(0)
		}
	}()
}

// misbehavesAtShutdown delays a request that arrived after SIGTERM, and reports whether it closed the connection without a
// response.
func (s *relayStandIn) misbehavesAtShutdown(w http.ResponseWriter) bool {
	if !s.terminated.Load() {
		return false
	}
	time.Sleep(shutdownResponseTime)
	if s.misbehavior != closesReadRequests {
		return false
	}
	if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
		_ = conn.Close()
	}
	return true
}

// A run reports each wrong way to end a process: closing connections on requests that were read after SIGTERM, ending at the
// second SIGTERM with unanswered requests, and losing accepted messages at a restart. The stand-ins get SIGHUP as well, and
// ignore it.
func TestRun_ReportsPlantedShutdownViolations(t *testing.T) {
	for _, tt := range []struct {
		misbehavior misbehavior
		fault       string
		rule        checker.Rule
	}{
		{closesReadRequests, terminateRepeatedly, checker.Unanswered},
		{endsOnSecondSIGTERM, terminateRepeatedly, checker.Unanswered},
		{losesStateAtRestart, killAfterAcceptance, checker.OutcomeMissing},
	} {
		t.Run(string(tt.misbehavior), func(t *testing.T) {
			t.Parallel()
			result := playStandIn(t, shutdownScenario+tt.fault, string(tt.misbehavior))
			found := map[checker.Rule]int{}
			for _, v := range result.Violations {
				found[v.Rule]++
			}
			if found[tt.rule] == 0 {
				t.Errorf("reported %v, want %q; occurred %v, failures %v", found, tt.rule, result.Occurred, result.Failures)
			}
		})
	}
}
