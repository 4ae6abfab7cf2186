package http2

import (
	"testing"

	"golang.org/x/net/http2"
	"pgregory.net/rapid"

	"frostlink/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// requestModel is the model's state of a request.
type requestModel struct {
	written   bool // the kernel has accepted its last frame
	refused   bool // the endpoint reported that it did not begin to execute it
	succeeded bool // a 200 was received
	ended     bool
}

// model tracks the state of a connection from the drawn events and the returned actions.
type model struct {
	t        *rapid.T
	streams  *Streams
	requests map[uint32]*requestModel
	// window is the number of bytes that the peer still accepts on the connection, windows has this
	// number for each stream, and initial is this number for a new stream.
	window  int64
	windows map[uint32]int64
	initial int64
	ended   int // number of streams that ended
}

// apply checks actions, and reports their last frames as written.
func (m *model) apply(a Actions) {
	for _, f := range a.Write {
		m.checkFrame(f)
	}
	for _, f := range a.Write {
		if f.EndStream {
			m.requests[f.Stream].written = true
			m.streams.Written(f.Stream)
		}
	}
	for _, e := range a.Ended {
		m.checkEnd(e)
	}
}

func (m *model) checkFrame(f Frame) {
	if f.Type == http2.FrameData {
		m.window -= int64(len(f.Data))
		if m.windows[f.Stream] -= int64(len(f.Data)); m.window < 0 || m.windows[f.Stream] < 0 {
			m.t.Fatalf("window exceeded: connection %d, stream %d", m.window, m.windows[f.Stream])
		}
	}
	if r := m.requests[f.Stream]; r != nil && r.ended {
		m.t.Fatalf("%v on a stream that has ended", f.Type)
	}
}

func (m *model) checkEnd(e StreamEnd) {
	r := m.requests[e.Stream]
	if r.ended {
		m.t.Fatalf("stream %d ended twice", e.Stream)
	}
	r.ended = true
	if !e.MayHaveExecuted && (r.succeeded || r.written && !r.refused) {
		m.t.Fatalf("stream %d reported as not executed: %+v", e.Stream, *r)
	}
	m.ended++
}

// drawID draws a stream number: usually the number of a stream that was begun, seldom 0 for the
// connection or the number of a stream that was never begun.
func (m *model) drawID() uint32 {
	n := rapid.IntRange(0, 40).Draw(m.t, "stream")
	switch {
	case n == 40 || len(m.requests) == 0:
		return 0
	case n == 39:
		return uint32(2*len(m.requests) + 1)
	}
	return uint32(2*(n%len(m.requests)) + 1)
}

// event is a kind of event on a connection.
type event int

const (
	eventBegin      event = iota
	eventBeginAgain       // makes eventBegin twice as likely as the others
	eventWindowUpdate
	eventInitialWindow
	eventHeaders
	eventReset
	eventGoAway
	eventCancel
	eventData
)

// step draws an event and applies it.
func (m *model) step() {
	id, e := m.drawID(), event(rapid.IntRange(int(eventBegin), int(eventData)).Draw(m.t, "event"))
	if e == eventWindowUpdate && rapid.Bool().Draw(m.t, "of the connection") {
		id = 0
	}
	if id == 0 && e > eventInitialWindow && e != eventGoAway { // the event needs a stream
		e = eventBegin
	}
	switch e {
	case eventBegin, eventBeginAgain:
		m.begin()
	case eventWindowUpdate:
		m.windowUpdate(id)
	case eventInitialWindow:
		m.initialWindow()
	case eventHeaders:
		m.headers(id)
	case eventReset:
		m.reset(id)
	case eventGoAway:
		for i, r := range m.requests {
			r.refused = r.refused || i > id
		}
		m.apply(m.streams.GoAway(id, http2.ErrCodeNo))
	case eventCancel:
		m.apply(m.streams.Cancel(id))
	case eventData:
		m.apply(m.streams.Data(id, rapid.IntRange(0, 100).Draw(m.t, "data"), 0, rapid.Bool().Draw(m.t, "end")))
	}
}

func (m *model) begin() {
	if m.streams.Capacity() == 0 {
		return
	}
	next := uint32(2*len(m.requests) + 1)
	m.requests[next], m.windows[next] = &requestModel{}, m.initial
	got, a := m.streams.Begin(make([]byte, rapid.IntRange(0, 40_000).Draw(m.t, "body")))
	if got != next {
		m.t.Fatalf("stream %d, want %d", got, next)
	}
	m.apply(a)
}

func (m *model) windowUpdate(id uint32) {
	increment := uint32(rapid.IntRange(1, 50_000).Draw(m.t, "window"))
	if id == 0 {
		m.window += int64(increment)
	} else if m.requests[id] != nil {
		m.windows[id] += int64(increment)
	}
	m.apply(m.streams.WindowUpdate(id, increment))
}

func (m *model) initialWindow() {
	size := int64(rapid.IntRange(0, 70_000).Draw(m.t, "initial"))
	for i := range m.windows {
		m.windows[i] += size - m.initial
	}
	m.initial = size
	m.apply(m.streams.Settings([]Setting{{http2.SettingInitialWindowSize, uint32(size)}}))
}

func (m *model) headers(id uint32) {
	status := rapid.SampledFrom([]int{100, 200, 500, 0}).Draw(m.t, "status")
	r, st := m.requests[id], m.streams.streams[id]
	if r != nil && !r.ended && status == 200 && st != nil && st.Status == 0 {
		r.succeeded = true
	}
	m.apply(m.streams.Headers(id, HeaderBlock{
		Status: status, ContentLength: unknownLength, EndStream: rapid.Bool().Draw(m.t, "end"),
	}))
}

func (m *model) reset(id uint32) {
	refused := rapid.Bool().Draw(m.t, "refused")
	code := http2.ErrCodeInternal
	if refused {
		code = http2.ErrCodeRefusedStream
	}
	if r := m.requests[id]; r != nil {
		r.refused = r.refused || refused
	}
	m.apply(m.streams.Reset(id, code))
}

// For any events in any order: a stream ends once, nothing is written on it afterwards, no window is
// exceeded, and the request is reported as not executed only if the endpoint refused it or its last
// byte was not written.
func TestStreams_NotExecutedOnlyWhereProved(t *testing.T) {
	ended := 0
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t: t, streams: NewStreams(), requests: map[uint32]*requestModel{},
			window: defaultWindow, windows: map[uint32]int64{}, initial: defaultWindow,
		}
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			m.step()
		}
		m.apply(m.streams.ConnectionLost("the end"))
		for i, r := range m.requests {
			if !r.ended {
				t.Fatalf("stream %d has not ended", i)
			}
		}
		ended += m.ended
	})
	if ended < 200 {
		t.Errorf("only %d streams ended, want at least 200", ended)
	}
}
