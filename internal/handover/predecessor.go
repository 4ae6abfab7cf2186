package handover

// predecessorState is the state of the process that owns a relay. In the states whose names end in
// StopPending, the platform has asked the process to stop while a hand-over is in progress: the hand-over
// continues, and the process ends after it, whether or not it succeeds.
type predecessorState int

const (
	// predecessorOwning: the process owns the relay, and no hand-over is in progress.
	predecessorOwning predecessorState = iota
	// predecessorQuiescing: a successor has asked for a hand-over, and the relay is being quiesced.
	predecessorQuiescing
	predecessorQuiescingStopPending
	// predecessorOffered: the state is sent, and the successor prepares.
	predecessorOffered
	predecessorOfferedStopPending
	// predecessorPassing: the successor owns the relay, and connections are being passed to it.
	predecessorPassing
	predecessorPassingStopPending
	// predecessorHandedOver: the hand-over is complete. The process waits until it is asked to stop or its
	// successor dies.
	predecessorHandedOver
	// predecessorShuttingDown: the process shuts down gracefully without a successor. It owns the relay
	// until it ends.
	predecessorShuttingDown
	// predecessorFinished: the process carries out its last action.
	predecessorFinished
)

var predecessorTransitions = transitionTable[predecessorState]{
	predecessorOwning: {
		eventHelloReceived: {predecessorQuiescing, []action{actionQuiesce}},
		eventStopRequested: {predecessorShuttingDown, []action{actionShutDown}},
	},
	predecessorQuiescing: {
		eventQuiesced:      {predecessorOffered, []action{actionOfferState}},
		eventQuiesceFailed: {predecessorOwning, []action{actionRejectPeer, actionResume}},
		eventPeerGone:      {predecessorOwning, []action{actionRejectPeer, actionResume}},
		eventTimedOut:      {predecessorOwning, []action{actionRejectPeer, actionResume}},
		eventStopRequested: {predecessorQuiescingStopPending, nil},
	},
	predecessorQuiescingStopPending: {
		eventQuiesced:      {predecessorOfferedStopPending, []action{actionOfferState}},
		eventQuiesceFailed: {predecessorShuttingDown, []action{actionRejectPeer, actionResume, actionShutDown}},
		eventPeerGone:      {predecessorShuttingDown, []action{actionRejectPeer, actionResume, actionShutDown}},
		eventTimedOut:      {predecessorShuttingDown, []action{actionRejectPeer, actionResume, actionShutDown}},
	},
	predecessorOffered: {
		eventPeerReady:     {predecessorPassing, []action{actionTransferLock, actionPassBatch}},
		eventPeerGone:      {predecessorOwning, []action{actionRejectPeer, actionResume}},
		eventTimedOut:      {predecessorOwning, []action{actionRejectPeer, actionResume}},
		eventStopRequested: {predecessorOfferedStopPending, nil},
	},
	predecessorOfferedStopPending: {
		eventPeerReady: {predecessorPassingStopPending, []action{actionTransferLock, actionPassBatch}},
		eventPeerGone:  {predecessorShuttingDown, []action{actionRejectPeer, actionResume, actionShutDown}},
		eventTimedOut:  {predecessorShuttingDown, []action{actionRejectPeer, actionResume, actionShutDown}},
	},
	predecessorPassing: {
		eventBatchAcknowledged: {predecessorPassing, []action{actionPassBatch}},
		eventAllPassed:         {predecessorHandedOver, nil},
		// The successor stays the owner of the relay, even if it is slow. The connections that it has not
		// acknowledged are lost.
		eventTimedOut:      {predecessorHandedOver, nil},
		eventPeerGone:      {predecessorFinished, []action{actionReclaim}},
		eventStopRequested: {predecessorPassingStopPending, nil},
	},
	predecessorPassingStopPending: {
		eventBatchAcknowledged: {predecessorPassingStopPending, []action{actionPassBatch}},
		eventAllPassed:         {predecessorFinished, []action{actionExit}},
		eventTimedOut:          {predecessorFinished, []action{actionExit}},
		// The next process that the platform starts acquires the folder.
		eventPeerGone: {predecessorFinished, []action{actionExit}},
	},
	predecessorHandedOver: {
		eventPeerGone:      {predecessorFinished, []action{actionReclaim}},
		eventStopRequested: {predecessorFinished, []action{actionExit}},
	},
	predecessorShuttingDown: {
		// The successor can lock the folder as soon as this process has ended.
		eventHelloReceived: {predecessorShuttingDown, []action{actionRejectPeer}},
	},
	predecessorFinished: {},
}

// predecessor is the state machine of the process that owns a relay. Its zero value is in the state
// predecessorOwning.
type predecessor struct{ state predecessorState }

// handle applies an event to the state, and returns the actions to carry out, in order.
func (p *predecessor) handle(e event) (actions []action) {
	p.state, actions = predecessorTransitions.next(p.state, e)
	return actions
}

// owns reports whether this process owns the relay.
func (p *predecessor) owns() bool {
	switch p.state {
	case predecessorOwning, predecessorShuttingDown,
		predecessorQuiescing, predecessorQuiescingStopPending,
		predecessorOffered, predecessorOfferedStopPending:
		return true
	case predecessorPassing, predecessorPassingStopPending, predecessorHandedOver, predecessorFinished:
		return false
	}
	return false
}
