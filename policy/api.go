package policy

import "time"

// Effect says what a second execution of a message would do.
type Effect int

// The effects of a class.
const (
	Safe   Effect = iota // may be repeated at will
	Keyed                // the destination drops a repeat while it remembers the key
	Unsafe               // must never run twice
)

// Outcome says how one attempt ended.
type Outcome int

// The outcomes of an attempt. QueueFull, ConnectError and Ignored prove that it never ran.
const (
	OK           Outcome = iota // delivered
	Failed                      // answered with an error
	QueueFull                   // turned away: above the limit, queue full, shut or draining
	TimedOut                    // no answer in time
	ConnectError                // no connection
	Reset                       // the connection broke while the attempt was out
	Canceled                    // called off by this dispatcher
	Ignored                     // never sent: no slot, no time or no attempts left
)

// Weights says what an endpoint's weight holds.
type Weights int

// The meanings of a weight.
const (
	WeightsOff     Weights = iota // nothing
	WeightsNominal                // calls a second the destination (or route) takes from all relays
	WeightsRough                  // the same, up to half too high or too low
)

// Class is one class of message.
type Class struct {
	Name      string        `json:"Name"`
	Aim       time.Duration `json:"Aim"`      // full worth up to here
	Deadline  time.Duration `json:"Deadline"` // given up after this
	Worth     float64       `json:"Worth"`
	LateShare float64       `json:"LateShare"` // share of the worth left at the deadline
	Halving   bool          `json:"Halving"`   // the worth halves with each further Aim instead of falling evenly
	Effect    Effect        `json:"Effect"`
	ByZone    bool          `json:"ByZone"`  // Keyed: only endpoints of one zone share the memory of a key
	Memory    time.Duration `json:"Memory"`  // Keyed: how long a key is remembered
	Ordered   bool          `json:"Ordered"` // messages with one key go one at a time, in order
	// Retired: the settings have it no more. It keeps its number for messages that were taken on under it.
	Retired bool `json:"Retired"`
}

// Kind is one kind of destination.
type Kind struct {
	Separate bool // its endpoints are routes apart, each with its own limit, pace and outages
	Bundle   int  // messages in one call at most
}

// Settings is all that a dispatcher is told at its start.
type Settings struct {
	Instances      int // relays that share the traffic, this one included
	Zone           int // of this relay, as in Endpoint
	Classes        []Class
	Kinds          []Kind
	ZoneFee        []float64 // by zone: points of the result for all messages sent by such routes
	Slots          int       // calls out at once
	HoldRoom       int       // messages held, sent or not
	MaxAttempts    int
	SecondCopies   bool // two attempts of a message may be out at once
	CanCancel      bool
	Subscribe      bool // list changes come only after Subscribe
	Weights        Weights
	Tick           time.Duration // least time between batches
	MaxStayAway    time.Duration // longest hold-off that a client honours
	ColdShare      float64       // share of its capacity that a destination has after an outage
	RampTime       time.Duration // and all of it after this
	OverloadFactor float64       // sent more than this multiple of its present capacity
	OverloadFor    time.Duration // for this long, a cold destination falls over
	ConnIdle       time.Duration // idle connections close by themselves after this; 0 for never
	OrderPause     time.Duration // rest of a key after an attempt that may still run
	// Settles says that ends take a while to be known where they are owed, and that Settled tells when they are: until then
	// the next message of the key waits.
	Settles bool
}

// Endpoint is one entry of the list of endpoints.
type Endpoint struct {
	ID          string
	Destination int
	Kind        int
	Zone        int
	Weight      float64
	Draining    bool // send nothing new
	Gone        bool // removed
}

// Report is a load report of a destination.
type Report struct {
	Left  float64 // share of the allowance that is left
	Limit float64 // calls a second; 0 where there is no limit
}

// Tried is an attempt that an earlier process of this relay made.
type Tried struct {
	Endpoint string
	Sent     time.Duration
	Unrun    bool // proved never to have run
	// Open says that the attempt is still out, and that its end will be told: the process took the place of another that
	// handed it its connections. Only the last attempt of a message can be.
	Open bool
}

// Event is something that happened to a dispatcher.
type Event interface{ event() }

