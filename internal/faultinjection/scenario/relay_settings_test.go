package scenario

import "testing"

func TestRelaySettings_AreValidForShippedScenarios(t *testing.T) {
	for name, s := range readShipped(t) {
		t.Run(name, func(t *testing.T) {
			relaySettings := s.RelaySettings(0)
			if _, err := relaySettings.Policy(); err != nil {
				t.Error(err)
			}
		})
	}
}
