package scenario

// Limits of a scenario that one machine can run.
const (
	maxRelays    = 40
	maxEndpoints = 200 // of all destinations, not counting replacements; each endpoint has a listener for every relay
	maxMessages  = 400_000
	maxLength    = 3600 // seconds
	maxBodySize  = 64 << 10
)

// validate reports every invalid value. Errors on the same line are listed in the order of the checks.
func (s *Scenario) validate(v validator) {
	s.validateRun(v)
	s.validateRelayLimits(v)
	s.validateLimitsAndRules(v)
	s.validateDiscoveryAndNetwork(v)
	s.validateClients(v)
	s.validateLoad(v)
	s.validateLoadReport(v)
	s.validateClasses(v)
	s.validateTenants(v)
	s.validateRelaySettings(v)
	s.validateDestinations(v)
	s.validateFaults(v)
	s.validateOverlaps(v)
}

func (s *Scenario) validateRun(v validator) {
	if v.Has("version") && s.Version != Version {
		v.AddError("version", "is %d, but this program reads version %d", s.Version, Version)
	}
	v.above("length_s", s.Length, 0)
	v.atMost("length_s", s.Length, maxLength)
	if v.Has("relays") && (s.Relays < 1 || s.Relays > maxRelays) {
		v.AddError("relays", "is %d, must be from 1 to %d", s.Relays, maxRelays)
	}
	switch s.Coordination.Members {
	case 0, 1, 3, 5: // no members or an odd number, because an additional member that makes the number even does not allow one more member to fail
	default:
		v.AddError("coordination.members", "is %d, must be 0, 1, 3 or 5", s.Coordination.Members)
	}
}

func (s *Scenario) validateRelayLimits(v validator) {
	v.above("relay.cores", s.Relay.Cores, 0)
	v.above("relay.memory_mb", s.Relay.MemoryMB, 0)
	v.above("relay.sockets", float64(s.Relay.Sockets), 0)
	v.above("relay.disk_mb", s.Relay.DiskMB, 0)
	v.above("relay.slots", float64(s.Relay.MaxInFlight), 0)
	v.above("relay.hold", float64(s.Relay.MaxHeld), 0)
	v.above("relay.tick_ms", s.Relay.BatchIntervalMS, 0)
	v.above("relay.ready_within_s", s.Relay.ReadyWithin, 0)
}

func (s *Scenario) validateLimitsAndRules(v validator) {
	v.above("limits.attempts", float64(s.Limits.MaxAttempts), 0)
	v.above("limits.connect_timeout_s", s.Limits.ConnectTimeout, 0)
	v.above("limits.conn_idle_s", s.Limits.IdleConnTimeout, 0)
	v.atLeast("limits.retry_after_s", s.Limits.MaxRetryAfter, 0)
	v.above("rules.answer_slack_s", s.Rules.AnswerSlack, 0)
	v.above("rules.ask_within_s", s.Rules.PollWithin, 0)
	v.above("rules.drain_grace_s", s.Rules.DrainGrace, 0)
	v.above("rules.ramp_s", s.Rules.SlowStartTime, 0)
	v.above("rules.overload_factor", s.Rules.OverloadFactor, 1)
	v.above("rules.overload_for_s", s.Rules.OverloadWindow, 0)
	v.atLeast("rules.order_pause_s", s.Rules.OrderKeyCooldown, 0)
	v.fraction("rules.cold_share", s.Rules.ColdCapacity)
}

func (s *Scenario) validateDiscoveryAndNetwork(v validator) {
	v.above("register.tell_within_s", s.Discovery.NotifyWithin, 0)
	v.fraction("network.loss", s.Network.Loss)
	v.fraction("network.halved", s.Network.Halved)
}

func (s *Scenario) validateLoadReport(v validator) {
	if s.LoadReport == nil {
		return
	}
	v.above("report.every_ms", s.LoadReport.Every.Low, 0)
	v.fraction("report.noise", s.LoadReport.Noise)
}
