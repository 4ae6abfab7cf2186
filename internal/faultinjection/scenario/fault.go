package scenario

import "slices"

// Fault is a failure or a change at a time of the run. The constants of type [FaultKind] are its kinds; each kind uses some of the
// fields.
type Fault struct {
	At              float64   `toml:"at_s,required"`
	Kind            FaultKind `toml:"what,required"`
	Duration        float64   `toml:"for_s"`
	Destination     string    `toml:"partner"`
	Endpoint        int       `toml:"endpoint"` // from 1; 0: all
	Relay           int       `toml:"relay"`    // from 1; 0: all
	Relays          []int     `toml:"relays"`   // one side of a network partition
	Factor          float64   `toml:"factor"`
	Share           float64   `toml:"share"`
	RampTime        float64   `toml:"rise_s"`
	DrainTime       float64   `toml:"drain_s"`
	ReplacementTime float64   `toml:"over_s"`   // time over which the replacements of the endpoints are spread
	ReusedAddresses float64   `toml:"reused"`   // fraction of new endpoints that get the address of a removed endpoint
	RestartDelay    float64   `toml:"back_s"`   // time until a relay is started again
	Mode            string    `toml:"how"`      // how discovery fails during its outage, one of the DiscoveryX constants
	Classes         []string  `toml:"classes"`  // the classes in the settings from then on
	MaxAttempts     int       `toml:"attempts"` // the attempt limit in the settings from then on
	Corruption      string    `toml:"broken"`   // how the settings file is corrupted, one of the CorruptionX constants
	IdleCallers     int       `toml:"callers"`  // callers that hold connections: to the admin endpoint, sending nothing, or, as a crowd, to the relay
	StaysWarm       bool      `toml:"warm"`     // the destination has its full capacity right after the outage
	Hostile         bool      `toml:"hostile"`  // the callers of a crowd write slowly, stop half way, or send very many header fields
	ClockStep       float64   `toml:"by_s"`     // seconds by which the wall clock is stepped; negative: backwards
	Syscall         string    `toml:"call"`     // the system call that fails, a key of SocketSyscalls
	Errno           string    `toml:"errno"`    // the error that the system call returns, a name that Errno accepts
	Signals         string    `toml:"signals"`  // series of signals around a shutdown or hand-over, one of the SignalsX constants
	RestartAgain    float64   `toml:"again_s"`  // time after the new process is ready until that process is replaced in the same way; 0: no second replacement
	AfterAcceptance bool      `toml:"behind"`   // the process is killed right after it accepts a request
	ExtraForm       string    `toml:"form"`     // what is written although nobody asked for it, one of the ExtraX constants
	ExtraSource     string    `toml:"source"`   // who writes it, one of the SourceX constants; "": SourceDestinations
	Delay           Range     `toml:"delay_ms"` // time from a response to what is written after it
	Status          int       `toml:"status"`   // HTTP status of an early end: 410, or 504; 0: 410
	WhileBusy       bool      `toml:"busy"`     // it is written even if the endpoint has a request in hand by then
	Transit         Range     `toml:"way_ms"`   // time that the network takes in each direction, drawn once for each endpoint
}

// Series of signals around a graceful shutdown or a hand-over.
const (
	// SignalsReload is SIGHUP with new settings right before SIGTERM, and both repeated until the process has ended.
	SignalsReload = "reload"
	// SignalsRepeated is SIGTERM twice in immediate succession.
	SignalsRepeated = "repeated"
	// SignalsStarting is SIGTERM, and another SIGTERM to the next process while that process starts and reads its journal.
	SignalsStarting = "starting"
	// SignalsStuck is a shutdown that hangs: the process is suspended before it ends, and killed when the time for the shutdown is
	// up.
	SignalsStuck = "stuck"
	// SignalsHandover is SIGTERM to the predecessor while its successor takes over.
	SignalsHandover = "handover"
)

// What is written after a response although nobody asked for it.
const (
	ExtraCopy    = "copy"    // the response once more
	ExtraHalf    = "half"    // the first half of the response
	ExtraRefusal = "503"     // a rejection
	ExtraTimeout = "408"     // the response of a server that has waited too long for a request
	ExtraInterim = "interim" // an informational response
	ExtraNoise   = "noise"   // bytes that are no response
	// ExtraEarly is a rejection that is written before the request has been read, which then does not execute. It is the request's own.
	ExtraEarly = "early"
)

// Who writes responses that nobody asked for.
const (
	SourceDestinations = "partners"
	SourcePlatform     = "platform" // copies of the acknowledgements of notifications
	SourceDiscovery    = "register" // copies of the lists of a watch
)

// How discovery fails while it is down.
const (
	DiscoveryUnavailable  = "503"
	DiscoveryResets       = "reset"
	DiscoveryUnresponsive = "silent"
)

// How a settings file is corrupted.
const (
	CorruptionEmpty      = "empty"
	CorruptionTruncated  = "cut"
	CorruptionMissingKey = "lacking"
	CorruptionZeroValue  = "zero"
)

// IsOutage reports whether a fault is an outage of its destination's endpoints. After an outage they are cold unless StaysWarm is
// set.
func (f *Fault) IsOutage() bool { return faultKinds[f.Kind].outage }

// isActive reports whether a fault with a duration is active at a time.
func (f *Fault) isActive(at float64) bool { return at >= f.At && at < f.At+f.Duration }

// overlaps reports whether two faults with durations are active at the same time.
func (f *Fault) overlaps(other *Fault) bool {
	return f.At < other.At+other.Duration && other.At < f.At+f.Duration
}

// Upgrades reports whether the scenario upgrades relay processes.
func (s *Scenario) Upgrades() bool { return s.hasFault(FaultUpgrade) }

// StepsClocks reports whether the scenario steps wall clocks of relays.
func (s *Scenario) StepsClocks() bool { return s.hasFault(FaultClockStep) }

// FailsSyscalls reports whether the scenario makes system calls of relays fail.
func (s *Scenario) FailsSyscalls() bool {
	return s.hasFault(FaultSyscallErrors) || s.hasFault(FaultDiskErrors)
}

func (s *Scenario) hasFault(kind FaultKind) bool {
	return slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.Kind == kind })
}
