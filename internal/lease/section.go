package lease

import (
	"time"

	"mallowlead/internal/coord"
	"mallowlead/internal/coord/api"
	"mallowlead/internal/strict"
)

// Section is [coordination] of the operator's file.
type Section struct {
	Cluster string   `toml:"cluster"`
	Members []string `toml:"members"` // ID=HOST:PORT
	TTLMS   int      `toml:"ttl_ms"`  // of a relay's session; 0: DefaultTTL
	GuardMS int      `toml:"guard_ms"`
}

// The defaults.
const (
	DefaultTTL   = 3 * time.Second
	DefaultGuard = 50 * time.Millisecond
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
func (s *Section) Check(doc *strict.Doc, at string) {
	if s.Cluster == "" || len(s.Cluster) >= coord.MostName {
		doc.Bad(at+".cluster", "is no name of 1 to %d bytes", coord.MostName-1)
	}
	if members, err := api.ParseMembers(s.Members); err != nil {
		doc.Bad(at+".members", "%v", err)
	} else if len(members) == 0 || len(members) > coord.MostMembers {
		doc.Bad(at+".members", "names %d members; 1 to %d are wanted", len(members), coord.MostMembers)
	}
	if ttl := s.TTL(); ttl < coord.MinTTL || ttl > coord.MaxTTL {
		doc.Bad(at+".ttl_ms", "is %d; %d to %d are wanted", s.TTLMS, coord.MinTTL.Milliseconds(), coord.MaxTTL.Milliseconds())
	}
	if guard := s.Guard(); guard < 0 || guard > s.TTL()/4 {
		doc.Bad(at+".guard_ms", "is %d; 0 to a quarter of ttl_ms are wanted", s.GuardMS)
	}
}
