package discovery

import (
	"testing"
	"time"
)

// A burst of lists, one for each endpoint of the largest fleet, does not wait. A watch that sends lists without end is slowed down to
// maxListRate, and may send a burst again after a quiet time.
func TestPace_DelaysOnlyEndlessLists(t *testing.T) {
	now := time.Now()
	p := newPace(now)
	burst := func() {
		for i := range maxListBurst {
			if delay := p.next(now); delay != 0 {
				t.Fatalf("list %d of a burst waits %v", i, delay)
			}
		}
	}
	burst()
	begun := now
	for range 2000 {
		now = now.Add(p.next(now))
	}
	if took, want := now.Sub(begun), 2000*time.Second/maxListRate; took < want-10*time.Millisecond || took > want+10*time.Millisecond {
		t.Errorf("2000 further lists took %v, want %v", took, want)
	}
	now = now.Add(maxListBurst * time.Second / maxListRate).Add(time.Second)
	burst()
}
