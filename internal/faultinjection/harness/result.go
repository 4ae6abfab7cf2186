package harness

import (
	"io"
	"time"

	"frostlink/internal/faultinjection/checker"
)

// Options are the parameters of a run besides its scenario.
type Options struct {
	Seed         int64     // of all random streams
	RelayCommand []string  // starts one relay
	Env          []string  // added to the environment of each relay
	KeepDir      string    // folder to save logs in; empty: none are saved
	Progress     io.Writer // gets one line a second; nil: none
}

// Result is the outcome of a run: the verdict on the relays, and what was measured.
type Result struct {
	Scenario    string        `json:"script"`
	Seed        int64         `json:"seed"`
	Duration    time.Duration `json:"took"`
	Void        bool          `json:"void"`       // inconclusive: the harness itself was too late for a verdict on the relays
	LateShare   float64       `json:"late_share"` // share of the harness's events that came more than 5 ms after they were due
	Events      int           `json:"rig_events"`
	MaxLateness time.Duration `json:"late_most"`
	Failures    []string      `json:"faults"` // crashes, datagrams that are too long, and other failures outside of the checker's rules
	*checker.Report
	Processes        []ProcessUsage     `json:"processes"`
	Datagrams        Datagrams          `json:"datagrams"`
	Undelivered      map[string]int     `json:"undelivered,omitempty"` // messages in the relays' dead-letter stores, by state
	Overloads        map[string]int     `json:"falls,omitempty"`       // times that a destination was overloaded, by its name
	Redeliveries     []Redeliveries     `json:"resends,omitempty"`     // by destination, where there were any
	Occurred         map[Occurrence]int `json:"occurred,omitempty"`
	Timeline         []string           `json:"timeline"`
	ExtraResponses   *ExtraResponses    `json:"extra_responses,omitempty"` // nil: nothing was written to relays that nobody asked for
	EarlyEnds        int                `json:"-"`                         // messages that endpoints said were over at their first attempt
	DestinationNames []string           `json:"-"`
}

// Passed reports whether the relays broke no rule and nothing else failed.
func (r *Result) Passed() bool { return len(r.Violations) == 0 && len(r.Failures) == 0 }
