package relay

import (
	"slices"
	"testing"
	"time"

	"frostlink/internal/invariant"
	"frostlink/policy"
)

// loopWithDispatcher returns a loop with an accepted request whose record is durable, and a dispatcher that holds nothing.
func loopWithDispatcher(t *testing.T) (*loop, *request) {
	t.Helper()
	l, r := loopWithAcceptedRequest(t, policy.Class{Name: "order", Idempotency: policy.NotIdempotent}, time.Minute)
	cfg, err := ReadConfig(newPlatform(t).writeConfig())
	if err != nil {
		t.Fatal(err)
	}
	if l.dispatcher, err = policy.New(cfg.policy, cfg.seed); err != nil {
		t.Fatal(err)
	}
	mustCommit(t, l.journal)
	return l, r
}

// While the records can't be written, effects that need a record are not carried out, and effects that need none are.
func TestCommit_EffectsWaitForRecords(t *testing.T) {
	l, r := loopWithDispatcher(t)
	if err := l.journal.Close(); err != nil { // the next write fails
		t.Fatal(err)
	}
	var done []string
	note := func(effect string) func() { return func() { done = append(done, effect) } }
	l.planAttempt(l.now(), policy.Send{ID: r.ID, Endpoint: "h"})
	l.afterCommit(note("after commit"))
	l.afterCommitOrBy(l.timeline.Now().Add(time.Minute), note("after commit or later"))
	l.afterCommitOrBy(l.timeline.Now(), note("after commit or now"))
	l.immediately(note("immediate"))
	l.commit(t.Context())
	if want := []string{"immediate", "after commit or now"}; !slices.Equal(done, want) {
		t.Errorf("done %v, want %v", done, want)
	}
	if l.attemptsInFlight != 0 || r.attemptInFlight || l.violations.ByKind()[invariant.SendUnrecorded.String()] != 0 {
		t.Errorf("%d attempts in flight, violations: %v", l.attemptsInFlight, l.violations.ByKind())
	}
	notSent := func(e policy.Event) bool {
		ended, ok := e.(policy.AttemptEnded)
		return ok && ended.Outcome == policy.NotSent
	}
	if !slices.ContainsFunc(l.events, notSent) || l.wakeAt != 0 {
		t.Errorf("the dispatcher gets no AttemptEnded with NotSent at once: %v", l.events)
	}
}

// If the records are written, effects run in order: those that need no record first.
func TestCommit_RunsEffectsInOrder(t *testing.T) {
	l, _ := loopWithDispatcher(t)
	var done []string
	note := func(effect string) func() { return func() { done = append(done, effect) } }
	l.afterCommit(note("after commit"))
	l.afterCommitOrBy(l.timeline.Now().Add(time.Minute), note("after commit or later"))
	l.immediately(note("immediate"))
	l.commit(t.Context())
	if want := []string{"immediate", "after commit", "after commit or later"}; !slices.Equal(done, want) {
		t.Errorf("done %v, want %v", done, want)
	}
	l.commit(t.Context())
	if len(done) != 3 {
		t.Errorf("effects ran twice: %v", done)
	}
}
