// Package http2 makes calls to hosts over HTTP/2 (RFC 9113): many at once on a connection, each with the exact truth of
// whether it can have run. Frames are parsed and written by golang.org/x/net/http2's Framer, header blocks by its hpack;
// what a frame means to a call is decided in Streams, which knows neither socket nor clock. The library's own Transport and
// ClientConn are not used: the first sends a request again by itself, and neither tells whether its last byte had left.
package http2

import (
	"fmt"
	"math"

	"golang.org/x/net/http2"
)

const (
	// defaultWindow and defaultFrame are what a peer grants until its SETTINGS say else (RFC 9113, sections 6.9.2 and 6.5.2).
	defaultWindow, defaultFrame = 65_535, 16_384
	// ownWindow is what we grant a connection's answers; their bodies mean nothing, and are bounded by maxAnswer a stream.
	maxAnswer = 64 << 10
	// refill of the connection's receive window is told to the peer at once, so that small answers cost few frames.
	refill = defaultWindow / 2
	// lastStream is the highest number of a stream (section 5.1.1).
	lastStream = math.MaxInt32
)

// Answer is what a host has said of a call.
type Answer struct {
	Status  int // 0: nothing final
	Headers map[string][]string
	Whole   bool // it came to its end as it should
}

// Ended is the end of a call. Ran is false only where it is proved: the host began nothing.
type Ended struct {
	Stream uint32
	Answer
	Ran    bool   // it may have run, or has
	Reason string // in words, for logs
}

// Actions are what is to be done after an event, in this order.
type Actions struct {
	Write []Frame
	Ended []Ended
	Close bool // the connection is of no further use
}

// Frame is one to be written.
type Frame struct {
	Type   http2.FrameType
	Stream uint32
	Data   []byte        // DATA, PING
	End    bool          // DATA, HEADERS: END_STREAM
	Ack    bool          // SETTINGS, PING
	Code   http2.ErrCode // RST_STREAM, GOAWAY
	Window uint32        // WINDOW_UPDATE
}

// stream is a call that has no end yet.
type stream struct {
	id     uint32
	body   []byte // what is still to be written
	window int64  // of what the peer takes on it
	said   bool   // its last frame was given to be written
	sent   bool   // that was handed to the kernel whole: the host may have begun it
	got    int    // bytes of its answer's body
	length int    // of that, as the answer says; -1: it does not
	Answer
}

// Streams is the state of one connection. It is not safe for concurrent use.
type Streams struct {
	next     uint32
	streams  map[uint32]*stream
	blocked  []uint32 // with body left, in the order in which they came to wait
	limit    uint32   // the peer's SETTINGS_MAX_CONCURRENT_STREAMS
	initial  int64    // its SETTINGS_INITIAL_WINDOW_SIZE
	frame    int      // its SETTINGS_MAX_FRAME_SIZE
	window   int64    // of what it takes on the connection
	received int      // bytes of DATA not yet granted anew
	settled  bool     // its first SETTINGS came
	leaving  bool     // it takes no further streams, or there are no further numbers
	ended    bool
}

// NewStreams gives the state of a connection whose preface was written.
func NewStreams() *Streams {
	return &Streams{
		next: 1, streams: map[uint32]*stream{}, limit: math.MaxUint32, initial: defaultWindow, frame: defaultFrame,
		window: defaultWindow,
	}
}

// Open is how many calls are out, and Room how many more may begin now.
func (s *Streams) Open() int { return len(s.streams) }

// Room tells how many more calls may begin.
func (s *Streams) Room() int {
	if s.leaving || s.ended || uint64(len(s.streams)) >= uint64(s.limit) {
		return 0
	}
	return int(min(uint64(s.limit)-uint64(len(s.streams)), math.MaxInt32))
}

// Done tells whether the connection may be closed: nothing is out, and nothing more will be.
func (s *Streams) Done() bool { return s.ended || s.leaving && len(s.streams) == 0 }

// Begin begins a call; the HEADERS that it gives to write are the caller's to encode. Room must be left.
func (s *Streams) Begin(body []byte) (id uint32, a Actions) {
	id = s.next
	if s.next += 2; s.next > lastStream {
		s.leaving = true // section 5.1.1: a client that runs out of numbers opens a new connection
	}
	st := &stream{id: id, body: body, window: s.initial, length: -1}
	s.streams[id] = st
	st.said = len(body) == 0
	a.Write = append(a.Write, Frame{Type: http2.FrameHeaders, Stream: id, End: st.said})
	if !st.said {
		s.blocked = append(s.blocked, id)
		s.flow(&a)
	}
	return id, a
}

