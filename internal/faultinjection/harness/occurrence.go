package harness

// Occurrence is something that a run has to contain to be worth something, and may not, since it goes by chance or by the relays. The
// values are what a soak prints.
type Occurrence string

// What a run counts.
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
	ShutdownWhileHanging    Occurrence = "shutdowns past a destination that hangs"
	StartWithoutDiscovery   Occurrence = "starts without discovery"
	WriteHeldUp             Occurrence = "writes held up"
)

// Occurrences are all of them, in the order in which they are printed.
func Occurrences() []Occurrence {
	return []Occurrence{
		Terminated, KilledAtGraceEnd, RequestAfterTermination, ReloadAroundTermination, RepeatedTermination, TerminatedStarting,
		TerminatedInHandover, KilledAfterAcceptance, RestartedAgain, Crowded, ShutdownWhileHanging, StartWithoutDiscovery, WriteHeldUp,
	}
}

// Missing returns those that no run contained.
func Missing(runs ...map[Occurrence]int) (missing []Occurrence) {
	for _, o := range Occurrences() {
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
