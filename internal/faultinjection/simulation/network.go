package simulation

import "frostlink/internal/faultinjection/scenario"

// zones is into how many the relays and hosts of a fleet are dealt, in turns.
const zones = 3

// cut tells whether nothing passes between a relay and a host.
func (f *fleet) cut(r *relay, h *host) bool {
	if f.severed == 0 {
		return false
	}
	there, here := (h.partner.no+h.endpoint)%zones, r.no%zones
	return (there == f.severed-1) != (here == f.severed-1)
}

// join ends a cut: hosts hear of the connections that were given up behind it.
func (f *fleet) join() {
	f.severed = 0
	for _, h := range f.places {
		h.partner.Disconnect(h.endpoint)
	}
	f.places = nil
}

// part is a share of the relays, from a share on.
func (f *fleet) part(from, share float64) []*relay {
	n := float64(len(f.relays))
	upTo := func(share float64) int { return min(len(f.relays), int(share*n+1e-9)) } // 0.3 + 0.1 of 10 is 4
	return f.relays[upTo(from):upTo(from+share)]
}

// What may happen to a call on its way.
type harm int

const (
	unharmed    harm = iota
	resetBefore      // its connection breaks before its last byte is written
	resetAfter       // or after that
	answerLost
)

// harmed draws what happens to a call.
func (f *fleet) harmed(fl *flight) harm {
	if f.harm == 0 {
		return unharmed
	}
	switch at := f.draws.Stream("harm", fl.held.m.Number, fl.held.n, fl.attempt).Float64() / f.harm; {
	case at < 0.5:
		return answerLost
	case at < 0.75:
		return resetBefore
	case at < 1:
		return resetAfter
	}
	return unharmed
}

// leaves tells whether the client of a hand-in goes before it has heard: what its relay does then counts for nothing, and the
// client comes again elsewhere.
func (f *fleet) leaves(m *scenario.Message, n int) bool {
	return f.hasty > 0 && f.draws.Stream("hasty", m.Number, n).Float64() < f.hasty
}
