package handover

import (
	"net"
	"path/filepath"
	"testing"
	"time"

	"frostlink/internal/wait/waittest"
)

// linkPair returns two ends of a link.
func linkPair(t *testing.T) (near, far *link) {
	t.Helper()
	addr := &net.UnixAddr{Name: filepath.Join(t.TempDir(), "s"), Net: socketNetwork}
	listener, err := net.ListenUnix(socketNetwork, addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	dialed, err := net.DialUnix(socketNetwork, nil, addr)
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.AcceptUnix()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = dialed.Close(), accepted.Close() })
	return &link{dialed}, &link{accepted}
}

// What happens: a successor stops reading while its predecessor sends its state (it is suspended, or gets no processor time). The
// predecessor stands still with all its clients until the successor ends. Why: frames were written without a deadline, and a state
// that is larger than the socket's buffer, as of a fleet with thousands of endpoints, waits for the reader. Evidence: sendLong of 4 MB
// to a peer that reads nothing did not return within the test's time.
func TestLink_SendEndsWhereThePeerReadsNothing(t *testing.T) {
	near, _ := linkPair(t)
	sent := make(chan error, 1)
	begun := time.Now()
	go func() { sent <- near.sendLong(frameState, frameOffer, make([]byte, 4<<20)) }()
	select {
	case err := <-sent:
		if took := time.Since(begun); err == nil || took > offerTimeout {
			t.Errorf("ended after %v with %v", took, err)
		}
	case <-time.After(offerTimeout + time.Second):
		t.Fatal("it waits for a peer that reads nothing")
	}
}

// A peer that reads late, but within the time for a frame, gets all of it.
func TestLink_SendWaitsForALateReader(t *testing.T) {
	near, far := linkPair(t)
	const size = 4 << 20
	received := make(chan int, 1)
	go func() {
		time.Sleep(200 * time.Millisecond)
		body, _, _ := far.receiveLong(frameState, time.Now().Add(waittest.Long))
		received <- len(body)
	}()
	if err := near.sendLong(frameState, frameOffer, make([]byte, size)); err != nil {
		t.Fatal(err)
	}
	if n := waittest.Receive(t, received); n != size {
		t.Errorf("%d bytes received, want %d", n, size)
	}
}
