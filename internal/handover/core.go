// Package handover passes a relay from an old process to a new one that the platform starts beside it: all at one moment,
// connections too (docs/design/handover.md). This file has both sides as machines without I/O or clock: events in, actions
// out. The other files are the socket, the lock and the connections.
package handover

// Event is something that happened to one side.
type Event int

// The events. Those of both sides come first.
const (
	// Gone: the connection to the other process has ended.
	Gone Event = iota
	// Late: the step that the machine waits for has taken too long.
	Late

	// To the giver:
	Hello   // another process asks
	Frozen  // nothing is under way any more, and the state is written down
	Unready // it could not be brought to that
	Ready   // the other process has all that it needs
	Acked   // it has the connections of the last batch
	Passed  // it has them all
	Told    // the platform has told this process to end

	// To the taker:
	Free       // nobody holds the folder's lock: this process has it now
	State      // the other process has offered its state
	Prepared   // that was read, and this process could go on from it
	Unprepared // it could not
	Yours      // this process owns the relay, with the lock
	Conns      // a batch of connections has come
	Done       // that was all
)

// Action is something that one side is to do.
type Action int

// The actions of the giver.
const (
	Freeze  Action = iota // send, accept and read nothing more; then Frozen or Unready
	Offer                 // send the state
	Thaw                  // go on as before
	Refuse                // end the connection: the other may ask again
	Give                  // write Yours, with the lock: the moment
	Pass                  // send the next batch of connections, or Done if there are none left
	Drain                 // a planned end without another process
	Leave                 // end the process: nothing is left to do
	Reclaim               // the new owner has died: take the lock and go on from the journal

	// The actions of the taker.
	Ask     // connect to the other process, or take the lock if it is free
	Start   // begin from the journal, as the folder's owner
	Prepare // read the journal and make ready to go on from the state; then Prepared or Unprepared
	Discard // forget all that was prepared
	Tell    // send Ready
	Own     // take the journal
	Take    // take a batch of connections, and acknowledge it
	Serve   // begin: all is here that will come
	Fail    // end the process with an error
)

// phase is where a side stands.
type phase int

// The phases of the giver; up to offered it owns the relay.
const (
	owning phase = iota
	freezing
	offered
	given   // the other owns it, and connections are being passed
	emptied // and nothing is left here
	ending  // a planned end without another process
	left
)

// Predecessor is the side that owns a relay. Its zero value owns one.
type Predecessor struct {
	phase phase
	told  bool // to end
}

// Owns tells whether this process owns the relay.
func (g *Predecessor) Owns() bool { return g.phase < given || g.phase == ending }

// Handle takes in an event and says what is to be done, in order. What an event means in no phase is passed over: it was
// under way when the phase ended.
func (g *Predecessor) Handle(e Event) []Action {
	if e == Told {
		g.told = true
	}
	switch g.phase {
	case owning:
		switch e {
		case Hello:
			g.phase = freezing
			return []Action{Freeze}
		case Told:
			g.phase = ending
			return []Action{Drain}
		}
	case freezing:
		switch e {
		case Frozen:
			g.phase = offered
			return []Action{Offer}
		case Unready, Gone, Late:
			return g.back()
		}
	case offered:
		switch e {
		case Ready:
			g.phase = given
			return []Action{Give, Pass}
		case Gone, Late:
			return g.back()
		}
	case given:
		switch e {
		case Acked:
			return []Action{Pass}
		case Passed, Late: // late: it owns the relay, whatever holds it up, and what was not passed is lost to it
			g.phase = emptied
			if g.told {
				g.phase = left
				return []Action{Leave}
			}
		case Gone:
			return g.orphan()
		}
	case emptied:
		switch e {
		case Told:
			g.phase = left
			return []Action{Leave}
		case Gone:
			return g.orphan()
		}
	case ending:
		if e == Hello {
			return []Action{Refuse} // it has the lock as soon as this process is gone
		}
	}
	return nil
}

// back goes on as the owner, since the other process will not take over.
func (g *Predecessor) back() []Action {
	if g.told {
		g.phase = ending
		return []Action{Refuse, Thaw, Drain}
	}
	g.phase = owning
	return []Action{Refuse, Thaw}
}

// orphan is left by a new owner that has died. One that was told to end leaves the folder to the platform's next.
func (g *Predecessor) orphan() []Action {
	g.phase = left
	if g.told {
		return []Action{Leave}
	}
	return []Action{Reclaim}
}

// The phases of the taker; from owner on it owns the relay.
const (
	asking phase = iota
	preparing
	waiting // for Yours
	owner   // connections come
	serving
	failed
)

// Successor is the side that wants to own a relay. Its zero value has not asked yet.
type Successor struct{ phase phase }

// Owns tells whether this process owns the relay.
func (t *Successor) Owns() bool { return t.phase == owner || t.phase == serving }

// Handle takes in an event and says what is to be done, in order.
func (t *Successor) Handle(e Event) []Action {
	switch t.phase {
	case asking:
		switch e {
		case Free:
			t.phase = serving
			return []Action{Start}
		case State:
			t.phase = preparing
			return []Action{Prepare}
		case Gone, Late:
			return []Action{Ask}
		}
	case preparing:
		switch e {
		case Prepared:
			t.phase = waiting
			return []Action{Tell}
		case Unprepared:
			t.phase = failed
			return []Action{Fail}
		case Gone:
			t.phase = asking
			return []Action{Discard, Ask}
		}
	case waiting:
		// However late: the other may have written Yours already, and only the end of the connection says that it will
		// not.
		switch e {
		case Yours:
			t.phase = owner
			return []Action{Own}
		case Gone:
			t.phase = asking
			return []Action{Discard, Ask}
		}
	case owner:
		switch e {
		case Conns:
			return []Action{Take}
		case Done, Gone, Late:
			t.phase = serving
			return []Action{Serve}
		}
	}
	return nil
}
