package scenario

import "frostlink/internal/settings"

// settingsIdempotency maps the kinds of idempotency to their names in the settings object.
var settingsIdempotency = map[Idempotency]string{
	Idempotent:      "retryable",
	IdempotentByKey: "dedup",
	NotIdempotent:   "fragile",
}

// RelaySettings returns the settings object of a relay, numbered from 0, with all classes.
func (s *Scenario) RelaySettings(relay int) settings.Settings {
	return s.RelaySettingsWith(relay, ReloadableSettings{MaxAttempts: s.Limits.MaxAttempts})
}

// RelaySettingsWith returns the settings object of a relay, numbered from 0, with the given reloadable settings.
func (s *Scenario) RelaySettingsWith(relay int, reloadable ReloadableSettings) settings.Settings {
	out := settings.Settings{
		Discovery:      "subscribe",
		Instances:      s.Relays,
		Ordinal:        relay,
		BatchIntervalS: s.Relay.BatchIntervalMS / 1000,
		Weights:        "nominal",
		Limits:         s.settingsLimits(reloadable.MaxAttempts),
		Rules:          s.settingsRules(),
		Report:         s.settingsReport(),
		Specifics:      settings.Specifics{WeightDecay: "linear", MaxInFlight: s.Relay.MaxInFlight},
		Classes:        s.settingsClasses(reloadable),
	}
	for _, tenant := range s.Tenants {
		out.Tenants = append(out.Tenants, settings.Tenant{Name: tenant.Name, QuotaRPS: tenant.Quota, Share: tenant.Share})
		out.OverQuotaFraction = tenant.OverQuotaFraction
	}
	for _, kind := range s.Kinds() {
		out.DestinationKinds = append(out.DestinationKinds, kind)
		out.Specifics.MaxBatch = append(out.Specifics.MaxBatch, 1)
		out.Specifics.SeparateRoutes = append(out.Specifics.SeparateRoutes, false)
	}
	for _, zone := range s.Zones() {
		out.Zones = append(out.Zones, zone)
		out.Specifics.ZoneCost = append(out.Specifics.ZoneCost, 0)
	}
	return out
}

func (s *Scenario) settingsLimits(maxAttempts int) settings.Limits {
	return settings.Limits{
		Cancel:           s.Limits.Cancel,
		IdleConnTimeoutS: s.Limits.IdleConnTimeout,
		ConnectTimeoutS:  s.Limits.ConnectTimeout,
		MaxAttempts:      maxAttempts,
		MaxHeld:          s.Relay.MaxHeld,
		MaxRetryAfterS:   s.Limits.MaxRetryAfter,
		Gossip:           s.Limits.Gossip,
		Probing:          s.Limits.Probing,
		RetryAfter:       s.Limits.MaxRetryAfter > 0,
	}
}

func (s *Scenario) settingsRules() settings.Rules {
	return settings.Rules{
		AnswerSlackS:      s.Rules.AnswerSlack,
		PollWithinS:       s.Rules.PollWithin,
		ColdCapacity:      s.Rules.ColdCapacity,
		DrainGraceS:       s.Rules.DrainGrace,
		OverloadFactor:    s.Rules.OverloadFactor,
		OverloadWindowS:   s.Rules.OverloadWindow,
		SlowStartTimeS:    s.Rules.SlowStartTime,
		OrderKeyCooldownS: s.Rules.OrderKeyCooldown,
	}
}

func (s *Scenario) settingsReport() settings.Report {
	if s.LoadReport == nil {
		return settings.Report{Columns: []string{}, Via: "off"}
	}
	return settings.Report{Columns: []string{"x0", "x1"}, Via: "inline"}
}

func (s *Scenario) settingsClasses(reloadable ReloadableSettings) []settings.Class {
	var classes []settings.Class
	for _, class := range s.Classes {
		if !reloadable.includes(class.Name) {
			continue
		}
		classes = append(classes, settings.Class{
			Name:              class.Name,
			LatencyObjectiveS: class.LatencyObjective,
			DeadlineS:         class.Deadline,
			Idempotency:       settingsIdempotency[class.Idempotency],
			KeyScope:          "all",
			Ordered:           class.Ordered,
			LateFraction:      class.LateFraction,
			KeyTTLS:           class.KeyTTL,
			PriorityWeight:    class.PriorityWeight,
		})
	}
	return classes
}
