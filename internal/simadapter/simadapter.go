// Package simadapter translates between the simulator's wire and package policy. It decides nothing.
package simadapter

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"frostlink/internal/settings"
	"frostlink/policy"
)

// maxLine bounds one line of input; a whole list of endpoints is the longest.
const maxLine = 64 << 20

// Serve reads batches from r and writes a reply to each to w until the input ends.
func Serve(r io.Reader, w io.Writer) error {
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 1<<16), maxLine)
	out := bufio.NewWriter(w)
	s := &session{relays: map[int64]*relay{}, tables: map[int64][]policy.Endpoint{}}
	for line := 1; in.Scan(); line++ {
		if len(bytes.TrimSpace(in.Bytes())) == 0 {
			continue
		}
		done, err := s.line(in.Bytes())
		if err != nil {
			return fmt.Errorf("line %d: %w", line, err)
		}
		if !done {
			continue
		}
		if _, err := out.Write(s.reply()); err != nil {
			return err
		}
		if err := out.Flush(); err != nil {
			return err
		}
	}
	return in.Err()
}

// relay is one instance and its events in the batch that is being read.
type relay struct {
	dispatcher *policy.Dispatcher
	events     []policy.Event
	queued     bool // already among session.order
}

// session is the state of one process: its instances and numbered lists.
type session struct {
	relays map[int64]*relay
	tables map[int64][]policy.Endpoint
	now    time.Duration
	order  []int64 // instances with events in this batch, in order
	faults []fault
}

type fault struct {
	id   int64
	text string
}

// line takes in one line and tells whether it closed the batch.
func (s *session) line(b []byte) (bool, error) {
	var raw []json.RawMessage
	if err := json.Unmarshal(b, &raw); err != nil {
		return false, fmt.Errorf("not an array: %w", err)
	}
	f := &fields{raw: raw}
	name := f.text(0)
	switch name {
	case "round":
		s.now = f.seconds(1)
	case "your_turn":
		return true, f.err
	case "manifest":
		s.tables[f.whole(1)] = f.endpoints(2)
	case "begin":
		s.begin(f)
	case "killed":
		delete(s.relays, f.whole(1))
	default:
		if e := s.event(name, f); e != nil && f.err == nil {
			s.push(f.whole(1), e)
		}
	}
	if f.err != nil {
		return false, fmt.Errorf("%s: %w", name, f.err)
	}
	return false, nil
}

func (s *session) push(id int64, e policy.Event) {
	r := s.relays[id]
	if r == nil {
		return
	}
	r.events = append(r.events, e)
	if !r.queued {
		r.queued = true
		s.order = append(s.order, id)
	}
}

func (s *session) begin(f *fields) {
	id, seed := f.whole(1), f.whole(2)
	var raw settings.Settings
	f.decode(3, &raw)
	if f.err != nil {
		return
	}
	set, err := raw.Policy()
	if err == nil {
		var d *policy.Dispatcher
		if d, err = policy.New(set, seed); err == nil {
			s.relays[id] = &relay{dispatcher: d}
			return
		}
	}
	delete(s.relays, id)
	s.faults = append(s.faults, fault{id, err.Error()})
}

var outcomes = map[string]policy.Outcome{
	"Ok": policy.Succeeded, "Failed": policy.Failed, "QueueFull": policy.Rejected, "TimedOut": policy.TimedOut,
	"ConnectError": policy.ConnectError, "ResetByPeer": policy.ConnectionReset, "Canceled": policy.Canceled,
	"Ignored": policy.NotSent,
}

// event translates one event of an instance; unknown ones give nil.
func (s *session) event(name string, f *fields) policy.Event {
	switch name {
	case "call":
		return policy.Arrived{
			ID: f.text(2), TimeLeft: f.seconds(8), OrderKey: f.text(9), Class: int(f.whole(10)),
			Destination: int(f.whole(11)),
		}
	case "answer":
		e := policy.AttemptEnded{
			ID: f.text(2), Endpoint: f.text(3), Attempt: int(f.whole(4)),
			Outcome: f.outcome(5), Latency: f.seconds(7), Final: f.truth(8), LoadReport: f.report(9),
		}
		if e.Outcome == policy.Rejected {
			e.RetryAfter = time.Duration(f.number(6) * float64(time.Millisecond))
		}
		return e
	case "left":
		return policy.Cancelled{ID: f.text(2)}
	case "update":
		if scope := f.text(2); scope == "FAILED" {
			return policy.WatchFailed{}
		} else if entries, ok := s.tables[f.whole(4)]; ok {
			return policy.EndpointsChanged{Full: scope != "INCREMENTAL", Endpoints: entries}
		}
		f.fail(errors.New("unknown list"))
		return nil
	case "wakeup":
		return policy.TimerFired{}
	}
	return nil
}

