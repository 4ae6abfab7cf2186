package settings

import (
	"errors"
	"math"
	"testing"
)

// valid returns settings that Validate accepts.
func valid() *Settings {
	category := Class{Name: "A", DeadlineS: 5, LatencyObjectiveS: 1, Idempotency: "retryable", KeyScope: "all", LateFraction: 0.5, PriorityWeight: 1}
	return &Settings{
		Discovery: "subscribe", Weights: "nominal", Classes: []Class{category},
		Limits: Limits{MaxAttempts: 3, MaxHeld: 100}, Specifics: Specifics{MaxInFlight: 4},
	}
}

// Operators see these texts when a configuration is invalid.
func TestSettings_ValidateNamesTheFirstBadValue(t *testing.T) {
	tests := []struct {
		change func(s *Settings)
		key    string
		text   string
	}{
		{func(s *Settings) { s.Discovery = "x" }, "discovery", `settings: discovery: unknown mode "x"`},
		{func(s *Settings) { s.Weights = "heavy" }, "weights", `settings: weights: unknown meaning "heavy"`},
		{
			func(s *Settings) { s.Classes = append(s.Classes, s.Classes[0]) }, "categories[1].name",
			`settings: categories[1].name: duplicate name "A"`,
		},
		{
			func(s *Settings) { s.Classes[0].DeadlineS = 0 }, "categories[0].deadline_s",
			"settings: categories[0].deadline_s: 0 is not above 0 and at most a day",
		},
		{
			func(s *Settings) { s.Classes[0].LatencyObjectiveS = math.NaN() }, "categories[0].aim_s",
			"settings: categories[0].aim_s: NaN is not from 0 to a day",
		},
		{
			func(s *Settings) { s.Classes[0].KeyTTLS = -1 }, "categories[0].memory_span_s",
			"settings: categories[0].memory_span_s: -1 is not from 0 to a day",
		},
		{
			func(s *Settings) { s.Classes[0].PriorityWeight = math.Inf(1) }, "categories[0].points",
			"settings: categories[0].points: +Inf is negative or not a finite number",
		},
		{
			func(s *Settings) { s.Classes[0].LateFraction = 1.5 }, "categories[0].late_share",
			"settings: categories[0].late_share: 1.5 is not from 0 to 1",
		},
		{func(s *Settings) { s.Limits.MaxAttempts = 0 }, "limits.max_attempts", "settings: limits.max_attempts: 0 is not from 1 to 10000000"},
		{func(s *Settings) { s.Limits.MaxHeld = -1 }, "limits.max_open", "settings: limits.max_open: -1 is not from 1 to 10000000"},
		{
			func(s *Settings) { s.Specifics.MaxInFlight = 1e8 }, "specifics.max_calls",
			"settings: specifics.max_calls: 100000000 is not from 1 to 10000000",
		},
		{
			func(s *Settings) { s.Classes[0].Idempotency = "perhaps" }, "categories[0].idempotency",
			`settings: categories[0].idempotency: unknown effect "perhaps"`,
		},
		{
			func(s *Settings) { s.Classes[0].Idempotency, s.Limits.MaxHeld = "perhaps", 0 }, "limits.max_open",
			"settings: limits.max_open: 0 is not from 1 to 10000000",
		},
	}
	for _, tt := range tests {
		t.Run(tt.key, func(t *testing.T) {
			s := valid()
			tt.change(s)
			var got *FieldError
			if err := s.Validate(); !errors.As(err, &got) || got.Key != tt.key || err.Error() != tt.text {
				t.Errorf("%v, want %s", err, tt.text)
			}
			if _, err := s.Policy(); err == nil || err.Error() != tt.text {
				t.Errorf("Policy: %v, want %s", err, tt.text)
			}
		})
	}
	if err := valid().Validate(); err != nil {
		t.Errorf("valid settings rejected: %v", err)
	}
}
