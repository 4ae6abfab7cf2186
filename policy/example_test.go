package policy_test

import (
	"fmt"
	"time"

	"frostlink/policy"
)

func Example() {
	d, err := policy.New(policy.Settings{
		Instances: 1, MaxInFlight: 8, MaxQueued: 100, MaxAttempts: 8, BatchInterval: 5 * time.Millisecond,
		Classes: []policy.Class{{LatencyObjective: time.Second, Deadline: 10 * time.Second, PriorityWeight: 1, Idempotency: policy.Idempotent}},
		Kinds:   []policy.DestinationKind{{MaxBatch: 1}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	actions := d.Handle(0, []policy.Event{
		policy.EndpointsChanged{Full: true, Endpoints: []policy.Endpoint{{ID: "a", Destination: 7}}},
		policy.Arrived{ID: "m", Destination: 7, TimeLeft: 10 * time.Second},
	})
	fmt.Println(actions[0])
	// Output: {m a 3.333333333s 0s}
}
