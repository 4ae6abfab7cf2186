package handover

import (
	"slices"
	"testing"
)

// maxInFlight is how many events are in flight in one direction at most.
const maxInFlight = 4

// mailbox is the events in flight to one side. It is compared by value.
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

// side is what both processes have.
type side struct {
	alive  bool
	locked bool // it has a descriptor of the folder's lock
	inbox  mailbox
}

// pair is a predecessor and a successor, with what is in flight between them. It is compared by value.
type pair struct {
	old  side
	new  side
	from predecessor
	to   successor

	linkUp        bool
	lockInFlight  bool
	batchesLeft   int
	stopRequested bool // of the predecessor
	reclaimed     bool // the predecessor owns again, from the journal
	quiescing     bool // the predecessor's machine waits for the relay
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

// closeLink ends the link: what was sent before still arrives, and then the end.
func (p *pair) closeLink() { p.linkUp = false }

// handleOld gives the predecessor an event, and carries out its actions.
func (p *pair) handleOld(e event) {
	for _, a := range p.from.handle(e) {
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
			p.old.locked = false // its descriptor is of the description that the dead successor had too
			if !p.new.locked && !p.lockInFlight {
				p.old.locked, p.reclaimed = true, true
			}
		case actionExit, actionShutDown:
			p.killOld()
		default: // the successor's
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

// handleNew gives the successor an event, and carries out its actions.
func (p *pair) handleNew(e event) {
	for _, a := range p.to.handle(e) {
		switch a {
		case actionDiscard:
			p.prepared = false
		case actionReportReady:
			p.sendToPredecessor(eventPeerReady)
		case actionAcquireJournal:
			p.new.locked, p.lockInFlight = true, false
			p.sendToPredecessor(eventBatchAcknowledged) // the first: of the lock
		case actionAcceptBatch:
			p.sendToPredecessor(eventBatchAcknowledged)
		case actionStart:
			p.new.locked = true
		case actionPrepare:
			p.prepared = true
		default: // the predecessor's, or without effect on the pair
		}
	}
}

// killOld ends the predecessor. What it has sent still arrives.
func (p *pair) killOld() {
	p.old.alive, p.old.locked = false, false
	p.closeLink()
}

// following returns all pairs that this one can become by one step.
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
				q.old.locked = false // its descriptor is not needed any more
			}
			q.handleOld(e)
		})
	} else if !p.linkUp && p.oldHasLink() {
		step(func(q *pair) { q.handleOld(eventPeerGone) })
	}
	if p.quiescing && p.from.state.isQuiescing() {
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

// oldHasLink reports whether the predecessor is in a state in which it has a link to lose.
func (p pair) oldHasLink() bool {
	switch p.from.state {
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
	if p.to.state == successorAsking && p.new.inbox.count == 0 {
		switch {
		case !p.old.locked && !p.new.locked && !p.lockInFlight:
			step(func(q *pair) { q.handleNew(eventLockFree) })
		case p.canConnect():
			step(func(q *pair) { q.linkUp = true; q.sendToPredecessor(eventHelloReceived) })
		}
	}
	if p.to.state == successorPreparing {
		step(func(q *pair) { q.handleNew(eventPrepared) })
	}
	if p.to.state == successorReceiving {
		step(func(q *pair) { q.handleNew(eventTimedOut) })
	}
	return to
}

// newHasLink reports whether the successor is in a state in which it has a link to lose.
func (p pair) newHasLink() bool {
	switch p.to.state {
	case successorPreparing, successorAwaitingLock, successorReceiving:
		return true
	case successorAsking, successorServing, successorFailed:
		return false
	}
	return false
}

// canConnect reports whether the predecessor listens, and has no link.
func (p pair) canConnect() bool {
	return p.old.alive && !p.reclaimed && !p.linkUp && p.old.inbox.count == 0 && p.from.state == predecessorOwning
}

// deaths returns the pair with either process killed: that can happen between any two steps.
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

func (p pair) oldOwns() bool { return p.old.alive && (p.from.owns() || p.reclaimed) }

func (p pair) newOwns() bool { return p.new.alive && p.to.owns() }

// walk visits every state that a pair can reach, with those that follow it, and returns their number.
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

// In no state that a death between any two steps can lead to do two living processes own the relay, nor
// does one own it without the lock.
func TestPair_HasOneOwnerAtMost(t *testing.T) {
	states := walk(func(p pair, _ []pair) {
		if p.owners() > 1 {
			t.Fatalf("two owners: %+v", p)
		}
		if p.newOwns() && !p.new.locked {
			t.Fatalf("the successor owns without the lock: %+v", p)
		}
		if p.old.alive && p.from.owns() && !p.old.locked {
			t.Fatalf("the predecessor owns without the lock: %+v", p)
		}
	})
	if states < 100 {
		t.Errorf("only %d states", states)
	}
	t.Logf("%d states", states)
}

// Once it is asked to stop, a predecessor ends by what happens to it alone, whatever its state: it waits
// for no frame that may never come.
func TestPredecessor_EndsAfterStopRequest(t *testing.T) {
	walk(func(p pair, _ []pair) {
		if !p.old.alive || p.reclaimed {
			return
		}
		machine := p.from
		ended := machine.state == predecessorFinished || machine.state == predecessorShuttingDown
		for _, e := range []event{eventTimedOut, eventStopRequested, eventTimedOut} {
			for _, a := range machine.handle(e) {
				ended = ended || a == actionExit || a == actionShutDown
			}
		}
		if !ended {
			t.Fatalf("timed out and asked to stop, it does not end: %+v", p)
		}
	})
}

// From every state in which a process lives that was not asked to stop there is a path without further
// deaths that ends with an owner.
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
		newCanServe := p.new.alive && p.to.state != successorFailed
		oldCanServe := p.old.alive && !p.stopRequested && p.from.state != predecessorFinished
		if (newCanServe || oldCanServe) && !reachesOwner[p] {
			t.Fatalf("no process will own the relay: %+v", p)
		}
	}
}
