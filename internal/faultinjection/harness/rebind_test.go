package harness

import (
	"net"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"frostlink/internal/faultinjection/faults"
)

// An address can be listened at again right after its listener was closed, although processes are being started. The fault: the run
// failed with "address already in use".
func TestRebind_WhileProcessesStart(t *testing.T) {
	var stop atomic.Bool
	var starts sync.WaitGroup
	for range 3 {
		starts.Go(func() {
			for !stop.Load() {
				_ = exec.CommandContext(t.Context(), "true").Run() // only its start matters
			}
		})
	}
	defer starts.Wait()
	defer stop.Store(true)
	loopback, err := faults.NewLoopback()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = loopback.Close() }()
	addr, err := loopback.Address()
	if err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(time.Second); time.Now().Before(end); {
		ln, err := rebind(func() (net.Listener, error) { return net.Listen("tcp", addr) })
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(200 * time.Microsecond) // in which a process may be started
		_ = ln.Close()
	}
}
