package http2

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"golang.org/x/net/http2"
	"pgregory.net/rapid"

	"frostlink/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// peer is a core with one call of a body of 10 bytes, as far as a test lets it go.
type peer struct {
	*Streams
	a Actions // of the last event
}

// begun has a call begun; sent says that its last frame was handed to the kernel.
func begun(sent bool) *peer {
	p := &peer{Streams: NewStreams()}
	_, p.a = p.Begin([]byte("0123456789"))
	if sent {
		p.Sent(1)
	}
	return p
}

// half has a call of which the peer took half: the rest waits for a window.
func half() *peer {
	p := &peer{Streams: NewStreams()}
	p.Settings([]Setting{{http2.SettingInitialWindowSize, 5}})
	_, p.a = p.Begin([]byte("0123456789"))
	return p
}

func (p *peer) ok(status int, end bool) *peer {
	p.a = p.Headers(1, status, nil, -1, end, "")
	return p
}

func (p *peer) does(a Actions) *peer {
	p.a = a
	return p
}

// wrote is what an event has written, in short.
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
		}
		if f.End {
			text += " END"
		}
		if f.Ack {
			text += " ACK"
		}
		all = append(all, text)
	}
	return strings.Join(all, ", ")
}

// Every sequence by which a call can end: whether it can have run, what is written for it, and whether the connection
// goes on. The sections are RFC 9113's.
func TestEnds(t *testing.T) {
	const no, may = false, true
	for name, c := range map[string]struct {
		p      *peer
		ran    bool
		status int
		whole  bool
		wrote  string
		closed bool
	}{
		"200 (8.1)":                               {begun(true).ok(200, true), may, 200, true, "", false},
		"500":                                     {begun(true).ok(500, true), may, 500, true, "", false},
		"200 and its body":                        {func() *peer { p := begun(true).ok(200, false); return p.does(p.Data(1, 3, 0, true)) }(), may, 200, true, "", false},
		"200, then a reset":                       {func() *peer { p := begun(true).ok(200, false); return p.does(p.Reset(1, http2.ErrCodeInternal)) }(), may, 200, false, "", false},
		"200 early, before the request's end":     {half().ok(200, true), may, 200, true, "RST_STREAM CANCEL", false},
		"503 early, before the request's end":     {half().ok(503, true), no, 503, true, "RST_STREAM CANCEL", false},
		"503, then NO_ERROR before the end (8.1)": {func() *peer { p := half().ok(503, false); return p.does(p.Reset(1, http2.ErrCodeNo)) }(), no, 503, false, "", false},
		"REFUSED_STREAM after the end (8.7)":      {func() *peer { p := begun(true); return p.does(p.Reset(1, http2.ErrCodeRefusedStream)) }(), no, 0, false, "", false},
		"REFUSED_STREAM after an answer":          {func() *peer { p := begun(true).ok(500, false); return p.does(p.Reset(1, http2.ErrCodeRefusedStream)) }(), may, 500, false, "", false},
		"reset before the end":                    {func() *peer { p := half(); return p.does(p.Reset(1, http2.ErrCodeInternal)) }(), no, 0, false, "", false},
		"reset before the kernel had the end":     {func() *peer { p := begun(false); return p.does(p.Reset(1, http2.ErrCodeInternal)) }(), no, 0, false, "", false},
		"reset after the end":                     {func() *peer { p := begun(true); return p.does(p.Reset(1, http2.ErrCodeInternal)) }(), may, 0, false, "", false},
		"CANCEL by the host after the end":        {func() *peer { p := begun(true); return p.does(p.Reset(1, http2.ErrCodeCancel)) }(), may, 0, false, "", false},
		"GOAWAY below it after a 200":             {func() *peer { p := begun(true).ok(200, false); return p.does(p.GoAway(0, http2.ErrCodeNo)) }(), may, 200, false, "", true},
		"GOAWAY below it (6.8)":                   {func() *peer { p := begun(true); return p.does(p.GoAway(0, http2.ErrCodeNo)) }(), no, 0, false, "", true},
		"GOAWAY that covers it, then the end":     {func() *peer { p := begun(true); p.GoAway(1, http2.ErrCodeNo); return p.does(p.Broken("closed")) }(), may, 0, false, "", true},
		"GOAWAY that covers it, then one below": {func() *peer {
			p := begun(true)
			p.GoAway(1, http2.ErrCodeNo)
			return p.does(p.GoAway(0, http2.ErrCodeNo))
		}(), no, 0, false, "", true},
		"GOAWAY that covers it, then its answer": {func() *peer { p := begun(true); p.GoAway(1, http2.ErrCodeNo); return p.ok(200, true) }(), may, 200, true, "", true},
		"the connection ends after the end":      {func() *peer { p := begun(true); return p.does(p.Broken("closed")) }(), may, 0, false, "", true},
		"the connection ends before the end":     {func() *peer { p := half(); return p.does(p.Broken("closed")) }(), no, 0, false, "", true},
		"given up after the end":                 {func() *peer { p := begun(true); return p.does(p.Cancel(1)) }(), may, 0, false, "RST_STREAM CANCEL", false},
		"given up before the end":                {func() *peer { p := half(); return p.does(p.Cancel(1)) }(), no, 0, false, "RST_STREAM CANCEL", false},
		"malformed (8.1.1)":                      {func() *peer { p := begun(true); return p.does(p.Headers(1, 0, nil, -1, true, "no status")) }(), may, 0, false, "RST_STREAM PROTOCOL_ERROR", false},
		"interim, then 200":                      {begun(true).ok(103, false).ok(200, true), may, 200, true, "", false},
		"interim that ends the stream":           {begun(true).ok(103, true), may, 0, false, "RST_STREAM PROTOCOL_ERROR", false},
		"trailers":                               {begun(true).ok(500, false).ok(0, true), may, 500, true, "", false},
		"trailers that do not end it":            {begun(true).ok(500, false).ok(0, false), may, 500, false, "RST_STREAM PROTOCOL_ERROR", false},
		"a second status":                        {begun(true).ok(500, false).ok(200, true), may, 500, false, "RST_STREAM PROTOCOL_ERROR", false},
		"a body ahead of its answer":             {func() *peer { p := begun(true); return p.does(p.Data(1, 3, 0, true)) }(), may, 0, false, "RST_STREAM PROTOCOL_ERROR", false},
		"a body longer than said": {func() *peer {
			p := begun(true)
			p.Headers(1, 500, nil, 2, false, "")
			return p.does(p.Data(1, 3, 0, true))
		}(), may, 500, false, "RST_STREAM PROTOCOL_ERROR", false},
		"a body shorter than said": {func() *peer {
			p := begun(true)
			p.Headers(1, 500, nil, 4, false, "")
			return p.does(p.Data(1, 3, 0, true))
		}(), may, 500, false, "RST_STREAM PROTOCOL_ERROR", false},
		"no body, though one was said": {func() *peer { p := begun(true); return p.does(p.Headers(1, 500, nil, 4, true, "")) }(), may, 500, false, "RST_STREAM PROTOCOL_ERROR", false},
		"padding is no body": {func() *peer {
			p := begun(true)
			p.Headers(1, 500, nil, 3, false, "")
			return p.does(p.Data(1, 3, 200, true))
		}(), may, 500, true, "", false},
		"an answer without end":               {func() *peer { p := begun(true).ok(500, false); return p.does(p.Data(1, maxAnswer+1, 0, false)) }(), may, 500, false, "WINDOW_UPDATE 65537, RST_STREAM CANCEL", false},
		"a stream's window too large (6.9.1)": {func() *peer { p := begun(true); return p.does(p.WindowUpdate(1, math.MaxInt32)) }(), may, 0, false, "RST_STREAM FLOW_CONTROL_ERROR", false},
		"the connection's window too large":   {func() *peer { p := begun(true); return p.does(p.WindowUpdate(0, math.MaxInt32)) }(), may, 0, false, "GOAWAY FLOW_CONTROL_ERROR", true},
		"a window made too large by SETTINGS": {func() *peer {
			p := begun(true)
			p.WindowUpdate(1, math.MaxInt32-defaultWindow)
			return p.does(p.Settings([]Setting{{http2.SettingInitialWindowSize, math.MaxInt32}}))
		}(), may, 0, false, "GOAWAY FLOW_CONTROL_ERROR", true},
		"a frame on a stream never begun (5.1)": {func() *peer { p := begun(true); return p.does(p.Reset(3, http2.ErrCodeCancel)) }(), may, 0, false, "GOAWAY PROTOCOL_ERROR", true},
		"a frame on a stream of the host's":     {func() *peer { p := begun(true); return p.does(p.Data(2, 1, 0, false)) }(), may, 0, false, "GOAWAY PROTOCOL_ERROR", true},
	} {
		a := c.p.a
		if len(a.Ended) != 1 {
			t.Errorf("%s: ends %+v", name, a.Ended)
			continue
		}
		e := a.Ended[0]
		if e.Stream != 1 || e.Ran != c.ran || e.Status != c.status || e.Whole != c.whole || a.wrote() != c.wrote || a.Close != c.closed || e.Reason == "" {
			t.Errorf("%s: %+v, wrote %q, close %v", name, e, a.wrote(), a.Close)
		}
		if c.p.Open() != 0 {
			t.Errorf("%s: it is still out", name)
		}
	}
}

