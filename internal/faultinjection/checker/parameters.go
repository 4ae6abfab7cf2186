package checker

import (
	"time"

	"frostlink/internal/settings"
)

// Parameters are the settings against which a run is checked.
type Parameters struct {
	Settings     settings.Settings
	NotifyWithin time.Duration // while discovery is up, a relay counts as notified of a change this long after discovery shows it
	Destinations []Destination
}

// Destination describes a destination as the scenario defines it.
type Destination struct {
	Name          string
	Capacity      float64       // attempts per second of all endpoints together when warm
	ColdCapacity  float64       // fraction of Capacity right after an outage
	SlowStartTime time.Duration // time after an outage until the destination has its full capacity again
}
