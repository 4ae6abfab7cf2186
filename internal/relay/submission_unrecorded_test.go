package relay

import (
	"net/http"
	"testing"
	"time"

	"frostlink/internal/frontend"
	"frostlink/internal/journal"
)

// submitToLoop submits a request to a loop without goroutines and returns the channel of the response.
func submitToLoop(l *loop, id string) chan frontend.Response {
	response := make(chan frontend.Response, 1)
	l.handleSubmission(&frontend.Submission{
		Entry: &journal.Entry{ID: id, Class: "status", Destination: 7, Body: []byte("body")}, ReceivedAt: time.Now(), TimeLeft: time.Minute,
		Response: response, Quiet: func() (quiet, connected bool) { return true, true },
	})
	return response
}

// A request whose acceptance can't be written is rejected, and a repeated submission under its id is not answered as accepted.
// Guards against a lost message (soak 8004): the 503 was lost with its connection, the client submitted the message again, and got a
// 202 for a message that had been dropped.
func TestSubmission_RepeatedAfterUnwrittenAcceptanceIsNotAccepted(t *testing.T) {
	l, _ := keyedLoop(t, 15)
	first := submitToLoop(l, "a")
	l.dispatcher.Handle(l.now(), l.events)
	l.events = nil
	l.acceptCandidates()
	if err := l.journal.Close(); err != nil { // the next write fails
		t.Fatal(err)
	}
	l.commit(t.Context())
	if got := <-first; got.Status != http.StatusBadGateway { // the closed file can't be truncated, so that it may hold the record
		t.Fatalf("first submission: %+v", got)
	}
	if l.journal.Entry("a") != nil || l.journal.IsCompleted("a") || l.requests["a"] != nil {
		t.Errorf("the relay still knows the request: completed %v", l.journal.IsCompleted("a"))
	}
	select {
	case got := <-submitToLoop(l, "a"):
		if got.Status == http.StatusAccepted {
			t.Errorf("second submission: %+v, though the message is in no journal", got)
		}
	default: // it is decided on like any other
	}
}
