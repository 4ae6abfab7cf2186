package scenario

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"frostlink/internal/strictconfig"
)

// The bounds of one machine.
const (
	maxRelays    = 40
	maxEndpoints = 200 // of all partners, replacements apart: each has a listener for every relay
	maxMessages  = 400_000
	maxLength    = 3600 // seconds
)

// check reports all that makes no sense.
func (s *Scenario) check(d *strictconfig.Document) {
	if d.Has("version") && s.Version != Version {
		d.AddError("version", "is %d; this program reads version %d", s.Version, Version)
	}
	c := checker{d}
	c.above("length_s", s.Length, 0)
	c.most("length_s", s.Length, maxLength)
	if d.Has("relays") && (s.Relays < 1 || s.Relays > maxRelays) {
		d.AddError("relays", "is %d, has to be 1 to %d", s.Relays, maxRelays)
	}
	if n := s.Coordination.Members; n != 0 && n != 1 && n != 3 && n != 5 {
		d.AddError("coordination.members", "is %d, has to be 0, 1, 3 or 5", n)
	}
	c.above("relay.cores", s.Relay.Cores, 0)
	c.above("relay.memory_mb", s.Relay.MemoryMB, 0)
	c.above("relay.sockets", float64(s.Relay.Sockets), 0)
	c.above("relay.disk_mb", s.Relay.DiskMB, 0)
	c.above("relay.slots", float64(s.Relay.MaxInFlight), 0)
	c.above("relay.hold", float64(s.Relay.MaxHeld), 0)
	c.above("relay.tick_ms", s.Relay.BatchIntervalMS, 0)
	c.above("relay.ready_within_s", s.Relay.ReadyWithin, 0)
	c.above("limits.attempts", float64(s.Limits.MaxAttempts), 0)
	c.above("limits.connect_timeout_s", s.Limits.ConnectTimeout, 0)
	c.above("limits.conn_idle_s", s.Limits.IdleConnTimeout, 0)
	c.least("limits.retry_after_s", s.Limits.MaxRetryAfter, 0)
	c.above("rules.answer_slack_s", s.Rules.AnswerSlack, 0)
	c.above("rules.ask_within_s", s.Rules.PollWithin, 0)
	c.above("rules.drain_grace_s", s.Rules.DrainGrace, 0)
	c.above("rules.ramp_s", s.Rules.SlowStartTime, 0)
	c.above("rules.overload_factor", s.Rules.OverloadFactor, 1)
	c.above("rules.overload_for_s", s.Rules.OverloadWindow, 0)
	c.least("rules.order_pause_s", s.Rules.OrderKeyCooldown, 0)
	c.share("rules.cold_share", s.Rules.ColdCapacity)
	c.above("register.tell_within_s", s.Discovery.NotifyWithin, 0)
	c.share("network.loss", s.Network.Loss)
	c.share("network.halved", s.Network.Halved)
	c.share("clients.honour", s.Clients.HonourRetryAfter)
	c.least("clients.retries", float64(s.Clients.Retries), 0)
	c.least("clients.growth", s.Clients.BackoffGrowth, 1)
	c.above("clients.answer_ms", s.Clients.ResponseTimeoutMS, 0)
	c.most("clients.body_bytes", s.Clients.BodySize.High, 64<<10)
	if d.Has("load.rate") {
		c.above("load.rate", s.Load.Rate, 0)
	}
	if n := s.Load.Rate * s.Length; n > maxMessages {
		d.AddError("load.rate", "makes %.0f messages in all, %d at most", n, maxMessages)
	}
	c.oneOf("load.shape", s.Load.Shape, "steady", "wave", "ramp")
	c.share("load.swing", s.Load.Amplitude)
	c.above("load.period_s", s.Load.Period, 0)
	c.share("load.clumps", s.Load.BurstShare)
	c.above("load.clump_s", s.Load.BurstLength.Low, 0)
	if s.LoadReport != nil {
		c.above("report.every_ms", s.LoadReport.Every.Low, 0)
		c.share("report.noise", s.LoadReport.Noise)
	}
	s.checkClasses(c)
	s.checkTenants(c)
	s.checkRelay(c)
	s.checkPartners(c)
	for i := range s.Faults {
		s.checkEvent(c, fmt.Sprintf("event[%d]", i+1), &s.Faults[i])
	}
	s.checkOverlaps(c)
}

