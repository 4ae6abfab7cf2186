package faults

import (
	"slices"
	"testing"
	"time"
)

func TestDrawSchedule_SameSeedSameSchedule(t *testing.T) {
	first, second := DrawSchedule(5, time.Minute, 3, 40), DrawSchedule(5, time.Minute, 3, 40)
	if len(first) < 20 || !slices.Equal(first, second) {
		t.Errorf("got schedules of %d and %d faults, want two equal ones of at least 20", len(first), len(second))
	}
}
