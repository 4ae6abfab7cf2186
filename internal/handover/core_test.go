package handover

import (
	"slices"
	"testing"
)

// pair is both processes, what is under way between them, and who holds the folder's lock. It is compared by value.
type pair struct {
	giver        Predecessor
	taker        Successor
	gLives       bool
	tLives       bool
	up           bool // the connection
	toTaker      [4]Event
	toGiver      [4]Event
	nTaker       int
	nGiver       int
	gLock, tLock bool
	lockInFlight bool
	batches      int
	told         bool
	reclaimed    bool // the giver owns again, from the journal
	frozen       bool // the giver waits for nothing but the machine
	prepared     bool
}

func (p *pair) send(toTaker bool, e Event) {
	if !p.up {
		return
	}
	if toTaker {
		p.toTaker[p.nTaker] = e
		p.nTaker++
	} else {
		p.toGiver[p.nGiver] = e
		p.nGiver++
	}
}

// hangUp ends the connection: what one side has written the other still reads, and then the end.
func (p *pair) hangUp() { p.up = false }

// give carries out the giver's actions.
func (p *pair) give(t *testing.T, actions []Action) {
	for _, a := range actions {
		switch a {
		case Freeze:
			p.frozen = true
		case Offer:
			p.send(true, State)
		case Thaw:
			p.frozen = false
		case Refuse:
			p.hangUp()
		case Give:
			p.send(true, Yours)
			p.lockInFlight = p.up || p.nTaker > 0
		case Pass:
			if p.batches > 0 {
				p.batches--
				p.send(true, Conns)
			} else {
				p.send(true, Done)
				p.give(t, p.giver.Handle(Passed))
			}
		case Reclaim:
			p.gLock = false // its copy is of the description that the dead one held too
			if !p.tLock && !p.lockInFlight {
				p.gLock, p.reclaimed = true, true
			}
		case Leave, Drain:
			p.gLives, p.gLock = false, false
			p.hangUp()
		}
	}
}

// take carries out the taker's actions.
func (p *pair) take(actions []Action) {
	for _, a := range actions {
		switch a {
		case Discard:
			p.prepared = false
		case Tell:
			p.send(false, Ready)
		case Own:
			p.tLock, p.lockInFlight = true, false
			p.send(false, Acked) // the first
		case Take:
			p.send(false, Acked)
		case Start:
			p.tLock = true
		case Prepare:
			p.prepared = true
		}
	}
}

// next gives all pairs that one can become by one step.
func (p pair) next(t *testing.T) (to []pair) {
	step := func(do func(*pair)) {
		q := p
		do(&q)
		to = append(to, q)
	}
	if p.gLives && !p.reclaimed {
		if p.nGiver > 0 {
			step(func(q *pair) {
				e := q.toGiver[0]
				copy(q.toGiver[:], q.toGiver[1:])
				q.toGiver[3] = 0
				q.nGiver--
				if e == Acked {
					q.gLock = false // its copy is not needed any more
				}
				q.give(t, q.giver.Handle(e))
			})
		} else if !p.up && (p.giver.phase == freezing || p.giver.phase == offered || p.giver.phase == given || p.giver.phase == emptied) {
			step(func(q *pair) { q.give(t, q.giver.Handle(Gone)) })
		}
		if p.frozen && p.giver.phase == freezing {
			step(func(q *pair) { q.give(t, q.giver.Handle(Frozen)) })
			step(func(q *pair) { q.give(t, q.giver.Handle(Unready)) })
		}
		step(func(q *pair) { q.give(t, q.giver.Handle(Late)) })
		if !p.told {
			step(func(q *pair) { q.told = true; q.give(t, q.giver.Handle(Told)) })
		}
	}
	if p.tLives {
		if p.nTaker > 0 {
			step(func(q *pair) {
				e := q.toTaker[0]
				copy(q.toTaker[:], q.toTaker[1:])
				q.toTaker[3] = 0
				q.nTaker--
				q.take(q.taker.Handle(e))
			})
		} else if !p.up && p.taker.phase != asking && p.taker.phase != serving && p.taker.phase != failed {
			step(func(q *pair) { q.take(q.taker.Handle(Gone)) })
		}
		if p.taker.phase == asking && p.nTaker == 0 {
			switch {
			case !p.gLock && !p.tLock && !p.lockInFlight:
				step(func(q *pair) { q.take(q.taker.Handle(Free)) })
			case p.gLives && !p.reclaimed && !p.up && p.nGiver == 0 && p.giver.phase == owning:
				step(func(q *pair) { q.up = true; q.send(false, Hello) })
			}
		}
		if p.taker.phase == preparing {
			step(func(q *pair) { q.take(q.taker.Handle(Prepared)) })
		}
		if p.taker.phase == owner {
			step(func(q *pair) { q.take(q.taker.Handle(Late)) })
		}
	}
	// Either may die between any two steps, and its end of the connection with it.
	if p.gLives {
		step(func(q *pair) { q.gLives, q.gLock = false, false; q.hangUp(); q.nGiver = 0; q.toGiver = [4]Event{} })
	}
	if p.tLives {
		step(func(q *pair) {
			q.tLives, q.tLock, q.lockInFlight = false, false, false
			q.hangUp()
			q.nTaker, q.toTaker = 0, [4]Event{}
		})
	}
	return to
}

