package handover

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"frostlink/internal/logkey"
	"frostlink/internal/wait"
)

// askInterval is the pause between two attempts to lock the folder or to get an offer from its owner.
const askInterval = 20 * time.Millisecond

// Recipient is the relay of the successor.
type Recipient interface {
	// Start starts the relay from the journal. It is called if no other process owns the folder.
	Start() error
	// Prepare reads the journal, which it must not change, and prepares the relay to serve with the
	// predecessor's state.
	Prepare(state json.RawMessage) error
	// Discard undoes Prepare. It is called if the predecessor did not hand over.
	Discard()
	// Acquire prepares the journal for writing. It is called when this process has become the owner.
	Acquire() error
	// Serve starts to serve, with the connections that were passed.
	Serve(conns []Conn) error
}

// acquisition is a process's attempt to become the owner of a folder.
type acquisition struct {
	dir     string
	relay   Recipient
	machine successor
	owner   *Owner
	link    *link // nil while there is no link

	state json.RawMessage // the predecessor's state
	batch []Conn          // the last batch received, not yet in conns
	conns []Conn          // the connections of all accepted batches
	err   error           // the reason why this process can't continue

	loggedWaiting bool   // it was logged that another process holds the folder
	loggedError   string // the last logged error of locking the folder
}

// Acquire locks a folder that no process owns, or takes it over from its owner. It tries until ctx ends,
// and returns once the relay serves.
func Acquire(ctx context.Context, dir string, relay Recipient) (*Owner, error) {
	a := &acquisition{dir: dir, relay: relay, owner: &Owner{dir: dir}}
	actions := []action{actionAsk}
	for {
		next, serving, err := a.perform(ctx, actions)
		if err != nil {
			return nil, err
		}
		if serving {
			return a.owner, nil
		}
		if ctx.Err() != nil && !a.machine.owns() {
			a.closeLink()
			return nil, fmt.Errorf("handover: %w", ctx.Err())
		}
		actions = a.machine.handle(next)
		if a.err != nil && a.machine.owns() {
			return nil, a.err
		}
	}
}

// perform carries out actions in order. It returns the result of the last action that has a result, or
// serving true once the relay serves.
func (a *acquisition) perform(ctx context.Context, actions []action) (next event, serving bool, err error) {
	for _, do := range actions {
		switch do {
		case actionFail:
			return eventNone, false, a.err
		case actionStart:
			return eventNone, true, a.relay.Start()
		case actionDiscard:
			a.relay.Discard()
			a.closeLink()
		case actionServe:
			go a.link.closeAtEnd() // the link stays open, so that the predecessor notices if this process dies
			return eventNone, true, a.relay.Serve(a.conns)
		default:
			next = a.step(ctx, do)
		}
	}
	return next, false, nil
}

// step carries out an action that has a result.
func (a *acquisition) step(ctx context.Context, do action) event {
	switch do {
	case actionAsk:
		return a.ask(ctx)
	case actionPrepare:
		return a.prepare()
	case actionReportReady:
		return a.reportReady()
	case actionAcquireJournal:
		return a.acquireJournal()
	case actionAcceptBatch:
		a.conns = append(a.conns, a.batch...)
		a.batch = nil
		return a.receiveBatch()
	default:
		panic(fmt.Sprintf("handover: unexpected action %d in the successor", do))
	}
}

// ask locks the folder if it is free; otherwise it requests the state of the folder's owner.
func (a *acquisition) ask(ctx context.Context) event {
	lock, err := lockFolder(a.dir)
	if err == nil {
		a.owner.lock = lock
		a.err = a.owner.startListening()
		return eventLockFree
	}
	a.logLockFailure(err)
	if err := a.requestOffer(); err == nil {
		return eventStateOffered
	}
	a.closeLink()
	wait.For(ctx, askInterval)
	return eventPeerGone
}

// logLockFailure logs why the folder could not be locked. It logs an error only when the error differs from the
// one logged before, and the wait for another process only once.
func (a *acquisition) logLockFailure(err error) {
	switch {
	case !errors.Is(err, errFolderLocked):
		if a.loggedError != err.Error() {
			a.loggedError = err.Error()
			slog.Error("relay folder can't be locked; retrying", logkey.Err, err)
		}
	case !a.loggedWaiting:
		a.loggedWaiting = true
		slog.Info("another process holds the relay folder; asking it to hand over")
	}
}

// requestOffer sends a hello to the folder's owner, and receives its state.
func (a *acquisition) requestOffer() error {
	var err error
	if a.link, err = dial(a.dir); err != nil {
		return err
	}
	if err := a.link.send(frameHello, encode(hello{Version})); err != nil {
		return err
	}
	state, last, err := a.link.receiveLong(frameState, time.Now().Add(offerTimeout))
	if err != nil {
		return err
	}
	if last.kind != frameOffer {
		return &unexpectedFrameError{got: last.kind, want: frameOffer}
	}
	a.state = state
	return nil
}

func (a *acquisition) prepare() event {
	if a.err = a.relay.Prepare(a.state); a.err != nil {
		a.closeLink() // the predecessor resumes
		return eventPrepareFailed
	}
	return eventPrepared
}

// reportReady reports to the predecessor that this process is ready, and waits without a timeout for the
// lock or the end of the link.
func (a *acquisition) reportReady() event {
	if a.link.send(frameReady, nil) != nil {
		return eventPeerGone
	}
	f, err := a.link.receive(time.Time{})
	if err != nil || f.kind != frameLock || len(f.files) != 1 {
		return eventPeerGone
	}
	a.owner.lock = &folderLock{f.files[0]}
	return eventLockTransferred
}

func (a *acquisition) acquireJournal() event {
	if a.err = errors.Join(a.owner.startListening(), a.relay.Acquire()); a.err != nil {
		return eventPeerGone
	}
	return a.receiveBatch()
}

// receiveBatch acknowledges the lock or the previous batch, and waits for the next batch.
func (a *acquisition) receiveBatch() event {
	batch, done, err := a.nextBatch()
	switch {
	case err != nil:
		slog.Warn("hand-over ended early; only the connections received so far are kept", logkey.Err, err, logkey.Connections, len(a.conns))
		return eventPeerGone
	case done:
		return eventAllReceived
	}
	a.batch = batch
	return eventBatchReceived
}

func (a *acquisition) nextBatch() (batch []Conn, done bool, err error) {
	if err := a.link.send(frameAcknowledged, nil); err != nil {
		return nil, false, err
	}
	body, last, err := a.link.receiveLong(frameConns, time.Now().Add(ackTimeout))
	if err != nil {
		return nil, false, err
	}
	if last.kind == frameDone {
		return nil, true, nil
	}
	batch, err = decodeBatch(body, last.files)
	return batch, false, err
}

func (a *acquisition) closeLink() {
	if a.link != nil {
		a.link.close()
		a.link = nil
	}
}
