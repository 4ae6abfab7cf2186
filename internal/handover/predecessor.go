package handover

// predecessorState is where the process that owns a relay stands. The states with a stop pending are
// those in which the platform wants the process to stop while a hand-over is in progress: it goes on,
// and the process ends afterwards, whatever its result.
type predecessorState int

const (
	// predecessorOwning: it owns the relay, and no successor asks.
	predecessorOwning predecessorState = iota
	// predecessorQuiescing: a successor asks; the relay is brought to a stop.
	predecessorQuiescing
	predecessorQuiescingStopPending
	// predecessorOffered: the state is sent, the successor prepares.
	predecessorOffered
	predecessorOfferedStopPending
	// predecessorPassing: the successor owns the relay, and gets its connections.
	predecessorPassing
	predecessorPassingStopPending
	// predecessorHandedOver: nothing is left here. The process waits for its stop, or for the death of
	// its successor.
	predecessorHandedOver
	// predecessorShuttingDown: a graceful shutdown without a successor. It owns the relay to its end.
	predecessorShuttingDown
	// predecessorFinished: its last action is in progress.
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
		// The successor owns the relay, whatever delays it. The connections that it has not acknowledged
		// are lost.
		eventTimedOut:      {predecessorHandedOver, nil},
		eventPeerGone:      {predecessorFinished, []action{actionReclaim}},
		eventStopRequested: {predecessorPassingStopPending, nil},
	},
	predecessorPassingStopPending: {
		eventBatchAcknowledged: {predecessorPassingStopPending, []action{actionPassBatch}},
		eventAllPassed:         {predecessorFinished, []action{actionExit}},
		eventTimedOut:          {predecessorFinished, []action{actionExit}},
		// The folder is left to the next process that the platform starts.
		eventPeerGone: {predecessorFinished, []action{actionExit}},
	},
	predecessorHandedOver: {
		eventPeerGone:      {predecessorFinished, []action{actionReclaim}},
		eventStopRequested: {predecessorFinished, []action{actionExit}},
	},
	predecessorShuttingDown: {
		// The successor finds the lock free as soon as this process has ended.
		eventHelloReceived: {predecessorShuttingDown, []action{actionRejectPeer}},
	},
	predecessorFinished: {},
}

// predecessor is the state machine of the process that owns a relay. Its zero value owns one.
type predecessor struct{ state predecessorState }

// handle changes the state by an event, and returns the actions to carry out, in order.
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
