package clock

import (
	"encoding/json"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// machine simulates the clocks of a machine: CLOCK_BOOTTIME, and a wall clock that can be stepped.
type machine struct {
	bootID    string
	sinceBoot time.Duration
	wall      time.Duration
}

func (m *machine) readings() clockReadings {
	return clockReadings{bootID: m.bootID, sinceBoot: m.sinceBoot, wall: time.Unix(0, int64(m.wall))}
}

// Spans between the instants of any processes of one boot equal the spans of CLOCK_BOOTTIME, even if the wall
// clock is stepped. Spans across a reboot are not negative.
func TestTimeline_SpansSurviveStepsAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := machine{bootID: "first", sinceBoot: time.Hour, wall: time.Duration(1_800_000_000) * time.Second}
		timeline := newTimeline(nil, 0, m.readings())
		start, startInstant := m.sinceBoot, timeline.originInstant
		for range rapid.IntRange(1, 20).Draw(t, "events") {
			passed := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "passed"))
			m.sinceBoot, m.wall = m.sinceBoot+passed, m.wall+passed
			switch rapid.SampledFrom([]string{"step", "restart", "reboot"}).Draw(t, "event") {
			case "step":
				m.wall += time.Duration(rapid.Int64Range(int64(-2*time.Hour), int64(2*time.Hour)).Draw(t, "by"))
			case "restart":
				anchor := timeline.Anchor()
				timeline = newTimeline(&anchor, startInstant, m.readings())
				if got, want := timeline.originInstant.Sub(startInstant), m.sinceBoot-start; got != want {
					t.Fatalf("span of %v on the timeline, want %v", got, want)
				}
				if !timeline.SameBoot() {
					t.Fatal("the timeline was not continued after a restart")
				}
			case "reboot":
				anchor, latest := timeline.Anchor(), startInstant
				m.bootID, m.sinceBoot = m.bootID+"'", time.Second
				timeline = newTimeline(&anchor, latest, m.readings())
				if timeline.originInstant.Sub(latest) < 0 || timeline.SameBoot() {
					t.Fatalf("after a reboot the timeline begins at %v, or continues the timeline of the previous boot; latest instant before the reboot: %v", timeline.originInstant, latest)
				}
				if timeline.Covers(latest) {
					t.Fatal("the timeline covers an instant from before the reboot")
				}
				start, startInstant = m.sinceBoot, timeline.originInstant
			}
			if now := timeline.originInstant.Add(time.Second); !timeline.Covers(now) {
				t.Fatal("the timeline does not cover an instant of its own")
			}
		}
	})
}

// TimeOf returns a time with a monotonic reading, even for an instant that was stored and read back.
func TestTimeline_TimeOfHasMonotonicReading(t *testing.T) {
	timeline := New()
	raw, err := json.Marshal(timeline.Now().Add(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	var read Instant
	if err := json.Unmarshal(raw, &read); err != nil {
		t.Fatal(err)
	}
	if !hasMonotonicReading(timeline.TimeOf(read)) {
		t.Error("no monotonic reading")
	}
	if left := read.Sub(timeline.Now()); left <= 0 || left > time.Minute {
		t.Errorf("%v left until the deadline, want at most a minute", left)
	}
}

// InstantOf counts a time that has lost its monotonic reading.
func TestTimeline_CountsMixedReadings(t *testing.T) {
	timeline := New()
	timeline.InstantOf(time.Now())
	timeline.InstantOf(timeline.TimeOf(timeline.Now()))
	if n := timeline.MixedReadings(); n != 0 {
		t.Errorf("%d mixed readings, want none", n)
	}
	timeline.InstantOf(timeline.Now().Time())
	if n := timeline.MixedReadings(); n != 1 || timeline.MixedReadings() != 0 {
		t.Errorf("%d mixed readings, want one", n)
	}
}
