package scenario

// validateOverlaps reports pairs of faults that must not be active at the same time, because their combined effect would depend on
// the order in which they are applied.
func (s *Scenario) validateOverlaps(v validator) {
	for i := range s.Faults {
		for j := range i {
			s.validatePair(v, i, j)
		}
	}
}

// validatePair checks a fault against a fault that comes earlier in the file.
func (s *Scenario) validatePair(v validator, index, earlierIndex int) {
	fault, earlier := &s.Faults[index], &s.Faults[earlierIndex]
	key, earlierNumber := elementPrefix("event", index)+"at_s", earlierIndex+1
	if fault.IsOutage() && earlier.IsOutage() && sharesEndpoint(fault, earlier) && fault.overlaps(earlier) {
		v.AddError(key, "overlaps the outage of event[%d] at %s", earlierNumber, fault.Destination)
	}
	if fault.Kind == FaultSettingsChange && earlier.Kind == FaultSettingsChange && fault.At < earlier.At+reloadTime {
		v.AddError(key, "is not at least %v s after event[%d]: settings events must be in the order of their times, and relays need that time to reload", reloadTime, earlierNumber)
	}
	if fault.Kind == FaultDiscoveryDown && earlier.Kind == FaultDiscoveryDown && fault.overlaps(earlier) {
		v.AddError(key, "overlaps the register outage of event[%d]", earlierNumber)
	}
}

func sharesEndpoint(a, b *Fault) bool {
	return a.Destination == b.Destination && (a.Endpoint == b.Endpoint || a.Endpoint == 0 || b.Endpoint == 0)
}
