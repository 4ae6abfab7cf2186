package server

import "frostlink/internal/coord"

// maxHintChannels bounds the number of sessions with a hint channel.
const maxHintChannels = 2 * coord.MaxSessions

// hint sends a hint for a session: it wakes one waiting caller or, if there is none, the next caller
// that waits.
func (n *Node) hint(session uint64) {
	select {
	case n.hintChannel(session) <- struct{}{}:
	default: // a hint is pending already
	}
}

// hintChannel returns the channel of a session's hints. It buffers one hint until a caller waits
// for it.
func (n *Node) hintChannel(session uint64) chan struct{} {
	c := n.hints[session]
	if c == nil {
		if len(n.hints) >= maxHintChannels {
			clear(n.hints) // most of these sessions ended long ago, and hints may be lost
		}
		c = make(chan struct{}, 1)
		n.hints[session] = c
	}
	return c
}
