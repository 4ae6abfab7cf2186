package server

import "frostlink/internal/coord"

// maxHintChannels bounds the sessions for which a channel is remembered.
const maxHintChannels = 2 * coord.MaxSessions

// hint wakes whoever waits for a session's hints, or the next one who does.
func (n *Node) hint(session uint64) {
	select {
	case n.hintChannel(session) <- struct{}{}:
	default: // there is one already
	}
}

// hintChannel returns the channel of a session's hints. It holds one hint until somebody waits for
// it.
func (n *Node) hintChannel(session uint64) chan struct{} {
	c := n.hints[session]
	if c == nil {
		if len(n.hints) >= maxHintChannels {
			clear(n.hints) // of sessions that have ended long ago, for the most part; hints may be lost
		}
		c = make(chan struct{}, 1)
		n.hints[session] = c
	}
	return c
}
