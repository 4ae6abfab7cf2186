//go:build !race

package coordsim

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
)

// frostlink-coord prove plays ten thousand runs of this kind.
func TestPlay_DrawnRunsPassAllChecks(t *testing.T) {
	const seeds, shards = 300, 12
	for shard := range uint64(shards) {
		t.Run(fmt.Sprint("shard ", shard), func(t *testing.T) {
			t.Parallel()
			for seed := shard + 1; seed <= seeds; seed += shards {
				r := Play(seed)
				if len(r.Violations) == 0 {
					continue
				}
				raw, err := json.Marshal(r)
				t.Errorf("violations in run %s (encoding error: %v)", raw, err)
			}
		})
	}
}

// Two runs of one seed have the same operations, grants and number of executions.
func TestPlay_SameSeedSameRun(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 5; seed++ {
		first, second := newSimulation(seed), newSimulation(seed)
		first.play()
		second.play()
		if !reflect.DeepEqual(first.operations, second.operations) || !reflect.DeepEqual(first.grants, second.grants) ||
			len(first.executions) != len(second.executions) || len(first.executions) == 0 {
			t.Errorf("seed %d: first run has %d executions, %d grants and %d operations, second run %d, %d and %d, or their contents differ", seed,
				len(first.executions), len(first.grants), len(first.operations),
				len(second.executions), len(second.grants), len(second.operations))
		}
	}
}
