package deadletter

import (
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"frostlink/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// noon is the current time in most tests.
var noon = time.Date(2026, 6, 30, 12, 0, 0, 0, time.UTC)

// testClass returns a class named c.
func testClass(idempotency Idempotency) *Class {
	return &Class{Name: "c", Idempotency: idempotency, KeyTTL: 15 * time.Second, MaxAttempts: 12}
}

// newIncarnation returns an incarnation that was accepted a minute before noon, and completed a second before it.
func newIncarnation(id string, reason Reason, attempts ...Attempt) Incarnation {
	return Incarnation{ID: id, Relay: "r", AcceptedAt: noon.Add(-time.Minute), CompletedAt: noon.Add(-time.Second), Reason: reason, Attempts: attempts}
}

// attemptAgo returns an attempt that began some time before noon.
func attemptAgo(ago time.Duration, execution Execution) Attempt {
	return Attempt{Endpoint: "h", StartedAt: noon.Add(-ago), Execution: execution}
}

// newRecord returns the record of a held message of class c.
func newRecord(incarnations ...Incarnation) *Record {
	return &Record{Version: Version, ID: "a", Class: "c", Incarnations: incarnations, State: Held, Since: noon.Add(-time.Second)}
}

// newMessage returns a held payment with one attempt that may have been executed.
func newMessage(id string) Message {
	return Message{Record: Record{
		ID: id, Class: "fee-payment", Tenant: "lahore", Destination: 3, State: Held, Since: noon,
		Incarnations: []Incarnation{newIncarnation(id, DeadlineExceeded, attemptAgo(20*time.Second, ExecutionUnknown))},
	}, Body: []byte("body of " + id)}
}

// openStore opens a store without limits, and closes it when the test ends.
func openStore(tb testing.TB, dir string) *Store {
	tb.Helper()
	s, err := Open(dir, 0, 0)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = s.Close() })
	return s
}

// storeMessages stores messages as newMessage returns them.
func storeMessages(tb testing.TB, s *Store, ids ...string) {
	tb.Helper()
	for _, id := range ids {
		if err := s.Put([]Message{newMessage(id)}); err != nil {
			tb.Fatal(err)
		}
	}
}

// storedIDs returns the ids of all messages in a store.
func storedIDs(t *testing.T, s *Store) string {
	t.Helper()
	page, _, _, err := s.Page(0, 100, 1000, nil)
	if err != nil {
		t.Fatal(err)
	}
	var ids []string
	for _, r := range page {
		ids = append(ids, r.ID)
	}
	return strings.Join(ids, " ")
}

// tempDir returns a folder that is removed after one draw of a property test.
func tempDir(t *rapid.T) string {
	dir, err := os.MkdirTemp("", "undelivered")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	return dir
}
