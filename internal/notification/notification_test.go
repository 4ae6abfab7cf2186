package notification

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"frostlink/internal/wait/waittest"
)

// A notice that stalls at discovery holds up no other, and goes to the new address once discovery moves.
func TestStalledNotice(t *testing.T) {
	serve := func(answer http.HandlerFunc) string {
		s := httptest.NewServer(answer)
		t.Cleanup(func() {
			s.CloseClientConnections()
			s.Close()
		})
		return strings.TrimPrefix(s.URL, "http://")
	}
	stalled := serve(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-t.Context().Done():
		}
	})
	prompt := serve(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	done := make(chan []string, 2)
	n := New(stalled, func(ids []string) { done <- ids })
	n.client.Timeout = waittest.Long
	go n.Run(t.Context())
	n.Enqueue(Notice{ID: "m", Status: Deferred})
	n.SetAddress(prompt)
	select {
	case ids := <-done:
		if !slices.Equal(ids, []string{"m"}) {
			t.Errorf("received %v", ids)
		}
	case <-time.After(waittest.Long):
		t.Fatal("waited in vain")
	}
}
