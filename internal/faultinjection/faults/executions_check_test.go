package faults

import (
	"slices"
	"testing"
	"time"
)

func TestCheckExecutions_NamesEachViolation(t *testing.T) {
	execution := func(relay string, token uint64, begin, end int, accepted bool) Execution {
		return Execution{relay, token, time.Duration(begin) * time.Millisecond, time.Duration(end) * time.Millisecond, accepted}
	}
	paused := []Pause{{"a", 100 * time.Millisecond, 900 * time.Millisecond}}
	tests := map[string]struct {
		executions []Execution
		pauses     []Pause
		want       []Check
	}{
		"no overlap": {
			[]Execution{execution("a", 1, 0, 10, true), execution("b", 2, 10, 20, true)},
			nil, nil,
		},
		"two overlap": {
			[]Execution{execution("a", 1, 0, 15, true), execution("b", 2, 10, 20, true)},
			nil,
			[]Check{CheckOverlap, CheckUnpaused},
		},
		"older token rejected at the end": {
			[]Execution{execution("a", 1, 150, 250, false), execution("b", 2, 200, 260, true)},
			paused, nil,
		},
		"older token rejected at the end, without a pause": {
			[]Execution{execution("a", 1, 150, 250, false), execution("b", 2, 200, 260, true)},
			nil,
			[]Check{CheckUnpaused},
		},
		"older token accepted after a newer one": {
			[]Execution{execution("b", 2, 0, 10, true), execution("a", 1, 20, 30, true)},
			nil,
			[]Check{CheckToken},
		},
		"one token used by two relays": {
			[]Execution{execution("b", 2, 0, 10, true), execution("a", 2, 20, 30, true)},
			nil,
			[]Check{CheckToken},
		},
		"long execution overlaps several": {
			[]Execution{execution("a", 1, 0, 100, true), execution("b", 2, 150, 160, true), execution("c", 3, 155, 158, true)},
			nil,
			[]Check{CheckOverlap, CheckUnpaused},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var got []Check
			for _, v := range CheckExecutions(tt.executions, tt.pauses) {
				got = append(got, v.Check)
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("got violations of %v, want %v", got, tt.want)
			}
		})
	}
}
