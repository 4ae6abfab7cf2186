package fleet

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"frostlink/internal/trace"
)

// writeLog writes a relay's log as a relay does.
func writeLog(t *testing.T, dir, relay string, events ...trace.Event) {
	t.Helper()
	var b bytes.Buffer
	r := trace.New(&trace.Section{Log: true}, &b)
	for _, e := range events {
		r.Record(time.Duration(e.At*float64(time.Second)), e)
	}
	if err := os.WriteFile(filepath.Join(dir, relay+".log"), b.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Each event of all relays is counted once in its second and once at its destination.
func TestSummarize_CountsEachEventOnce(t *testing.T) {
	dir := t.TempDir()
	attemptEnded := func(at float64, outcome string, newConn bool, rateLimit float64) trace.Event {
		return trace.Event{At: at, Kind: trace.AttemptEnded, Destination: 1, Endpoint: "h", Outcome: outcome, NewConn: newConn, RateLimit: rateLimit, RemainingFraction: rateLimit / 20}
	}
	writeLog(t, dir, "n0", trace.Event{At: 100, Kind: trace.RelayStarted, Count: 80}, trace.Event{At: 100, Kind: trace.WatchRequested},
		trace.Event{At: 100.5, Kind: trace.Accepted, Destination: 1}, trace.Event{At: 100.5, Kind: trace.AttemptStarted, Destination: 1, Endpoint: "h", Count: 1},
		attemptEnded(100.6, "turned away", true, 0), trace.Event{At: 101, Kind: trace.AttemptStarted, Destination: 1, Endpoint: "g", Count: 2},
		attemptEnded(101.2, "delivered", true, 10), trace.Event{At: 101.2, Kind: trace.Completed, Destination: 1, Outcome: trace.Delivered, Late: true},
		trace.Event{At: 102, Kind: trace.WatchEnded})
	writeLog(t, dir, "n1", trace.Event{At: 100.7, Kind: trace.EndpointsReceived, Count: 4}, trace.Event{At: 101.3, Kind: trace.Rejected, Destination: 0},
		attemptEnded(101.4, "turned away", true, 10), attemptEnded(101.5, "turned away", false, 0), attemptEnded(101.5, "no connection", true, 0),
		attemptEnded(101.6, "timed out", false, 0), trace.Event{At: 101.7, Kind: trace.Completed, Destination: 1, Outcome: trace.Deferred},
		trace.Event{At: 101.7, Kind: trace.Completed, Destination: 1, Outcome: trace.Undeliverable}, trace.Event{At: 102.5, Kind: trace.WatchEnded, Count: 3})
	logs, err := ReadFiles([]string{dir})
	if err != nil || len(logs.BadLines) > 0 {
		t.Fatal(err, logs.BadLines)
	}
	got := Summarize(logs.Events)
	want := &Summary{
		Relays: 2, FleetSize: 80,
		Seconds: []Second{
			{At: 0, Starts: 1, WatchRequests: 1, EndpointUpdates: 1, Counts: Counts{FirstAttempts: 1, ConnectionsRejected: 1, NewConnections: 1, Accepted: 1}},
			{At: 1, Counts: Counts{Retries: 1, Delivered: 1, OverLimit: 2, ConnectFailures: 1, OtherFailures: 1, NewConnections: 3, Rejected: 1, DeliveredLate: 1, Deferred: 1, Undeliverable: 1}},
			{At: 2, EmptyWatches: 1},
		},
		Destinations: []Destination{
			{Number: 0, Relays: 1, Counts: Counts{Rejected: 1}},
			{Number: 1, Endpoints: 2, Relays: 1, RateLimit: 10, RemainingFraction: 0.5, Counts: Counts{
				FirstAttempts: 1, Retries: 1, Delivered: 1, OverLimit: 2, ConnectionsRejected: 1, ConnectFailures: 1,
				OtherFailures: 1, NewConnections: 4, Accepted: 1, DeliveredLate: 1, Deferred: 1, Undeliverable: 1,
			}},
		},
		Total: Counts{
			FirstAttempts: 1, Retries: 1, Delivered: 1, OverLimit: 2, ConnectionsRejected: 1, ConnectFailures: 1, OtherFailures: 1, NewConnections: 4, Accepted: 1, Rejected: 1, DeliveredLate: 1,
			Deferred: 1, Undeliverable: 1,
		},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}

// An outage is a time in which all attempts failed. The attempts just after it are counted, with the relays that had sent none
// during the outage.
func TestSummarize_FindsOutages(t *testing.T) {
	var events []RelayEvent
	addAttempt := func(relay string, at float64, outcome string) {
		events = append(events, RelayEvent{relay, trace.Event{At: at * 1000, Kind: trace.AttemptStarted, Destination: 3, Count: 1}},
			RelayEvent{relay, trace.Event{At: at*1000 + 50, Kind: trace.AttemptEnded, Destination: 3, Outcome: outcome, DurationMs: 50}})
	}
	addAttempt("a", 0, "delivered")
	for i := range 12 {
		addAttempt([]string{"a", "b"}[i%2], 1+0.2*float64(i), "no connection")
	}
	addAttempt("b", 5, "delivered")
	addAttempt("c", 5.5, "delivered")
	addAttempt("a", 9, "delivered")
	for i := range 9 { // too few failures for an outage
		addAttempt("a", 10+0.2*float64(i), "turned away")
	}
	got := Summarize(events).Destinations[0].Outages
	want := []Outage{{From: 1, To: 5.05, Attempts: 13, Relays: 2, RecoveryAttempts: 1, RecoveryRelays: 1, UnawareRelays: 1}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Incomplete lines, lines of another version and lines that are too long are listed with their line numbers. Lines without an
// event are counted.
func TestRead_NamesBadLines(t *testing.T) {
	text := "0.1 2026/12/01 WARN watch ended\n" + `0.2 {"trace":1,"at":1,"ev":"ask","dest":0}` + "\n" + `{"trace":9,"at":1}` + "\n" +
		`{"trace":1,"x":"` + strings.Repeat("y", maxLine) + "\"}\n" + `{"trace":1,"at":1,"ev":"se`
	l := &Logs{}
	if err := l.Read("n7.log", strings.NewReader(text)); err != nil {
		t.Fatal(err)
	}
	if len(l.Events) != 1 || l.Events[0].Relay != "n7" || l.OtherLines != 1 || len(l.BadLines) != 3 {
		t.Fatalf("%d events, %d other lines, bad lines %v", len(l.Events), l.OtherLines, l.BadLines)
	}
	for i, line := range []int{3, 4, 5} {
		if got := l.BadLines[i]; got.Line != line || !strings.HasPrefix(got.String(), fmt.Sprintf("n7.log:%d: ", line)) {
			t.Errorf("bad line %d is %v", i, got)
		}
	}
	folder := t.TempDir()
	if _, err := ReadFiles([]string{folder}); !errors.Is(err, EmptyFolderError{folder}) {
		t.Errorf("reading an empty folder: %v", err)
	}
}

// Read does not panic on any text, and counts every line exactly once.
func FuzzRead(f *testing.F) {
	f.Add(`{"trace":1,"at":1,"ev":"answer","dest":2,"how":"delivered","ms":1}` + "\nx\n" + `{"trace":1,`)
	f.Fuzz(func(t *testing.T, text string) {
		l := &Logs{}
		if err := l.Read("n", strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
		lines := strings.Count(text, "\n")
		if !strings.HasSuffix(text, "\n") && strings.TrimRight(text[strings.LastIndex(text, "\n")+1:], "\r") != "" {
			lines++
		}
		if got := len(l.Events) + len(l.BadLines) + l.OtherLines; got != lines {
			t.Fatalf("%d lines were counted, the text has %d", got, lines)
		}
		Summarize(l.Events)
	})
}
