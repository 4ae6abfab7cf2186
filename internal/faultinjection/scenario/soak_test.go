package scenario

import "testing"

func TestSoakScenario_IsValid(t *testing.T) {
	for seed := range int64(20) {
		if _, err := Parse("soak", []byte(SoakScenario(seed, 10, 20))); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}
