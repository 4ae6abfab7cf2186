package relay

import (
	"time"

	"frostlink/internal/discovery"
	"frostlink/internal/journal"
	"frostlink/internal/upstream"
)

// The events of the keeper.
type (
	// kept says that the store has messages, or knows that they were delivered.
	kept struct{ ids []string }
	// storeKnows says which store knows from now on all that is delivered.
	storeKnows struct {
		name   string
		misses int // that it knows of
	}
)

// The events that goroutines send the loop.
type (
	// answered is the end of a call, or says that it is parked.
	answered struct {
		id      string
		attempt int
		host    string
		took    time.Duration
		made    bool // it was given to the pool
		upstream.Result
	}
	// timeUp says that a message's time is up while the answer to its call is still listened to.
	timeUp struct{ id string }
	// told is a list, or a change of it.
	told struct {
		discovery.EndpointList
		from string // the discovery that told it
	}
	// watchEnded says that the watch on discovery ended or could not be had.
	watchEnded struct{ lines int }
	// received says that the platform has notices.
	received struct{ ids []string }
	// stopSending says that the process is about to end, and serveOn that it is not.
	stopSending struct{}
	serveOn     struct{}
	// question asks whether anything is still to be done.
	question struct{ idle chan bool }
	// refusedUnread says that a message was refused for want of room to read it.
	refusedUnread struct{ class string }
	// reconfigured says that a configuration was read again, or could not be used (nil).
	reconfigured struct{ cfg *Config }
)

// The events of resends.
type (
	// resend is an undelivered message that is to be sent again, under a new id.
	resend struct {
		entry *journal.Entry
	}
	// holds asks whether a resend is held under an id.
	holds struct {
		id     string
		answer chan bool // room for one
	}
)
