//go:build !race

package coordsim

import (
	"encoding/json"
	"reflect"
	"testing"
)

// TestDrawn plays some hundred runs; frostlink-coord prove plays ten thousand.
func TestDrawn(t *testing.T) {
	const seeds, shards = 300, 12
	for shard := range uint64(shards) {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			for seed := shard + 1; seed <= seeds; seed += shards {
				if r := Play(seed); len(r.Violations) > 0 {
					raw, _ := json.Marshal(r)
					t.Errorf("%s", raw)
				}
			}
		})
	}
}

// TestSameAgain: a seed plays its run again, to the last act.
func TestSameAgain(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 5; seed++ {
		a, b := draw(seed), draw(seed)
		a.play()
		b.play()
		if !reflect.DeepEqual(a.history, b.history) || !reflect.DeepEqual(a.grants, b.grants) || len(a.acts) != len(b.acts) || len(a.acts) == 0 {
			t.Errorf("seed %d: %d acts, %d grants and %d values, and again %d, %d and %d", seed, len(a.acts), len(a.grants), len(a.history),
				len(b.acts), len(b.grants), len(b.history))
		}
	}
}
