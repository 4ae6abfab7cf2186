package destination

// Mode determines how an endpoint responds to attempts.
type Mode int

// The modes. In ModeRefusing and the modes after it an endpoint is down: no attempt gets a response.
const (
	ModeServing      Mode = iota
	ModeOverloaded        // rejects every attempt
	ModeFailing           // responds to a share of the attempts with an error
	ModeRefusing          // refuses new connections; open ones are reset when the mode begins
	ModeUnresponsive      // accepts connections and never responds
	ModeUnreachable       // no connection is established, as with a machine that has disappeared from the network
)

func (m Mode) isDown() bool { return m >= ModeRefusing }

// executes reports whether an endpoint in this mode executes attempts.
func (m Mode) executes() bool { return m == ModeServing || m == ModeFailing }
