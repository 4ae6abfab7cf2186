package http2

import (
	"fmt"

	"golang.org/x/net/http2"
)

// Actions are what is to be done after an event, in the order of the fields.
type Actions struct {
	Write []Frame
	Ended []StreamEnd
	Close bool // the connection is of no further use
}

// Frame is a frame to be written. The header block of HEADERS is the caller's to encode.
type Frame struct {
	Type      http2.FrameType
	Stream    uint32
	Data      []byte        // DATA, PING
	EndStream bool          // DATA, HEADERS
	Ack       bool          // SETTINGS, PING
	Code      http2.ErrCode // RST_STREAM, GOAWAY
	Window    uint32        // WINDOW_UPDATE: the increment
}

// Response is what an endpoint has responded on a stream.
type Response struct {
	Status   int // of the final response; 0: none has come
	Headers  map[string][]string
	Complete bool // it was received to its end, well-formed
}

// StreamEnd is the end of a stream.
type StreamEnd struct {
	Stream uint32
	Response
	// MayHaveExecuted is false only where it is proved that the endpoint did not begin to execute
	// the request.
	MayHaveExecuted bool
	Reason          EndReason
}

// EndReason is why a stream ended, for logs. Those that are followed by a colon or a blank here
// have a detail appended.
type EndReason string

// Why streams end. What is malformed about a response's headers (section 8.1.1) is a reason that
// the caller gives.
const (
	EndResponded         EndReason = "responded"
	EndCanceled          EndReason = "canceled"
	EndRefused           EndReason = "refused"             // section 8.7: REFUSED_STREAM
	EndGoAway            EndReason = "refused by GOAWAY: " // section 6.8; the error code follows
	EndReset             EndReason = "reset: "             // section 6.4; the error code follows
	EndStreamWindow      EndReason = "a window of "        // section 6.9.1; its size follows
	EndConnectionWindow  EndReason = "a connection's window of "
	EndTrailersContinue  EndReason = "trailers that do not end the response"
	EndTrailersStatus    EndReason = "a status in trailers"
	EndInterimEndsStream EndReason = "an interim response that ends the stream"
	EndBodyBeforeHeaders EndReason = "a body before its headers"
	EndBodyTooLong       EndReason = "a body longer than its Content-Length"
	EndBodyTooShort      EndReason = "a body shorter than its Content-Length"
	EndResponseTooLarge  EndReason = "a response that is too large"
)

// with returns a reason with its detail.
func (r EndReason) with(detail any) EndReason { return r + EndReason(fmt.Sprint(detail)) }

// unknownStream is the reason where a frame came on a stream that was never begun (section 5.1:
// idle streams).
func unknownStream(frame http2.FrameType, id uint32) EndReason {
	return EndReason(fmt.Sprintf("%v on stream %d, which was never begun", frame, id))
}
