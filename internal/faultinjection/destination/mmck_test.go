package destination

import (
	"fmt"
	"math"
	"testing"
)

// Under a load of 0.5, 0.9 and 1.3 times its capacity a destination rejects the share of attempts, and completes the others in the mean
// time, that queueing theory predicts for its scenario.
func TestModel_IsAnMMcKQueue(t *testing.T) {
	const concurrency, queueLength, attempts = 4, 8, 200_000
	for _, load := range []float64{0.5, 0.9, 1.3} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			rate := load * concurrency / 0.1
			m := newModel(t, fmt.Sprintf("slots=%d\nqueue=%d\n", concurrency, queueLength))
			got := runLoad(m, rate, attempts)
			wantShare, wantTime := MMcK(rate, 0.1, concurrency, concurrency+queueLength)
			share := float64(got.rejected) / attempts
			if math.Abs(share-wantShare) > 0.004 || math.Abs(got.meanTime/wantTime-1) > 0.02 || got.delivered+got.rejected != attempts {
				t.Errorf("%.4f rejected (want %.4f), %.4f s (want %.4f), %d of %d completed", share, wantShare, got.meanTime, wantTime,
					got.delivered+got.rejected, attempts)
			}
		})
	}
}

// Without a queue MMcK is Erlang's loss formula: with 2 servers and an offered load of 1, a²/2 / (1 + a + a²/2) = 0.2 is rejected.
func TestMMcK_IsErlangsLossFormulaWithoutQueue(t *testing.T) {
	rejected, meanTime := MMcK(10, 0.1, 2, 2)
	if math.Abs(rejected-0.2) > 1e-12 {
		t.Errorf("got rejected share %v, want 0.2", rejected)
	}
	if math.Abs(meanTime-0.1) > 1e-12 {
		t.Errorf("got mean time %v s, want the service time of 0.1 s", meanTime)
	}
}
