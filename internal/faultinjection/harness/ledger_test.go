package harness

import (
	"testing"
	"time"

	"frostlink/internal/faultinjection/scenario"
)

// An accepted submission is open until it is delivered, the platform is notified of its outcome, or its relay's state is lost.
func TestLedger_CompletesAcceptedSubmissions(t *testing.T) {
	for name, complete := range map[string]func(l *ledger, s *submission){
		"delivered":         func(l *ledger, s *submission) { l.attemptEnded(s, time.Second, 2*time.Second, false, true) },
		"outcome notified":  func(l *ledger, s *submission) { l.completed(s.id) },
		"lost with a relay": func(l *ledger, s *submission) { l.takeHeldBy(s.relay) },
	} {
		t.Run(name, func(t *testing.T) {
			l, s := newLedger(), &submission{message: &scenario.Message{}, id: "id"}
			l.submitted(s)
			l.accepted(s)
			if l.allCompleted() {
				t.Error("completed as soon as it was accepted")
			}
			l.attemptStarted(s.id)
			complete(l, s)
			if !l.allCompleted() {
				t.Error("not completed")
			}
		})
	}
}

// A rejected attempt was not executed. Any other attempt may have been executed from its start on.
func TestLedger_NotesWhenAnAttemptMayHaveRun(t *testing.T) {
	l, s := newLedger(), &submission{message: &scenario.Message{}, id: "id"}
	l.submitted(s)
	l.attemptStarted(s.id)
	l.attemptEnded(s, time.Second, 2*time.Second, true, false)
	if at := l.state(s).mayHaveRunAt; at != 0 {
		t.Errorf("a rejected attempt counts as possibly executed at %v", at)
	}
	l.attemptStarted(s.id)
	l.attemptEnded(s, 3*time.Second, 4*time.Second, false, false)
	if at := l.state(s).mayHaveRunAt; at != 3*time.Second {
		t.Errorf("an attempt from 3 s on counts as possibly executed at %v, want 3 s", at)
	}
}
