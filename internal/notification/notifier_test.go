package notification

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"frostlink/internal/wait/waittest"
)

// serve starts a stand-in for the platform and returns its address.
func serve(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(handler)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return strings.TrimPrefix(s.URL, "http://")
}

// When the platform's address changes, a notice whose post stalls is posted to the new address.
func TestNotifier_PostsStalledNoticeToNewAddress(t *testing.T) {
	stalled := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-t.Context().Done():
		}
	})
	prompt := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	acknowledged := make(chan []string, 2)
	n := New(stalled, func(ids []string) { acknowledged <- ids })
	n.client.Timeout = waittest.Long
	go n.Run(t.Context())
	n.Enqueue(Notice{ID: "m", Status: Deferred})
	n.SetAddress(prompt)
	select {
	case ids := <-acknowledged:
		if !slices.Equal(ids, []string{"m"}) {
			t.Errorf("acknowledged %v", ids)
		}
	case <-time.After(waittest.Long):
		t.Fatal("notice not acknowledged")
	}
}

// A failed post is repeated until the platform acknowledges it.
func TestNotifier_RetriesUntilAcknowledged(t *testing.T) {
	var posts atomic.Int32
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		if posts.Add(1) < 3 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	acknowledged := make(chan []string, 2)
	n := New(address, func(ids []string) { acknowledged <- ids })
	go n.Run(t.Context())
	n.Enqueue(Notice{ID: "m", Status: Undeliverable})
	if got := waittest.Receive(t, acknowledged); !slices.Equal(got, []string{"m"}) || posts.Load() != 3 {
		t.Errorf("acknowledged %v after %d posts", got, posts.Load())
	}
}

// A notice that the platform rejects as malformed is dropped, and the other notices of its batch are
// delivered.
func TestNotifier_SplitsRejectedBatch(t *testing.T) {
	var received atomic.Int32
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if strings.Contains(string(body), `"bad"`) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		received.Add(int32(strings.Count(string(body), "\n")))
		w.WriteHeader(http.StatusNoContent)
	})
	acknowledged := make(chan []string, 10)
	n := New(address, func(ids []string) { acknowledged <- ids })
	const count = 9
	for i := range count - 1 {
		n.Enqueue(Notice{ID: fmt.Sprint("m", i), Status: Deferred})
	}
	n.Enqueue(Notice{ID: "bad", Status: Deferred})
	go n.Run(t.Context())
	var all []string
	for len(all) < count {
		all = append(all, waittest.Receive(t, acknowledged)...)
	}
	if received.Load() != count-1 || !slices.Contains(all, "bad") {
		t.Errorf("%d notices received, acknowledged %v", received.Load(), all)
	}
}
