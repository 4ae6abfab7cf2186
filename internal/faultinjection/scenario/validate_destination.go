package scenario

import "slices"

func (s *Scenario) validateDestinations(v validator) {
	if v.Has("partner") && len(s.Destinations) == 0 {
		v.AddError("partner", "at least one is required")
	}
	names, endpoints := map[string]bool{}, 0
	for i := range s.Destinations {
		destination, prefix := &s.Destinations[i], elementPrefix("partner", i)
		v.uniqueName(prefix+"name", destination.Name, names)
		destination.validateCapacity(v, prefix)
		destination.validateResponses(v, prefix)
		destination.validateSlowStart(v, prefix, &s.Rules)
		if (destination.Pause.High > 0) != (destination.PauseEvery.Low > 0) {
			v.AddError(prefix+"pause_ms", "pause_ms and pause_every_s must be set together, both above 0")
		}
		if destination.Limit != nil {
			destination.Limit.validate(v, prefix)
		}
		if len(s.Tenants) > 0 && s.tenantIndex(destination) < 0 {
			v.AddError(prefix+"tenant", "%q is not a tenant of this scenario", destination.Tenant)
		}
		endpoints += destination.Endpoints
	}
	if endpoints > maxEndpoints {
		v.AddError("partner", "%d endpoints in total, at most %d are allowed", endpoints, maxEndpoints)
	}
}

// tenantIndex returns the index of a destination's tenant, or -1.
func (s *Scenario) tenantIndex(d *Destination) int {
	return slices.IndexFunc(s.Tenants, func(t Tenant) bool { return t.Name == d.Tenant })
}

func (d *Destination) validateCapacity(v validator, prefix string) {
	v.above(prefix+"share", d.Share, 0)
	v.above(prefix+"endpoints", float64(d.Endpoints), 0)
	v.above(prefix+"slots", float64(d.Concurrency), 0)
	v.atLeast(prefix+"queue", float64(d.QueueLength), 0)
	v.above(prefix+"pace", d.ServiceTimeFactor, 0)
	v.atLeast(prefix+"connections", float64(d.MaxConnections), 0)
	v.atLeast(prefix+"handshake_ms", d.HandshakeMS, 0)
}

func (d *Destination) validateResponses(v validator, prefix string) {
	v.fraction(prefix+"error_rate", d.ErrorRate)
	oneOf(v, prefix+"tells", d.RejectionInfo, RejectionSaysNothing, RejectionSaysWait)
	oneOf(v, prefix+"cancelled", d.CancelBehavior, CancelIgnored, CancelLeavesQueue, CancelStopsAttempt)
}

// validateSlowStart checks that a destination warms up at least as fast as the rules require.
func (d *Destination) validateSlowStart(v validator, prefix string, rules *Rules) {
	if d.ColdCapacity < rules.ColdCapacity || d.ColdCapacity > 1 {
		v.AddError(prefix+"cold_share", "%v is not between rules.cold_share, %v, and 1", d.ColdCapacity, rules.ColdCapacity)
	}
	if d.SlowStartTime > rules.SlowStartTime || d.SlowStartTime < 0 {
		v.AddError(prefix+"warm_s", "%v is not between 0 and rules.ramp_s, %v", d.SlowStartTime, rules.SlowStartTime)
	}
	v.above(prefix+"fallen_for_s", d.OverloadDowntime, 0)
}

// validate checks a limit; prefix is the prefix of its destination's keys.
func (l *Limit) validate(v validator, prefix string) {
	isRate, isCount := l.Rate > 0, l.Count > 0 && l.Window > 0
	if isRate == isCount || isRate && (l.Count != 0 || l.Window != 0) || isCount && l.Burst != 0 {
		v.AddError(prefix+"limit", "must be either a rate (with an optional burst) or a count with a span_s, all above 0")
	}
	if isRate && l.Burst < 1 {
		v.AddError(prefix+"limit.burst", "%v admits no attempt, must be at least 1", l.Burst)
	}
}
