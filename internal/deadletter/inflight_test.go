package deadletter

import "testing"

func TestInFlightMessages_FindNewerAndOlder(t *testing.T) {
	var m InFlightMessages
	topic, unreadable, elsewhere := Topic{"c", 3, "s"}, Topic{"c", 3, ""}, Topic{"c", 4, "s"}
	wantNewest := func(after Order, want string, wantKnown bool) {
		t.Helper()
		if got, known := m.NewestAfter(topic, after); got != want || known != wantKnown {
			t.Errorf("newest after %v: %q, known %v", after.Whole, got, known)
		}
	}
	wantNewest(orderOf(1), "", true)
	m.Add("b", topic, orderOf(4))
	m.Add("d", topic, orderOf(6))
	m.Add("e", elsewhere, orderOf(9))
	wantNewest(orderOf(5), "d", true)
	wantNewest(orderOf(6), "", true)
	if got := m.OlderThan(topic, orderOf(5)); len(got) != 1 || got[0] != "b" {
		t.Errorf("older than 5: %v", got)
	}
	m.Add("x", unreadable, Order{})
	wantNewest(orderOf(6), "", false)
	wantNewest(orderOf(3), "d", true)
	m.Remove("d", topic)
	m.Remove("x", unreadable)
	wantNewest(orderOf(5), "", true)
	m.Remove("b", topic)
	m.Remove("e", elsewhere)
	if len(m.orders) != 0 {
		t.Errorf("after all messages were removed, %v is left", m.orders)
	}
}
