package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// never is later than every moment.
const never = time.Duration(math.MaxInt64)

// Dispatcher decides for one relay. It does no I/O and reads no clock. It is not safe for
// concurrent use.
type Dispatcher struct {
	settings           Settings
	meanPriorityWeight float64       // of the classes in the settings
	now                time.Duration // of the batch; never goes back
	random             *rand.Rand
	quiesced           bool     // send nothing more
	actions            []Action // of this batch

	endpoints      map[string]*endpoint // listed ones, by ID
	unhealthyCount int                  // of them
	destinations   map[int]*destination
	queues         []*queue // of all destinations, in the order in which they were first seen
	activeQueues   []*queue // those with messages queued or calls in flight
	kindLatency    map[int]*latencyStats

	messages    map[string]*message // by ID
	unfinished  []*message          // without a terminal outcome, in order of arrival
	arrivals    []*message          // of this batch, for admission
	lastSeq     int                 // sequence number of the latest message
	orderKeys   map[string][]*message
	coolingDown []*message // completed, but their order keys are still blocked

	inFlight        int         // calls in flight
	unansweredShare float64     // share of the calls overdue by stuckFactor that had no success
	idleCandidates  []*endpoint // those at which calls ended in this batch

	watchAt time.Duration // when to ask for a watch of the endpoint list
	timerAt time.Duration // when the latest timer is due; 0 for none
}

// New returns a dispatcher that knows nothing yet. The error is a *SettingError for a setting
// without a usable value. The seed decides all random choices: the same events give the same
// actions.
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
		d.watchAt = 0 // at once
	}
	d.updateMeanPriorityWeight()
	return d, nil
}

// UnhealthyEndpoints returns how many listed endpoints are unhealthy: they get nothing but trial
// requests.
func (d *Dispatcher) UnhealthyEndpoints() int { return d.unhealthyCount }

// Handle applies the events of one batch and returns what is to be done, in order. A time before
// that of the last batch counts as that.
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
	d.closeIdleConns()
	d.cancelStuck()
	d.deactivateQueues()
	d.armTimer()
	return d.actions
}

// apply updates the state by an event. What to do about it is decided once the whole batch is
// applied. It is a type switch, so that a batch of events need not be allocated.
func (d *Dispatcher) apply(e Event) {
	switch e := e.(type) {
	case Arrived:
		d.accept(e)
	case AttemptEnded:
		d.attemptEnded(e)
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
	case TimerFired: // every batch decides by the clock
	}
}

// emit adds an action to those of the batch.
func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }
