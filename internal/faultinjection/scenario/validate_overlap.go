package scenario

// validateOverlaps reports faults that must not hold at one time, since what held then would be a matter of their order.
func (s *Scenario) validateOverlaps(v validator) {
	for i := range s.Faults {
		for j := range i {
			s.validatePair(v, i, j)
		}
	}
}

// validatePair checks a fault against one that the file has before it.
func (s *Scenario) validatePair(v validator, index, earlierIndex int) {
	fault, earlier := &s.Faults[index], &s.Faults[earlierIndex]
	key, earlierNumber := elementPrefix("event", index)+"at_s", earlierIndex+1
	if fault.IsOutage() && earlier.IsOutage() && sharesEndpoint(fault, earlier) && fault.overlaps(earlier) {
		v.AddError(key, "overlaps the outage of event[%d] at %s", earlierNumber, fault.Destination)
	}
	if fault.Kind == FaultSettingsChange && earlier.Kind == FaultSettingsChange && fault.At < earlier.At+reloadTime {
		v.AddError(key, "is not %v s after event[%d]: files of settings go by time", reloadTime, earlierNumber)
	}
	if fault.Kind == FaultDiscoveryDown && earlier.Kind == FaultDiscoveryDown && fault.overlaps(earlier) {
		v.AddError(key, "overlaps event[%d]", earlierNumber)
	}
}

func sharesEndpoint(a, b *Fault) bool {
	return a.Destination == b.Destination && (a.Endpoint == b.Endpoint || a.Endpoint == 0 || b.Endpoint == 0)
}