// flow gives out as much of the bodies as windows allow (section 6.9), in turn: a stream without a window holds up itself
// alone.
func (s *Streams) flow(a *Actions) {
	waiting := s.blocked[:0]
	for _, id := range s.blocked {
		st := s.streams[id]
		if st == nil {
			continue
		}
		for len(st.body) > 0 && s.window > 0 && st.window > 0 {
			n := int(min(int64(len(st.body)), s.window, st.window, int64(s.frame)))
			f := Frame{Type: http2.FrameData, Stream: id, Data: st.body[:n], End: n == len(st.body)}
			st.body = st.body[n:]
			st.window -= int64(n)
			s.window -= int64(n)
			st.said = f.End
			a.Write = append(a.Write, f)
		}
		if !st.said {
			waiting = append(waiting, id)
		}
	}
	s.blocked = waiting
}

// Sent notes that the last frame of a call was handed to the kernel whole: from now on the host may begin it.
func (s *Streams) Sent(id uint32) {
	if st := s.streams[id]; st != nil {
		st.sent = true
	}
}

// end ends a call. Nothing of it is written any more.
func (s *Streams) end(a *Actions, st *stream, ran bool, reason string) {
	delete(s.streams, st.id)
	a.Ended = append(a.Ended, Ended{Stream: st.id, Answer: st.Answer, Ran: ran, Reason: reason})
	a.Close = a.Close || s.Done()
}

// reset ends a call by a RST_STREAM of ours.
func (s *Streams) reset(a *Actions, st *stream, code http2.ErrCode, reason string) {
	a.Write = append(a.Write, Frame{Type: http2.FrameRSTStream, Stream: st.id, Code: code})
	s.end(a, st, st.sent || st.Status == 200, reason)
}

// Cancel gives a call up: its RST_STREAM is to be written before another attempt goes.
func (s *Streams) Cancel(id uint32) (a Actions) {
	if st := s.streams[id]; st != nil {
		s.reset(&a, st, http2.ErrCodeCancel, "given up")
	}
	return a
}

// fail ends the connection by an error of its peer's (section 5.4.1).
func (s *Streams) fail(a *Actions, code http2.ErrCode, format string, args ...any) {
	a.Write = append(a.Write, Frame{Type: http2.FrameGoAway, Code: code})
	s.broken(a, fmt.Sprintf(format, args...))
}

// Broken ends all calls: the connection is gone.
func (s *Streams) Broken(reason string) (a Actions) {
	s.broken(&a, reason)
	return a
}

func (s *Streams) broken(a *Actions, reason string) {
	s.ended = true
	for _, st := range s.streams {
		s.end(a, st, st.sent || st.Status == 200, reason)
	}
	a.Close = true
}

// known tells whether a stream of that number was ever begun; a frame on another is an error of the connection
// (section 5.1: idle streams).
func (s *Streams) known(a *Actions, id uint32, what http2.FrameType) bool {
	if id%2 == 1 && id < s.next {
		return true
	}
	s.fail(a, http2.ErrCodeProtocol, "%v on stream %d, which was never begun", what, id)
	return false
}

// Setting is one of a SETTINGS frame.
type Setting struct {
	ID  http2.SettingID
	Val uint32
}

// Settings takes in the peer's SETTINGS (section 6.5), whose values the framer has checked.
func (s *Streams) Settings(list []Setting) (a Actions) {
	s.settled = true
	for _, v := range list {
		switch v.ID {
		case http2.SettingMaxConcurrentStreams:
			s.limit = v.Val // also below what is out, or 0: that goes on, and nothing new begins (section 5.1.2)
		case http2.SettingMaxFrameSize:
			s.frame = int(v.Val)
		case http2.SettingInitialWindowSize:
			// Section 6.9.2: the windows of open streams move by the difference, also below zero.
			diff := int64(v.Val) - s.initial
			s.initial = int64(v.Val)
			for _, st := range s.streams {
				if st.window += diff; st.window > math.MaxInt32 {
					s.fail(&a, http2.ErrCodeFlowControl, "a window of %d", st.window)
					return a
				}
			}
		}
	}
	a.Write = append(a.Write, Frame{Type: http2.FrameSettings, Ack: true})
	s.flow(&a)
	return a
}

