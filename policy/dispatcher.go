package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// never is later than any time that occurs.
const never = time.Duration(math.MaxInt64)

// Dispatcher makes the decisions of one relay. It does no I/O and reads no clock. It is not safe
// for concurrent use.
type Dispatcher struct {
	settings           Settings
	meanPriorityWeight float64       // of the classes in the settings
	now                time.Duration // time of the current batch; never decreases
	random             *rand.Rand
	quiesced           bool     // send no calls
	actions            []Action // of the current batch

	endpoints      map[string]*endpoint // listed endpoints, by ID
	unhealthyCount int                  // listed endpoints that are unhealthy
	destinations   map[int]*destination
	queues         []*queue // of all destinations, in order of creation
	activeQueues   []*queue // queues with messages queued or calls in flight
	kindLatency    map[int]*latencyStats

	messages    map[string]*message // by ID
	unfinished  []*message          // without a terminal outcome, in order of arrival
	arrivals    []*message          // messages of the current batch that await admission
	lastSeq     int                 // sequence number of the newest message
	orderKeys   map[string][]*message
	coolingDown []*message // completed, but their order keys are still blocked

	inFlight        int         // calls in flight
	unansweredShare float64     // moving average: share of the calls overdue by stuckFactor that did not succeed
	idleCandidates  []*endpoint // endpoints at which calls ended in the current batch

	watchAt time.Duration // when to request a watch of the endpoint list
	timerAt time.Duration // when the most recently requested timer is due; 0 if none was requested
}

// New returns a Dispatcher without endpoints or messages. If a setting has no usable value, the
// error wraps a *SettingError. The seed determines all random choices: with the same seed, the same
// events give the same actions.
func New(s Settings, seed int64) (*Dispatcher, error) {
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	d := &Dispatcher{
		settings:     s,
		random:       rand.New(rand.NewPCG(uint64(seed), 0)),
		endpoints:    map[string]*endpoint{},
		destinations: map[int]*destination{},
		kindLatency:  map[int]*latencyStats{},
		messages:     map[string]*message{},
		orderKeys:    map[string][]*message{},
		watchAt:      never,
	}
	if s.WatchEndpoints {
		d.watchAt = 0 // in the first batch
	}
	d.updateMeanPriorityWeight()
	return d, nil
}

// UnhealthyEndpoints returns the number of listed endpoints that are unhealthy, to which only trial
// requests are sent.
func (d *Dispatcher) UnhealthyEndpoints() int { return d.unhealthyCount }

// Handle applies a batch of events and returns the resulting actions, to be carried out in order.
// If now is earlier than the time of the last batch, the time of the last batch is used.
func (d *Dispatcher) Handle(now time.Duration, events []Event) []Action {
	d.now, d.actions = max(now, d.now), nil
	d.endKeyCooldowns()
	for _, e := range events {
		d.apply(e)
	}
	d.watchEndpoints()
	d.admitArrivals()
	d.expireQueued()
	d.dispatch()
	d.rejectUnsentBackground()
	d.closeIdleConns()
	d.cancelStuck()
	d.deactivateQueues()
	d.armTimer()
	return d.actions
}

// apply updates the state with an event. Admission and sending are decided after the whole batch is
// applied. A type switch, unlike a method of the events, does not force their allocation.
func (d *Dispatcher) apply(e Event) {
	switch e := e.(type) {
	case Arrived:
		d.accept(e)
	case AttemptEnded:
		d.attemptEnded(e)
	case ResponseUnconfirmed:
		d.responseUnconfirmed(AttemptEnded(e))
	case DeadlineExceeded:
		d.deadlineExceeded(e.ID)
	case Acknowledged:
		d.acknowledge(e.ID)
	case MessageCanceled:
		d.cancelMessage(e.ID)
	case EndpointsChanged:
		d.applyEndpoints(e)
	case WatchFailed:
		d.retryWatch()
	case HealthRecovered:
		d.recoverHealth(e)
	case SnapshotRestored:
		d.restoreSnapshot(e.Snapshot)
	case SettingsChanged:
		d.applySettings(e.Settings)
	case Quiesced:
		d.quiesced = true
	case Resumed:
		d.quiesced = false
	case TimerFired: // no state of its own: every batch checks which times have passed
	}
}

// emit appends an action to the actions of the current batch.
func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }
