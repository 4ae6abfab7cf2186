package http1

import "io"

// headLimiter fails the next read once more than maxResponseLines lines of a response's head were read. What was read up to then is
// valid: a status line counts whatever follows it.
type headLimiter struct {
	from      io.Reader
	lines     int  // of the head in progress
	lineEmpty bool // the line in progress has no byte yet, apart from a carriage return
	ended     bool // the head has ended
}

// begin begins a head, of which some bytes were read already.
func (h *headLimiter) begin(read []byte) {
	h.lines, h.lineEmpty, h.ended = 0, false, false
	h.countAll(read)
}

func (h *headLimiter) Read(p []byte) (int, error) {
	if h.lines > maxResponseLines {
		return 0, errTooManyLines
	}
	n, err := h.from.Read(p)
	h.countAll(p[:n])
	return n, err //nolint:wrapcheck // readers compare with io.EOF
}

// countAll counts bytes up to the end of the head.
func (h *headLimiter) countAll(read []byte) {
	for _, b := range read {
		if h.ended {
			return
		}
		h.count(b)
	}
}

// count counts one byte of the head.
func (h *headLimiter) count(b byte) {
	switch b {
	case '\n':
		h.ended = h.lineEmpty
		h.lines++
		h.lineEmpty = true
	case '\r':
	default:
		h.lineEmpty = false
	}
}
