package handover

// event is something that happened to one side.
type event int

const (
	// eventNone: nothing has happened.
	eventNone event = iota

	// Of both sides:

	// eventPeerGone: the link to the other process has ended.
	eventPeerGone
	// eventTimedOut: the step that the machine waits for has taken too long.
	eventTimedOut

	// Of the predecessor:

	// eventHelloReceived: a successor asks for the relay.
	eventHelloReceived
	// eventQuiesced: nothing is in flight any more, and the state is durable.
	eventQuiesced
	// eventQuiesceFailed: the relay could not be brought to that.
	eventQuiesceFailed
	// eventPeerReady: the successor could serve with what it has.
	eventPeerReady
	// eventBatchAcknowledged: the successor has the connections of the last batch.
	eventBatchAcknowledged
	// eventAllPassed: the successor has been sent all connections.
	eventAllPassed
	// eventStopRequested: the platform wants this process to stop.
	eventStopRequested

	// Of the successor:

	// eventLockFree: nobody held the folder's lock; this process has it now.
	eventLockFree
	// eventStateOffered: the predecessor has sent its whole state.
	eventStateOffered
	// eventPrepared: the state was read, and this process could serve with it.
	eventPrepared
	// eventPrepareFailed: it could not.
	eventPrepareFailed
	// eventLockTransferred: this process owns the relay, and has the lock.
	eventLockTransferred
	// eventBatchReceived: a batch of connections has come.
	eventBatchReceived
	// eventAllReceived: there are no more.
	eventAllReceived
)

// action is something that one side is to do.
type action int

const (
	// Of the predecessor:

	// actionQuiesce: send, accept and read nothing more, until eventQuiesced or eventQuiesceFailed.
	actionQuiesce action = iota
	// actionOfferState: send the state.
	actionOfferState
	// actionResume: serve on as before.
	actionResume
	// actionRejectPeer: end the link; the successor may ask again.
	actionRejectPeer
	// actionTransferLock: send the lock. The one moment at which ownership passes.
	actionTransferLock
	// actionPassBatch: send the next batch of connections, or that there are no more.
	actionPassBatch
	// actionShutDown: shut down gracefully, without a successor.
	actionShutDown
	// actionExit: end the process; it owns nothing any more.
	actionExit
	// actionReclaim: the successor has died; lock the folder and start from the journal.
	actionReclaim

	// Of the successor:

	// actionAsk: lock the folder if it is free, else ask its owner for the relay.
	actionAsk
	// actionStart: start from the journal, as the folder's owner.
	actionStart
	// actionPrepare: read journal and state, until eventPrepared or eventPrepareFailed.
	actionPrepare
	// actionDiscard: drop all that was prepared.
	actionDiscard
	// actionReportReady: send that this process is ready, and wait for the lock.
	actionReportReady
	// actionAcquireJournal: the journal is this process's now.
	actionAcquireJournal
	// actionAcceptBatch: add a batch of connections, and acknowledge it.
	actionAcceptBatch
	// actionServe: serve; all has come that will come.
	actionServe
	// actionFail: end the process with an error.
	actionFail
)

// transition is what an event leads to: the next state, and the actions to carry out, in order.
type transition[State comparable] struct {
	to      State
	actions []action
}

// transitionTable is a state machine. In each state the events that are not listed are ignored: they
// were in flight when the previous state ended.
type transitionTable[State comparable] map[State]map[event]transition[State]

// next returns the state after an event, and the actions to carry out. Callers must not change them.
func (t transitionTable[State]) next(from State, e event) (State, []action) {
	step, ok := t[from][e]
	if !ok {
		return from, nil
	}
	return step.to, step.actions
}
