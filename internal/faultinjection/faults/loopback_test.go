package faults

import (
	"net"
	"sync"
	"testing"
)

// openLoopback reserves a network, and releases it when the test ends. A test that closes the network itself sets its lock to nil.
func openLoopback(t *testing.T) *Loopback {
	t.Helper()
	l, err := NewLoopback()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if l.lock == nil {
			return
		}
		if err := l.Close(); err != nil {
			t.Error(err)
		}
	})
	return l
}

func TestNewLoopback_ReservesANetworkForEachRun(t *testing.T) {
	var work sync.WaitGroup
	var mu sync.Mutex
	owners := map[byte]int{}
	for run := range 20 {
		work.Go(func() {
			l, err := NewLoopback()
			if err != nil {
				t.Error(err)
				return
			}
			t.Cleanup(func() { _ = l.Close() })
			mu.Lock()
			defer mu.Unlock()
			if other, taken := owners[l.network]; taken {
				t.Errorf("runs %d and %d both have network 127.%d", other, run, l.network)
			}
			owners[l.network] = run
		})
	}
	work.Wait()
}

func TestLoopback_CloseReleasesTheNetwork(t *testing.T) {
	l := openLoopback(t)
	lock := l.lock.Addr().String()
	if _, err := net.Listen("tcp", lock); err == nil {
		t.Errorf("the lock address %s can be bound while its network is reserved", lock)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	l.lock = nil
	reopened, err := net.Listen("tcp", lock)
	if err != nil {
		t.Fatalf("listen on the lock address after Close: %v", err)
	}
	_ = reopened.Close()
}

func TestLoopback_AssignsEveryAddressOnce(t *testing.T) {
	l := openLoopback(t)
	assigned := map[string]bool{l.lock.Addr().String(): true}
	for range hostBlocks * hostsPerBlock {
		at, err := l.Address()
		if err != nil {
			t.Fatal(err)
		}
		if assigned[at] {
			t.Fatalf("%s was assigned twice", at)
		}
		assigned[at] = true
	}
	if at, err := l.Address(); err == nil {
		t.Errorf("assigned %s after all addresses were used up", at)
	}
}

// A relay's configuration contains its address before the relay starts, and the relay binds that address again at each restart. Other
// listeners of the run must not take the address while the relay does not run.
func TestLoopback_AddressCanBeBoundAgain(t *testing.T) {
	l := openLoopback(t)
	first, err := l.Listen()
	if err != nil {
		t.Fatal(err)
	}
	at := first.Addr().String()
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	for range 50 {
		other, err := l.Listen()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = other.Close() })
	}
	reopened, err := net.Listen("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	_ = reopened.Close()
}
