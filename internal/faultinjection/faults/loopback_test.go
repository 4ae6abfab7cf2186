package faults

import (
	"net"
	"sync"
	"testing"
)

// openLoopback reserves a network until the test ends.
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
		t.Errorf("%s can be bound while its run goes on", lock)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	l.lock = nil
	reopened, err := net.Listen("tcp", lock)
	if err != nil {
		t.Fatalf("after Close: %v", err)
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
			t.Fatalf("%s is assigned twice", at)
		}
		assigned[at] = true
	}
	if at, err := l.Address(); err == nil {
		t.Errorf("assigned %s when all addresses were used up", at)
	}
}

// A relay is configured with its address before it runs, and binds it again at each restart: no listener of its own run or another takes
// it meanwhile.
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
