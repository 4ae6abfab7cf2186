package harness

import (
	"strings"
	"testing"

	"frostlink/internal/faultinjection/scenario"
)

// Every kind of fault that a scenario file can have is in exactly one of the two tables of faults.
func TestFaultSchedule_HasEveryKindOnce(t *testing.T) {
	_, err := scenario.Parse("kinds", []byte("version = 1\nname = \"kinds\"\nlength_s = 1\nrelays = 1\n[[event]]\nat_s = 0\nwhat = \"unknown\"\n"))
	if err == nil {
		t.Fatal("a scenario with an unknown kind of fault was parsed without an error")
	}
	_, after, found := strings.Cut(err.Error(), `"unknown" is not one of `)
	if !found {
		t.Fatalf("the error does not list the kinds: %v", err)
	}
	list, _, _ := strings.Cut(after, "\n")
	kinds := strings.Split(list, ", ")
	for _, kind := range kinds {
		ofRelay, other := relayFaults[kind] != nil, faultSchedulers[kind] != nil
		if ofRelay == other {
			t.Errorf("%q is in the table of relay faults: %v, in the other table: %v; want exactly one", kind, ofRelay, other)
		}
	}
	if scheduled := len(relayFaults) + len(faultSchedulers); scheduled != len(kinds) {
		t.Errorf("the tables have %d kinds, scenario files have %d", scheduled, len(kinds))
	}
}
