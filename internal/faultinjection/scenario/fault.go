package scenario

import "slices"

// Fault is something that goes wrong, or changes, at a time of the run. [FaultKind] says which of the fields each kind uses.
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
	Over            float64   `toml:"over_s"`   // the time over which endpoints are replaced
	ReusedAddresses float64   `toml:"reused"`   // fraction of new endpoints that get the address of one that was removed
	RestartDelay    float64   `toml:"back_s"`   // until a relay is started again
	Mode            string    `toml:"how"`      // of a discovery outage, one of the DiscoveryX constants
	Classes         []string  `toml:"classes"`  // of the settings from then on
	MaxAttempts     int       `toml:"attempts"` // of the settings from then on
	Corruption      string    `toml:"broken"`   // of a settings file, one of the CorruptionX constants
	IdleCallers     int       `toml:"callers"`  // connections to the admin endpoint that send nothing
	StaysWarm       bool      `toml:"warm"`     // the destination is not cold after the outage
	ClockStep       float64   `toml:"by_s"`     // seconds by which the wall clock is stepped; negative: back
	Syscall         string    `toml:"call"`     // the system call that fails, a key of SocketSyscalls
	Errno           string    `toml:"errno"`    // the error that it returns, a name that Errno knows
	Signals         string    `toml:"signals"`  // around a shutdown or handover, one of the SignalsX constants
	RestartAgain    float64   `toml:"again_s"`  // the process is replaced the same way so long after the next one is ready; 0: once only
	AfterAcceptance bool      `toml:"behind"`   // the process is killed right after it has accepted a request
}

// Series of signals around a graceful shutdown, or around a handover.
const (
	// SignalsReload is SIGHUP with new settings right before SIGTERM, and both again and again until the process has ended.
	SignalsReload = "reload"
	// SignalsRepeated is SIGTERM twice at once.
	SignalsRepeated = "repeated"
	// SignalsStarting is SIGTERM also to the next process while it starts and reads its journal.
	SignalsStarting = "starting"
	// SignalsStuck is a shutdown that hangs before its end: the process is suspended, and killed when its time is up.
	SignalsStuck = "stuck"
	// SignalsHandover is SIGTERM to the predecessor while its successor takes over.
	SignalsHandover = "handover"
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

// IsOutage reports whether a fault is an outage of its destination's endpoints, after which they are cold.
func (f *Fault) IsOutage() bool { return faultKinds[f.Kind].outage }

// isActive reports whether a fault with a duration holds at a time.
func (f *Fault) isActive(at float64) bool { return at >= f.At && at < f.At+f.Duration }

// overlaps reports whether two faults with durations hold at one time.
func (f *Fault) overlaps(other *Fault) bool {
	return f.At < other.At+other.Duration && other.At < f.At+f.Duration
}

// Upgrades reports whether relay processes are upgraded.
func (s *Scenario) Upgrades() bool { return s.hasFault(FaultUpgrade) }

// StepsClocks reports whether relays' wall clocks are stepped.
func (s *Scenario) StepsClocks() bool { return s.hasFault(FaultClockStep) }

// FailsSyscalls reports whether system calls of relays are made to fail.
func (s *Scenario) FailsSyscalls() bool {
	return s.hasFault(FaultSyscallErrors) || s.hasFault(FaultDiskErrors)
}

func (s *Scenario) hasFault(kind FaultKind) bool {
	return slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.Kind == kind })
}
