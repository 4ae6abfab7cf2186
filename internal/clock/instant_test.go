package clock

import (
	"encoding/json"
	"testing"
	"time"
)

// Wall-clock times are decoded in the forms in which earlier versions of the program wrote them.
func TestInstant_DecodesDates(t *testing.T) {
	for text, want := range map[string]Instant{
		`"2026-12-02T09:57:39.123456789Z"`:      FromTime(time.Date(2026, 12, 2, 9, 57, 39, 123456789, time.UTC)),
		`"2026-12-02T14:57:39.123456789+05:00"`: FromTime(time.Date(2026, 12, 2, 9, 57, 39, 123456789, time.UTC)),
		`"0001-01-01T00:00:00Z"`:                0,
	} {
		t.Run(text, func(t *testing.T) {
			var got Instant
			if err := json.Unmarshal([]byte(text), &got); err != nil || got != want {
				t.Errorf("got %d, err %v, want %d", got, err, want)
			}
		})
	}
}
