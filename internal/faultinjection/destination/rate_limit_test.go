package destination

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestRateLimit_AdmitsItsRate(t *testing.T) {
	const attempts = 30_000
	for _, test := range []struct {
		lines string
		rate  float64
		want  float64 // attempts per second delivered
	}{
		{"slots=50\nlimit={count=20,span_s=1}\n", 60, 20},
		{"slots=50\nlimit={count=20,span_s=2}\n", 60, 10},
		{"slots=50\nlimit={rate=20,burst=5}\n", 60, 20},
		// A rejected attempt takes a token as well, so that a bucket that gets attempts at three times its rate stays empty.
		{"slots=50\nlimit={rate=20,burst=5}\nrefused_counted=true\n", 60, 0},
		// Three quarters of the attempts that the limit admits find all slots taken, are rejected, and count against the limit as well.
		{"slots=1\nqueue=0\nlimit={count=20,span_s=1}\nrefused_counted=true\n", 40, 5},
	} {
		t.Run(test.lines, func(t *testing.T) {
			result := runLoad(newModel(t, test.lines), test.rate, attempts)
			got := float64(result.delivered) / (attempts / test.rate)
			if math.Abs(got-test.want) > 0.1*test.want+0.3 || result.delivered+result.rejected != attempts {
				t.Errorf("%.2f per second delivered, want %.2f; %d of %d completed", got, test.want,
					result.delivered+result.rejected, attempts)
			}
		})
	}
}

// An attempt is admitted after exactly the wait of a Retry-After, and is rejected 2 ms before.
func TestModel_RetryAfterIsExact(t *testing.T) {
	for _, lines := range []string{"slots=9\nlimit={count=2,span_s=1}\n", "slots=9\nlimit={rate=2,burst=2}\n", "slots=2\nqueue=0\n"} {
		for _, early := range []time.Duration{0, 2 * time.Millisecond} {
			t.Run(fmt.Sprint(lines, early), func(t *testing.T) {
				m := newModel(t, lines+"tells=\"wait\"\n")
				const at = 300 * time.Millisecond
				var wait time.Duration
				for range 3 {
					for _, action := range m.Arrive(at, 0, &Attempt{ServiceTime: 200 * time.Millisecond, Draw: 1}) {
						if action.Completion.Outcome == OutcomeRetryAfter {
							wait = action.Completion.RetryAfter
						}
					}
				}
				if wait <= 0 {
					t.Fatal("no attempt was rejected with a Retry-After")
				}
				rejected := false
				for _, action := range m.Arrive(at+wait-early, 0, &Attempt{Draw: 1}) {
					rejected = rejected || action.Completion.Outcome == OutcomeRetryAfter
				}
				if rejected != (early > 0) {
					t.Errorf("%v before the end of the wait: got rejected %v", early, rejected)
				}
			})
		}
	}
}

// A destination whose limit is lowered to a fraction of the configured limit admits that fraction, and admits the whole configured
// limit again after the limit is restored.
func TestModel_LowerLimitScalesWhatIsAdmitted(t *testing.T) {
	for _, limit := range []string{"limit = { count = 20, span_s = 1 }", "limit = { rate = 20, burst = 5 }"} {
		t.Run(limit, func(t *testing.T) {
			m := newModel(t, limit+"\nslots = 50")
			for i, fraction := range []float64{1, 0.25, 0, 1} {
				from := time.Duration(i) * 10 * time.Second
				m.LowerLimit(from, fraction)
				admitted := countAdmitted(m, from)
				if want := 200 * fraction; math.Abs(float64(admitted)-want) > 6 { // tolerance for a burst, and for a window that the measured time covers in part
					t.Errorf("lowered to %v: %d admitted in 10 s, want %v", fraction, admitted, want)
				}
			}
		})
	}
}

// countAdmitted sends 50 attempts per second for 10 s, and returns how many were not rejected at once.
func countAdmitted(m *Model, from time.Duration) (admitted int) {
	for n := range 500 {
		attempt := &Attempt{ServiceTime: time.Millisecond}
		rejected := false
		for _, action := range m.Arrive(from+time.Duration(n)*20*time.Millisecond, 0, attempt) {
			completion := action.Completion
			rejected = rejected || completion != nil && completion.Attempt == attempt && completion.Outcome == OutcomeUnavailable
		}
		if !rejected {
			admitted++
		}
	}
	return admitted
}