// What comes for a call that is over, or says nothing of any, changes nothing.
func TestWhatChangesNothing(t *testing.T) {
	p := begun(true).ok(200, true)
	for name, a := range map[string]Actions{
		"a late reset":       p.Reset(1, http2.ErrCodeNo),
		"late data":          p.Data(1, 5, 0, true),
		"late headers":       p.Headers(1, 500, nil, -1, true, ""),
		"a late window":      p.WindowUpdate(1, 5),
		"giving it up again": p.Cancel(1),
	} {
		if len(a.Write) > 0 || len(a.Ended) > 0 || a.Close {
			t.Errorf("%s: %+v", name, a)
		}
	}
	if a := p.Ping([8]byte{1}); a.wrote() != "PING ACK" || a.Write[0].Data[0] != 1 {
		t.Errorf("ping: %+v", a)
	}
}

// Bodies go as windows allow: in frames of the peer's size, also from a window below zero, and a stream without a window
// holds up itself alone.
func TestWindows(t *testing.T) {
	p := &peer{Streams: NewStreams()}
	p.Settings([]Setting{{http2.SettingInitialWindowSize, 10}, {http2.SettingMaxFrameSize, 16_384}, {http2.SettingMaxConcurrentStreams, 2}})
	_, a := p.Begin(make([]byte, 25))
	if a.wrote() != "HEADERS, DATA 10" {
		t.Errorf("wrote %q", a.wrote())
	}
	if _, a = p.Begin(nil); a.wrote() != "HEADERS END" || p.Room() != 0 {
		t.Errorf("wrote %q, room %d", a.wrote(), p.Room())
	}
	if a = p.Settings([]Setting{{http2.SettingInitialWindowSize, 4}}); a.wrote() != "SETTINGS ACK" { // now -6
		t.Errorf("wrote %q", a.wrote())
	}
	if a = p.WindowUpdate(1, 6); a.wrote() != "" {
		t.Errorf("at 0 it wrote %q", a.wrote())
	}
	if a = p.WindowUpdate(1, 7); a.wrote() != "DATA 7" {
		t.Errorf("wrote %q", a.wrote())
	}
	if a = p.WindowUpdate(1, 100); a.wrote() != "DATA 8 END" {
		t.Errorf("wrote %q", a.wrote())
	}
	p.ok(200, true)
	p.Settings([]Setting{{http2.SettingMaxConcurrentStreams, 0}, {http2.SettingInitialWindowSize, 1 << 20}, {http2.SettingMaxFrameSize, 20_000}})
	if p.Room() != 0 || p.Open() != 1 {
		t.Errorf("room %d with a limit of 0, %d out", p.Room(), p.Open())
	}
	p.Settings([]Setting{{http2.SettingMaxConcurrentStreams, 9}})
	if _, a = p.Begin(make([]byte, 60_000)); a.wrote() != "HEADERS, DATA 20000, DATA 20000, DATA 20000 END" {
		t.Errorf("wrote %q", a.wrote())
	}
	if _, a = p.Begin(make([]byte, 60_000)); a.wrote() != fmt.Sprintf("HEADERS, DATA %d", defaultWindow-25-60_000) {
		t.Errorf("wrote %q", a.wrote())
	}
	if _, a = p.Begin(nil); a.wrote() != "HEADERS END" { // held up by no other
		t.Errorf("wrote %q", a.wrote())
	}
}

