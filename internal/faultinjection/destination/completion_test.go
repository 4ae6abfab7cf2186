package destination

import (
	"testing"
	"time"
)

// An endpoint executes one attempt at a time. Of its three attempts the first, which is executing, and the second, which is queued, are
// cancelled; the test checks for each cancel behavior which attempts are executed, which keys are forgotten, and when the third completes.
func TestModel_CancelBehavior(t *testing.T) {
	for _, test := range []struct {
		behavior string
		executed []bool          // indexed by attempt
		lastAt   time.Duration   // when the third attempt completes
		lost     map[string]bool // keys that are forgotten
	}{
		{"runs-on", []bool{true, true, true}, 3 * time.Second, nil},
		{"leaves-queue", []bool{true, false, true}, 2 * time.Second, map[string]bool{"1": true}},
		{"stops", []bool{false, false, true}, 1500 * time.Millisecond, map[string]bool{"0": true, "1": true}},
	} {
		t.Run(test.behavior, func(t *testing.T) {
			m := newModel(t, "slots=1\nqueue=2\ncancelled=\""+test.behavior+"\"\n")
			attempts := make([]*Attempt, 3)
			for i, key := range []string{"0", "1", "2"} {
				attempts[i] = &Attempt{Key: key, KeyTTL: time.Minute, ServiceTime: time.Second, Draw: 1}
				m.Arrive(0, 0, attempts[i])
			}
			m.Cancel(500*time.Millisecond, attempts[1])
			m.Cancel(500*time.Millisecond, attempts[0])
			executed, lastAt := map[*Attempt]bool{}, time.Duration(0)
			for _, action := range m.Advance(10 * time.Second) {
				executed[action.Completion.Attempt] = action.Completion.Executed
				lastAt = action.Completion.At
			}
			for i, attempt := range attempts {
				if executed[attempt] != test.executed[i] {
					t.Errorf("attempt %d: got executed %v", i, executed[attempt])
				}
				if m.keys.has(attempt.Key, 0) == test.lost[attempt.Key] {
					t.Errorf("attempt %d: got key remembered %v", i, test.lost[attempt.Key])
				}
			}
			if lastAt != test.lastAt {
				t.Errorf("last attempt completed at %v, want %v", lastAt, test.lastAt)
			}
		})
	}
}
