package policy_test

import (
	"fmt"
	"time"

	"frostlink/policy"
)

func Example() {
	d, err := policy.New(policy.Settings{
		Instances: 1, Slots: 8, HoldRoom: 100, MaxAttempts: 8, Tick: 5 * time.Millisecond,
		Classes: []policy.Class{{Aim: time.Second, Deadline: 10 * time.Second, Worth: 1, Effect: policy.Safe}},
		Kinds:   []policy.Kind{{Bundle: 1}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	actions := d.Handle(0, []policy.Event{
		policy.Listed{Whole: true, Endpoints: []policy.Endpoint{{ID: "a", Destination: 7}}},
		policy.Arrived{ID: "m", Destination: 7, Left: 10 * time.Second},
	})
	fmt.Println(actions[0])
	// Output: {m a 3.333333333s 0s}
}
