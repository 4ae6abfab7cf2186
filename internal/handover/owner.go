package handover

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"frostlink/internal/logkey"
	"frostlink/internal/syserr"
)

// minListenBackoff and maxListenBackoff bound the backoff between the owner's attempts to listen.
const minListenBackoff, maxListenBackoff = 5 * time.Millisecond, 500 * time.Millisecond

// Owner is a process's ownership of a folder. It listens for successors that ask for a hand-over.
type Owner struct {
	dir        string
	lock       *folderLock // nil once the lock was transferred to a successor
	machine    predecessor
	successors chan *link // links to other processes that have sent a valid hello

	mu       sync.Mutex
	listener *net.UnixListener // guarded by mu; nil until listening succeeds
	released bool              // guarded by mu
}

// Outcome is the reason why Serve returns.
type Outcome int

// The outcomes.
const (
	// StopRequested: the platform has asked this process to stop. The process is still the owner, and has
	// to shut down.
	StopRequested Outcome = iota
	// HandedOver: the successor owns the folder, and this process can exit.
	HandedOver
	// SuccessorDied: the successor became the owner of the folder and has died. This process has to lock
	// the folder and start from the journal.
	SuccessorDied
)

// Serve answers successors until stop is closed or the relay is handed over. It must be called only once.
func (o *Owner) Serve(stop <-chan struct{}, relay Source) Outcome {
	go o.acceptSuccessors(stop) // returns when the listener or stop is closed
	for {
		select {
		case <-stop:
			o.machine.handle(eventStopRequested)
			o.stopListening()
			return StopRequested
		case l := <-o.successors:
			t := &transfer{owner: o, link: l, relay: relay}
			if outcome, ended := t.run(stop); ended {
				o.stopListening()
				return outcome
			}
		}
	}
}

// acceptSuccessors sends each link with a valid hello to successors.
func (o *Owner) acceptSuccessors(stop <-chan struct{}) {
	listener := o.awaitListener(stop)
	if listener == nil {
		return
	}
	for {
		conn, err := listener.AcceptUnix()
		if err != nil {
			return
		}
		l := &link{conn}
		if err := l.receiveHello(); err != nil {
			slog.Warn("hand-over request rejected: no valid hello frame received", logkey.Err, err)
			l.close()
			continue
		}
		select {
		case o.successors <- l:
		case <-stop: // this process shuts down; the successor can take the lock soon
			l.close()
		}
	}
}

// startListening listens for successors. If the folder or the machine temporarily does not allow this,
// startListening returns nil: the relay can serve, and Serve tries to listen again. Until a retry succeeds,
// the relay can't be handed over.
func (o *Owner) startListening() error {
	o.successors = make(chan *link)
	err := o.listen()
	if err != nil && isTemporary(err) {
		slog.Warn("hand-over socket can't be opened yet; no hand-over until a retry succeeds", logkey.Err, err)
		return nil
	}
	return err
}

// isTemporary reports whether listening failed because of a local, temporary condition such as a shortage of
// resources on this machine.
func isTemporary(err error) bool {
	return syserr.Classify(syserr.Bind, err) == syserr.Local || syserr.Classify(syserr.File, err) == syserr.Local
}

// awaitListener tries to listen until it succeeds. It returns nil if stop is closed, or after an error that
// is not temporary.
func (o *Owner) awaitListener(stop <-chan struct{}) *net.UnixListener {
	backoff := syserr.Backoff{Min: minListenBackoff, Max: maxListenBackoff}
	for {
		if l := o.currentListener(); l != nil {
			return l
		}
		select {
		case <-stop:
			return nil
		case <-time.After(backoff.Next()):
		}
		if err := o.listen(); err != nil && !isTemporary(err) {
			slog.Error("hand-over socket can't be opened; this process can't hand over the relay", logkey.Err, err)
			return nil
		}
	}
}

func (o *Owner) currentListener() *net.UnixListener {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.listener
}

// listen opens the folder's socket.
func (o *Owner) listen() error {
	path, release, err := socketPath(o.dir)
	if err != nil {
		return err
	}
	defer release()
	// Remove the socket of an earlier process. No process listens on it, because this process has the
	// folder's lock.
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("handover: %w", err)
	}
	l, err := net.ListenUnix(socketNetwork, &net.UnixAddr{Name: path, Net: socketNetwork})
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	l.SetUnlinkOnClose(false) // when l is closed, the next owner's socket may already have this path
	if err := os.Chmod(path, 0o600); err != nil {
		_ = l.Close()
		return fmt.Errorf("handover: %w", err)
	}
	return o.setListener(l)
}

// setListener makes l the owner's listener, or closes it if the folder was released in the meantime.
func (o *Owner) setListener(l *net.UnixListener) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.released {
		if err := l.Close(); err != nil {
			return fmt.Errorf("handover: %w", err)
		}
		return nil
	}
	o.listener = l
	return nil
}

// Release stops listening, and unlocks the folder if this process still has the lock. It is called after
// Serve has returned.
func (o *Owner) Release() {
	o.stopListening()
	o.lock.close()
}

// stopListening closes the folder's socket. setListener closes a socket that is opened later.
func (o *Owner) stopListening() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.released = true
	if o.listener != nil {
		_ = o.listener.Close() // even after an error no further link is accepted
	}
}
