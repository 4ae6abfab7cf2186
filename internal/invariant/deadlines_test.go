package invariant

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"frostlink/internal/clock"
)

// Overdue returns only open requests, in the order of their deadlines, and each of them once.
func TestDeadlines_ReportsOverdueOnce(t *testing.T) {
	var d Deadlines
	for _, s := range []int{5, 1, 3, 2, 4} {
		d.Add(fmt.Sprint("m", s), clock.Instant(s)*clock.Instant(time.Second))
	}
	isOpen := func(id string) bool { return id != "m2" }
	if got := d.Overdue(clock.Instant(time.Second), isOpen); got != nil {
		t.Errorf("%v overdue at its deadline", got)
	}
	second := func(s int) clock.Instant { return clock.Instant(s) * clock.Instant(time.Second) }
	if got := d.Overdue(second(1).Add(completionSlack), isOpen); fmt.Sprint(got) != "[m1]" {
		t.Errorf("overdue: %v", got)
	}
	if got := d.Overdue(second(2).Add(completionSlack), isOpen); got != nil {
		t.Errorf("overdue though completed: %v", got)
	}
	if got := d.Overdue(second(3).Add(completionSlack+stallThreshold), isOpen); fmt.Sprint(got) != "[m3]" {
		t.Errorf("overdue: %v", got)
	}
	if got, want := d.Next(), clock.Instant(4*time.Second).Add(completionSlack); got != want {
		t.Errorf("next at %v, want %v", got, want)
	}
	afterStall := second(60)
	if got := d.Overdue(afterStall, isOpen); got != nil || d.Next() != afterStall.Add(completionSlack) {
		t.Errorf("overdue after a stall: %v, next at %v", got, d.Next())
	}
	if got := d.Overdue(afterStall.Add(completionSlack), isOpen); fmt.Sprint(got) != "[m4 m5]" || d.Next() != 0 {
		t.Errorf("overdue: %v", got)
	}
}

// Deadlines leave the queue in the order of time, whatever the order in which they were added.
func TestDeadlineQueue_PopsEarliestFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q deadlineQueue
		var want []clock.Instant
		for _, at := range rapid.SliceOfN(rapid.Int64Range(0, 50), 0, 60).Draw(t, "deadlines") {
			q.push(deadline{at: clock.Instant(at)})
			want = append(want, clock.Instant(at))
		}
		slices.Sort(want)
		for i, at := range want {
			if got := q.pop().at; got != at {
				t.Fatalf("deadline %d is at %d, want %d", i, got, at)
			}
		}
		if len(q) != 0 {
			t.Fatalf("%d deadlines left in the queue", len(q))
		}
	})
}
