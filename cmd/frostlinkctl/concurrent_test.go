package main

import (
	"errors"
	"sync/atomic"
	"testing"
)

func TestRunConcurrently_BoundsCallsAndReturnsErrorsByIndex(t *testing.T) {
	errOdd := errors.New("odd")
	var running, maxRunning, calls atomic.Int64
	errs := runConcurrently(20, 3, func(i int) error {
		now := running.Add(1)
		defer running.Add(-1)
		for seen := maxRunning.Load(); now > seen && !maxRunning.CompareAndSwap(seen, now); seen = maxRunning.Load() {
		}
		calls.Add(1)
		if i%2 == 1 {
			return errOdd
		}
		return nil
	})
	if calls.Load() != 20 || maxRunning.Load() > 3 {
		t.Errorf("%d calls, up to %d at once, want 20, up to 3", calls.Load(), maxRunning.Load())
	}
	for i, err := range errs {
		if errors.Is(err, errOdd) != (i%2 == 1) {
			t.Errorf("error of call %d is %v", i, err)
		}
	}
	if err := firstError(errs); !errors.Is(err, errOdd) {
		t.Errorf("first error %v", err)
	}
	if err := firstError(runConcurrently(0, 3, func(int) error { return errOdd })); err != nil {
		t.Errorf("error %v without any call", err)
	}
}
