package simadapter

import (
	"errors"
	"time"

	"frostlink/policy"
)

// errUnknownList reports an update that refers to a manifest that was never received.
var errUnknownList = errors.New("unknown endpoint list")

// outcomes maps the protocol's names of attempt outcomes to the policy's outcomes.
var outcomes = map[string]policy.Outcome{
	"Ok":           policy.Succeeded,
	"Failed":       policy.Failed,
	"QueueFull":    policy.Rejected,
	"TimedOut":     policy.TimedOut,
	"ConnectError": policy.ConnectError,
	"ResetByPeer":  policy.ConnectionReset,
	"Canceled":     policy.Canceled,
	"Ignored":      policy.NotSent,
}

// The scopes of an update and the states of an endpoint that are treated specially. Any other scope means a complete list, and any other
// state means in service.
const (
	scopeFailed      = "FAILED"
	scopeIncremental = "INCREMENTAL"

	stateDraining = "terminating"
	stateRemoved  = "terminated"
)

// event translates a message for one instance into an event. It returns nil for an unknown message. If a value is invalid, it records an
// error in f, and the event must not be used.
func (s *session) event(name string, f *fields) policy.Event {
	switch name {
	case "call":
		return policy.Arrived{
			ID:          f.text(2),
			TimeLeft:    f.seconds(8),
			OrderKey:    f.text(9),
			Class:       int(f.whole(10)),
			Destination: int(f.whole(11)),
		}
	case "answer":
		return attemptEnded(f)
	case "left":
		return policy.MessageCanceled{ID: f.text(2)}
	case "update":
		return s.endpointsChanged(f)
	case "wakeup":
		return policy.TimerFired{}
	}
	return nil
}

func attemptEnded(f *fields) policy.Event {
	e := policy.AttemptEnded{
		ID:         f.text(2),
		Endpoint:   f.text(3),
		Attempt:    int(f.whole(4)),
		Outcome:    f.outcome(5),
		Latency:    f.seconds(7),
		Final:      f.truth(8),
		LoadReport: f.loadReport(9),
	}
	if e.Outcome == policy.Rejected { // with other outcomes value 6 has another meaning
		e.RetryAfter = time.Duration(f.number(6) * float64(time.Millisecond))
	}
	return e
}

func (s *session) endpointsChanged(f *fields) policy.Event {
	scope := f.text(2)
	if scope == scopeFailed {
		return policy.WatchFailed{}
	}
	endpoints, ok := s.lists[f.whole(4)]
	if !ok {
		f.fail(errUnknownList)
		return nil
	}
	return policy.EndpointsChanged{Full: scope != scopeIncremental, Endpoints: endpoints}
}
