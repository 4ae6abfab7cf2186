package handover

// event is something that happened to one side.
type event int

const (
	// eventNone: nothing has happened.
	eventNone event = iota

	// Events of both sides:

	// eventPeerGone: the link to the other process has ended.
	eventPeerGone
	// eventTimedOut: the current step has exceeded its timeout.
	eventTimedOut

	// Events of the predecessor:

	// eventHelloReceived: a successor asks for a hand-over.
	eventHelloReceived
	// eventQuiesced: the relay is quiesced, and its state is durable.
	eventQuiesced
	// eventQuiesceFailed: the relay could not be quiesced, or its state could not be made durable.
	eventQuiesceFailed
	// eventPeerReady: the successor has read the state and the journal, and is ready to serve.
	eventPeerReady
	// eventBatchAcknowledged: the successor has received the lock or the last batch of connections.
	eventBatchAcknowledged
	// eventAllPassed: all connections were passed to the successor.
	eventAllPassed
	// eventStopRequested: the platform asks this process to stop.
	eventStopRequested

	// Events of the successor:

	// eventLockFree: the folder's lock was free, and this process has taken it.
	eventLockFree
	// eventStateOffered: the predecessor has sent its whole state.
	eventStateOffered
	// eventPrepared: this process has read the state and the journal, and is ready to serve.
	eventPrepared
	// eventPrepareFailed: this process could not read the state or the journal.
	eventPrepareFailed
	// eventLockTransferred: this process has received the lock, and owns the relay.
	eventLockTransferred
	// eventBatchReceived: a batch of connections was received.
	eventBatchReceived
	// eventAllReceived: the predecessor has no more connections to pass.
	eventAllReceived
)

// action is something that one side has to do.
type action int

const (
	// Actions of the predecessor:

	// actionQuiesce: stop sending, accepting and reading; ends with eventQuiesced or eventQuiesceFailed.
	actionQuiesce action = iota
	// actionOfferState: send the state.
	actionOfferState
	// actionResume: undo actionQuiesce and continue to serve.
	actionResume
	// actionRejectPeer: close the link; the successor may ask again.
	actionRejectPeer
	// actionTransferLock: send the lock. This is the only action by which ownership passes.
	actionTransferLock
	// actionPassBatch: send the next batch of connections, or frameDone if there are no more.
	actionPassBatch
	// actionShutDown: shut down gracefully, without a successor.
	actionShutDown
	// actionExit: end the process, which is no longer the owner.
	actionExit
	// actionReclaim: the successor has died; lock the folder and start from the journal.
	actionReclaim

	// Actions of the successor:

	// actionAsk: lock the folder if it is free; otherwise ask its owner for a hand-over.
	actionAsk
	// actionStart: start from the journal, as the folder's owner.
	actionStart
	// actionPrepare: read the journal and the state; ends with eventPrepared or eventPrepareFailed.
	actionPrepare
	// actionDiscard: drop everything that was prepared.
	actionDiscard
	// actionReportReady: tell the predecessor that this process is ready, and wait for the lock.
	actionReportReady
	// actionAcquireJournal: prepare the journal for writing, as its owner.
	actionAcquireJournal
	// actionAcceptBatch: add a batch of connections, and acknowledge it.
	actionAcceptBatch
	// actionServe: serve with the connections received so far; no more will arrive.
	actionServe
	// actionFail: end the process with an error.
	actionFail
)

// transition is the effect of an event: the next state, and the actions to carry out, in order.
type transition[State comparable] struct {
	to      State
	actions []action
}

// transitionTable is a state machine. Events that are not listed for a state are ignored: they were in
// flight when the previous state ended.
type transitionTable[State comparable] map[State]map[event]transition[State]

// next returns the state after an event, and the actions to carry out. Callers must not modify the slice.
func (t transitionTable[State]) next(from State, e event) (State, []action) {
	step, ok := t[from][e]
	if !ok {
		return from, nil
	}
	return step.to, step.actions
}
