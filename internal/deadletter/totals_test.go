package deadletter

import (
	"fmt"
	"testing"
)

// Ever new tenants are counted together from a bound on; a class and tenant without messages is forgotten.
func TestTotals_BoundedForEverNewTenants(t *testing.T) {
	const tenants = 4 * maxCountedGroups
	s := openStore(t, t.TempDir())
	for i := range tenants {
		if err := s.CountRejected(map[string]int{fmt.Sprint("status of tenant", i): 1}); err != nil {
			t.Fatal(err)
		}
	}
	storeMessages(t, s, "a", "b")
	if err := s.Remove([]string{"a"}); err != nil {
		t.Fatal(err)
	}
	totals, groups, err := s.Totals()
	if err != nil || len(totals.Rejected) != maxCountedGroups+1 || totals.Rejected[otherGroups] != tenants-maxCountedGroups || len(groups) != 1 {
		t.Errorf("%d groups, %d counted as others, groups of messages %+v, err %v", len(totals.Rejected), totals.Rejected[otherGroups], groups, err)
	}
	if err := s.Remove([]string{"b"}); err != nil {
		t.Fatal(err)
	}
	if _, groups, err = s.Totals(); err != nil || len(groups) != 0 {
		t.Errorf("groups without a message: %+v, err %v", groups, err)
	}
}

// A page that was released is read again.
func TestStore_ReadsAfterRelease(t *testing.T) {
	s := openStore(t, t.TempDir())
	const messages = 3 * max(recordsPerRelease, transactionsPerRelease)
	for i := range messages {
		storeMessages(t, s, fmt.Sprint(i))
	}
	seen := map[string]bool{}
	for range 3 {
		page, _, damaged, err := s.Page(0, messages, messages, nil)
		if err != nil || damaged > 0 {
			t.Fatalf("%d damaged, %v", damaged, err)
		}
		for _, r := range page {
			seen[r.ID] = true
			if body, err := s.Body(r.ID); err != nil || string(body) != "body of "+r.ID {
				t.Fatalf("body %q, %v", body, err)
			}
		}
	}
	if len(seen) != messages {
		t.Errorf("%d messages, want %d", len(seen), messages)
	}
}
