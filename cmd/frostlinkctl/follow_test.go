package main

import (
	"testing"

	"frostlink/internal/trace"
)

func TestDescribe_PutsEventsIntoWords(t *testing.T) {
	for _, tt := range []struct {
		event trace.Event
		want  string
	}{
		{trace.Event{Kind: trace.Accepted, At: 1000, Deadline: 3500, Retry: "1"}, "taken on, 2.500 s to go (Client-Retry: 1)"},
		{trace.Event{Kind: trace.Rejected, DurationMs: 250}, "refused at its arrival, told to stay away for 0.250 s"},
		{trace.Event{Kind: trace.Resubmitted, Count: 202}, "handed in once more, answered 202"},
		{trace.Event{Kind: trace.AttemptStarted, Count: 2, Endpoint: "h"}, "call 2 to h"},
		{
			trace.Event{Kind: trace.AttemptEnded, Count: 2, Endpoint: "h", Outcome: "ok", DurationMs: 12.5, NewConn: true, RateLimit: 40, RemainingFraction: 0.5},
			"call 2 to h: ok after 12.5 ms, on a new connection, 0.50 of 40.0 a second left",
		},
		{trace.Event{Kind: trace.Completed, Outcome: "delivered", DurationMs: 1500, Late: true}, "delivered, at an age of 1.500 s, late"},
		{trace.Event{Kind: trace.Recovered, Count: 3, Outcome: "failed"}, "taken up from the journal after 3 calls, owed its notice: failed"},
		{trace.Event{Kind: trace.Notified}, "the platform has its notice"},
		{trace.Event{Kind: trace.RelayStarted}, "the relay starts"},
		{trace.Event{Kind: trace.ShutdownRequested}, "the relay is told to end"},
		{trace.Event{Kind: "other"}, "other"},
	} {
		t.Run(string(tt.event.Kind), func(t *testing.T) {
			if got := describe(&tt.event); got != tt.want {
				t.Errorf("%q, want %q", got, tt.want)
			}
		})
	}
}
