package simadapter

import (
	"encoding/json"
	"fmt"
	"time"

	"frostlink/internal/settings"
	"frostlink/policy"
)

// session is the state of one process.
type session struct {
	instances map[int64]*instance
	lists     map[int64][]policy.Endpoint // endpoint lists by their number

	// Of the batch that is being read.
	now      time.Duration
	active   []int64 // instances with events, in the order of their first
	failures []failure
}

// instance is one relay.
type instance struct {
	dispatcher *policy.Dispatcher
	events     []policy.Event // in the batch that is being read
	active     bool           // in session.active
}

// failure is an instance that could not begin.
type failure struct {
	instance int64
	text     string
}

func newSession() *session {
	return &session{instances: map[int64]*instance{}, lists: map[int64][]policy.Endpoint{}}
}

// read takes in one line, and reports whether it completes the batch.
func (s *session) read(line []byte) (complete bool, err error) {
	var values []json.RawMessage
	if err := json.Unmarshal(line, &values); err != nil {
		return false, fmt.Errorf("not an array: %w", err)
	}
	f := &fields{values: values}
	name := f.text(0)
	switch name {
	case "round":
		s.now = f.seconds(1)
	case "your_turn":
		return true, f.err
	case "manifest":
		s.lists[f.whole(1)] = f.endpoints(2)
	case "begin":
		s.begin(f)
	case "killed":
		delete(s.instances, f.whole(1))
	default:
		if e := s.event(name, f); e != nil && f.err == nil {
			s.add(f.whole(1), e)
		}
	}
	if f.err != nil {
		return false, fmt.Errorf("%s: %w", name, f.err)
	}
	return false, nil
}

// begin starts an instance. One whose settings can't be used is reported as failed in the reply.
func (s *session) begin(f *fields) {
	id, seed := f.whole(1), f.whole(2)
	var object settings.Settings
	f.decode(3, &object)
	if f.err != nil {
		return
	}
	dispatcher, err := newDispatcher(&object, seed)
	if err != nil {
		delete(s.instances, id)
		s.failures = append(s.failures, failure{id, err.Error()})
		return
	}
	s.instances[id] = &instance{dispatcher: dispatcher}
}

func newDispatcher(object *settings.Settings, seed int64) (*policy.Dispatcher, error) {
	translated, err := object.Policy()
	if err != nil {
		return nil, err
	}
	return policy.New(translated, seed)
}

// add gives an event to an instance, if it has begun.
func (s *session) add(id int64, e policy.Event) {
	in := s.instances[id]
	if in == nil {
		return
	}
	in.events = append(in.events, e)
	if !in.active {
		in.active = true
		s.active = append(s.active, id)
	}
}
