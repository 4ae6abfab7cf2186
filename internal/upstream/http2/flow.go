package http2

import (
	"math"

	"golang.org/x/net/http2"
)

const (
	// defaultWindow and defaultMaxFrameSize are what a peer grants until its SETTINGS say otherwise
	// (sections 6.9.2 and 6.5.2).
	defaultWindow       = 65_535
	defaultMaxFrameSize = 16_384
	// maxWindow is the largest flow-control window (section 6.9.1).
	maxWindow = math.MaxInt32
	// receiveWindowRefill is how many bytes of DATA are received before the connection's receive
	// window is refilled, so that small responses cost few frames.
	receiveWindowRefill = defaultWindow / 2
)

// peerSettings are the settings of the peer that matter here (section 6.5.2).
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

// Settings handles the peer's SETTINGS (section 6.5), whose values the framer has checked, and
// acknowledges them.
func (s *Streams) Settings(list []Setting) (a Actions) {
	for _, v := range list {
		switch v.ID {
		case http2.SettingMaxConcurrentStreams:
			// Also below what is in flight, or 0: that goes on, and nothing new begins (section
			// 5.1.2).
			s.settings.maxConcurrentStreams = v.Val
		case http2.SettingMaxFrameSize:
			s.settings.maxFrameSize = int(v.Val)
		case http2.SettingInitialWindowSize:
			if !s.setInitialWindow(&a, int64(v.Val)) {
				return a
			}
		default: // no other has a meaning for a client that takes no push, or is unknown (section 6.5.2)
		}
	}
	a.Write = append(a.Write, Frame{Type: http2.FrameSettings, Ack: true})
	s.sendBodies(&a)
	return a
}

// setInitialWindow changes the windows of streams that have not ended by the difference, also below
// zero (section 6.9.2). It reports false where one overflows, which ends the connection.
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

// WindowUpdate handles a WINDOW_UPDATE (section 6.9), which is for the connection where the stream
// is 0.
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

// sendBodies gives out as much of the bodies as the windows allow (section 6.9), in turn. A stream
// without a window holds up no other.
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

// sendBody gives out as much of a body as the windows allow, in frames of the peer's size.
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

// refillReceiveWindow grants the peer what it has sent anew, once that is enough to be worth a
// frame.
func (s *Streams) refillReceiveWindow(a *Actions, received int) {
	if s.unacknowledged += received; s.unacknowledged >= receiveWindowRefill {
		a.Write = append(a.Write, Frame{Type: http2.FrameWindowUpdate, Window: uint32(s.unacknowledged)})
		s.unacknowledged = 0
	}
}
