package handover

import (
	"slices"
	"testing"
)

// maxInFlight is the maximum number of events in flight in one direction.
const maxInFlight = 4

// mailbox contains the events in flight to one side. It is comparable, as a part of pair.
type mailbox struct {
	events [maxInFlight]event
	count  int
}

func (m *mailbox) push(e event) {
	m.events[m.count] = e
	m.count++
}

func (m *mailbox) pop() event {
	e := m.events[0]
	copy(m.events[:], m.events[1:])
	m.events[maxInFlight-1] = eventNone
	m.count--
	return e
}

// side is the state of one process that the model has for both processes.
type side struct {
	alive  bool
	locked bool // the process has a descriptor of the folder's lock
	inbox  mailbox
}

// pair is a model of a predecessor and a successor, with the events in flight between them. It is comparable,
// because walk uses pairs as map keys.
type pair struct {
	old         side
	new         side
	predecessor predecessor
	successor   successor

	linkUp        bool
	lockInFlight  bool
	batchesLeft   int
	stopRequested bool // the predecessor was asked to stop
	reclaimed     bool // the predecessor is the owner again, and started from the journal
	quiescing     bool // the predecessor's machine waits for the relay to be quiesced
	prepared      bool
}

func (p *pair) sendToSuccessor(e event) {
	if p.linkUp {
		p.new.inbox.push(e)
	}
}

func (p *pair) sendToPredecessor(e event) {
	if p.linkUp {
		p.old.inbox.push(e)
	}
}

// closeLink closes the link. Events that were sent before still arrive, followed by the end of the link.
func (p *pair) closeLink() { p.linkUp = false }

// handleOld passes an event to the predecessor, and carries out its actions.
func (p *pair) handleOld(e event) {
	for _, a := range p.predecessor.handle(e) {
		switch a {
		case actionQuiesce:
			p.quiescing = true
		case actionOfferState:
			p.sendToSuccessor(eventStateOffered)
		case actionResume:
			p.quiescing = false
		case actionRejectPeer:
			p.closeLink()
		case actionTransferLock:
			p.sendToSuccessor(eventLockTransferred)
			p.lockInFlight = p.linkUp || p.new.inbox.count > 0
		case actionPassBatch:
			p.passBatch()
		case actionReclaim:
			// The predecessor's descriptor shares its open file description with the successor's, so it is not a separate lock.
			p.old.locked = false
			if !p.new.locked && !p.lockInFlight {
				p.old.locked, p.reclaimed = true, true
			}
		case actionExit, actionShutDown:
			p.killOld()
		default: // an action of the successor
		}
	}
}

func (p *pair) passBatch() {
	if p.batchesLeft == 0 {
		p.sendToSuccessor(eventAllReceived)
		p.handleOld(eventAllPassed)
		return
	}
	p.batchesLeft--
	p.sendToSuccessor(eventBatchReceived)
}

// handleNew passes an event to the successor, and carries out its actions.
func (p *pair) handleNew(e event) {
	for _, a := range p.successor.handle(e) {
		switch a {
		case actionDiscard:
			p.prepared = false
		case actionReportReady:
			p.sendToPredecessor(eventPeerReady)
		case actionAcquireJournal:
			p.new.locked, p.lockInFlight = true, false
			p.sendToPredecessor(eventBatchAcknowledged) // the first acknowledgement is for the lock
		case actionAcceptBatch:
			p.sendToPredecessor(eventBatchAcknowledged)
		case actionStart:
			p.new.locked = true
		case actionPrepare:
			p.prepared = true
		default: // an action of the predecessor, or an action without effect on the pair
		}
	}
}

// killOld ends the predecessor. The events that it has sent still arrive.
func (p *pair) killOld() {
	p.old.alive, p.old.locked = false, false
	p.closeLink()
}

// following returns all pairs that one step can lead to.
func (p pair) following() []pair {
	return slices.Concat(p.stepsOfOld(), p.stepsOfNew(), p.deaths())
}

// after returns the pair after a step.
func (p pair) after(step func(*pair)) pair {
	step(&p)
	return p
}

func (p pair) stepsOfOld() (to []pair) {
	if !p.old.alive || p.reclaimed {
		return nil
	}
	step := func(do func(*pair)) { to = append(to, p.after(do)) }
	if p.old.inbox.count > 0 {
		step(func(q *pair) {
			e := q.old.inbox.pop()
			if e == eventBatchAcknowledged {
				q.old.locked = false // the predecessor closes its descriptor, which it no longer needs
			}
			q.handleOld(e)
		})
	} else if !p.linkUp && p.oldHasLink() {
		step(func(q *pair) { q.handleOld(eventPeerGone) })
	}
	if p.quiescing && p.predecessor.state.isQuiescing() {
		step(func(q *pair) { q.handleOld(eventQuiesced) })
		step(func(q *pair) { q.handleOld(eventQuiesceFailed) })
	}
	step(func(q *pair) { q.handleOld(eventTimedOut) })
	if !p.stopRequested {
		step(func(q *pair) {
			q.stopRequested = true
			q.handleOld(eventStopRequested)
		})
	}
	return to
}

// oldHasLink reports whether the predecessor is in a state in which it has a link.
func (p pair) oldHasLink() bool {
	switch p.predecessor.state {
	case predecessorQuiescing, predecessorQuiescingStopPending,
		predecessorOffered, predecessorOfferedStopPending,
		predecessorPassing, predecessorPassingStopPending, predecessorHandedOver:
		return true
	case predecessorOwning, predecessorShuttingDown, predecessorFinished:
		return false
	}
	return false
}

func (s predecessorState) isQuiescing() bool {
	return s == predecessorQuiescing || s == predecessorQuiescingStopPending
}

