package handover

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"frostlink/internal/logkey"
)

// Keys of log attributes that only hand-overs use.
const (
	logTook  = "took" // time since the start of the hand-over, during which the relay did not serve
	logTotal = "of"   // number of connections to pass
)

// Source is the relay of the predecessor.
type Source interface {
	// Quiesce stops the relay from sending, accepting and reading, and makes its state durable. It returns
	// the state that is not in the journal, which is sent as JSON, and the connections to pass.
	Quiesce(ctx context.Context) (state any, conns []Conn, err error)
	// Resume undoes Quiesce, even if Quiesce failed.
	Resume()
	// Released is called just before another process becomes the owner of the relay. It must end
	// everything of the relay that still runs in this process.
	Released()
}

// transfer is the predecessor's side of one hand-over.
type transfer struct {
	owner *Owner
	link  *link
	relay Source

	state  any
	conns  []Conn
	passed int   // number of conns that the successor has acknowledged
	err    error // the error of the last step
}

// run carries out the actions of the state machine, and feeds their results back to it as events. It
// returns an outcome once this process's ownership has ended, or ended false if this process owns the
// relay again.
func (t *transfer) run(stop <-chan struct{}) (outcome Outcome, ended bool) {
	defer t.link.close()
	started := time.Now()
	machine := &t.owner.machine
	actions := machine.handle(eventHelloReceived)
	for {
		next, outcome, ended := t.perform(actions, started)
		if ended {
			return outcome, true
		}
		if next == eventNone && machine.owns() {
			return 0, false
		}
		select {
		case <-stop:
			stop = nil
			if actions = machine.handle(eventStopRequested); len(actions) > 0 {
				continue
			}
		default:
		}
		if next == eventNone {
			slog.Info("relay handed over to the successor", logTook, time.Since(started),
				logkey.Connections, t.passed, logTotal, len(t.conns), logkey.Err, t.err)
			next = t.awaitEnd(stop)
		}
		actions = machine.handle(next)
	}
}

// perform carries out actions in order. It returns the result of the last action that has a result, or
// eventNone if no action has one. If an action ends this process's ownership, perform returns its
// outcome. The results of earlier actions are dropped: after actionTransferLock the first batch is sent
// whether or not the lock was acknowledged.
func (t *transfer) perform(actions []action, started time.Time) (next event, outcome Outcome, ended bool) {
	for _, a := range actions {
		switch a {
		case actionExit:
			return eventNone, HandedOver, true
		case actionShutDown:
			return eventNone, StopRequested, true
		case actionReclaim:
			slog.Warn("link to the successor ended after the lock was sent; locking the folder again")
			return eventNone, SuccessorDied, true
		case actionRejectPeer:
			slog.Warn("hand-over failed; this process stays the owner of the relay", logkey.Err, t.err, logTook, time.Since(started))
			t.link.close()
		case actionResume:
			t.relay.Resume()
		default:
			next = t.step(a)
		}
	}
	return next, 0, false
}

// step carries out an action that has a result.
func (t *transfer) step(a action) event {
	switch a {
	case actionQuiesce:
		return t.quiesce()
	case actionOfferState:
		return t.offerState()
	case actionTransferLock:
		return t.transferLock()
	case actionPassBatch:
		return t.passBatch()
	default:
		panic(fmt.Sprintf("handover: unexpected action %d in the predecessor", a))
	}
}

func (t *transfer) quiesce() event {
	ctx, cancel := context.WithTimeout(context.Background(), quiesceTimeout)
	defer cancel()
	if t.state, t.conns, t.err = t.relay.Quiesce(ctx); t.err != nil {
		return eventQuiesceFailed
	}
	return eventQuiesced
}

func (t *transfer) offerState() event {
	if t.err = t.link.sendLong(frameState, frameOffer, encode(t.state)); t.err != nil {
		return eventPeerGone
	}
	return t.await(frameReady, prepareTimeout, eventPeerReady)
}

// transferLock passes ownership to the successor. It releases the relay first, because the successor may
// act as the owner as soon as the lock is sent.
func (t *transfer) transferLock() event {
	t.relay.Released()
	if t.err = t.link.send(frameLock, nil, int(t.owner.lock.file.Fd())); t.err != nil {
		return eventPeerGone
	}
	return t.await(frameAcknowledged, ackTimeout, eventBatchAcknowledged)
}

func (t *transfer) passBatch() event {
	t.dropLock()
	if t.passed == len(t.conns) {
		t.err = t.link.send(frameDone, nil)
		return eventAllPassed
	}
	batch := t.conns[t.passed:min(t.passed+maxFrameFiles, len(t.conns))]
	if t.err = t.sendBatch(batch); t.err != nil {
		return eventPeerGone
	}
	result := t.await(frameAcknowledged, ackTimeout, eventBatchAcknowledged)
	if result == eventBatchAcknowledged {
		t.passed += len(batch)
		closeConns(batch)
	}
	return result
}

// dropLock closes this process's descriptor of the lock, so that the folder is unlocked if the successor,
// which has the other descriptor, dies.
func (t *transfer) dropLock() {
	t.owner.lock.close()
	t.owner.lock = nil
}

// sendBatch sends connections with their descriptors.
func (t *transfer) sendBatch(batch []Conn) error {
	var fds []int
	defer func() {
		for _, fd := range fds {
			_ = unix.Close(fd) // a duplicate; the successor receives its own descriptor
		}
	}()
	for _, c := range batch {
		fd, err := duplicate(c.Conn)
		if err != nil {
			return err
		}
		fds = append(fds, fd)
	}
	return t.link.sendLong(frameConns, frameBatch, encode(batch), fds...)
}

// await waits for a frame of kind want, and returns success if it arrives within the timeout.
func (t *transfer) await(want frameKind, timeout time.Duration, success event) event {
	f, err := t.link.receive(time.Now().Add(timeout))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		t.err = err
		return eventTimedOut
	case err != nil:
		t.err = err
		return eventPeerGone
	case f.kind != want:
		t.err = &unexpectedFrameError{got: f.kind, want: want}
		return eventPeerGone
	}
	return success
}

// awaitEnd closes the connections that could not be passed, and waits until this process is asked to stop
// or the successor closes the link.
func (t *transfer) awaitEnd(stop <-chan struct{}) event {
	closeConns(t.conns[t.passed:])
	peerGone := make(chan struct{})
	go func() {
		defer close(peerGone)
		t.link.closeAtEnd() // returns at the latest when run closes the link
	}()
	select {
	case <-stop:
		return eventStopRequested
	case <-peerGone:
		return eventPeerGone
	}
}

func closeConns(conns []Conn) {
	for _, c := range conns {
		_ = c.Conn.Close() // a passed socket stays open in the successor
	}
}