// The events.
type (
	// Arrived hands in a message. It has to end exactly once.
	Arrived struct {
		ID          string
		Class       int
		Destination int
		Left        time.Duration // until it is given up
		Key         string        // of ordered classes, or empty
		// Terms are those of its class as it was taken on, where that may have changed since; nil: as in the settings.
		Terms *Class
		// Resumed says that an earlier process of this relay took the message on: it is not up for
		// admission again. Tried are that process's attempts, which count as this one's.
		Resumed bool
		Tried   []Tried
		// Decided, of a resumed one, says that its end is given and still to be known where it is owed: Settled tells.
		Decided bool
		// Background says that it waited elsewhere until nothing else was wanted there, and can do so again: it is
		// refused unless it can go at once, and after one attempt that did not deliver it.
		Background bool
	}
	// Ended reports how an attempt ended.
	Ended struct {
		ID       string
		Endpoint string
		Attempt  int
		Outcome  Outcome
		Wait     time.Duration // told to wait
		Took     time.Duration
		Over     bool    // the message has its final answer
		Spent    bool    // the message has had all its attempts
		Doubtful bool    // it may have run, whatever the outcome proves elsewhere
		Report   *Report // or nil
	}
	// Expired says that a message's time is up while it is out: its end is due, and that of its attempt is still to be told.
	Expired struct{ ID string }
	// Settled says that the end which was given a message is known where it was owed.
	Settled struct{ ID string }
	// Withdrawn says that nobody wants a message any more; no answer is owed.
	Withdrawn struct{ ID string }
	// Listed changes the list of endpoints, or replaces it when Whole.
	Listed struct {
		Whole     bool
		Endpoints []Endpoint
	}
	// ListFailed says that a subscription failed or was dropped.
	ListFailed struct{}
	// Recalled tells what an earlier process of this relay remembered of a listed endpoint.
	Recalled Remember
	// Inherited tells what the process before had learned, whose place this one takes. It comes after the list and before
	// messages.
	Inherited struct{ Memory *Memory }
	// Retuned replaces the settings. Their classes must come from Merge: those that were there keep their numbers.
	// Messages taken on before keep the terms of their class, and what a stricter effect forbids is forbidden too.
	Retuned struct{ Settings Settings }
	// Stopping says that this process is about to end: nothing more is sent. Serving takes that back.
	Stopping struct{}
	Serving  struct{}
	// Woken says that a timer fell due.
	Woken struct{}
)

func (Arrived) event()    {}
func (Ended) event()      {}
func (Expired) event()    {}
func (Settled) event()    {}
func (Withdrawn) event()  {}
func (Listed) event()     {}
func (ListFailed) event() {}
func (Recalled) event()   {}
func (Inherited) event()  {}
func (Retuned) event()    {}
func (Stopping) event()   {}
func (Serving) event()    {}
func (Woken) event()      {}

// Action is something that a dispatcher wants done.
type Action interface{ action() }

// The actions.
type (
	// Send starts the next attempt of a message; Timeout 0 leaves it out until the deadline. Where Within is not 0, its
	// last byte may leave within that time only: later, an earlier attempt's effect is not remembered any more. One that
	// can't is Ignored.
	Send struct {
		ID       string
		Endpoint string
		Timeout  time.Duration
		Within   time.Duration
	}
	// Refuse ends a message undelivered; the client may safely come again.
	Refuse struct {
		ID       string
		StayAway time.Duration
	}
	// Fail ends a message; the client is told nothing of its effect.
	Fail struct{ ID string }
	// Cancel ends the wait on an attempt.
	Cancel struct {
		ID      string
		Attempt int
	}
	// Unsend takes an attempt back if nothing of it has left, as while its connection is made: its destination has told to
	// wait, or its endpoint drains or is gone. It ends as Ignored then; one that has left goes on.
	Unsend struct {
		ID      string
		Attempt int
	}
	// CloseIdle closes the idle connections of this relay to an endpoint.
	CloseIdle struct{ Endpoint string }
	// Wake asks for Woken.
	Wake struct{ After time.Duration }
	// Subscribe asks for changes of the list.
	Subscribe struct{}
	// Remember is what a later process of this relay has to know of an endpoint: that it is out, or when
	// it came back.
	Remember struct {
		Endpoint string
		Sick     bool
		At       time.Duration
	}
)

func (Send) action()      {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Cancel) action()    {}
func (Unsend) action()    {}
func (CloseIdle) action() {}
func (Wake) action()      {}
func (Subscribe) action() {}
func (Remember) action()  {}