func (p pair) stepsOfNew() (to []pair) {
	if !p.new.alive {
		return nil
	}
	step := func(do func(*pair)) { to = append(to, p.after(do)) }
	if p.new.inbox.count > 0 {
		step(func(q *pair) { q.handleNew(q.new.inbox.pop()) })
	} else if !p.linkUp && p.newHasLink() {
		step(func(q *pair) { q.handleNew(eventPeerGone) })
	}
	if p.successor.state == successorAsking && p.new.inbox.count == 0 {
		switch {
		case !p.old.locked && !p.new.locked && !p.lockInFlight:
			step(func(q *pair) { q.handleNew(eventLockFree) })
		case p.canConnect():
			step(func(q *pair) { q.linkUp = true; q.sendToPredecessor(eventHelloReceived) })
		}
	}
	if p.successor.state == successorPreparing {
		step(func(q *pair) { q.handleNew(eventPrepared) })
	}
	if p.successor.state == successorReceiving {
		step(func(q *pair) { q.handleNew(eventTimedOut) })
	}
	return to
}

// newHasLink reports whether the successor is in a state in which it has a link.
func (p pair) newHasLink() bool {
	switch p.successor.state {
	case successorPreparing, successorAwaitingLock, successorReceiving:
		return true
	case successorAsking, successorServing, successorFailed:
		return false
	}
	return false
}

// canConnect reports whether the predecessor listens and has no link.
func (p pair) canConnect() bool {
	return p.old.alive && !p.reclaimed && !p.linkUp && p.old.inbox.count == 0 && p.predecessor.state == predecessorOwning
}

// deaths returns the pairs in which one living process has been killed. This can happen between any two
// steps.
func (p pair) deaths() (to []pair) {
	if p.old.alive {
		to = append(to, p.after(func(q *pair) {
			q.killOld()
			q.old.inbox = mailbox{}
		}))
	}
	if p.new.alive {
		to = append(to, p.after(func(q *pair) {
			q.new = side{}
			q.lockInFlight = false
			q.closeLink()
		}))
	}
	return to
}

// owners counts the living processes that own the relay.
func (p pair) owners() int {
	n := 0
	if p.oldOwns() {
		n++
	}
	if p.newOwns() {
		n++
	}
	return n
}

func (p pair) oldOwns() bool { return p.old.alive && (p.predecessor.owns() || p.reclaimed) }

func (p pair) newOwns() bool { return p.new.alive && p.successor.owns() }

// walk visits every reachable pair, together with the pairs that can follow it, and returns the number of
// reachable pairs.
func walk(visit func(p pair, following []pair)) int {
	start := pair{old: side{alive: true, locked: true}, new: side{alive: true}, batchesLeft: 2}
	seen := map[pair]bool{start: true}
	for queue := []pair{start}; len(queue) > 0; {
		p := queue[0]
		queue = queue[1:]
		following := p.following()
		visit(p, following)
		for _, q := range following {
			if !seen[q] {
				seen[q] = true
				queue = append(queue, q)
			}
		}
	}
	return len(seen)
}

// Even if a process dies between any two steps, two living processes never own the relay at the same time,
// and no process owns it without the lock.
func TestPair_HasOneOwnerAtMost(t *testing.T) {
	states := walk(func(p pair, _ []pair) {
		if p.owners() > 1 {
			t.Fatalf("two owners: %+v", p)
		}
		if p.newOwns() && !p.new.locked {
			t.Fatalf("the successor owns the relay without the lock: %+v", p)
		}
		if p.old.alive && p.predecessor.owns() && !p.old.locked {
			t.Fatalf("the predecessor owns the relay without the lock: %+v", p)
		}
	})
	if states < 100 {
		t.Errorf("%d states reached, want at least 100", states)
	}
	t.Logf("%d states", states)
}

// A predecessor that is asked to stop ends in every state, by the stop request and timeouts alone: it never
// depends on a frame that may not arrive.
func TestPredecessor_EndsAfterStopRequest(t *testing.T) {
	walk(func(p pair, _ []pair) {
		if !p.old.alive || p.reclaimed {
			return
		}
		machine := p.predecessor
		ended := machine.state == predecessorFinished || machine.state == predecessorShuttingDown
		for _, e := range []event{eventTimedOut, eventStopRequested, eventTimedOut} {
			for _, a := range machine.handle(e) {
				ended = ended || a == actionExit || a == actionShutDown
			}
		}
		if !ended {
			t.Fatalf("the predecessor does not end after a stop request and timeouts: %+v", p)
		}
	})
}

// From every state with a living process that was not asked to stop, there is a path without further
// deaths to a state in which one process owns the relay.
func TestPair_AlwaysReachesAnOwner(t *testing.T) {
	edges := map[pair][]pair{}
	walk(func(p pair, following []pair) {
		edges[p] = slices.DeleteFunc(slices.Clone(following), func(q pair) bool {
			oldDied := q.old.alive != p.old.alive && !q.stopRequested
			return oldDied || q.new.alive != p.new.alive
		})
	})
	reachesOwner := map[pair]bool{}
	for p := range edges {
		reachesOwner[p] = p.owners() == 1
	}
	for changed := true; changed; {
		changed = false
		for p, following := range edges {
			if !reachesOwner[p] && slices.ContainsFunc(following, func(q pair) bool { return reachesOwner[q] }) {
				reachesOwner[p], changed = true, true
			}
		}
	}
	for p := range edges {
		newCanServe := p.new.alive && p.successor.state != successorFailed
		oldCanServe := p.old.alive && !p.stopRequested && p.predecessor.state != predecessorFinished
		if (newCanServe || oldCanServe) && !reachesOwner[p] {
			t.Fatalf("no process can become the owner of the relay: %+v", p)
		}
	}
}
