package faults

import (
	"slices"
	"testing"
	"time"
)

func TestJudge(t *testing.T) {
	const end = 10 * time.Second
	steady := []Execution{{"a", 1, time.Second, 2 * time.Second, true}, {"b", 2, 9 * time.Second, 9500 * time.Millisecond, true}}
	tests := map[string]struct {
		seen      observations
		want      []Check
		takeovers []float64
		void      bool
	}{
		"passed":        {observations{executions: steady}, nil, nil, false},
		"idle":          {observations{executions: steady[:1]}, []Check{CheckIdle}, nil, false},
		"nothing":       {observations{}, []Check{CheckIdle}, nil, false},
		"process ended": {observations{executions: steady, violations: []Violation{{CheckProcess, "gone"}}}, []Check{CheckProcess}, nil, false},
		"holder killed": {observations{executions: steady, holderDeaths: []time.Duration{3 * time.Second}}, nil, []float64{6}, false},
		"too busy":      {observations{executions: steady, maxLateness: time.Second}, nil, nil, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tt.seen.end = end
			r := judge(Options{Dir: "run"}, tt.seen)
			var got []Check
			for _, v := range r.Violations {
				got = append(got, v.Check)
			}
			if !slices.Equal(got, tt.want) || !slices.Equal(r.TakeoverSeconds, tt.takeovers) || r.Void != tt.void {
				t.Errorf("got %+v", r)
			}
			if failed := r.Dir != ""; failed != (len(tt.want) > 0) {
				t.Errorf("got folder %q with violations of %v", r.Dir, got)
			}
		})
	}
}
