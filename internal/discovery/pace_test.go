package discovery

import (
	"testing"
	"time"
)

// A burst of lists, which may be the whole list of the largest fleet and then one list for each of its endpoints, removed and added, does
// not wait. A watch that sends lists without end is slowed down to maxChangeRate, however it divides the endpoints into lists, and may
// send a burst again after a quiet time.
func TestPace_DelaysOnlyEndlessLists(t *testing.T) {
	const largestFleet = 3200
	for _, perList := range []int{0, 1, 50} {
		now := time.Now()
		p := newPace(now)
		list := func(endpoints int) {
			t.Helper()
			if delay := p.next(now, endpoints); delay != 0 {
				t.Fatalf("a list of a burst waits %v", delay)
			}
		}
		burst := func() {
			t.Helper()
			list(largestFleet)
			for range 2 * largestFleet {
				list(1)
			}
		}
		burst()
		begun := now
		const lists = 2000
		for range lists {
			now = now.Add(p.next(now, perList))
		}
		if took, want := now.Sub(begun), lists*time.Duration(max(1, perList))*time.Second/maxChangeRate; took < want-10*time.Millisecond || took > want+10*time.Millisecond {
			t.Errorf("%d further lists of %d endpoints took %v, want %v", lists, perList, took, want)
		}
		now = now.Add(maxChangeBurst * time.Second / maxChangeRate).Add(time.Second)
		burst()
	}
}
