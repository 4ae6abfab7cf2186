package clock

import (
	"encoding/json"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// machine is a machine's clocks: one that runs on, and a wall clock that is stepped.
type machine struct {
	boot  string
	since time.Duration
	wall  time.Duration
}

func (m *machine) sources() sources {
	return sources{boot: m.boot, since: m.since, wall: time.Unix(0, int64(m.wall))}
}

// Spans between instants of any two processes of one boot are those of the clock that nobody sets, whatever steps the wall clock
// makes; over a boot none is below zero.
func TestSpansThroughStepsAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := machine{boot: "first", since: time.Hour, wall: time.Duration(1_800_000_000) * time.Second}
		timeline := resume(nil, 0, m.sources())
		begun, at := m.since, timeline.at
		for range rapid.IntRange(1, 20).Draw(t, "events") {
			passed := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "passed"))
			m.since, m.wall = m.since+passed, m.wall+passed
			switch rapid.SampledFrom([]string{"step", "restart", "reboot"}).Draw(t, "event") {
			case "step":
				m.wall += time.Duration(rapid.Int64Range(int64(-2*time.Hour), int64(2*time.Hour)).Draw(t, "by"))
			case "restart":
				anchor := timeline.Anchor()
				timeline = resume(&anchor, at, m.sources())
				if got, want := timeline.at.Sub(at), m.since-begun; got != want {
					t.Fatalf("%v passed, and %v by the timeline", want, got)
				}
				if !timeline.SameBoot() {
					t.Fatal("a restart does not continue the timeline")
				}
			case "reboot":
				anchor, latest := timeline.Anchor(), at
				m.boot, m.since = m.boot+"'", time.Second
				timeline = resume(&anchor, latest, m.sources())
				if timeline.at.Sub(latest) < 0 || timeline.SameBoot() {
					t.Fatalf("after a reboot the timeline is at %v, and was at %v", timeline.at, latest)
				}
				begun, at = m.since, timeline.at
			}
		}
	})
}

// A deadline that went through a file is one of this process: it has a monotonic reading.
func TestMomentHasAMonotonicReading(t *testing.T) {
	timeline := New()
	raw, err := json.Marshal(timeline.Now().Add(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	var read Instant
	if err := json.Unmarshal(raw, &read); err != nil {
		t.Fatal(err)
	}
	if m := timeline.TimeOf(read); m == m.Round(0) {
		t.Error("there is none")
	}
	if left := read.Sub(timeline.Now()); left <= 0 || left > time.Minute {
		t.Errorf("%v left of a minute", left)
	}
}

// A time that lost its monotonic reading is noticed where it is taken for one of this process.
func TestMixedClocksAreNoticed(t *testing.T) {
	timeline := New()
	timeline.InstantOf(time.Now())
	timeline.InstantOf(timeline.TimeOf(timeline.Now()))
	if n := timeline.MixedReadings(); n != 0 {
		t.Errorf("%d without one", n)
	}
	timeline.InstantOf(timeline.Now().Time())
	if n := timeline.MixedReadings(); n != 1 || timeline.MixedReadings() != 0 {
		t.Errorf("%d of one", n)
	}
}

// The forms in which earlier programs wrote wall times are read.
func TestInstantsReadOlderForms(t *testing.T) {
	for text, want := range map[string]Instant{
		`"2026-12-02T09:57:39.123456789Z"`:      FromTime(time.Date(2026, 12, 2, 9, 57, 39, 123456789, time.UTC)),
		`"2026-12-02T14:57:39.123456789+05:00"`: FromTime(time.Date(2026, 12, 2, 9, 57, 39, 123456789, time.UTC)),
		`"0001-01-01T00:00:00Z"`:                0,
	} {
		var got Instant
		if err := json.Unmarshal([]byte(text), &got); err != nil || got != want {
			t.Errorf("%s: %d, %v, want %d", text, got, err, want)
		}
	}
}

func TestStepWatch(t *testing.T) {
	timeline := New()
	w := NewStepDetector(timeline)
	if step, stepped := w.Check(); stepped {
		t.Errorf("a step of %v without one", step)
	}
	timeline.at = timeline.at.Add(time.Hour) // as if the wall clock had been stepped back
	if step, stepped := w.Check(); !stepped || (step+time.Hour).Abs() > time.Minute {
		t.Errorf("a step back by an hour is seen as %v", step)
	}
	if step, stepped := w.Check(); stepped {
		t.Errorf("the same step again: %v", step)
	}
}
