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

// minListenBackoff and maxListenBackoff bound the backoff before the owner tries again to listen.
const minListenBackoff, maxListenBackoff = 5 * time.Millisecond, 500 * time.Millisecond

// Owner is a process's ownership of a folder, and listens for the successors that ask for it.
type Owner struct {
	dir        string
	lock       *folderLock // nil once a successor has it
	machine    predecessor
	successors chan *link // of other processes, once they have sent their hello

	mu       sync.Mutex
	listener *net.UnixListener // guarded by mu; nil: listening has failed so far
	released bool              // guarded by mu
}

// Outcome says why a process is no longer, or will not be, the owner of its folder.
type Outcome int

// The outcomes of Serve.
const (
	// StopRequested: the platform wants this process to stop. It is still the owner, and has to shut down.
	StopRequested Outcome = iota
	// HandedOver: the successor owns the folder, and this process has nothing left to do.
	HandedOver
	// SuccessorDied: the successor owned the folder and has died. The process has to lock the folder and
	// start from the journal.
	SuccessorDied
)

// Serve answers successors until stop is closed or the relay is handed over. It is called once.
func (o *Owner) Serve(stop <-chan struct{}, relay Source) Outcome {
	go o.acceptSuccessors(stop) // ends when the listener is closed, or at stop
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
			slog.Warn("successor rejected", logkey.Err, err)
			l.close()
			continue
		}
		select {
		case o.successors <- l:
		case <-stop: // the successor finds the lock free soon
			l.close()
		}
	}
}

// startListening listens for successors. Where the folder or the machine does not allow it for the
// moment the relay serves all the same, and Serve tries again: until then there is no hand-over.
func (o *Owner) startListening() error {
	o.successors = make(chan *link)
	err := o.listen()
	if err != nil && isTemporary(err) {
		slog.Warn("hand-over socket not open yet", logkey.Err, err)
		return nil
	}
	return err
}

// isTemporary reports whether listening failed for a shortage on this machine.
func isTemporary(err error) bool {
	return syserr.Classify(syserr.Bind, err) == syserr.Local || syserr.Classify(syserr.File, err) == syserr.Local
}

// awaitListener tries to listen until it succeeds. It returns nil at stop, or where trying again is of
// no use.
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
			slog.Error("hand-over socket can't be opened", logkey.Err, err)
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
	// The socket of an earlier process. Nobody listens on it, since this process has the folder's lock.
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("handover: %w", err)
	}
	l, err := net.ListenUnix(socketNetwork, &net.UnixAddr{Name: path, Net: socketNetwork})
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	l.SetUnlinkOnClose(false) // by then it may be the next owner's
	if err := os.Chmod(path, 0o600); err != nil {
		_ = l.Close()
		return fmt.Errorf("handover: %w", err)
	}
	return o.adopt(l)
}

// adopt makes l the owner's listener, unless the folder was released meanwhile.
func (o *Owner) adopt(l *net.UnixListener) error {
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

// Release gives up the folder at the end of the process.
func (o *Owner) Release() {
	o.stopListening()
	o.lock.close()
}

// stopListening closes the folder's socket, also one that is opened later.
func (o *Owner) stopListening() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.released = true
	if o.listener != nil {
		_ = o.listener.Close() // no link is accepted any more, whatever the error
	}
}