func (s *Scenario) checkClasses(c checker) {
	if c.Has("class") && len(s.Classes) == 0 {
		c.AddError("class", "there is none")
	}
	names := map[string]bool{}
	for i := range s.Classes {
		k, at := &s.Classes[i], fmt.Sprintf("class[%d].", i+1)
		c.name(at+"name", k.Name, names)
		if strings.ContainsAny(k.Name, "/?# ") {
			c.AddError(at+"name", "%q can't be part of a path", k.Name)
		}
		c.above(at+"share", k.Share, 0)
		c.above(at+"worth", k.PriorityWeight, 0)
		c.share(at+"late_share", k.LateFraction)
		c.above(at+"aim_s", k.LatencyObjective, 0)
		if k.Deadline < k.LatencyObjective {
			c.AddError(at+"deadline_s", "%v s is before the aim, %v s", k.Deadline, k.LatencyObjective)
		}
		c.above(at+"service_ms", k.ServiceTimeMS, 0)
		c.oneOf(at+"effect", k.Idempotency, "safe", "keyed", "unsafe")
		if k.Idempotency == "keyed" {
			c.above(at+"memory_s", k.KeyTTL, 0)
		} else if k.KeyTTL > 0 {
			c.AddError(at+"memory_s", "only a keyed class has one")
		}
		c.oneOf(at+"spread", k.Distribution, "exp", "lognormal", "fixed")
		c.above(at+"cv", k.CV, 0)
		c.least(at+"subjects", float64(k.Subjects), 0)
		c.least(at+"noise", k.Noise, 0)
		if k.Ordered {
			c.above(at+"keys", float64(k.OrderKeys), 0)
		}
	}
}

// checkRelay checks what relays are given beside their machine.
func (s *Scenario) checkRelay(c checker) {
	s.knownClasses(c, "relay.classes", s.Relay.Classes)
	switch {
	case s.Relay.DeadLetterBacklog < 0:
		c.AddError("relay.backlog", "%d is below 0", s.Relay.DeadLetterBacklog)
	case s.Relay.DeadLetterBacklog > 0 && (s.Relay.Operator == "" || !s.Relay.Redelivers):
		c.AddError("relay.backlog", "wants an operator's file that keeps undelivered messages, and resends = true")
	}
}

func (s *Scenario) checkTenants(c checker) {
	names := map[string]bool{}
	for i := range s.Tenants {
		t, at := &s.Tenants[i], fmt.Sprintf("tenant[%d].", i+1)
		c.name(at+"name", t.Name, names)
		c.above(at+"share", t.Share, 0)
		c.least(at+"quota", t.Quota, 0)
		c.share(at+"over_share_worth", t.OverQuotaFraction)
		if t.OverQuotaFraction != s.Tenants[0].OverQuotaFraction {
			c.AddError(at+"over_share_worth", "differs from the first tenant's: the settings have one for all")
		}
	}
}

