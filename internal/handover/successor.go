package handover

// successorState is the state of a process that tries to become the owner of a relay.
type successorState int

const (
	// successorAsking: the process tries to lock the folder, and asks the folder's owner for a hand-over.
	successorAsking successorState = iota
	// successorPreparing: the process reads the journal and the predecessor's state.
	successorPreparing
	// successorAwaitingLock: the process is ready to serve, and has not received the lock yet.
	successorAwaitingLock
	// successorReceiving: the process owns the relay, and receives its connections.
	successorReceiving
	// successorServing: the process owns the relay, and no more connections will arrive.
	successorServing
	// successorFailed: the process could not use the journal or the state; the predecessor resumes.
	successorFailed
)

var successorTransitions = transitionTable[successorState]{
	successorAsking: {
		eventLockFree:     {successorServing, []action{actionStart}},
		eventStateOffered: {successorPreparing, []action{actionPrepare}},
		eventPeerGone:     {successorAsking, []action{actionAsk}},
		eventTimedOut:     {successorAsking, []action{actionAsk}},
	},
	successorPreparing: {
		eventPrepared:      {successorAwaitingLock, []action{actionReportReady}},
		eventPrepareFailed: {successorFailed, []action{actionFail}},
		eventPeerGone:      {successorAsking, []action{actionDiscard, actionAsk}},
	},
	// There is no timeout: the predecessor may have sent the lock already, and only the end of the link
	// proves that the lock was not sent.
	successorAwaitingLock: {
		eventLockTransferred: {successorReceiving, []action{actionAcquireJournal}},
		eventPeerGone:        {successorAsking, []action{actionDiscard, actionAsk}},
	},
	successorReceiving: {
		eventBatchReceived: {successorReceiving, []action{actionAcceptBatch}},
		eventAllReceived:   {successorServing, []action{actionServe}},
		eventPeerGone:      {successorServing, []action{actionServe}},
		eventTimedOut:      {successorServing, []action{actionServe}},
	},
	successorServing: {},
	successorFailed:  {},
}

// successor is the state machine of a process that tries to become the owner of a relay. Its zero value is
// in the state successorAsking.
type successor struct{ state successorState }

// handle applies an event to the state, and returns the actions to carry out, in order.
func (s *successor) handle(e event) (actions []action) {
	s.state, actions = successorTransitions.next(s.state, e)
	return actions
}

// owns reports whether this process owns the relay.
func (s *successor) owns() bool {
	return s.state == successorReceiving || s.state == successorServing
}
