package simadapter

import (
	"encoding/json"
	"fmt"
	"time"

	"frostlink/internal/settings"
	"frostlink/policy"
)

// session is the state of the adapter's process.
type session struct {
	instances map[int64]*instance
	lists     map[int64][]policy.Endpoint // endpoint lists by their number

	// The state of the batch that is being read.
	now      time.Duration
	active   []int64 // the ids of instances with events, in the order of their first events
	failures []failure
}

// instance is one simulated relay.
type instance struct {
	dispatcher *policy.Dispatcher
	events     []policy.Event // the events in the batch that is being read
	active     bool           // whether the instance is in session.active
}

// failure is an instance that could not be started.
type failure struct {
	instance int64
	text     string
}

func newSession() *session {
	return &session{instances: map[int64]*instance{}, lists: map[int64][]policy.Endpoint{}}
}

// read processes one line, and reports whether it completes the batch.
func (s *session) read(line []byte) (complete bool, err error) {
	var values []json.RawMessage
	if err := json.Unmarshal(line, &values); err != nil {
		return false, fmt.Errorf("not a JSON array: %w", err)
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

// begin starts an instance. If its settings are invalid, the reply reports the instance as failed.
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

// add adds an event to an instance's events. Events for an unknown instance are ignored.
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
