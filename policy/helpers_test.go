package policy

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings returns settings with one class of each kind of idempotency, and limits that most
// tests do not reach.
func testSettings() Settings {
	return Settings{
		Instances: 1, MaxInFlight: 4, MaxQueued: 100, MaxAttempts: 8, CanCancel: true,
		BatchInterval: 5 * ms, ColdCapacity: 0.2, SlowStartTime: 10 * time.Second, OverloadFactor: 2, OverloadWindow: 2 * time.Second,
		MaxRetryAfter: 3 * time.Second, Kinds: []DestinationKind{{MaxBatch: 1}, {MaxBatch: 5}, {MaxBatch: 1, SeparateRoutes: true}},
		Classes: []Class{
			{LatencyObjective: time.Second, Deadline: 10 * time.Second, PriorityWeight: 1, Idempotency: Idempotent},
			{LatencyObjective: time.Second, Deadline: 10 * time.Second, PriorityWeight: 1, Idempotency: IdempotentByKey, KeyTTL: 4 * time.Second},
			{LatencyObjective: time.Second, Deadline: 10 * time.Second, PriorityWeight: 1, Idempotency: NotIdempotent, Ordered: true},
		},
	}
}

func newDispatcher(t *testing.T, s Settings, eps ...Endpoint) *Dispatcher {
	t.Helper()
	d, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	d.Handle(0, []Event{EndpointsChanged{Full: true, Endpoints: eps}})
	return d
}

func arrival(id string, class int) Event {
	return Arrived{ID: id, Class: class, TimeLeft: 10 * time.Second, OrderKey: "k"}
}

// ended returns the outcome of a message's first attempt at endpoint a.
func ended(id string, outcome Outcome) AttemptEnded {
	return AttemptEnded{ID: id, Endpoint: "a", Outcome: outcome}
}

// delivered returns the success of a message's first attempt.
func delivered(id, endpoint string) AttemptEnded {
	return AttemptEnded{ID: id, Endpoint: endpoint, Outcome: Succeeded, Final: true}
}

// summary returns a short form of actions, without timers and timeouts.
func summary(actions []Action) string {
	var out []string
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			out = append(out, a.ID+">"+a.Endpoint)
		case Reject:
			out = append(out, "reject "+a.ID)
		case Fail:
			out = append(out, "fail "+a.ID)
		case CancelAttempt:
			out = append(out, fmt.Sprintf("cancel %s/%d", a.ID, a.Attempt))
		case WatchEndpoints:
			out = append(out, "watch")
		}
	}
	return strings.Join(out, " ")
}

func wantActions(t *testing.T, what string, actions []Action, want string) {
	t.Helper()
	if got := summary(actions); got != want {
		t.Errorf("%s: got %q, want %q", what, got, want)
	}
}

// recovered returns the arrival of a message that an earlier process accepted, with the attempts
// made by that process.
func recovered(id string, class int, prior ...PriorAttempt) Event {
	return Arrived{ID: id, Class: class, TimeLeft: 10 * time.Second, Recovered: true, PriorAttempts: prior}
}

func backgroundArrival(id string, class int) Event {
	return Arrived{ID: id, Class: class, TimeLeft: 10 * time.Second, Background: true}
}

func countCloses(actions []Action) (n int) {
	for _, a := range actions {
		if _, ok := a.(CloseIdleConns); ok {
			n++
		}
	}
	return n
}
