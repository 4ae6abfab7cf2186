package scenario

import "slices"

const (
	// reloadTime is the time in seconds within which relays should have read a new settings file. Clients use an added class only
	// after this time.
	reloadTime = 1.3
	// removalLead is the time in seconds between the last use of a class by clients and the settings file that removes the class.
	removalLead = 0.2
)

// ReloadableSettings are the settings that can change while relays run.
type ReloadableSettings struct {
	Classes     []string // nil: all
	MaxAttempts int
}

// InitialSettings returns the settings with which relays start.
func (s *Scenario) InitialSettings() ReloadableSettings {
	return ReloadableSettings{Classes: s.Relay.Classes, MaxAttempts: s.Limits.MaxAttempts}
}

// With returns the settings that a fault of kind FaultSettingsChange results in.
func (r ReloadableSettings) With(f *Fault) ReloadableSettings {
	if f.Classes != nil {
		r.Classes = f.Classes
	}
	if f.MaxAttempts > 0 {
		r.MaxAttempts = f.MaxAttempts
	}
	return r
}

func (r ReloadableSettings) includes(class string) bool {
	return r.Classes == nil || slices.Contains(r.Classes, class)
}

// IsOffered reports whether clients use a class at a time, in seconds: all relays have loaded a settings file with the class, and no
// file without the class follows within removalLead.
func (s *Scenario) IsOffered(class string, at float64) bool {
	loaded, upcoming := s.InitialSettings(), s.InitialSettings()
	for i := range s.Faults { // validation guarantees that settings changes are in the order of their times
		fault := &s.Faults[i]
		if fault.Kind != FaultSettingsChange || fault.Corruption != "" {
			continue
		}
		if fault.At+reloadTime <= at {
			loaded = loaded.With(fault)
		}
		if fault.At-removalLead <= at {
			upcoming = upcoming.With(fault)
		}
	}
	return loaded.includes(class) && upcoming.includes(class)
}