func (p pair) owners() (n int) {
	if p.gLives && (p.giver.Owns() || p.reclaimed) {
		n++
	}
	if p.tLives && p.taker.Owns() {
		n++
	}
	return n
}

// walk goes through every state that a pair can come to, and hands each to look with those that follow it.
func walk(t *testing.T, look func(p pair, next []pair)) int {
	start := pair{gLives: true, tLives: true, gLock: true, batches: 2}
	seen := map[pair]bool{start: true}
	for queue := []pair{start}; len(queue) > 0; {
		p := queue[0]
		queue = queue[1:]
		next := p.next(t)
		look(p, next)
		for _, q := range next {
			if !seen[q] {
				seen[q] = true
				queue = append(queue, q)
			}
		}
	}
	return len(seen)
}

// In no state that a death between any two steps can lead to do two live processes own the relay, nor does one own it
// whose lock another holds.
func TestOneOwner(t *testing.T) {
	states := walk(t, func(p pair, _ []pair) {
		if p.owners() > 1 {
			t.Fatalf("two owners: %+v", p)
		}
		if p.tLives && p.taker.Owns() && !p.tLock {
			t.Fatalf("the new one owns without the lock: %+v", p)
		}
		if p.gLives && p.giver.Owns() && !p.gLock {
			t.Fatalf("the old one owns without the lock: %+v", p)
		}
	})
	if states < 100 {
		t.Errorf("only %d states", states)
	}
	t.Logf("%d states", states)
}

// Once it is told to end, a giver comes to its end by what happens to it alone, wherever it stands: nothing waits for a word
// that has been said.
func TestToldGiverEnds(t *testing.T) {
	walk(t, func(p pair, _ []pair) {
		if !p.gLives || p.reclaimed {
			return
		}
		// What was said before the first of these, as a walk reaches it, is in the machine.
		g := p.giver
		ends := g.phase == left || g.phase == ending
		for _, e := range []Event{Late, Told, Late} {
			for _, a := range g.Handle(e) {
				ends = ends || a == Leave || a == Drain
			}
		}
		if !ends {
			t.Fatalf("late and told, it stays: %+v", p)
		}
	})
}

// From every state in which a process lives that was not told to end there is a way on which no one dies any more and
// that ends with an owner: nothing is stuck.
func TestOwnedInTheEnd(t *testing.T) {
	type edge = []pair
	edges := map[pair]edge{}
	walk(t, func(p pair, next []pair) {
		// Deaths are not needed to go on.
		edges[p] = slices.DeleteFunc(slices.Clone(next), func(q pair) bool { return q.gLives != p.gLives && !q.told || q.tLives != p.tLives })
	})
	good := map[pair]bool{}
	for p := range edges {
		good[p] = p.owners() == 1
	}
	for changed := true; changed; {
		changed = false
		for p, next := range edges {
			if !good[p] && slices.ContainsFunc(next, func(q pair) bool { return good[q] }) {
				good[p], changed = true, true
			}
		}
	}
	for p := range edges {
		alive := p.tLives && p.taker.phase != failed || p.gLives && !p.told && p.giver.phase != left
		if alive && !good[p] {
			t.Fatalf("nobody will own the relay: %+v", p)
		}
	}
}
