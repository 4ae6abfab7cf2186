package fleettask

import (
	"net/url"
	"time"

	"frostlink/internal/coord"
	"frostlink/internal/coord/api"
	"frostlink/internal/strictconfig"
)

// Section is the section [coordination] of the operator's file.
type Section struct {
	Cluster     string     `toml:"cluster"`
	Members     []string   `toml:"members"`  // ID=HOST:PORT
	TTLMillis   int        `toml:"ttl_ms"`   // time to live of a relay's session; 0: DefaultTTL
	GuardMillis int        `toml:"guard_ms"` // a lease counts as lost this long before it expires; 0: DefaultGuard
	Resend      bool       `toml:"resend"`   // the rate of a redelivery rule applies to the whole fleet, not to each relay
	Heartbeat   *Heartbeat `toml:"beat"`
	Export      *Export    `toml:"export"`
}

// Heartbeat is the section [coordination.beat]: one relay of the fleet at a time informs a monitor
// that the fleet is alive.
type Heartbeat struct {
	URL             string  `toml:"url"`
	IntervalSeconds float64 `toml:"every_s"`   // 0: DefaultHeartbeatInterval
	TimeoutMillis   int     `toml:"within_ms"` // for one heartbeat; 0: DefaultHeartbeatTimeout
}

// Export is the section [coordination.export]: the undelivered messages of all relays are collected
// in one shared folder.
type Export struct {
	Folder          string  `toml:"folder"`
	IntervalSeconds float64 `toml:"every_s"` // between checks for new records; 0: DefaultExportInterval
}

// Defaults of the settings.
const (
	DefaultTTL   = 3 * time.Second
	DefaultGuard = 50 * time.Millisecond

	DefaultHeartbeatInterval = 10 * time.Second
	DefaultHeartbeatTimeout  = 500 * time.Millisecond
	DefaultExportInterval    = time.Minute
)

// Limits of the settings, in the units of the settings.
const (
	maxHeartbeatSeconds = 3600
	maxExportSeconds    = 24 * 3600
	guardDivisor        = 4 // the guard is at most the time to live divided by this
	timeoutDivisor      = 2 // the heartbeat's timeout is at most the validity of a lease divided by this
)

// TTL returns the time to live of a relay's session.
func (s *Section) TTL() time.Duration { return millisOr(s.TTLMillis, DefaultTTL) }

// Guard returns how long before its expiry a lease counts as lost.
func (s *Section) Guard() time.Duration { return millisOr(s.GuardMillis, DefaultGuard) }

// Interval returns the time between heartbeats.
func (h *Heartbeat) Interval() time.Duration {
	return secondsOr(h.IntervalSeconds, DefaultHeartbeatInterval)
}

// Timeout returns the time limit of one heartbeat.
func (h *Heartbeat) Timeout() time.Duration {
	return millisOr(h.TimeoutMillis, DefaultHeartbeatTimeout)
}

// Interval returns the time between checks for new records.
func (e *Export) Interval() time.Duration { return secondsOr(e.IntervalSeconds, DefaultExportInterval) }

func millisOr(millis int, defaultValue time.Duration) time.Duration {
	if millis == 0 {
		return defaultValue
	}
	return time.Duration(millis) * time.Millisecond
}

func secondsOr(seconds float64, defaultValue time.Duration) time.Duration {
	if seconds == 0 {
		return defaultValue
	}
	return time.Duration(seconds * float64(time.Second))
}

// Check validates the section, which has the given path, and adds its errors to the document.
func (s *Section) Check(doc *strictconfig.Document, path string) {
	s.checkService(doc, path)
	if s.Export != nil {
		s.Export.check(doc, path+".export")
	}
	if s.Heartbeat != nil {
		s.Heartbeat.check(doc, path+".beat", s.TTL()-s.Guard())
	}
}

// checkService validates the settings of the coordination service and of the relay's session.
func (s *Section) checkService(doc *strictconfig.Document, path string) {
	if s.Cluster == "" || len(s.Cluster) >= coord.MaxNameSize {
		doc.AddError(path+".cluster", "must be a name of 1 to %d bytes", coord.MaxNameSize-1)
	}
	if members, err := api.ParseMembers(s.Members); err != nil {
		doc.AddError(path+".members", "%v", err)
	} else if len(members) == 0 || len(members) > coord.MaxMembers {
		doc.AddError(path+".members", "names %d members; must name 1 to %d", len(members), coord.MaxMembers)
	}
	if ttl := s.TTL(); ttl < coord.MinTTL || ttl > coord.MaxTTL {
		doc.AddError(path+".ttl_ms", "is %d; must be from %d to %d", s.TTLMillis, coord.MinTTL.Milliseconds(), coord.MaxTTL.Milliseconds())
	}
	if guard := s.Guard(); guard < 0 || guard > s.TTL()/guardDivisor {
		doc.AddError(path+".guard_ms", "is %d; must be from 0 to a quarter of ttl_ms", s.GuardMillis)
	}
}

func (e *Export) check(doc *strictconfig.Document, path string) {
	if e.Folder == "" {
		doc.AddError(path+".folder", "is missing")
	}
	if e.IntervalSeconds < 0 || e.IntervalSeconds > maxExportSeconds {
		doc.AddError(path+".every_s", "is %v; must be from 0 to %d", e.IntervalSeconds, maxExportSeconds)
	}
}

// check validates the heartbeat. validity is how long a lease is valid after each renewal.
func (h *Heartbeat) check(doc *strictconfig.Document, path string, validity time.Duration) {
	if u, err := url.Parse(h.URL); err != nil || u.Scheme != "http" || u.Host == "" {
		doc.AddError(path+".url", "%q is not an http:// address", h.URL)
	}
	if h.IntervalSeconds < 0 || h.IntervalSeconds > maxHeartbeatSeconds {
		doc.AddError(path+".every_s", "is %v; must be from 0 to %d", h.IntervalSeconds, maxHeartbeatSeconds)
	}
	longest := validity / timeoutDivisor
	if timeout := h.Timeout(); timeout <= 0 || timeout > longest {
		doc.AddError(path+".within_ms", "is %d; must be from 1 to %d, half the validity of a lease", h.TimeoutMillis, longest.Milliseconds())
	}
}
