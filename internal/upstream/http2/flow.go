package http2

import (
	"math"

	"golang.org/x/net/http2"
)

const (
	// defaultWindow and defaultMaxFrameSize apply until the peer's SETTINGS change them (sections
	// 6.9.2 and 6.5.2).
	defaultWindow       = 65_535
	defaultMaxFrameSize = 16_384
	// maxWindow is the largest flow-control window (section 6.9.1).
	maxWindow = math.MaxInt32
	// receiveWindowRefill is the number of received DATA bytes after which a WINDOW_UPDATE refills
	// the connection's receive window, so that small responses cost few frames.
	receiveWindowRefill = defaultWindow / 2
)

// peerSettings has the peer's settings that the package uses (section 6.5.2).
type peerSettings struct {
	maxConcurrentStreams uint32
	initialWindow        int64
	maxFrameSize         int
}

func defaultPeerSettings() peerSettings {
	return peerSettings{maxConcurrentStreams: math.MaxUint32, initialWindow: defaultWindow, maxFrameSize: defaultMaxFrameSize}
}

// Setting is one parameter of a SETTINGS frame.
type Setting struct {
	ID  http2.SettingID
	Val uint32
}

// Settings handles the peer's SETTINGS (section 6.5) and acknowledges them. The framer has already
// checked their values.
func (s *Streams) Settings(list []Setting) (a Actions) {
	for _, v := range list {
		switch v.ID {
		case http2.SettingMaxConcurrentStreams:
			// The limit may be 0, or lower than the number of streams in flight. These continue, and no
			// new stream begins (section 5.1.2).
			s.settings.maxConcurrentStreams = v.Val
		case http2.SettingMaxFrameSize:
			s.settings.maxFrameSize = int(v.Val)
		case http2.SettingInitialWindowSize:
			if !s.setInitialWindow(&a, int64(v.Val)) {
				return a
			}
		default: // other settings are unknown, or irrelevant to a client without server push (section 6.5.2)
		}
	}
	a.Write = append(a.Write, Frame{Type: http2.FrameSettings, Ack: true})
	s.sendBodies(&a)
	return a
}

// setInitialWindow changes the windows of all streams that have not ended by the difference between
// the old and the new size; a window may become negative (section 6.9.2). If a window overflows, it
// fails the connection and reports false.
func (s *Streams) setInitialWindow(a *Actions, size int64) bool {
	diff := size - s.settings.initialWindow
	s.settings.initialWindow = size
	for _, st := range s.streams {
		if st.sendWindow += diff; st.sendWindow > maxWindow {
			s.fail(a, http2.ErrCodeFlowControl, EndStreamWindow.with(st.sendWindow))
			return false
		}
	}
	return true
}

// WindowUpdate handles a WINDOW_UPDATE (section 6.9). Stream 0 stands for the whole connection.
func (s *Streams) WindowUpdate(id, increment uint32) (a Actions) {
	st := s.streams[id]
	switch {
	case id == 0:
		if s.sendWindow += int64(increment); s.sendWindow > maxWindow {
			s.fail(&a, http2.ErrCodeFlowControl, EndConnectionWindow.with(s.sendWindow))
			return a
		}
	case st == nil:
		s.requireBegun(&a, id, http2.FrameWindowUpdate)
		return a
	default:
		if st.sendWindow += int64(increment); st.sendWindow > maxWindow {
			s.resetStream(&a, st, http2.ErrCodeFlowControl, EndStreamWindow.with(st.sendWindow))
			return a
		}
	}
	s.sendBodies(&a)
	return a
}

// sendBodies adds DATA frames for the parts of the pending bodies that the windows allow (section
// 6.9). A stream whose window is used up does not block the others.
func (s *Streams) sendBodies(a *Actions) {
	stillPending := s.pending[:0]
	for _, id := range s.pending {
		st := s.streams[id]
		if st == nil {
			continue
		}
		s.sendBody(a, st)
		if st.sent == sendPending {
			stillPending = append(stillPending, id)
		}
	}
	s.pending = stillPending
}

// sendBody adds DATA frames for the part of a body that the windows allow. No frame is larger than
// the peer's maximum frame size.
func (s *Streams) sendBody(a *Actions, st *stream) {
	for len(st.body) > 0 && s.sendWindow > 0 && st.sendWindow > 0 {
		n := int(min(int64(len(st.body)), s.sendWindow, st.sendWindow, int64(s.settings.maxFrameSize)))
		last := n == len(st.body)
		a.Write = append(a.Write, Frame{Type: http2.FrameData, Stream: st.id, Data: st.body[:n], EndStream: last})
		st.body = st.body[n:]
		st.sendWindow -= int64(n)
		s.sendWindow -= int64(n)
		if last {
			st.sent = sendQueued
		}
	}
}

// refillReceiveWindow counts received DATA bytes. When the count reaches receiveWindowRefill, it adds
// a WINDOW_UPDATE that lets the peer send the counted number of bytes again.
func (s *Streams) refillReceiveWindow(a *Actions, received int) {
	if s.unacknowledged += received; s.unacknowledged >= receiveWindowRefill {
		a.Write = append(a.Write, Frame{Type: http2.FrameWindowUpdate, Window: uint32(s.unacknowledged)})
		s.unacknowledged = 0
	}
}
