package servingmode

import (
	"testing"
	"time"
)

// Sequences of calls, queried at each stage of the drain: health changes at once with the last call, the limit on idle connections
// depends on the stage, and a shutdown can't be undone.
func TestMode_Transitions(t *testing.T) {
	start := time.Now()
	type want struct {
		state              State
		healthy            bool
		closeAfterResponse bool
		idleLimit          time.Duration
		idleLimited        bool
	}
	active := want{Active, true, false, 0, false}
	tests := []struct {
		name string
		do   func(*Mode)
		at   time.Duration
		want want
	}{
		{"at the start", func(*Mode) {}, 0, active},
		{"standby", func(m *Mode) { m.EnterStandby(start) }, 0, want{DrainingClients, false, true, 0, false}},
		{"while the front layer still sends connections", func(m *Mode) { m.EnterStandby(start) }, CloseIdleAfter - 1, want{DrainingClients, false, true, 0, false}},
		{"idle connections closed after MinIdle", func(m *Mode) { m.EnterStandby(start) }, CloseIdleAfter, want{DrainingClients, false, true, MinIdle, true}},
		{"all idle connections closed", func(m *Mode) { m.EnterStandby(start) }, CloseAllAfter, want{Standby, false, true, 0, true}},
		{"standby twice, the first counts", func(m *Mode) { m.EnterStandby(start); m.EnterStandby(start.Add(CloseAllAfter)) }, CloseAllAfter, want{Standby, false, true, 0, true}},
		{"active a tenth of a second later", func(m *Mode) { m.EnterStandby(start); m.Activate() }, 100 * time.Millisecond, active},
		{"active twice", func(m *Mode) { m.EnterStandby(start); m.Activate(); m.Activate() }, time.Hour, active},
		{
			"active and standby again", func(m *Mode) { m.EnterStandby(start); m.Activate(); m.EnterStandby(start.Add(time.Second)) }, time.Second,
			want{DrainingClients, false, true, 0, false},
		},
		{"shutdown", func(m *Mode) { m.Shutdown() }, 0, want{ShuttingDown, true, true, 0, false}},
		{"shutdown in standby", func(m *Mode) { m.EnterStandby(start); m.Shutdown() }, CloseAllAfter, want{ShuttingDown, false, true, 0, true}},
		{"active during a shutdown", func(m *Mode) { m.Shutdown(); m.Activate() }, 0, want{ShuttingDown, true, true, 0, false}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := &Mode{}
			tt.do(m)
			now := start.Add(tt.at)
			limit, limited := m.IdleLimit(now)
			if got := (want{m.State(now), m.Healthy(), m.CloseAfterResponse(), limit, limited}); got != tt.want {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}

// The names of the states are part of the response to GET /status.
func TestState_String(t *testing.T) {
	for state, want := range map[State]string{Active: "active", DrainingClients: "leaving", Standby: "standing by", ShuttingDown: "ending"} {
		if got := state.String(); got != want {
			t.Errorf("state %d is %q, want %q", state, got, want)
		}
	}
}
