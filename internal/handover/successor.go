package handover

// successorState is where a process stands that wants to own a relay.
type successorState int

const (
	// successorAsking: it asks for the relay until it gets an answer.
	successorAsking successorState = iota
	// successorPreparing: it reads the journal and the state that it was offered.
	successorPreparing
	// successorAwaitingLock: it is ready, and the lock has not come.
	successorAwaitingLock
	// successorReceiving: it owns the relay, and gets its connections.
	successorReceiving
	// successorServing: it owns the relay, with all that has come.
	successorServing
	// successorFailed: it could not go on from the state; the predecessor resumes.
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
	// No timeout: the predecessor may have sent the lock already, and only the end of the link says that
	// it has not.
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

// successor is the state machine of a process that wants to own a relay. Its zero value has not asked
// yet.
type successor struct{ state successorState }

// handle changes the state by an event, and returns the actions to carry out, in order.
func (s *successor) handle(e event) (actions []action) {
	s.state, actions = successorTransitions.next(s.state, e)
	return actions
}

// owns reports whether this process owns the relay.
func (s *successor) owns() bool {
	return s.state == successorReceiving || s.state == successorServing
}