func (s *Scenario) checkPartners(c checker) {
	if c.Has("partner") && len(s.Destinations) == 0 {
		c.AddError("partner", "there is none")
	}
	names, endpoints := map[string]bool{}, 0
	for i := range s.Destinations {
		p, at := &s.Destinations[i], fmt.Sprintf("partner[%d].", i+1)
		c.name(at+"name", p.Name, names)
		c.above(at+"share", p.Share, 0)
		c.above(at+"endpoints", float64(p.Endpoints), 0)
		c.above(at+"slots", float64(p.Concurrency), 0)
		c.least(at+"queue", float64(p.QueueLength), 0)
		c.above(at+"pace", p.ServiceTimeFactor, 0)
		c.least(at+"connections", float64(p.MaxConnections), 0)
		c.least(at+"handshake_ms", p.HandshakeMS, 0)
		c.share(at+"error_rate", p.ErrorRate)
		c.oneOf(at+"tells", p.RejectionInfo, "nothing", "wait")
		c.oneOf(at+"cancelled", p.CancelBehavior, "runs-on", "leaves-queue", "stops")
		if p.ColdCapacity < s.Rules.ColdCapacity || p.ColdCapacity > 1 {
			c.AddError(at+"cold_share", "%v is not from rules.cold_share, %v, to 1", p.ColdCapacity, s.Rules.ColdCapacity)
		}
		if p.SlowStartTime > s.Rules.SlowStartTime || p.SlowStartTime < 0 {
			c.AddError(at+"warm_s", "%v is not from 0 to rules.ramp_s, %v", p.SlowStartTime, s.Rules.SlowStartTime)
		}
		c.above(at+"fallen_for_s", p.OverloadDowntime, 0)
		if (p.Pause.High > 0) != (p.PauseEvery.Low > 0) {
			c.AddError(at+"pause_ms", "pause_ms and pause_every_s go together, both above 0")
		}
		if l := p.Limit; l != nil {
			rate, count := l.Rate > 0, l.Count > 0 && l.Window > 0
			if rate == count || rate && (l.Count != 0 || l.Window != 0) || count && l.Burst != 0 {
				c.AddError(at+"limit", "is either a rate (with a burst) or a count in a span_s, all above 0")
			}
			if rate && l.Burst < 1 {
				c.AddError(at+"limit.burst", "%v lets no call through: 1 at least", l.Burst)
			}
		}
		if len(s.Tenants) > 0 && !slices.ContainsFunc(s.Tenants, func(t Tenant) bool { return t.Name == p.Tenant }) {
			c.AddError(at+"tenant", "%q is no tenant of this script", p.Tenant)
		}
		endpoints += p.Endpoints
	}
	if endpoints > maxEndpoints {
		c.AddError("partner", "%d endpoints in all, %d at most", endpoints, maxEndpoints)
	}
}

// The kinds of failure, and which keys each takes beside at_s and what. A key with "!" has to be there.
var kinds = map[string][]string{
	"refuse":   {"for_s!", "partner!", "endpoint", "warm"},
	"shut":     {"for_s!", "partner!", "endpoint", "warm"},
	"silent":   {"for_s!", "partner!", "endpoint", "warm"},
	"gone":     {"for_s!", "partner!", "endpoint", "warm"},
	"failing":  {"for_s!", "partner!", "endpoint", "share!", "warm"},
	"slow":     {"for_s!", "partner!", "endpoint", "factor!"},
	"reset":    {"for_s!", "partner!", "endpoint", "share!"},
	"pause":    {"for_s!", "partner!", "endpoint"},
	"drain":    {"partner!", "endpoint!", "drain_s"},
	"replace":  {"partner", "share!", "over_s", "drain_s", "reused"},
	"jump":     {"for_s!", "factor!", "rise_s"},
	"draw":     {"for_s!", "partner!", "share!"},
	"kill":     {"relay", "back_s"},
	"term":     {"relay", "back_s"},
	"lose":     {"relay!", "back_s"},
	"hang":     {"relay!", "for_s!"},
	"move":     {"relay"},
	"register": {"for_s!", "how"},
	"split":    {"for_s!", "relays!"},
	"loss":     {"for_s!", "share!"},
	"halve":    {"for_s!", "share!"},
	"upgrade":  {"relay"},
	"standby":  {"relay!", "for_s!"},
	"settings": {"classes", "attempts", "broken"},
	"scrape":   {"relay", "for_s!", "callers"},
	clockStep:  {"relay", "by_s!"},

	syscallErrors: {"relay", "for_s!", "call!", "errno!", "share!"},
	diskErrors:    {"relay", "for_s!", "errno!", "share!"},
}

