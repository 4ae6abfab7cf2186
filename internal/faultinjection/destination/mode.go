package destination

// Mode is how an endpoint responds.
type Mode int

// The modes. From ModeRefusing on an endpoint is down: no attempt gets a response.
const (
	ModeServing      Mode = iota
	ModeOverloaded        // rejects every attempt
	ModeFailing           // responds to a share of its attempts with an error
	ModeRefusing          // refuses connections; open ones were reset
	ModeUnresponsive      // accepts connections and never responds
	ModeUnreachable       // like a machine that vanished: no connection is established
)

func (m Mode) isDown() bool { return m >= ModeRefusing }

// executes reports whether an endpoint in this mode executes attempts.
func (m Mode) executes() bool { return m == ModeServing || m == ModeFailing }
