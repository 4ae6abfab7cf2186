package scenario

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

const (
	// soakBegin and soakQuiet bound when faults of a soak begin: from the first second on, and not in the last ones, so that relays
	// are up again when the run ends.
	soakBegin, soakQuiet = 1.0, 2.5
	// soakRate is the messages a second for each relay of a soak.
	soakRate = 3.0
	// soakPartners is how many partners a soak has.
	soakPartners = 10
	// soakStream parts a soak's draws from those of the run.
	soakStream = 0x736f616b
)

// soakHead is what all soaks share: a class of each effect with short deadlines, one in order, and bounded waits.
const soakHead = `version = 1
name = "soak-%d"
about = "random faults that overlap, drawn from seed %d"
seed = %d
length_s = %v
relays = %d

[load]
rate = %v
clumps = 0.05

[[class]]
name = "payment"
share = 0.35
worth = 2
aim_s = 1.5
deadline_s = 4
effect = "keyed"
memory_s = 5
service_ms = 60

[[class]]
name = "order"
share = 0.25
worth = 2
aim_s = 1.5
deadline_s = 3
effect = "unsafe"
service_ms = 60

[[class]]
name = "status"
share = 0.25
aim_s = 1.5
deadline_s = 4
effect = "safe"
service_ms = 60

[[class]]
name = "deed"
share = 0.15
aim_s = 2
deadline_s = 4
effect = "safe"
ordered = true
keys = 60
service_ms = 40
`

// soak writes the text of one.
type soak struct {
	strings.Builder
	rng    *rand.Rand
	length float64
}

// SoakScenario draws a rehearsal from a seed in which so many relays meet random faults that overlap: killed, ended, stopped and replaced
// processes, stepped clocks, failing system calls and folders, partners that are out, slow or reset connections, a register that is
// away and a network that splits. The text is that of a script.
func SoakScenario(seed int64, relays int, length float64) string {
	s := &soak{rng: rand.New(rand.NewPCG(uint64(seed), soakStream)), length: length}
	fmt.Fprintf(s, soakHead, seed, seed, seed, length, relays, soakRate*float64(relays))
	for i := range soakPartners {
		s.partner(i, relays)
	}
	for i := range relays {
		s.relay(i + 1)
	}
	if s.chance(0.4) {
		s.event("register", "for_s", s.span(0.5, 3), "how", s.of("503", "reset", "silent"))
	}
	if s.chance(0.4) {
		s.event("loss", "for_s", s.span(1, 4), "share", 0.5)
	}
	return s.String()
}

// partner draws a partner that carries its part of the load with room to spare, and what it meets.
func (s *soak) partner(i, relays int) {
	slots := 3 + relays/4
	fmt.Fprintf(s, "\n[[partner]]\nname = \"p%d\"\nshare = %v\nendpoints = %d\nslots = %d\nqueue = %d\n", i, s.span(0.5, 2), 1+s.rng.IntN(3), slots, 4*slots)
	if s.chance(0.3) {
		fmt.Fprintf(s, "tells = \"wait\"\nlimit = { count = %d, span_s = 1 }\n", 2+relays/2)
	}
	name := fmt.Sprintf("p%d", i)
	if s.chance(0.5) {
		what := s.of("refuse", "shut", "silent", "gone", "failing").(string)
		extra := []any{"partner", name, "for_s", s.span(0.5, 4)}
		if what == "failing" {
			extra = append(extra, "share", 0.9)
		}
		s.event(what, extra...)
	}
	if s.chance(0.3) {
		s.event("reset", "partner", name, "for_s", s.span(0.5, 4), "share", s.span(0.1, 0.6))
	}
	if s.chance(0.3) {
		s.event("slow", "partner", name, "for_s", s.span(0.5, 3), "factor", s.span(3, 12))
	}
	if s.chance(0.2) {
		s.event("pause", "partner", name, "for_s", s.span(0.2, 1))
	}
}

// relay draws what a relay meets. Its process is ended or stopped once at most, so that what became of it can be told; all else overlaps.
func (s *soak) relay(number int) {
	for s.chance(0.4) {
		s.event("clock_step", "relay", number, "by_s", s.of(0.5, -0.5, 5.0, -5.0, 60.0, -60.0, 3600.0, -3600.0))
	}
	switch {
	case s.chance(0.35):
		s.event("kill", "relay", number, "back_s", s.span(0.3, 1))
	case s.chance(0.15):
		s.event("term", "relay", number)
	case s.chance(0.15):
		s.event("hang", "relay", number, "for_s", s.span(0.2, 1.5))
	}
	if s.chance(0.3) {
		s.event("disk_errors", "relay", number, "for_s", s.span(0.5, 3), "errno", s.of("ENOSPC", "EIO", "EROFS", "EDQUOT"), "share", s.of(0.2, 0.5, 1.0))
	}
	if s.chance(0.15) {
		s.event("disk_errors", "relay", number, "for_s", s.span(0.5, 3), "errno", "SHORT", "share", 0.5)
	}
	for s.chance(0.35) {
		s.syscalls(number)
	}
}

// syscalls draws a failing system call.
func (s *soak) syscalls(number int) {
	errnos := map[string][]any{
		"accept":  {"ENOBUFS", "ENFILE", "ECONNABORTED", "EPROTO", "ENETDOWN"},
		"connect": {"ENETUNREACH", "EADDRNOTAVAIL", "ENOBUFS", "ECONNREFUSED", "EHOSTUNREACH"},
		"socket":  {"ENFILE", "ENOBUFS", "ENOMEM"},
		"wait":    {"EINTR"},
	}
	call := s.of("accept", "connect", "socket", "wait", "read", "write").(string)
	errno, share := any("SHORT"), s.span(0.1, 0.5)
	if of, ok := errnos[call]; ok {
		errno = s.of(of...)
	} else if s.chance(0.4) { // a connection that is broken, and no longer there for the other side either
		errno, share = s.of("ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET"), 0.02
	}
	s.event("syscall_errors", "relay", number, "for_s", s.span(0.5, 3), "call", call, "errno", errno, "share", share)
}

// event writes an event of a kind at a time that is drawn, with further keys and values.
func (s *soak) event(what string, keys ...any) {
	fmt.Fprintf(s, "\n[[event]]\nat_s = %.3f\nwhat = %q\n", soakBegin+s.rng.Float64()*(s.length-soakBegin-soakQuiet), what)
	for i := 0; i < len(keys); i += 2 {
		if text, ok := keys[i+1].(string); ok {
			fmt.Fprintf(s, "%s = %q\n", keys[i], text)
		} else {
			fmt.Fprintf(s, "%s = %v\n", keys[i], keys[i+1])
		}
	}
}

func (s *soak) chance(p float64) bool { return s.rng.Float64() < p }

// of draws one of several.
func (s *soak) of(list ...any) any { return list[s.rng.IntN(len(list))] }

// span draws a number from a span, to three places.
func (s *soak) span(low, high float64) float64 {
	return float64(int(1000*(low+s.rng.Float64()*(high-low)))) / 1000
}
