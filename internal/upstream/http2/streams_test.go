package http2

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"golang.org/x/net/http2"
)

// connection is the state of a connection with one request with a body of 10 bytes.
type connection struct {
	*Streams
	last Actions // actions of the last event
}

// begun returns a connection whose whole request is in the actions; written says that the kernel has
// accepted its last frame.
func begun(written bool) *connection {
	c := &connection{Streams: NewStreams()}
	_, c.last = c.Begin([]byte("0123456789"))
	if written {
		c.Written(1)
	}
	return c
}

// halfSent returns a connection with half of its request sent. The rest waits for a flow-control
// window.
func halfSent() *connection {
	c := &connection{Streams: NewStreams()}
	c.Settings([]Setting{{http2.SettingInitialWindowSize, 5}})
	_, c.last = c.Begin([]byte("0123456789"))
	return c
}

// respond applies a received header block with a status; status 0 means trailers.
func (c *connection) respond(status int, endStream bool) *connection {
	c.last = c.Headers(1, HeaderBlock{Status: status, ContentLength: unknownLength, EndStream: endStream})
	return c
}

func (c *connection) headers(block HeaderBlock) *connection {
	c.last = c.Headers(1, block)
	return c
}

func (c *connection) data(n, padding int, endStream bool) *connection {
	return c.dataOf(1, n, padding, endStream)
}

func (c *connection) dataOf(id uint32, n, padding int, endStream bool) *connection {
	c.last = c.Data(id, n, padding, endStream)
	return c
}

func (c *connection) reset(code http2.ErrCode) *connection { return c.resetOf(1, code) }

func (c *connection) resetOf(id uint32, code http2.ErrCode) *connection {
	c.last = c.Reset(id, code)
	return c
}

func (c *connection) goAway(lastID uint32) *connection {
	c.last = c.GoAway(lastID, http2.ErrCodeNo)
	return c
}

func (c *connection) lost() *connection {
	c.last = c.ConnectionLost("closed")
	return c
}

func (c *connection) canceled() *connection {
	c.last = c.Cancel(1)
	return c
}

func (c *connection) settings(list ...Setting) *connection {
	c.last = c.Settings(list)
	return c
}

func (c *connection) windowUpdate(id, increment uint32) *connection {
	c.last = c.WindowUpdate(id, increment)
	return c
}

// wrote returns a summary of the frames that the actions write.
func (a Actions) wrote() string {
	var all []string
	for _, f := range a.Write {
		text := f.Type.String()
		switch f.Type {
		case http2.FrameRSTStream, http2.FrameGoAway:
			text += " " + f.Code.String()
		case http2.FrameData:
			text += fmt.Sprint(" ", len(f.Data))
		case http2.FrameWindowUpdate:
			text += fmt.Sprint(" ", f.Window)
		default:
		}
		if f.EndStream {
			text += " END"
		}
		if f.Ack {
			text += " ACK"
		}
		all = append(all, text)
	}
	return strings.Join(all, ", ")
}