// Whatever comes in whatever order: a call ends once, nothing is written for it afterwards, windows are kept to, and it is
// told never to have run only where the host refused it or its last byte had not left.
func TestStreamsKeepTheTruth(t *testing.T) {
	ends := 0
	rapid.Check(t, func(t *rapid.T) {
		s := NewStreams()
		type truth struct{ sent, refused, ok, over bool }
		calls := map[uint32]*truth{}
		window, room := int64(defaultWindow), map[uint32]int64{}
		initial := int64(defaultWindow)
		take := func(a Actions) {
			for _, f := range a.Write {
				c := calls[f.Stream]
				if f.Type == http2.FrameData {
					window -= int64(len(f.Data))
					if room[f.Stream] -= int64(len(f.Data)); window < 0 || room[f.Stream] < 0 {
						t.Fatalf("past a window: %d, %d", window, room[f.Stream])
					}
				}
				if c != nil && c.over {
					t.Fatalf("%v for a call that is over", f.Type)
				}
			}
			for _, f := range a.Write { // the kernel takes them all
				if f.End {
					calls[f.Stream].sent = true
					s.Sent(f.Stream)
				}
			}
			for _, e := range a.Ended {
				c := calls[e.Stream]
				if c.over {
					t.Fatalf("%d ends twice", e.Stream)
				}
				if c.over = true; !e.Ran && (c.ok || c.sent && !c.refused) {
					t.Fatalf("%d is told never to have run: %+v", e.Stream, *c)
				}
				ends++
			}
		}
		// Mostly one that was begun; 0 stands for the connection, and now and then there is one that never was.
		id := func() uint32 {
			if n := rapid.IntRange(0, 40).Draw(t, "stream"); n == 40 || len(calls) == 0 {
				return 0
			} else if n == 39 {
				return uint32(2*len(calls) + 1)
			} else {
				return uint32(2*(n%len(calls)) + 1)
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			n, event := id(), rapid.IntRange(0, 8).Draw(t, "event")
			if event == 2 && rapid.Bool().Draw(t, "of the connection") {
				n = 0
			}
			if n == 0 && event > 3 && event != 6 {
				event = 0
			}
			switch event {
			case 0, 1:
				if s.Room() == 0 {
					continue
				}
				next := uint32(2*len(calls) + 1)
				calls[next], room[next] = &truth{}, initial
				got, a := s.Begin(make([]byte, rapid.IntRange(0, 40_000).Draw(t, "body")))
				if got != next {
					t.Fatalf("stream %d, want %d", got, next)
				}
				take(a)
			case 2:
				by := uint32(rapid.IntRange(1, 50_000).Draw(t, "window"))
				if n == 0 {
					window += int64(by)
				} else if calls[n] != nil {
					room[n] += int64(by)
				}
				take(s.WindowUpdate(n, by))
			case 3:
				to := int64(rapid.IntRange(0, 70_000).Draw(t, "initial"))
				for i := range room {
					room[i] += to - initial
				}
				initial = to
				take(s.Settings([]Setting{{http2.SettingInitialWindowSize, uint32(to)}}))
			case 4:
				status := rapid.SampledFrom([]int{100, 200, 500, 0}).Draw(t, "status")
				if c := calls[n]; c != nil && !c.over && status == 200 && s.streams[n] != nil && s.streams[n].Status == 0 {
					c.ok = true
				}
				take(s.Headers(n, status, nil, -1, rapid.Bool().Draw(t, "end"), ""))
			case 5:
				refused := rapid.Bool().Draw(t, "refused")
				code := http2.ErrCodeInternal
				if refused {
					code = http2.ErrCodeRefusedStream
				}
				if c := calls[n]; c != nil {
					c.refused = c.refused || refused
				}
				take(s.Reset(n, code))
			case 6:
				for i, c := range calls {
					c.refused = c.refused || i > n
				}
				take(s.GoAway(n, http2.ErrCodeNo))
			case 7:
				take(s.Cancel(n))
			case 8:
				take(s.Data(n, rapid.IntRange(0, 100).Draw(t, "data"), 0, rapid.Bool().Draw(t, "end")))
			}
		}
		take(s.Broken("the end"))
		for i, c := range calls {
			if !c.over {
				t.Fatalf("%d has no end", i)
			}
		}
	})
	if ends < 200 {
		t.Errorf("only %d ends were seen", ends)
	}
}
