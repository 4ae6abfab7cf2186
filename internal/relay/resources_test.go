package relay

import (
	"encoding/json"
	"net/http"
	"testing"
)

// The limits of all owners of memory follow from memory_mb, and together with the program they stay below it, at the least memory and
// at the most that the platform grants. Descriptors are divided without a remainder that could be used twice.
func TestConfig_DividesResources(t *testing.T) {
	for _, limits := range []Limits{
		{Cores: 1, MemoryMB: 32, Sockets: 1024, DiskMB: 3},
		{Cores: 1, MemoryMB: 32, Sockets: 256, DiskMB: 10},
		{Cores: 1, MemoryMB: 192, Sockets: 1024, DiskMB: 3},
	} {
		c := &Config{Limits: limits, AdminAddress: "127.0.0.1:1"}
		const connKB, attemptKB, kbPerMB = 6, 20, 1 << 10
		conns := float64(c.maxClientConns()+c.maxPendingClientConns()+c.maxEndpointConns()) * connKB / kbPerMB
		attempts := float64(c.maxAttempts()) * attemptKB / kbPerMB
		reading := 1.25*limits.MemoryMB/20 + limits.MemoryMB/20
		journal := 1.5 * c.journalSizeMB() // the files, and half of them in memory
		completed := float64(c.completedMemory()) / bytesPerMB
		if sum := programMB + conns + attempts + reading + journal + completed; sum > limits.MemoryMB {
			t.Errorf("%+v: the owners' limits add up to %.1f MB", limits, sum)
		}
		if files := float64(c.HeapLimit())/bytesPerMB + programMB + c.journalSizeMB(); files > limits.MemoryMB {
			t.Errorf("%+v: the runtime's limit leaves too little: %.1f MB", limits, files)
		}
		if used := c.maxClientConns() + c.maxPendingClientConns() + c.maxEndpointConns() + c.unavailableDescriptors(); used > limits.Sockets {
			t.Errorf("%+v: %d descriptors", limits, used)
		}
		if third := limits.Sockets / 3; limits.Sockets == 1024 && c.maxClientConns() < third {
			t.Errorf("%+v: %d connections of clients, fewer than the third of the descriptors that they may hold", limits, c.maxClientConns())
		}
	}
}

// The admin endpoint tells the connections by state and the memory by owner.
func TestAdmin_ReportsResources(t *testing.T) {
	p := newPlatform(t)
	p.addAdminEndpoint()
	p.addEndpoint("e1", 7)
	p.start()
	resp, err := http.Get("http://" + p.adminAddr + "/status/resources")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var got resources
	if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
		t.Fatal(err)
	}
	for _, owner := range []string{"requests_read", "requests_awaiting_decision", "journal", "completed_ids"} {
		if got.Memory[owner].Limit == 0 {
			t.Errorf("no limit for %s: %+v", owner, got.Memory)
		}
	}
	if _, ok := got.Connections["idle"]; !ok || got.Runtime.Total == 0 || got.EndpointConns.Limit == 0 {
		t.Errorf("incomplete: %+v", got)
	}
}
