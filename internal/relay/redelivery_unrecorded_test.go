package relay

import (
	"testing"
	"time"

	"frostlink/internal/journal"
	"frostlink/policy"
)

// loopWithRedelivery returns a loop with a dead-letter link, and a redelivery that is a candidate of its batch.
func loopWithRedelivery(t *testing.T) (*loop, *deadLetterLink, *request) {
	t.Helper()
	l, _ := loopWithDispatcher(t)
	link := &deadLetterLink{loop: l, writer: &deadLetterWriter{queue: newDeadLetterQueue(false)}}
	l.subsystems = []subsystem{link}
	r := &request{Entry: &journal.Entry{
		ID: "again", Class: "order", Destination: 3, Redelivery: true, Deadline: l.timeline.Now().Add(time.Minute),
	}}
	l.addCandidate(r)
	return l, link, r
}

// What happens: a redelivery is accepted in a batch whose records can't be written. It is returned to the store, which may
// redeliver the message under another id; and the next process redelivers it under the first one, so that the message is executed
// twice. Why: a returned redelivery stayed in the journal's memory, and after an error the next commit writes the whole file from
// that. Evidence: the journal that was read after a commit which succeeded had the returned id, without an outcome.
func TestRedelivery_UnrecordedAcceptanceIsForgotten(t *testing.T) {
	l, link, _ := loopWithRedelivery(t)
	l.acceptCandidates()
	if err := l.journal.Close(); err != nil { // the next write fails
		t.Fatal(err)
	}
	l.commit(t.Context())
	if got := link.writer.queue.waiting.results; len(got) != 1 || got[0].Incarnation.ID != "again" {
		t.Fatalf("returned to the store: %+v", got)
	}
	if e := l.journal.Entry("again"); e != nil {
		t.Errorf("the next commit writes %+v, which the store may redeliver by now", e)
	}
	if l.requests["again"] != nil {
		t.Error("it is still in memory")
	}
}

// A redelivery that is rejected before it was accepted is in no journal, and leaves none.
func TestRedelivery_RejectedIsInNoJournal(t *testing.T) {
	l, link, r := loopWithRedelivery(t)
	link.claimOutcome(r, "deferred")
	mustCommit(t, l.journal)
	if l.journal.Entry("again") != nil || l.journal.IsCompleted("again") {
		t.Error("the journal knows it")
	}
	if len(l.events) == 0 || l.events[0].(policy.Arrived).ID != "again" {
		t.Errorf("events %v", l.events)
	}
}
