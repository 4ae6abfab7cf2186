package checker

import (
	"time"

	"frostlink/internal/settings"
)

// Parameters are the settings by which a run is judged.
type Parameters struct {
	Settings     settings.Settings
	NotifyWithin time.Duration // a relay counts as notified of what discovery shows after this, while discovery is up
	Destinations []Destination
}

// Destination is what the scenario says of a destination.
type Destination struct {
	Name          string
	Capacity      float64       // attempts a second when warm, with all endpoints
	ColdCapacity  float64       // share of it right after an outage
	SlowStartTime time.Duration // until it has all of it again
}
