package syserr

import (
	"fmt"
	"testing"
	"time"
)

func TestBackoff_DoublesFromMinToMax(t *testing.T) {
	b := Backoff{Min: 2, Max: 10}
	var got []time.Duration
	for range 5 {
		got = append(got, b.Next())
	}
	b.Reset()
	if got = append(got, b.Next()); fmt.Sprint(got) != "[2ns 4ns 8ns 10ns 10ns 2ns]" {
		t.Errorf("pauses %v", got)
	}
}
