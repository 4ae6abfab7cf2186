package policy

import (
	"errors"
	"strings"
	"testing"
)

func TestNew_RefusesUnusableSettings(t *testing.T) {
	tests := []struct {
		field      string
		invalidate func(*Settings)
	}{
		{"Classes", func(s *Settings) { s.Classes = nil }},
		{"Classes[0].Deadline", func(s *Settings) { s.Classes[0].Deadline = -1 }},
		{"Classes[1].Memory", func(s *Settings) { s.Classes[1].KeyTTL = -1 }},
		{"Classes[2].Effect", func(s *Settings) { s.Classes[2].Idempotency = 7 }},
		{"Slots", func(s *Settings) { s.MaxInFlight = 0 }},
		{"Instances", func(s *Settings) { s.Instances = 0 }},
		{"HoldRoom", func(s *Settings) { s.MaxQueued = 0 }},
		{"Weights", func(s *Settings) { s.Weights = 9 }},
		{"OrderPause", func(s *Settings) { s.OrderKeyCooldown = -1 }},
	}
	for _, tt := range tests {
		t.Run(tt.field, func(t *testing.T) {
			s := testSettings()
			tt.invalidate(&s)
			_, err := New(s, 1)
			if err == nil || !strings.Contains(err.Error(), tt.field) {
				t.Fatalf("error %v", err)
			}
			var setting *SettingError
			if !errors.As(err, &setting) || setting.Setting != tt.field {
				t.Errorf("error %#v, want a SettingError for %s", err, tt.field)
			}
		})
	}
}
