package trace

import (
	"bytes"
	"testing"
	"time"

	"frostlink/internal/goldentest"
)

func TestGoldenLines(t *testing.T) {
	goldentest.JSON(t, "forms.txt", goldentest.Form{Name: "event", Value: &Event{}})
	var out bytes.Buffer
	r := New(&Section{Log: true}, &out)
	for i, kind := range []Kind{
		RelayStarted, WatchRequested, EndpointsReceived, WatchEnded, Accepted, Rejected, Completed, AttemptStarted, AttemptEnded,
		Resubmitted, Recovered, Notified, ShutdownRequested, ConnClosed, FolderStateChanged, ClockStepped,
	} {
		r.Record(time.Duration(1_700_000_000_000+i)*time.Millisecond, Event{Kind: kind, ID: "m", Destination: 3})
	}
	goldentest.Bytes(t, "lines.txt", out.Bytes())
}
