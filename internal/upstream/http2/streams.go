package http2

import (
	"math"
	"net/http"

	"golang.org/x/net/http2"
)

// lastStreamID is the highest number of a stream (section 5.1.1).
const lastStreamID = math.MaxInt32

// connState is the state of a connection: open → draining → closed, or open → closed.
type connState int

const (
	// connOpen: new streams may begin, within the peer's limit on concurrent streams.
	connOpen connState = iota
	// connDraining: no new stream may begin, after a GOAWAY (section 6.8) or because stream numbers
	// have run out (section 5.1.1). Streams in flight continue to their end.
	connDraining
	// connClosed: the connection is lost, or was ended because of an error.
	connClosed
)

// sendState is the progress of sending a request. A request passes through the states in their order.
// They refine "open" and "half-closed (local)" of section 5.1, which do not show whether the last
// byte has left the process.
type sendState int

const (
	// sendPending: a part of the body waits for a flow-control window.
	sendPending sendState = iota
	// sendQueued: the frame with END_STREAM was returned in Actions for the caller to write.
	sendQueued
	// sendWritten: the kernel has accepted the whole frame with END_STREAM. From then on the
	// endpoint may execute the request.
	sendWritten
)

// stream is a request that has not ended.
type stream struct {
	id            uint32
	body          []byte // the part of the request's body that was not sent yet
	sendWindow    int64  // bytes that the peer accepts on the stream; may be negative (section 6.9.2)
	sent          sendState
	bodyReceived  int // bytes received of the response's body
	contentLength int // Content-Length of the response; unknownLength without that header
	Response
}

// unknownLength is the content length of a response without a Content-Length header.
const unknownLength = -1

// mayHaveExecuted reports whether the endpoint may have executed the request: its last byte was
// written, or the endpoint has responded with 200.
func (st *stream) mayHaveExecuted() bool { return st.sent == sendWritten || st.Status == http.StatusOK }

// Streams is the state of one connection. It is not safe for concurrent use.
type Streams struct {
	state    connState
	nextID   uint32
	streams  map[uint32]*stream
	pending  []uint32 // streams in sendPending, in the order in which they began
	settings peerSettings
	// sendWindow is the number of bytes that the peer accepts on the connection.
	sendWindow int64
	// unacknowledged is the number of received DATA bytes for which no WINDOW_UPDATE was sent yet.
	unacknowledged int
}

// NewStreams returns the state of a new connection whose preface was written (section 3.4).
func NewStreams() *Streams {
	return &Streams{nextID: 1, streams: map[uint32]*stream{}, settings: defaultPeerSettings(), sendWindow: defaultWindow}
}

// InFlight returns the number of streams that have not ended.
func (s *Streams) InFlight() int { return len(s.streams) }

// Capacity returns the number of streams that may begin now (section 5.1.2).
func (s *Streams) Capacity() int {
	inFlight, limit := uint64(len(s.streams)), uint64(s.settings.maxConcurrentStreams)
	if s.state != connOpen || inFlight >= limit {
		return 0
	}
	return int(min(limit-inFlight, math.MaxInt32))
}

// Done reports whether the connection may be closed: no stream is in flight, and none may begin.
func (s *Streams) Done() bool {
	return s.state == connClosed || s.state == connDraining && len(s.streams) == 0
}

// Begin begins a stream for a request with a body. Capacity must not be 0.
func (s *Streams) Begin(body []byte) (id uint32, a Actions) {
	id = s.nextID
	if s.nextID += 2; s.nextID > lastStreamID && s.state == connOpen {
		s.state = connDraining // section 5.1.1: a client that runs out of numbers opens a new connection
	}
	st := &stream{id: id, body: body, sendWindow: s.settings.initialWindow, contentLength: unknownLength}
	s.streams[id] = st
	if len(body) == 0 {
		st.sent = sendQueued
		a.Write = append(a.Write, Frame{Type: http2.FrameHeaders, Stream: id, EndStream: true})
		return id, a
	}
	a.Write = append(a.Write, Frame{Type: http2.FrameHeaders, Stream: id})
	s.pending = append(s.pending, id)
	s.sendBodies(&a)
	return id, a
}

// Written records that the kernel has accepted the whole last frame of a request. From then on the
// endpoint may execute the request.
func (s *Streams) Written(id uint32) {
	if st := s.streams[id]; st != nil {
		st.sent = sendWritten
	}
}

// Cancel ends a stream. The caller must write the RST_STREAM before another attempt of the request.
func (s *Streams) Cancel(id uint32) (a Actions) {
	if st := s.streams[id]; st != nil {
		s.resetStream(&a, st, http2.ErrCodeCancel, EndCanceled)
	}
	return a
}

// ConnectionLost ends all streams, since the connection is lost.
func (s *Streams) ConnectionLost(reason EndReason) (a Actions) {
	s.close(&a, reason)
	return a
}

// end ends a stream. No further frame is written on it.
func (s *Streams) end(a *Actions, st *stream, mayHaveExecuted bool, reason EndReason) {
	delete(s.streams, st.id)
	a.Ended = append(a.Ended, StreamEnd{Stream: st.id, Response: st.Response, MayHaveExecuted: mayHaveExecuted, Reason: reason})
	a.Close = a.Close || s.Done()
}

// resetStream ends a stream with a RST_STREAM (sections 5.4.2 and 6.4).
func (s *Streams) resetStream(a *Actions, st *stream, code http2.ErrCode, reason EndReason) {
	a.Write = append(a.Write, Frame{Type: http2.FrameRSTStream, Stream: st.id, Code: code})
	s.end(a, st, st.mayHaveExecuted(), reason)
}

// fail ends the connection with a GOAWAY because of an error of the peer (section 5.4.1).
func (s *Streams) fail(a *Actions, code http2.ErrCode, reason EndReason) {
	a.Write = append(a.Write, Frame{Type: http2.FrameGoAway, Code: code})
	s.close(a, reason)
}

// close ends the connection and all streams.
func (s *Streams) close(a *Actions, reason EndReason) {
	s.state = connClosed
	for _, st := range s.streams {
		s.end(a, st, st.mayHaveExecuted(), reason)
	}
	a.Close = true
}

// requireBegun fails the connection if a frame arrived on a stream that was never begun (section 5.1:
// idle streams). A frame on a stream that has ended is no error: the peer may have sent the frame
// before it received the end of the stream.
func (s *Streams) requireBegun(a *Actions, id uint32, frame http2.FrameType) {
	if id%2 == 1 && id < s.nextID {
		return
	}
	s.fail(a, http2.ErrCodeProtocol, idleStream(frame, id))
}
