package scenario

import (
	"fmt"

	"frostlink/internal/strictconfig"
)

// newWithDefaults returns a scenario with the default values of all tables that occur once. The defaults describe the deployment that
// frostlink was built for.
func newWithDefaults() *Scenario {
	return &Scenario{
		Seed: 1,
		Relay: Relay{
			Cores: 1, MemoryMB: 192, Sockets: 1024, DiskMB: 3, MaxInFlight: 24, MaxHeld: 300, BatchIntervalMS: 5, ReadyWithin: 10,
		},
		Limits: Limits{
			MaxAttempts: 12, ConnectTimeout: 1, IdleConnTimeout: 10, MaxRetryAfter: 3, Cancel: true, Probing: true, Gossip: true,
		},
		Rules: Rules{
			AnswerSlack: 0.3, PollWithin: 10, DrainGrace: 1, ColdCapacity: 0.17, SlowStartTime: 11, OverloadFactor: 2.5, OverloadWindow: 1.5,
		},
		Discovery:    Discovery{PublishDelay: Range{0.5, 3}, NotifyWithin: 6},
		Network:      Network{Delay: Range{2, 36}},
		LoadBalancer: LoadBalancer{DetectionDelay: Range{1.2, 3.6}},
		Clients: Clients{
			Retries: 2, Backoff: Range{340, 1500}, BackoffGrowth: 2, HonourRetryAfter: 0.6, ResponseTimeoutMS: 400,
			ResubmitDelay: Range{0.65, 1.9}, BodySize: Range{150, 600},
		},
		Load: Load{Shape: LoadSteady, Period: 20, BurstLength: Range{1.2, 3.4}},
	}
}

// applyDefaults sets the default values of keys that elements of arrays of tables leave out.
func (s *Scenario) applyDefaults(document *strictconfig.Document) {
	for i := range s.Classes {
		s.Classes[i].applyDefaults(document, elementPrefix("class", i))
	}
	for i := range s.Tenants {
		s.Tenants[i].applyDefaults(document, elementPrefix("tenant", i))
	}
	for i := range s.Destinations {
		s.Destinations[i].applyDefaults(document, elementPrefix("partner", i), &s.Rules)
	}
	for i := range s.Faults {
		s.Faults[i].applyDefaults(document, elementPrefix("event", i))
	}
}

func (c *Class) applyDefaults(document *strictconfig.Document, prefix string) {
	setDefault(document, prefix+"share", &c.Share, 1)
	setDefault(document, prefix+"worth", &c.PriorityWeight, 1)
	setDefault(document, prefix+"spread", &c.Distribution, Exponential)
	setDefault(document, prefix+"cv", &c.CV, 1)
	if c.Ordered {
		setDefault(document, prefix+"keys", &c.OrderKeys, 100)
	}
}

func (t *Tenant) applyDefaults(document *strictconfig.Document, prefix string) {
	setDefault(document, prefix+"share", &t.Share, 1)
	setDefault(document, prefix+"over_share_worth", &t.OverQuotaFraction, 0.2)
}

func (d *Destination) applyDefaults(document *strictconfig.Document, prefix string, rules *Rules) {
	setDefault(document, prefix+"kind", &d.Kind, "partner")
	setDefault(document, prefix+"site", &d.Zone, "a")
	setDefault(document, prefix+"endpoints", &d.Endpoints, 1)
	setDefault(document, prefix+"slots", &d.Concurrency, 4)
	setDefault(document, prefix+"queue", &d.QueueLength, 8)
	setDefault(document, prefix+"pace", &d.ServiceTimeFactor, 1)
	setDefault(document, prefix+"tells", &d.RejectionInfo, RejectionSaysNothing)
	setDefault(document, prefix+"cancelled", &d.CancelBehavior, CancelIgnored)
	setDefault(document, prefix+"cold_share", &d.ColdCapacity, rules.ColdCapacity)
	setDefault(document, prefix+"warm_s", &d.SlowStartTime, rules.SlowStartTime)
	setDefault(document, prefix+"fallen_for_s", &d.OverloadDowntime, 15)
	if d.Limit != nil && d.Limit.Rate > 0 {
		setDefault(document, prefix+"limit.burst", &d.Limit.Burst, max(1, d.Limit.Rate/2))
	}
}

func (f *Fault) applyDefaults(document *strictconfig.Document, prefix string) {
	switch f.Kind {
	case FaultReplacement, FaultDrain:
		setDefault(document, prefix+"drain_s", &f.DrainTime, 3)
	case FaultKill, FaultTerminate, FaultMachineLost:
		setDefault(document, prefix+"back_s", &f.RestartDelay, 0.6)
	case FaultDiscoveryDown:
		setDefault(document, prefix+"how", &f.Mode, DiscoveryUnavailable)
	}
}

// setDefault sets a field to a value if the file does not have the field's key.
func setDefault[T any](document *strictconfig.Document, key string, field *T, value T) {
	if !document.Has(key) {
		*field = value
	}
}

// elementPrefix returns the prefix of the keys of an element of an array of tables, such as "class[1]." for index 0.
func elementPrefix(array string, index int) string { return fmt.Sprintf("%s[%d].", array, index+1) }
