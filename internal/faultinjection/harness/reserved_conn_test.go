package harness

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// Connections that are reserved for a shutdown are open, are used only from their time on, and are closed with the process.
func TestClientPool_ReservesConnsForShutdown(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/_health" {
			w.WriteHeader(http.StatusNotFound)
		}
	}))
	defer server.Close()
	addr := server.Listener.Addr().String()
	h := newHarness(t.Context(), loadScenario(t, 50, 5, 2, 1, 4, 4, 1), Options{Seed: 1}, t.TempDir())
	c := newClientPool(h, nil)
	c.reserve(addr, h.random.Stream("reserved"))
	reserved := c.reserved[addr]
	if len(reserved) != reservedConns {
		t.Fatalf("%d connections reserved, want %d", len(reserved), reservedConns)
	}
	for _, conn := range reserved {
		if left := time.Until(conn.usableFrom); left > shutdownGrace || !conn.isOpen() {
			t.Errorf("usable after %v, open %v", left, conn.isOpen())
		}
	}
	for i := range reserved {
		reserved[i].usableFrom = time.Now().Add(time.Hour)
	}
	if c.hasIdle(addr) || c.takeOpen(addr) != nil {
		t.Error("a connection is used before its time")
	}
	reserved[3].usableFrom = time.Now()
	want := reserved[3].clientConn
	if !c.hasIdle(addr) || c.takeOpen(addr) != want || c.hasIdle(addr) {
		t.Error("the connection whose time has come is not used, or is used twice")
	}
	last := c.reserved[addr][0]
	c.dropReserved(addr)
	if last.isOpen() || len(c.reserved[addr]) != 0 {
		t.Error("a connection outlasts its relay's process")
	}
}