// WindowUpdate takes in a WINDOW_UPDATE (section 6.9); on the connection where the stream is 0.
func (s *Streams) WindowUpdate(id, by uint32) (a Actions) {
	st := s.streams[id]
	switch {
	case id == 0:
		if s.window += int64(by); s.window > math.MaxInt32 { // section 6.9.1
			s.fail(&a, http2.ErrCodeFlowControl, "a connection's window of %d", s.window)
			return a
		}
	case st == nil:
		s.known(&a, id, http2.FrameWindowUpdate) // of one that is over: it crossed our end (section 5.1)
		return a
	default:
		if st.window += int64(by); st.window > math.MaxInt32 {
			s.reset(&a, st, http2.ErrCodeFlowControl, fmt.Sprintf("a window of %d", st.window))
			return a
		}
	}
	s.flow(&a)
	return a
}

// Headers takes in a header block: an interim answer, a final one, or trailers (section 8.1). malformed says why it can't
// be one.
func (s *Streams) Headers(id uint32, status int, headers map[string][]string, length int, end bool, malformed string) (a Actions) {
	st := s.streams[id]
	if st == nil {
		s.known(&a, id, http2.FrameHeaders)
		return a
	}
	switch {
	case malformed != "":
		s.reset(&a, st, http2.ErrCodeProtocol, malformed) // section 8.1.1
	case st.Status > 0 && !end:
		s.reset(&a, st, http2.ErrCodeProtocol, "trailers that do not end the answer") // section 8.1
	case st.Status > 0 && status > 0:
		s.reset(&a, st, http2.ErrCodeProtocol, "a status in trailers")
	case st.Status > 0:
		s.finish(&a, st)
	case status >= 100 && status < 200:
		if end { // section 8.1: an interim answer does not end a stream
			s.reset(&a, st, http2.ErrCodeProtocol, "an interim answer that ends the stream")
		}
	default:
		st.Status, st.Headers, st.length = status, headers, length
		if end {
			s.finish(&a, st)
		}
	}
	return a
}

// Data takes in so many bytes of an answer, with their padding in n alone (section 6.1: it counts for the windows).
func (s *Streams) Data(id uint32, n, padded int, end bool) (a Actions) {
	if s.received += n + padded; s.received >= refill {
		a.Write = append(a.Write, Frame{Type: http2.FrameWindowUpdate, Window: uint32(s.received)})
		s.received = 0
	}
	st := s.streams[id]
	if st == nil {
		s.known(&a, id, http2.FrameData)
		return a
	}
	st.got += n
	switch {
	case st.Status == 0:
		s.reset(&a, st, http2.ErrCodeProtocol, "a body ahead of its answer")
	case st.length >= 0 && st.got > st.length:
		s.reset(&a, st, http2.ErrCodeProtocol, "a body longer than its answer says") // section 8.1.1
	case st.got > maxAnswer:
		s.reset(&a, st, http2.ErrCodeCancel, "an answer without end")
	case end:
		s.finish(&a, st)
	}
	return a
}

// finish ends a call whose answer is whole. Of one whose request is not, the rest is not sent: that is what a host that
// answers early wants (section 8.1).
func (s *Streams) finish(a *Actions, st *stream) {
	if st.length >= 0 && st.got != st.length {
		s.reset(a, st, http2.ErrCodeProtocol, "a body shorter than its answer says")
		return
	}
	st.Whole = true
	if !st.said {
		a.Write = append(a.Write, Frame{Type: http2.FrameRSTStream, Stream: st.id, Code: http2.ErrCodeCancel})
	}
	s.end(a, st, st.sent || st.Status == 200, "answered")
}

// Reset takes in a RST_STREAM.
func (s *Streams) Reset(id uint32, code http2.ErrCode) (a Actions) {
	st := s.streams[id]
	switch {
	case st == nil:
		s.known(&a, id, http2.FrameRSTStream)
	case code == http2.ErrCodeRefusedStream && st.Status == 0:
		// Section 8.7: the stream was closed before any processing.
		s.end(&a, st, false, "refused")
	default:
		// Also NO_ERROR after a whole answer (section 8.1): that call has ended, and is not here any more.
		s.end(&a, st, st.sent || st.Status == 200, "reset: "+code.String())
	}
	return a
}

// GoAway takes in a GOAWAY (section 6.8): streams above the last were not and will not be processed. A second one may name
// a lower number.
func (s *Streams) GoAway(last uint32, code http2.ErrCode) (a Actions) {
	s.leaving = true
	for id, st := range s.streams {
		if id > last {
			s.end(&a, st, st.Status == 200, "refused by GOAWAY: "+code.String())
		}
	}
	a.Close = a.Close || s.Done()
	return a
}

// Ping takes in a PING that wants an answer (section 6.7).
func (s *Streams) Ping(data [8]byte) Actions {
	return Actions{Write: []Frame{{Type: http2.FramePing, Ack: true, Data: data[:]}}}
}
