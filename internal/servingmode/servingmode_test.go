package servingmode

import (
	"testing"
	"time"
)

// Every sequence of words at every stage: health follows the last word at once, connections rest as the stage says, and
// nothing undoes a planned end but the process itself.
func TestStance(t *testing.T) {
	start := time.Now()
	type want struct {
		state   State
		healthy bool
		last    bool
		rest    time.Duration
		bounded bool
	}
	open := want{Active, true, false, 0, false}
	tests := []struct {
		name string
		do   func(*Stance)
		at   time.Duration
		want want
	}{
		{"at the start", func(*Stance) {}, 0, open},
		{"told to leave", func(s *Stance) { s.Leave(start) }, 0, want{Leaving, false, true, 0, false}},
		{"while the front still sends", func(s *Stance) { s.Leave(start) }, CloseRested - 1, want{Leaving, false, true, 0, false}},
		{"once it does not", func(s *Stance) { s.Leave(start) }, CloseRested, want{Leaving, false, true, Rested, true}},
		{"all without a request go", func(s *Stance) { s.Leave(start) }, CloseAll, want{StandingBy, false, true, 0, true}},
		{"told twice, the first counts", func(s *Stance) { s.Leave(start); s.Leave(start.Add(CloseAll)) }, CloseAll, want{StandingBy, false, true, 0, true}},
		{"taken back a tenth of a second later", func(s *Stance) { s.Leave(start); s.Return() }, 100 * time.Millisecond, open},
		{"taken back twice", func(s *Stance) { s.Leave(start); s.Return(); s.Return() }, time.Hour, open},
		{"taken back and told again", func(s *Stance) { s.Leave(start); s.Return(); s.Leave(start.Add(time.Second)) }, time.Second,
			want{Leaving, false, true, 0, false}},
		{"a planned end", func(s *Stance) { s.End() }, 0, want{Ending, true, true, 0, false}},
		{"a planned end while standing by", func(s *Stance) { s.Leave(start); s.End() }, CloseAll, want{Ending, false, true, 0, true}},
		{"active during a planned end", func(s *Stance) { s.End(); s.Return() }, 0, want{Ending, true, true, 0, false}},
	}
	for _, tt := range tests {
		s := &Stance{}
		tt.do(s)
		now := start.Add(tt.at)
		rest, bounded := s.MayRest(now)
		if got := (want{s.State(now), s.Healthy(), s.LastAnswer(), rest, bounded}); got != tt.want {
			t.Errorf("%s: %+v, want %+v", tt.name, got, tt.want)
		}
	}
}
