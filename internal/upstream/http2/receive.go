package http2

import (
	"net/http"

	"golang.org/x/net/http2"
)

// maxResponseBody bounds the body of a response, in bytes, so that an endpoint cannot exhaust the
// memory. Bodies of responses have no meaning.
const maxResponseBody = 64 << 10

// HeaderBlock is a decoded header block: an interim response, a final one, or trailers (section
// 8.1).
type HeaderBlock struct {
	Status        int // 0: trailers
	Headers       map[string][]string
	ContentLength int // -1: no Content-Length
	EndStream     bool
	Malformed     EndReason // why the block is malformed (section 8.1.1); empty: it is well-formed
}

// Headers handles a received header block.
func (s *Streams) Headers(id uint32, block HeaderBlock) (a Actions) {
	st := s.streams[id]
	if st == nil {
		s.requireBegun(&a, id, http2.FrameHeaders)
		return a
	}
	switch {
	case block.Malformed != "":
		s.resetStream(&a, st, http2.ErrCodeProtocol, block.Malformed)
	case st.Status > 0:
		s.trailers(&a, st, block)
	case block.Status >= http.StatusContinue && block.Status < http.StatusOK:
		if block.EndStream { // section 8.1: an interim response does not end a stream
			s.resetStream(&a, st, http2.ErrCodeProtocol, EndInterimEndsStream)
		}
	default:
		st.Status, st.Headers, st.contentLength = block.Status, block.Headers, block.ContentLength
		if block.EndStream {
			s.finish(&a, st)
		}
	}
	return a
}

// trailers handles a header block that follows the one of the final response (section 8.1).
func (s *Streams) trailers(a *Actions, st *stream, block HeaderBlock) {
	switch {
	case !block.EndStream:
		s.resetStream(a, st, http2.ErrCodeProtocol, EndTrailersContinue)
	case block.Status > 0:
		s.resetStream(a, st, http2.ErrCodeProtocol, EndTrailersStatus)
	default:
		s.finish(a, st)
	}
}

// Data handles a DATA frame with n bytes of a response's body. Padding counts only for flow control
// (section 6.1).
func (s *Streams) Data(id uint32, n, padding int, endStream bool) (a Actions) {
	s.refillReceiveWindow(&a, n+padding)
	st := s.streams[id]
	if st == nil {
		s.requireBegun(&a, id, http2.FrameData)
		return a
	}
	st.bodyReceived += n
	switch {
	case st.Status == 0:
		s.resetStream(&a, st, http2.ErrCodeProtocol, EndBodyBeforeHeaders)
	case st.contentLength >= 0 && st.bodyReceived > st.contentLength: // section 8.1.1
		s.resetStream(&a, st, http2.ErrCodeProtocol, EndBodyTooLong)
	case st.bodyReceived > maxResponseBody:
		s.resetStream(&a, st, http2.ErrCodeCancel, EndResponseTooLarge)
	case endStream:
		s.finish(&a, st)
	}
	return a
}

// finish ends a stream whose response was received to its end. If a part of the request was not sent
// yet, that part is dropped, since an endpoint that responds early does not need it (section 8.1).
func (s *Streams) finish(a *Actions, st *stream) {
	if st.contentLength >= 0 && st.bodyReceived != st.contentLength { // section 8.1.1
		s.resetStream(a, st, http2.ErrCodeProtocol, EndBodyTooShort)
		return
	}
	st.Complete = true
	if st.sent == sendPending {
		a.Write = append(a.Write, Frame{Type: http2.FrameRSTStream, Stream: st.id, Code: http2.ErrCodeCancel})
	}
	s.end(a, st, st.mayHaveExecuted(), EndResponded)
}

// Reset handles a received RST_STREAM (section 6.4).
func (s *Streams) Reset(id uint32, code http2.ErrCode) (a Actions) {
	st := s.streams[id]
	switch {
	case st == nil:
		s.requireBegun(&a, id, http2.FrameRSTStream)
	case code == http2.ErrCodeRefusedStream && st.Status == 0:
		// Section 8.7: the stream was closed before any processing.
		s.end(&a, st, false, EndRefused)
	default:
		// A reset with NO_ERROR after a complete response (section 8.1) does not get here, since the
		// stream has already ended.
		s.end(&a, st, st.mayHaveExecuted(), EndReset.with(code))
	}
	return a
}

// GoAway handles a GOAWAY (section 6.8): the peer has not processed the streams above lastID and will
// not process them. A second GOAWAY may have a lower number.
func (s *Streams) GoAway(lastID uint32, code http2.ErrCode) (a Actions) {
	if s.state == connOpen {
		s.state = connDraining
	}
	for id, st := range s.streams {
		if id > lastID {
			s.end(&a, st, st.Status == http.StatusOK, EndGoAway.with(code))
		}
	}
	a.Close = a.Close || s.Done()
	return a
}

// Ping handles a PING and acknowledges it (section 6.7).
func (s *Streams) Ping(data [8]byte) Actions {
	return Actions{Write: []Frame{{Type: http2.FramePing, Ack: true, Data: data[:]}}}
}
