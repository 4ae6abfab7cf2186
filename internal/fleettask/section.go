// Package fleettask is the work that is the whole fleet's: each task is done by one relay at a time, under a lease.
package fleettask

import (
	"net/url"
	"time"

	"frostlink/internal/coord"
	"frostlink/internal/coord/api"
	"frostlink/internal/strictconfig"
)

// Section is [coordination] of the operator's file.
type Section struct {
	Cluster string   `toml:"cluster"`
	Members []string `toml:"members"` // ID=HOST:PORT
	TTLMS   int      `toml:"ttl_ms"`  // of a relay's session; 0: DefaultTTL
	GuardMS int      `toml:"guard_ms"`
	Resend  bool     `toml:"resend"` // the rate of a rule for undelivered messages is the fleet's, not each relay's
	Beat    *Beat    `toml:"beat"`
	Export  *Export  `toml:"export"`
}

// Beat is [coordination.beat]: one relay of the fleet tells a monitor that the fleet lives.
type Beat struct {
	URL      string  `toml:"url"`
	EveryS   float64 `toml:"every_s"`   // between beats; 0: DefaultBeat
	WithinMS int     `toml:"within_ms"` // that the monitor takes for one; 0: DefaultWithin
}

// Export is [coordination.export]: what all relays keep as undelivered is collected into one folder that all of them see.
type Export struct {
	Folder string  `toml:"folder"`
	EveryS float64 `toml:"every_s"` // between looks for something new; 0: DefaultExport
}

// Every is the time between looks.
func (e *Export) Every() time.Duration {
	if e.EveryS == 0 {
		return DefaultExport
	}
	return time.Duration(e.EveryS * float64(time.Second))
}

// The defaults.
const (
	DefaultTTL   = 3 * time.Second
	DefaultGuard = 50 * time.Millisecond

	DefaultBeat   = 10 * time.Second
	DefaultWithin = 500 * time.Millisecond
	DefaultExport = time.Minute
)

// TTL is the time to live of a relay's session.
func (s *Section) TTL() time.Duration { return orElse(s.TTLMS, DefaultTTL) }

// Guard is how long before its end a lease is given up.
func (s *Section) Guard() time.Duration { return orElse(s.GuardMS, DefaultGuard) }

func orElse(ms int, other time.Duration) time.Duration {
	if ms == 0 {
		return other
	}
	return time.Duration(ms) * time.Millisecond
}

// Check tells what is wrong in the section.
func (s *Section) Check(doc *strictconfig.Document, at string) {
	if s.Cluster == "" || len(s.Cluster) >= coord.MaxNameSize {
		doc.AddError(at+".cluster", "is no name of 1 to %d bytes", coord.MaxNameSize-1)
	}
	if members, err := api.ParseMembers(s.Members); err != nil {
		doc.AddError(at+".members", "%v", err)
	} else if len(members) == 0 || len(members) > coord.MaxMembers {
		doc.AddError(at+".members", "names %d members; 1 to %d are wanted", len(members), coord.MaxMembers)
	}
	if ttl := s.TTL(); ttl < coord.MinTTL || ttl > coord.MaxTTL {
		doc.AddError(at+".ttl_ms", "is %d; %d to %d are wanted", s.TTLMS, coord.MinTTL.Milliseconds(), coord.MaxTTL.Milliseconds())
	}
	if guard := s.Guard(); guard < 0 || guard > s.TTL()/4 {
		doc.AddError(at+".guard_ms", "is %d; 0 to a quarter of ttl_ms are wanted", s.GuardMS)
	}
	if s.Export != nil {
		if s.Export.Folder == "" {
			doc.AddError(at+".export.folder", "is missing")
		}
		if s.Export.EveryS < 0 || s.Export.EveryS > 24*3600 {
			doc.AddError(at+".export.every_s", "is %v; 0 to 86400 are wanted", s.Export.EveryS)
		}
	}
	if s.Beat != nil {
		s.Beat.check(doc, at+".beat", s.TTL()-s.Guard())
	}
}

// Every is the time between beats.
func (b *Beat) Every() time.Duration {
	if b.EveryS == 0 {
		return DefaultBeat
	}
	return time.Duration(b.EveryS * float64(time.Second))
}

// Within is how long one may take.
func (b *Beat) Within() time.Duration { return orElse(b.WithinMS, DefaultWithin) }

func (b *Beat) check(doc *strictconfig.Document, at string, lasts time.Duration) {
	if u, err := url.Parse(b.URL); err != nil || u.Scheme != "http" || u.Host == "" {
		doc.AddError(at+".url", "%q is no http:// address", b.URL)
	}
	if b.EveryS < 0 || b.EveryS > 3600 {
		doc.AddError(at+".every_s", "is %v; 0 to 3600 are wanted", b.EveryS)
	}
	if within := b.Within(); within <= 0 || within > lasts/2 {
		doc.AddError(at+".within_ms", "is %d; 1 to half of what a lease lasts, %d, are wanted", b.WithinMS, (lasts / 2).Milliseconds())
	}
}
