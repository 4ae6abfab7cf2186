package scenario

import (
	"slices"
	"strings"
)

func (s *Scenario) validateClients(v validator) {
	v.fraction("clients.honour", s.Clients.HonourRetryAfter)
	v.atLeast("clients.retries", float64(s.Clients.Retries), 0)
	v.atLeast("clients.growth", s.Clients.BackoffGrowth, 1)
	v.above("clients.answer_ms", s.Clients.ResponseTimeoutMS, 0)
	v.atMost("clients.body_bytes", s.Clients.BodySize.High, maxBodySize)
}

func (s *Scenario) validateLoad(v validator) {
	if v.Has("load.rate") {
		v.above("load.rate", s.Load.Rate, 0)
	}
	if messages := s.Load.Rate * s.Length; messages > maxMessages {
		v.AddError("load.rate", "gives %.0f messages in total, at most %d are allowed", messages, maxMessages)
	}
	oneOf(v, "load.shape", s.Load.Shape, LoadSteady, LoadWave, LoadRamp)
	v.fraction("load.swing", s.Load.Amplitude)
	v.above("load.period_s", s.Load.Period, 0)
	v.fraction("load.clumps", s.Load.BurstShare)
	v.above("load.clump_s", s.Load.BurstLength.Low, 0)
}

func (s *Scenario) validateClasses(v validator) {
	if v.Has("class") && len(s.Classes) == 0 {
		v.AddError("class", "at least one is required")
	}
	names := map[string]bool{}
	for i := range s.Classes {
		prefix := elementPrefix("class", i)
		v.uniqueName(prefix+"name", s.Classes[i].Name, names)
		s.Classes[i].validate(v, prefix)
	}
}

func (c *Class) validate(v validator, prefix string) {
	if strings.ContainsAny(c.Name, "/?# ") {
		v.AddError(prefix+"name", "%q has a character that is not allowed in a URL path segment", c.Name)
	}
	v.above(prefix+"share", c.Share, 0)
	v.above(prefix+"worth", c.PriorityWeight, 0)
	v.fraction(prefix+"late_share", c.LateFraction)
	v.above(prefix+"aim_s", c.LatencyObjective, 0)
	if c.Deadline < c.LatencyObjective {
		v.AddError(prefix+"deadline_s", "%v s is less than aim_s, %v s", c.Deadline, c.LatencyObjective)
	}
	v.above(prefix+"service_ms", c.ServiceTimeMS, 0)
	oneOf(v, prefix+"effect", c.Idempotency, Idempotent, IdempotentByKey, NotIdempotent)
	if c.Idempotency == IdempotentByKey {
		v.above(prefix+"memory_s", c.KeyTTL, 0)
	} else if c.KeyTTL > 0 {
		v.AddError(prefix+"memory_s", "only allowed with effect = \"keyed\"")
	}
	oneOf(v, prefix+"spread", c.Distribution, Exponential, Lognormal, Fixed)
	v.above(prefix+"cv", c.CV, 0)
	v.atLeast(prefix+"subjects", float64(c.Subjects), 0)
	v.atLeast(prefix+"noise", c.Noise, 0)
	if c.Ordered {
		v.above(prefix+"keys", float64(c.OrderKeys), 0)
	}
}

func (s *Scenario) validateTenants(v validator) {
	names := map[string]bool{}
	for i := range s.Tenants {
		tenant, prefix := &s.Tenants[i], elementPrefix("tenant", i)
		v.uniqueName(prefix+"name", tenant.Name, names)
		v.above(prefix+"share", tenant.Share, 0)
		v.atLeast(prefix+"quota", tenant.Quota, 0)
		v.fraction(prefix+"over_share_worth", tenant.OverQuotaFraction)
		if tenant.OverQuotaFraction != s.Tenants[0].OverQuotaFraction {
			v.AddError(prefix+"over_share_worth", "differs from that of the first tenant: the settings have one value for all tenants")
		}
	}
}

// validateRelaySettings checks the classes and the dead letters with which relays start.
func (s *Scenario) validateRelaySettings(v validator) {
	s.validateClassNames(v, "relay.classes", s.Relay.Classes)
	switch {
	case s.Relay.DeadLetterBacklog < 0:
		v.AddError("relay.backlog", "%d is below 0", s.Relay.DeadLetterBacklog)
	case s.Relay.DeadLetterBacklog > 0 && (s.Relay.Operator == "" || !s.Relay.Redelivers):
		v.AddError("relay.backlog", "requires an operator's file with a dead-letter store, and relay.resends = true")
	}
}

// validateClassNames checks the classes of a settings file; nil means all classes.
func (s *Scenario) validateClassNames(v validator, key string, names []string) {
	if names != nil && len(names) == 0 {
		v.AddError(key, "at least one is required")
	}
	for _, name := range names {
		if !slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == name }) {
			v.AddError(key, "%q is not a class of this scenario", name)
		}
	}
}
