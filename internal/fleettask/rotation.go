package fleettask

import (
	"maps"
	"slices"
	"time"
)

const (
	// turnMost is how long a relay goes on with a partner's resends while others wait for their turn.
	turnMost = 10 * time.Second
	// idleMost is how long it keeps its turn while nothing is due.
	idleMost = time.Second
)

// Turns decides when a relay asks for the turn to resend towards each partner, and when it gives it back. Those who
// ask get theirs in the order in which they asked, which is the order in which something became due at them. It has
// no I/O and no clock.
type Turns struct {
	lanes map[int]*turn
}

// turn is a relay's turn towards one partner.
type turn struct {
	needed time.Duration // when something was last due
	token  uint64        // under which it is held; 0: it is not
	since  time.Duration
	given  bool // back: it is asked for again only once it is gone
}

// NewTurns makes turns of which none is asked for.
func NewTurns() *Turns { return &Turns{lanes: map[int]*turn{}} }

// Need says that something is due towards a partner.
func (t *Turns) Need(partner int, now time.Duration) {
	l := t.lanes[partner]
	if l == nil {
		l = &turn{}
		t.lanes[partner] = l
	}
	l.needed = now
}

// Step looks at all partners, and gives those whose turn is to be asked for, and to be given back. held tells under which token the turn towards a
// partner is held, and how many others wait for it.
func (t *Turns) Step(now time.Duration, held func(partner int) (token uint64, wait int, ok bool)) (want, drop []int) {
	for _, partner := range slices.Sorted(maps.Keys(t.lanes)) {
		l := t.lanes[partner]
		token, wait, ok := held(partner)
		if !ok {
			token = 0
		}
		if token != l.token {
			l.token, l.since = token, now
		}
		idle := now-l.needed > idleMost
		switch {
		case token == 0 && l.given:
			l.given = false
			if idle {
				delete(t.lanes, partner)
			}
		case l.given:
		case idle:
			l.given = true
			drop = append(drop, partner)
		case token == 0:
			want = append(want, partner)
		case wait > 0 && now-l.since >= turnMost:
			l.given = true
			drop = append(drop, partner)
		}
	}
	return want, drop
}

// May tells whether a turn may be used: it is not being given back.
func (t *Turns) May(partner int) bool {
	l := t.lanes[partner]
	return l != nil && !l.given
}