const (
	// clockStep steps the wall clock of relays; their monotonic clocks run on.
	clockStep = "clock_step"
	// syscallErrors has a share of a relay's system calls on sockets fail, and diskErrors a share of those that write to its folder.
	syscallErrors, diskErrors = "syscall_errors", "disk_errors"
	// mostStep is the longest step of a clock, in seconds.
	mostStep = 86400
)

// Kinds of outage: what a partner is cold after.
var outages = map[string]bool{"refuse": true, "shut": true, "silent": true, "gone": true, "failing": true}

// IsOutage tells whether an event is an outage of its partner's endpoints, after which they are cold.
func (e *Fault) IsOutage() bool { return outages[e.Kind] }

func (s *Scenario) checkEvent(c checker, at string, e *Fault) {
	keys, ok := kinds[e.Kind]
	if !ok {
		var names []string
		for name := range kinds {
			names = append(names, name)
		}
		slices.Sort(names)
		c.AddError(at+".what", "%q is none of %s", e.Kind, strings.Join(names, ", "))
		return
	}
	takes := map[string]bool{}
	for _, k := range keys {
		name, needed := strings.CutSuffix(k, "!")
		takes[name] = true
		if needed && !c.Has(at+"."+name) {
			c.AddError(at+"."+name, "is missing: %q needs it", e.Kind)
		}
	}
	for _, name := range []string{
		"for_s", "partner", "endpoint", "relay", "relays", "factor", "share", "rise_s", "drain_s",
		"over_s", "reused", "back_s", "how", "warm", "classes", "attempts", "broken", "callers", "by_s", "call", "errno",
	} {
		if c.Has(at+"."+name) && !takes[name] {
			c.AddError(at+"."+name, "has no meaning for %q", e.Kind)
		}
	}
	c.least(at+".at_s", e.At, 0)
	if e.At >= s.Length {
		c.AddError(at+".at_s", "%v is not before the end, length_s = %v", e.At, s.Length)
	}
	if c.Has(at + ".for_s") {
		c.above(at+".for_s", e.Duration, 0)
	}
	if c.Has(at + ".share") {
		c.share(at+".share", e.Share)
		c.above(at+".share", e.Share, 0)
	}
	if c.Has(at + ".factor") {
		c.above(at+".factor", e.Factor, 0)
	}
	c.share(at+".reused", e.ReusedAddresses)
	c.least(at+".over_s", e.Over, 0)
	c.least(at+".drain_s", e.DrainTime, 0)
	c.least(at+".back_s", e.RestartDelay, 0)
	c.least(at+".rise_s", e.RampTime, 0)
	if e.Kind == "settings" {
		s.checkSettings(c, at, e)
	}
	c.least(at+".callers", float64(e.IdleCallers), 0)
	if c.Has(at + ".call") {
		c.oneOf(at+".call", e.Syscall, slices.Sorted(maps.Keys(SocketSyscalls))...)
	}
	if c.Has(at+".errno") && Errno(e.Errno) == 0 {
		c.AddError(at+".errno", "%q is the name of no error of a system call", e.Errno)
	}
	if takes["by_s"] && (e.ClockStep == 0 || math.Abs(e.ClockStep) > mostStep) {
		c.AddError(at+".by_s", "%v is no step of at most %d s either way", e.ClockStep, mostStep)
	}
	if e.Kind == "register" {
		c.oneOf(at+".how", e.Mode, "503", "reset", "silent")
	}
	if c.Has(at + ".partner") {
		p := s.DestinationIndex(e.Destination)
		switch {
		case p < 0:
			c.AddError(at+".partner", "%q is no partner of this script", e.Destination)
		case e.Endpoint < 0 || e.Endpoint > s.Destinations[p].Endpoints:
			c.AddError(at+".endpoint", "%s has endpoints 1 to %d", e.Destination, s.Destinations[p].Endpoints)
		}
	}
	for _, r := range append([]int{e.Relay}, e.Relays...) {
		if r < 0 || r > s.Relays || r == 0 && len(e.Relays) > 0 && slices.Contains(e.Relays, 0) {
			c.AddError(at+".relay", "there are relays 1 to %d", s.Relays)
			break
		}
	}
	if takes["relay"] && e.Relay == 0 && c.Has(at+".relay") {
		c.AddError(at+".relay", "there are relays 1 to %d; leave it out for all", s.Relays)
	}
}

