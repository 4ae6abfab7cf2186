package http2

import (
	"fmt"

	"golang.org/x/net/http2"
)

// Actions is what the caller has to do after an event, in the order of the fields.
type Actions struct {
	Write []Frame
	Ended []StreamEnd
	Close bool // close the connection, which can carry no further stream
}

// Frame is a frame to write. The caller encodes the header block of HEADERS.
type Frame struct {
	Type      http2.FrameType
	Stream    uint32
	Data      []byte        // DATA, PING
	EndStream bool          // DATA, HEADERS
	Ack       bool          // SETTINGS, PING
	Code      http2.ErrCode // RST_STREAM, GOAWAY
	Window    uint32        // WINDOW_UPDATE: the increment
}

// Response is the response of an endpoint on a stream, as far as it was received.
type Response struct {
	Status   int // of the final response; 0: not received
	Headers  map[string][]string
	Complete bool // the response was received to its end and is well-formed
}

// StreamEnd is the end of a stream.
type StreamEnd struct {
	Stream uint32
	Response
	// MayHaveExecuted is false only if it is proved that the endpoint did not begin to execute the
	// request.
	MayHaveExecuted bool
	Reason          EndReason
}

// EndReason is why a stream ended, for logs. A detail is appended to the constants that end with a
// space.
type EndReason string

// The reasons. If the headers of a response are malformed (section 8.1.1), the caller gives the
// reason, in HeaderBlock.Malformed.
const (
	EndResponded         EndReason = "responded"
	EndCanceled          EndReason = "canceled"
	EndRefused           EndReason = "refused"                   // section 8.7: REFUSED_STREAM
	EndGoAway            EndReason = "refused by GOAWAY: "       // section 6.8; the error code follows
	EndReset             EndReason = "reset: "                   // section 6.4; the error code follows
	EndStreamWindow      EndReason = "stream window too large: " // section 6.9.1; its size follows
	EndConnectionWindow  EndReason = "connection window too large: "
	EndTrailersContinue  EndReason = "trailers without END_STREAM"
	EndTrailersStatus    EndReason = "status in trailers"
	EndInterimEndsStream EndReason = "interim response with END_STREAM"
	EndBodyBeforeHeaders EndReason = "response body before headers"
	EndBodyTooLong       EndReason = "response body longer than Content-Length"
	EndBodyTooShort      EndReason = "response body shorter than Content-Length"
	EndResponseTooLarge  EndReason = "response body too large"
)

// with returns the reason with a detail appended.
func (r EndReason) with(detail any) EndReason { return r + EndReason(fmt.Sprint(detail)) }

// idleStream returns the reason for a frame on a stream that was never begun, which section 5.1 calls
// an idle stream.
func idleStream(frame http2.FrameType, id uint32) EndReason {
	return EndReason(fmt.Sprintf("%v on idle stream %d", frame, id))
}
