//go:build !race

package simulation

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// Relays break no rule on drawn days of each kind, with 6 seeds for 30 relays and one seed for 300. A seed gives the same result again.
func TestPlay_KeepsTheRulesOnDrawnDays(t *testing.T) {
	for _, kind := range DrawnDayNames {
		for relays, seeds := range map[int]int64{30: 6, 300: 1} {
			t.Run(fmt.Sprintf("%s of %d", kind, relays), func(t *testing.T) {
				t.Parallel()
				for seed := int64(1); seed <= seeds; seed++ {
					r := playDrawn(t, kind, relays, seed, nil)
					if len(r.Failures)+len(r.Violations) > 0 || r.Unwatched > 0 || r.DeliveredWeight < 0.5 {
						t.Errorf("seed %d: delivered weight %.3f, %d relays without a watch at the end\n%s", seed, r.DeliveredWeight, r.Unwatched,
							strings.Join(r.Failures, "\n"))
					}
				}
			})
		}
	}
	first, second := playDrawn(t, SplitDay, 12, 3, nil), playDrawn(t, SplitDay, 12, 3, nil)
	if !reflect.DeepEqual(first, second) {
		t.Errorf("two runs of one seed differ: %+v and %+v", first, second)
	}
}