// Every sequence of events that ends a stream: whether the request may have been executed, which
// frames are written, whether the connection is closed, and the reason for logs. The sections are
// those of RFC 9113.
func TestStreams_Ends(t *testing.T) {
	const no, may = false, true
	for name, tt := range map[string]struct {
		connection      *connection
		mayHaveExecuted bool
		status          int
		complete        bool
		wrote           string
		closed          bool
		reason          EndReason
	}{
		"200 (8.1)": {
			begun(true).respond(200, true),
			may, 200, true, "", false, "responded",
		},
		"500": {
			begun(true).respond(500, true),
			may, 500, true, "", false, "responded",
		},
		"200 with a body": {
			begun(true).respond(200, false).data(3, 0, true),
			may, 200, true, "", false, "responded",
		},
		"200, then a reset": {
			begun(true).respond(200, false).reset(http2.ErrCodeInternal),
			may, 200, false, "", false, "reset: INTERNAL_ERROR",
		},
		"200 early, before the request's end": {
			halfSent().respond(200, true),
			may, 200, true, "RST_STREAM CANCEL", false, "responded",
		},
		"503 early, before the request's end": {
			halfSent().respond(503, true),
			no, 503, true, "RST_STREAM CANCEL", false, "responded",
		},
		"503, then NO_ERROR before the request's end (8.1)": {
			halfSent().respond(503, false).reset(http2.ErrCodeNo),
			no, 503, false, "", false, "reset: NO_ERROR",
		},
		"REFUSED_STREAM after the request's end (8.7)": {
			begun(true).reset(http2.ErrCodeRefusedStream),
			no, 0, false, "", false, "refused",
		},
		"REFUSED_STREAM after a response": {
			begun(true).respond(500, false).reset(http2.ErrCodeRefusedStream),
			may, 500, false, "", false, "reset: REFUSED_STREAM",
		},
		"reset before the request's end": {
			halfSent().reset(http2.ErrCodeInternal),
			no, 0, false, "", false, "reset: INTERNAL_ERROR",
		},
		"reset before the kernel accepted the request's end": {
			begun(false).reset(http2.ErrCodeInternal),
			no, 0, false, "", false, "reset: INTERNAL_ERROR",
		},
		"reset after the request's end": {
			begun(true).reset(http2.ErrCodeInternal),
			may, 0, false, "", false, "reset: INTERNAL_ERROR",
		},
		"CANCEL by the endpoint after the request's end": {
			begun(true).reset(http2.ErrCodeCancel),
			may, 0, false, "", false, "reset: CANCEL",
		},
		"GOAWAY with a lower last stream, after a 200": {
			begun(true).respond(200, false).goAway(0),
			may, 200, false, "", true, "refused by GOAWAY: NO_ERROR",
		},
		"GOAWAY with a lower last stream (6.8)": {
			begun(true).goAway(0),
			no, 0, false, "", true, "refused by GOAWAY: NO_ERROR",
		},
		"GOAWAY with the stream as the last, then the connection is lost": {
			begun(true).goAway(1).lost(),
			may, 0, false, "", true, "closed",
		},
		"GOAWAY with the stream as the last, then one with a lower last stream": {
			begun(true).goAway(1).goAway(0),
			no, 0, false, "", true, "refused by GOAWAY: NO_ERROR",
		},
		"GOAWAY with the stream as the last, then its response": {
			begun(true).goAway(1).respond(200, true),
			may, 200, true, "", true, "responded",
		},
		"connection lost after the request's end": {
			begun(true).lost(),
			may, 0, false, "", true, "closed",
		},
		"connection lost before the request's end": {
			halfSent().lost(),
			no, 0, false, "", true, "closed",
		},
		"canceled after the request's end": {
			begun(true).canceled(),
			may, 0, false, "RST_STREAM CANCEL", false, "canceled",
		},
		"canceled before the request's end": {
			halfSent().canceled(),
			no, 0, false, "RST_STREAM CANCEL", false, "canceled",
		},
		"malformed (8.1.1)": {
			begun(true).headers(HeaderBlock{ContentLength: unknownLength, EndStream: true, Malformed: "no status"}),
			may, 0, false, "RST_STREAM PROTOCOL_ERROR", false, "no status",
		},
		"interim, then 200": {
			begun(true).respond(103, false).respond(200, true),
			may, 200, true, "", false, "responded",
		},
		"interim that ends the stream": {
			begun(true).respond(103, true),
			may, 0, false, "RST_STREAM PROTOCOL_ERROR", false, "interim response with END_STREAM",
		},
		"trailers": {
			begun(true).respond(500, false).respond(0, true),
			may, 500, true, "", false, "responded",
		},
		"trailers that do not end the stream": {
			begun(true).respond(500, false).respond(0, false),
			may, 500, false, "RST_STREAM PROTOCOL_ERROR", false, "trailers without END_STREAM",
		},
		"a second status": {
			begun(true).respond(500, false).respond(200, true),
			may, 500, false, "RST_STREAM PROTOCOL_ERROR", false, "status in trailers",
		},
		"a body before the headers": {
			begun(true).data(3, 0, true),
			may, 0, false, "RST_STREAM PROTOCOL_ERROR", false, "response body before headers",
		},
		"a body longer than its Content-Length": {
			begun(true).headers(HeaderBlock{Status: 500, ContentLength: 2}).data(3, 0, true),
			may, 500, false, "RST_STREAM PROTOCOL_ERROR", false, "response body longer than Content-Length",
		},
		"a body shorter than its Content-Length": {
			begun(true).headers(HeaderBlock{Status: 500, ContentLength: 4}).data(3, 0, true),
			may, 500, false, "RST_STREAM PROTOCOL_ERROR", false, "response body shorter than Content-Length",
		},
		"a Content-Length and no body": {
			begun(true).headers(HeaderBlock{Status: 500, ContentLength: 4, EndStream: true}),
			may, 500, false, "RST_STREAM PROTOCOL_ERROR", false, "response body shorter than Content-Length",
		},
		"padding does not count as body": {
			begun(true).headers(HeaderBlock{Status: 500, ContentLength: 3}).data(3, 200, true),
			may, 500, true, "", false, "responded",
		},
		"an endless response": {
			begun(true).respond(500, false).data(maxResponseBody+1, 0, false),
			may, 500, false, "WINDOW_UPDATE 65537, RST_STREAM CANCEL", false, "response body too large",
		},
		"a stream's window too large (6.9.1)": {
			begun(true).windowUpdate(1, math.MaxInt32),
			may, 0, false, "RST_STREAM FLOW_CONTROL_ERROR", false, "stream window too large: 2147549172",
		},
		"the connection's window too large (6.9.1)": {
			begun(true).windowUpdate(0, math.MaxInt32),
			may, 0, false, "GOAWAY FLOW_CONTROL_ERROR", true, "connection window too large: 2147549172",
		},
		"a window made too large by SETTINGS (6.9.2)": {
			begun(true).windowUpdate(1, math.MaxInt32-defaultWindow).settings(Setting{http2.SettingInitialWindowSize, math.MaxInt32}),
			may, 0, false, "GOAWAY FLOW_CONTROL_ERROR", true, "stream window too large: 4294901749",
		},
		"a frame on a stream that was never begun (5.1)": {
			begun(true).resetOf(3, http2.ErrCodeCancel),
			may, 0, false, "GOAWAY PROTOCOL_ERROR", true, "RST_STREAM on idle stream 3",
		},
		"a frame on a stream with an even number, which only the endpoint may begin (5.1.1)": {
			begun(true).dataOf(2, 1, 0, false),
			may, 0, false, "GOAWAY PROTOCOL_ERROR", true, "DATA on idle stream 2",
		},
	} {
		t.Run(name, func(t *testing.T) {
			a := tt.connection.last
			if len(a.Ended) != 1 {
				t.Fatalf("ended streams %+v, want one", a.Ended)
			}
			e := a.Ended[0]
			if e.Stream != 1 || e.MayHaveExecuted != tt.mayHaveExecuted || e.Status != tt.status || e.Complete != tt.complete {
				t.Errorf("end of stream %+v", e)
			}
			if e.Reason != tt.reason {
				t.Errorf("reason %q, want %q", e.Reason, tt.reason)
			}
			if a.wrote() != tt.wrote || a.Close != tt.closed {
				t.Errorf("wrote %q, close %v", a.wrote(), a.Close)
			}
			if tt.connection.InFlight() != 0 {
				t.Error("the stream is still in flight")
			}
		})
	}
}