// reply lets every instance with events act and returns the reply to the batch.
func (s *session) reply() []byte {
	var b bytes.Buffer
	for _, ft := range s.faults {
		put(&b, "die", ft.id, ft.text)
	}
	for _, id := range s.order {
		if r := s.relays[id]; r != nil && r.queued {
			r.queued = false
			s.act(&b, id, r)
		}
	}
	s.order, s.faults = s.order[:0], s.faults[:0]
	put(&b, "ready")
	return b.Bytes()
}

// act runs one instance on its events; a panic in it is reported as a fault.
func (s *session) act(b *bytes.Buffer, id int64, r *relay) {
	mark := b.Len()
	defer func() {
		if p := recover(); p != nil {
			b.Truncate(mark)
			put(b, "die", id, fmt.Sprint("panic: ", p))
		}
	}()
	events := r.events
	r.events = nil
	for _, a := range r.dispatcher.Handle(s.now, events) {
		switch a := a.(type) {
		case policy.Send:
			put(b, "relay", id, a.ID, a.Endpoint, a.Timeout.Seconds())
		case policy.Reject:
			put(b, "refuse", id, a.ID, a.RetryAfter.Seconds())
		case policy.Fail:
			put(b, "report_failure", id, a.ID)
		case policy.CancelAttempt:
			put(b, "abort_attempt", id, a.ID, a.Attempt)
		case policy.CloseIdleConns:
			put(b, "shut_idle", id, a.Endpoint)
		case policy.SetTimer:
			put(b, "remind", id, a.After.Seconds(), 0)
		case policy.WatchEndpoints:
			put(b, "subscribe", id, true)
		}
	}
}

// put writes one line of a reply.
func put(b *bytes.Buffer, values ...any) {
	line, err := json.Marshal(values)
	if err != nil {
		panic(err) // no value that we write can fail
	}
	b.Write(line)
	b.WriteByte('\n')
}

// fields reads the values of one line and keeps the first error.
type fields struct {
	raw []json.RawMessage
	err error
}

func (f *fields) fail(err error) {
	if f.err == nil {
		f.err = err
	}
}

// decode reads value i; one that is absent or null leaves v as it is.
func (f *fields) decode(i int, v any) {
	if i >= len(f.raw) {
		return
	}
	if err := json.Unmarshal(f.raw[i], v); err != nil {
		f.fail(fmt.Errorf("value %d: %w", i, err))
	}
}

func (f *fields) text(i int) (v string)    { f.decode(i, &v); return v }
func (f *fields) number(i int) (v float64) { f.decode(i, &v); return v }
func (f *fields) truth(i int) (v bool)     { f.decode(i, &v); return v }

func (f *fields) seconds(i int) time.Duration { return settings.Seconds(f.number(i)) }

func (f *fields) whole(i int) int64 {
	var n json.Number
	f.decode(i, &n)
	if v, err := n.Int64(); err == nil || n == "" {
		return v
	}
	v, err := n.Float64()
	if err != nil || v != math.Trunc(v) {
		f.fail(fmt.Errorf("value %d: not a whole number", i))
	}
	return int64(v)
}

func (f *fields) outcome(i int) policy.Outcome {
	name := f.text(i)
	o, ok := outcomes[name]
	if !ok {
		f.fail(fmt.Errorf("unknown outcome %q", name))
	}
	return o
}

func (f *fields) report(i int) *policy.LoadReport {
	var v map[string]float64
	f.decode(i, &v)
	left, hasLeft := v["x0"]
	limit, hasLimit := v["x1"]
	if !hasLeft || !hasLimit {
		return nil
	}
	return &policy.LoadReport{Remaining: left, RateLimit: limit}
}

func (f *fields) endpoints(i int) []policy.Endpoint {
	var rows [][]json.RawMessage
	f.decode(i, &rows)
	list := make([]policy.Endpoint, 0, len(rows))
	for _, row := range rows {
		e := &fields{raw: row}
		state := e.text(4)
		list = append(list, policy.Endpoint{
			Kind: int(e.whole(0)), Destination: int(e.whole(1)), ID: e.text(2),
			Weight: e.number(3), Draining: state == "terminating", Removed: state == "terminated",
			Zone: int(e.whole(5)),
		})
		if e.err != nil {
			f.fail(e.err)
		}
	}
	return list
}
