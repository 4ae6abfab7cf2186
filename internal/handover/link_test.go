package handover

import (
	"net"
	"path/filepath"
	"testing"
	"time"

	"frostlink/internal/wait/waittest"
)

// linkPair returns the two ends of a link.
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

// Guards against a successor that stops reading while the state is sent (because it is suspended or gets no processor time) and thereby
// blocks the predecessor and all its clients. Frames were written without a deadline, and a write blocks once the socket's buffer is full.
// A predecessor with a larger state, for example in a fleet with thousands of endpoints, was then blocked until the successor ended:
// sendLong of 4 MB to a peer that reads nothing did not return within this test's timeout.
func TestLink_SendEndsWhereThePeerReadsNothing(t *testing.T) {
	near, _ := linkPair(t)
	sent := make(chan error, 1)
	begun := time.Now()
	go func() { sent <- near.sendLong(frameState, frameOffer, make([]byte, 4<<20)) }()
	select {
	case err := <-sent:
		if took := time.Since(begun); err == nil || took > offerTimeout {
			t.Errorf("sendLong returned after %v with err %v", took, err)
		}
	case <-time.After(offerTimeout + time.Second):
		t.Fatal("sendLong to a peer that reads nothing did not return within offerTimeout and a second")
	}
}

// A peer that starts to read late, but within sendTimeout, receives the whole body.
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