// checkSettings checks what new settings say.
func (s *Scenario) checkSettings(c checker, at string, e *Fault) {
	if e.Classes == nil && e.MaxAttempts == 0 && e.Corruption == "" {
		c.AddError(at+".what", "settings without classes, attempts or broken change nothing")
	}
	s.knownClasses(c, at+".classes", e.Classes)
	if c.Has(at+".attempts") && (e.MaxAttempts < 1 || e.MaxAttempts > s.Limits.MaxAttempts) {
		c.AddError(at+".attempts", "%d is not from 1 to limits.attempts, %d", e.MaxAttempts, s.Limits.MaxAttempts)
	}
	if c.Has(at + ".broken") {
		c.oneOf(at+".broken", e.Corruption, "empty", "cut", "lacking", "zero")
	}
}

// knownClasses checks a list of classes that settings are to have.
func (s *Scenario) knownClasses(c checker, key string, names []string) {
	if names != nil && len(names) == 0 {
		c.AddError(key, "there is none")
	}
	for _, name := range names {
		if !slices.ContainsFunc(s.Classes, func(k Class) bool { return k.Name == name }) {
			c.AddError(key, "%q is no class of this script", name)
		}
	}
}

// checkOverlaps reports outages of one endpoint that overlap: what holds then would be a matter of their order.
func (s *Scenario) checkOverlaps(c checker) {
	for i := range s.Faults {
		a := &s.Faults[i]
		for j := range i {
			b := &s.Faults[j]
			same := a.Destination == b.Destination && (a.Endpoint == b.Endpoint || a.Endpoint == 0 || b.Endpoint == 0)
			if a.IsOutage() && b.IsOutage() && same && a.At < b.At+b.Duration && b.At < a.At+a.Duration {
				c.AddError(fmt.Sprintf("event[%d].at_s", i+1), "overlaps the outage of event[%d] at %s", j+1, a.Destination)
			}
			if a.Kind == "settings" && b.Kind == "settings" && a.At < b.At+settleTime {
				c.AddError(fmt.Sprintf("event[%d].at_s", i+1), "is not %v s after event[%d]: files of settings go by time", settleTime, j+1)
			}
			if a.Kind == "register" && b.Kind == "register" && a.At < b.At+b.Duration && b.At < a.At+a.Duration {
				c.AddError(fmt.Sprintf("event[%d].at_s", i+1), "overlaps event[%d]", j+1)
			}
		}
	}
}

// DestinationIndex gives the place of a partner in the list, or -1.
func (s *Scenario) DestinationIndex(name string) int {
	return slices.IndexFunc(s.Destinations, func(p Destination) bool { return p.Name == name })
}

// checker has the common checks of a value.
type checker struct{ *strictconfig.Document }

func (c checker) above(key string, v, bound float64) {
	if !(v > bound) {
		c.AddError(key, "%v is not above %v", v, bound)
	}
}

func (c checker) least(key string, v, bound float64) {
	if !(v >= bound) {
		c.AddError(key, "%v is below %v", v, bound)
	}
}

func (c checker) most(key string, v, bound float64) {
	if !(v <= bound) {
		c.AddError(key, "%v is above %v", v, bound)
	}
}

func (c checker) share(key string, v float64) {
	if !(v >= 0 && v <= 1) {
		c.AddError(key, "%v is not from 0 to 1", v)
	}
}

func (c checker) oneOf(key, v string, names ...string) {
	if !slices.Contains(names, v) {
		c.AddError(key, "%q is none of %s", v, strings.Join(names, ", "))
	}
}

func (c checker) name(key, v string, seen map[string]bool) {
	if c.Has(key) && v == "" {
		c.AddError(key, "is empty")
	}
	if seen[v] {
		c.AddError(key, "%q is there twice", v)
	}
	seen[v] = true
}