// A frame for a stream that has ended changes nothing, and a PING is acknowledged.
func TestStreams_IgnoresFramesAfterTheEnd(t *testing.T) {
	c := begun(true).respond(200, true)
	for name, a := range map[string]Actions{
		"a late reset":         c.Reset(1, http2.ErrCodeNo),
		"late data":            c.Data(1, 5, 0, true),
		"late headers":         c.Headers(1, HeaderBlock{Status: 500, ContentLength: unknownLength, EndStream: true}),
		"a late window update": c.WindowUpdate(1, 5),
		"a cancellation":       c.Cancel(1),
	} {
		t.Run(name, func(t *testing.T) {
			if len(a.Write) > 0 || len(a.Ended) > 0 || a.Close {
				t.Errorf("actions %+v, want none", a)
			}
		})
	}
	if a := c.Ping([8]byte{1}); a.wrote() != "PING ACK" || a.Write[0].Data[0] != 1 {
		t.Errorf("ping: %+v", a)
	}
}

// Bodies are sent as the windows allow, also after a window was negative, and in frames no larger than
// the peer's maximum. A stream whose window is used up does not block the others.
func TestStreams_FlowControl(t *testing.T) {
	c := &connection{Streams: NewStreams()}
	c.Settings([]Setting{{http2.SettingInitialWindowSize, 10}, {http2.SettingMaxFrameSize, 16_384}, {http2.SettingMaxConcurrentStreams, 2}})
	_, a := c.Begin(make([]byte, 25))
	if a.wrote() != "HEADERS, DATA 10" {
		t.Errorf("wrote %q", a.wrote())
	}
	if _, a = c.Begin(nil); a.wrote() != "HEADERS END" || c.Capacity() != 0 {
		t.Errorf("wrote %q, capacity %d", a.wrote(), c.Capacity())
	}
	if a = c.Settings([]Setting{{http2.SettingInitialWindowSize, 4}}); a.wrote() != "SETTINGS ACK" { // the window is now -6
		t.Errorf("wrote %q", a.wrote())
	}
	if a = c.WindowUpdate(1, 6); a.wrote() != "" {
		t.Errorf("with a window of 0, wrote %q", a.wrote())
	}
	if a = c.WindowUpdate(1, 7); a.wrote() != "DATA 7" {
		t.Errorf("wrote %q", a.wrote())
	}
	if a = c.WindowUpdate(1, 100); a.wrote() != "DATA 8 END" {
		t.Errorf("wrote %q", a.wrote())
	}
	c.respond(200, true)
	c.Settings([]Setting{{http2.SettingMaxConcurrentStreams, 0}, {http2.SettingInitialWindowSize, 1 << 20}, {http2.SettingMaxFrameSize, 20_000}})
	if c.Capacity() != 0 || c.InFlight() != 1 {
		t.Errorf("capacity %d with a limit of 0, %d in flight", c.Capacity(), c.InFlight())
	}
	c.Settings([]Setting{{http2.SettingMaxConcurrentStreams, 9}})
	if _, a = c.Begin(make([]byte, 60_000)); a.wrote() != "HEADERS, DATA 20000, DATA 20000, DATA 20000 END" {
		t.Errorf("wrote %q", a.wrote())
	}
	if _, a = c.Begin(make([]byte, 60_000)); a.wrote() != fmt.Sprintf("HEADERS, DATA %d", defaultWindow-25-60_000) {
		t.Errorf("wrote %q", a.wrote())
	}
	if _, a = c.Begin(nil); a.wrote() != "HEADERS END" { // not blocked by the other streams
		t.Errorf("wrote %q", a.wrote())
	}
}
