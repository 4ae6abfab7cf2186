package pressure

import (
	"fmt"
	"testing"
	"time"

	"frostlink/internal/deadletter"
)

// Requests that are rejected or never delivered, with large bodies and under ever new names, take a relay with a dead-letter store that
// holds many messages past none of its limits, also while another process has the store.
func TestRelay_DeadLettersStayWithinMemory(t *testing.T) {
	for _, tt := range []struct {
		name        string
		behavior    Behavior
		serviceTime time.Duration
		inUse       bool // another process has the store
	}{
		{"never delivered", LargeRequests, stuckTime, false},
		{"rejected", LateRequests, 5 * time.Millisecond, false},
		{"never delivered, store in use", LargeRequests, stuckTime, true},
		{"rejected, store in use", LateRequests, 5 * time.Millisecond, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			relay, platform := newRelay(t, smallest)
			folder := t.TempDir()
			relay.Operator = fmt.Sprintf("[undelivered]\nfolder = %q\nquota_mb = 512\nmessages = 100000\nage_s = 3600\nrefused = true\n", folder)
			platform.ServiceTime = tt.serviceTime
			store := fillStore(t, folder, 2000)
			if tt.inUse {
				defer func() { _ = store.Close() }() // each write was a transaction of its own
			} else if err := store.Close(); err != nil {
				t.Fatal(err)
			}
			start(t, relay)
			crowd := NewCrowd(relay.Address, 50, tt.behavior)
			answers := newOrdinary(relay, "dead-letter").Run(crowdTime)
			crowd.Close()
			t.Logf("store of %.1f MB", megabytes(FolderBytes(folder)))
			checkInTime(t, answers, minInTime)
			checkUsage(t, relay)
		})
	}
}

// fillStore creates a dead-letter store with large messages.
func fillStore(t *testing.T, folder string, messages int) *deadletter.Store {
	t.Helper()
	store, err := deadletter.Open(folder, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	for i := range messages {
		id := fmt.Sprintf("stored-%d", i)
		message := deadletter.Message{Body: []byte(largeBody)}
		message.Record = deadletter.Record{
			ID: id, Class: "status", Tenant: "acme", Destination: 1, State: deadletter.Held, Since: now,
			Incarnations: []deadletter.Incarnation{{ID: id, Relay: "n1", AcceptedAt: now, Deadline: now, CompletedAt: now, Reason: deadletter.DeadlineExceeded}},
		}
		if err := store.Put([]deadletter.Message{message}); err != nil {
			t.Fatal(err)
		}
	}
	return store
}
