package scenario

import (
	"math"
	"reflect"
	"testing"
)

func TestMessages_AreDecidedByTheSeed(t *testing.T) {
	s := readShipped(t)["quiet"]
	first, same, other := s.Messages(NewRandomStreams(3)), s.Messages(NewRandomStreams(3)), s.Messages(NewRandomStreams(4))
	if !reflect.DeepEqual(first, same) {
		t.Error("the same seed draws different messages")
	}
	if reflect.DeepEqual(first, other) {
		t.Error("another seed draws the same messages")
	}
	a, b := s.ServiceTime(NewRandomStreams(3), first[5], 2), s.ServiceTime(NewRandomStreams(3), same[5], 2)
	if a != b || a <= 0 {
		t.Errorf("service times %v and %v, want them equal and above 0", a, b)
	}
}

func TestMessages_HaveTheMeansOfTheScenario(t *testing.T) {
	s := readShipped(t)["quiet"]
	messages, serviceTime := 0.0, 0.0
	perClass, perDestination := make([]float64, len(s.Classes)), make([]float64, len(s.Destinations))
	const seeds = 20
	for seed := range seeds {
		streams := NewRandomStreams(int64(seed))
		for _, m := range s.Messages(streams) {
			messages++
			perClass[m.Class]++
			perDestination[m.Destination]++
			serviceTime += s.ServiceTime(streams, m, 0).Seconds()
		}
	}
	tests := []struct {
		name      string
		got, want float64
		tolerance float64 // maximum relative deviation
	}{
		{"messages", messages, seeds * s.Load.Rate * s.Length, 0.04},
		{"first class", perClass[0] / messages, 0.55, 0.02},
		{"first destination", perDestination[0] / messages, 0.32, 0.06},
		{"service time", serviceTime / messages, s.MeanServiceTime(&Destination{ServiceTimeFactor: 1}), 0.03},
	}
	for _, test := range tests {
		if math.Abs(test.got/test.want-1) > test.tolerance {
			t.Errorf("%s: got %.4g, want %.4g within a relative deviation of %v", test.name, test.got, test.want, test.tolerance)
		}
	}
}
