package http2

import (
	"math"
	"net/http"

	"golang.org/x/net/http2"
)

// lastStreamID is the highest number of a stream (section 5.1.1).
const lastStreamID = math.MaxInt32

// connState is where a connection stands: open → draining → closed, or open → closed.
type connState int

const (
	// connOpen takes new streams within the peer's limit.
	connOpen connState = iota
	// connDraining takes no new stream, as after a GOAWAY (section 6.8) or when stream numbers have
	// run out (section 5.1.1). Those in flight come to their end.
	connDraining
	// connClosed is the end: the connection is lost, or was ended by an error.
	connClosed
)

// sendState is how far a request was sent. The three states follow one another; all are sides of
// section 5.1's "open" and "half-closed (local)", which do not say when the last byte has left the
// process.
type sendState int

const (
	// sendPending: a part of the body waits for a window.
	sendPending sendState = iota
	// sendQueued: the frame with END_STREAM was given out to be written.
	sendQueued
	// sendWritten: that frame was handed to the kernel whole. From then on the endpoint may execute
	// the request.
	sendWritten
)

// stream is a request that has not ended.
type stream struct {
	id            uint32
	body          []byte // what is still to be given out
	sendWindow    int64  // what the peer accepts on the stream; may be negative (section 6.9.2)
	sent          sendState
	bodyReceived  int // bytes of the response's body
	contentLength int // what the response's headers say; unknownLength if they do not
	Response
}

// unknownLength is the content length of a response that does not say it.
const unknownLength = -1

// mayHaveExecuted reports whether the endpoint can have executed the request. One that has a 200
// says so itself.
func (st *stream) mayHaveExecuted() bool { return st.sent == sendWritten || st.Status == http.StatusOK }

// Streams is the state of one connection. It is not safe for concurrent use.
type Streams struct {
	state    connState
	nextID   uint32
	streams  map[uint32]*stream
	pending  []uint32 // streams in sendPending, in the order in which they came to wait
	settings peerSettings
	// sendWindow is what the peer accepts on the connection.
	sendWindow int64
	// unacknowledged is how many bytes of DATA were received and not granted anew.
	unacknowledged int
}

// NewStreams returns the state of a connection whose preface was written (section 3.4).
func NewStreams() *Streams {
	return &Streams{nextID: 1, streams: map[uint32]*stream{}, settings: defaultPeerSettings(), sendWindow: defaultWindow}
}

// InFlight returns how many streams have not ended.
func (s *Streams) InFlight() int { return len(s.streams) }

// Capacity returns how many more streams may begin now (section 5.1.2).
func (s *Streams) Capacity() int {
	inFlight, limit := uint64(len(s.streams)), uint64(s.settings.maxConcurrentStreams)
	if s.state != connOpen || inFlight >= limit {
		return 0
	}
	return int(min(limit-inFlight, math.MaxInt32))
}

// Done reports whether the connection may be closed: nothing is in flight, and nothing will be.
func (s *Streams) Done() bool {
	return s.state == connClosed || s.state == connDraining && len(s.streams) == 0
}

// Begin begins a stream for a request with a body. There must be Capacity.
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

// Written notes that the last frame of a request was handed to the kernel whole: from now on the
// endpoint may execute it.
func (s *Streams) Written(id uint32) {
	if st := s.streams[id]; st != nil {
		st.sent = sendWritten
	}
}

// Cancel ends a stream. Its RST_STREAM is to be written before another attempt of the request.
func (s *Streams) Cancel(id uint32) (a Actions) {
	if st := s.streams[id]; st != nil {
		s.resetStream(&a, st, http2.ErrCodeCancel, EndCanceled)
	}
	return a
}

// ConnectionLost ends all streams.
func (s *Streams) ConnectionLost(reason EndReason) (a Actions) {
	s.close(&a, reason)
	return a
}

// end ends a stream. No frame of it is written any more.
func (s *Streams) end(a *Actions, st *stream, mayHaveExecuted bool, reason EndReason) {
	delete(s.streams, st.id)
	a.Ended = append(a.Ended, StreamEnd{Stream: st.id, Response: st.Response, MayHaveExecuted: mayHaveExecuted, Reason: reason})
	a.Close = a.Close || s.Done()
}

// resetStream ends a stream by a RST_STREAM (sections 5.4.2 and 6.4).
func (s *Streams) resetStream(a *Actions, st *stream, code http2.ErrCode, reason EndReason) {
	a.Write = append(a.Write, Frame{Type: http2.FrameRSTStream, Stream: st.id, Code: code})
	s.end(a, st, st.mayHaveExecuted(), reason)
}

// fail ends the connection by an error of the peer's (section 5.4.1).
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

// requireBegun fails the connection where a frame came on a stream that was never begun (section
// 5.1: idle streams). One that has ended is no error: the frame and the end crossed.
func (s *Streams) requireBegun(a *Actions, id uint32, frame http2.FrameType) {
	if id%2 == 1 && id < s.nextID {
		return
	}
	s.fail(a, http2.ErrCodeProtocol, unknownStream(frame, id))
}
