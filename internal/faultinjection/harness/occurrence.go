package harness

// Occurrence names a situation that the runs of a soak must contain at least once for the soak to prove anything. Chance and
// the relays' behavior decide whether a run contains it. A soak prints the values.
type Occurrence string

// The occurrences that a run counts.
const (
	Terminated              Occurrence = "terminated"
	KilledAtGraceEnd        Occurrence = "killed at the grace's end"
	RequestAfterTermination Occurrence = "requests on open connections after SIGTERM"
	ReloadAroundTermination Occurrence = "SIGHUP with new settings around SIGTERM"
	RepeatedTermination     Occurrence = "SIGTERM again"
	TerminatedStarting      Occurrence = "terminated while starting"
	TerminatedInHandover    Occurrence = "terminated during a hand-over"
	KilledAfterAcceptance   Occurrence = "killed right behind a 202"
	RestartedAgain          Occurrence = "restarted again"
	Crowded                 Occurrence = "crowds"
	CrowdedHostile          Occurrence = "crowds of hostile clients"
	ShutdownWhileHanging    Occurrence = "shutdowns past a destination that hangs"
	StartWithoutDiscovery   Occurrence = "starts without discovery"
	WriteHeldUp             Occurrence = "writes held up"
	ExtraResponseWritten    Occurrence = "responses that nobody asked for"
)

// Occurrences returns all occurrences, in the order in which they are printed.
func Occurrences() []Occurrence {
	return []Occurrence{
		Terminated, KilledAtGraceEnd, RequestAfterTermination, ReloadAroundTermination, RepeatedTermination, TerminatedStarting,
		TerminatedInHandover, KilledAfterAcceptance, RestartedAgain, Crowded, ShutdownWhileHanging, StartWithoutDiscovery, WriteHeldUp,
		ExtraResponseWritten,
	}
}

// CrowdOccurrences returns the occurrences that the runs of a soak of crowds have to contain.
func CrowdOccurrences() []Occurrence {
	return []Occurrence{CrowdedHostile, Terminated, RequestAfterTermination, KilledAfterAcceptance, RestartedAgain}
}

// Missing returns the occurrences that none of the runs contained.
func Missing(runs ...map[Occurrence]int) (missing []Occurrence) {
	return MissingOf(Occurrences(), runs...)
}

// MissingOf returns those of the given occurrences that none of the runs contained.
func MissingOf(required []Occurrence, runs ...map[Occurrence]int) (missing []Occurrence) {
	for _, o := range required {
		total := 0
		for _, run := range runs {
			total += run[o]
		}
		if total == 0 {
			missing = append(missing, o)
		}
	}
	return missing
}
