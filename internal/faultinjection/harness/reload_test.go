package harness

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"frostlink/internal/faultinjection/scenario"
)

// Every corruption that a scenario can name changes a relay's configuration file in the intended way.
func TestCorruptFile_BreaksTheConfiguration(t *testing.T) {
	h := newHarnessWithoutRelays(t, loadScenario(t, 50, 5, 1, 1, 4, 4, 1))
	original := configuration(t, h.relays[0])
	for _, test := range []struct {
		corruption string
		readable   bool
		lostLimit  string // key that is missing from the settings' limits
	}{
		{corruption: scenario.CorruptionEmpty},
		{corruption: scenario.CorruptionTruncated},
		{corruption: scenario.CorruptionMissingKey, readable: true, lostLimit: "max_attempts"},
		{corruption: scenario.CorruptionZeroValue, readable: true},
	} {
		t.Run(test.corruption, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "config.json")
			if err := os.WriteFile(path, original, 0o600); err != nil {
				t.Fatal(err)
			}
			if err := corruptFile(path, test.corruption); err != nil {
				t.Fatal(err)
			}
			corrupted, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if string(corrupted) == string(original) {
				t.Error("the file is unchanged")
			}
			if json.Valid(corrupted) != test.readable {
				t.Errorf("the file is valid JSON: %v", !test.readable)
			}
			if test.lostLimit != "" && limits(t, corrupted)[test.lostLimit] != nil {
				t.Errorf("%s is still in the file", test.lostLimit)
			}
		})
	}
}

// configuration writes a relay's configuration file, and returns its content.
func configuration(t *testing.T, r *relay) []byte {
	t.Helper()
	if err := r.configure(); err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(r.configPath())
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// limits returns the settings' limits of a configuration file.
func limits(t *testing.T, raw []byte) map[string]any {
	t.Helper()
	var config struct {
		Settings struct {
			Limits map[string]any `json:"limits"`
		} `json:"settings"`
	}
	if err := json.Unmarshal(raw, &config); err != nil {
		t.Fatal(err)
	}
	return config.Settings.Limits
}
