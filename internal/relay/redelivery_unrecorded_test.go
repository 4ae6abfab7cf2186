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
	link := &deadLetterLink{loop: l, writer: &deadLetterWriter{queue: newDeadLetterQueue(0)}}
	l.subsystems = []subsystem{link}
	r := &request{Entry: &journal.Entry{
		ID: "again", Class: "order", Destination: 3, Redelivery: true, Deadline: l.timeline.Now().Add(time.Minute),
	}}
	l.addCandidate(r)
	return l, link, r
}

// A redelivery that is accepted in a batch whose records can't be written is returned to the store, and must be dropped from the
// journal's memory. Guards against executing the message twice: after a write error the next commit writes the whole file
// from memory, which still held the returned redelivery as open. The next process then redelivered it under this id, while the
// store could redeliver the message under another one.
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
		t.Errorf("the next commit would write %+v, which the store may redeliver as well", e)
	}
	if l.requests["again"] != nil {
		t.Error("the loop still holds the redelivery")
	}
}

// A redelivery that is rejected before it is accepted leaves no entry in the journal, neither open nor completed.
func TestRedelivery_RejectedIsInNoJournal(t *testing.T) {
	l, link, r := loopWithRedelivery(t)
	link.claimOutcome(r, "deferred")
	mustCommit(t, l.journal)
	if l.journal.Entry("again") != nil || l.journal.IsCompleted("again") {
		t.Error("the journal has the rejected redelivery")
	}
	if len(l.events) == 0 || l.events[0].(policy.Arrived).ID != "again" {
		t.Errorf("events %v", l.events)
	}
}
