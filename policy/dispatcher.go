package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	never = time.Duration(math.MaxInt64)
)

// Dispatcher decides for one relay. It is not safe for concurrent use.
type Dispatcher struct {
	settings       Settings
	now            time.Duration
	endpoints      map[string]*endpoint
	destinations   map[int]*destination
	activeQueues   []*queue // those with messages held or calls out
	queues         []*queue // in the order in which they were first seen
	messages       map[string]*message
	unfinished     []*message // unfinished, in the order of arrival
	coolingDown    []*message // over, but their keys rest
	orderKeys      map[string][]*message
	inFlight       int // calls out
	unhealthyCount int // listed endpoints that are sick
	// unansweredShare is the share of calls out for stuckAfter mean latencies that had no success.
	unansweredShare    float64
	lastSeq            int
	turn               int
	meanPriorityWeight float64
	watchAt            time.Duration // when to subscribe
	timerAt            time.Duration // when the next timer is due; 0 for none
	quiesced           bool          // send nothing more
	idleCandidates     []*endpoint   // at which calls ended in this batch
	actions            []Action
	random             *rand.Rand
	kindLatency        map[int]*latencyStats // by kind of destination
}

// New returns a dispatcher that knows nothing yet. Settings that make no sense give an error.
func New(s Settings, seed int64) (*Dispatcher, error) {
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	d := &Dispatcher{
		settings: s, endpoints: map[string]*endpoint{}, destinations: map[int]*destination{},
		messages: map[string]*message{}, orderKeys: map[string][]*message{},
		kindLatency: map[int]*latencyStats{}, random: rand.New(rand.NewPCG(uint64(seed), 0)), watchAt: never,
	}
	if s.WatchEndpoints {
		d.watchAt = 0 // at once
	}
	d.updateMeanPriorityWeight()
	return d, nil
}

// UnhealthyEndpoints is how many listed endpoints are out: nothing goes there but trials.
func (d *Dispatcher) UnhealthyEndpoints() int { return d.unhealthyCount }

// Handle takes in the events of one batch and returns what is to be done, in order.
func (d *Dispatcher) Handle(now time.Duration, events []Event) []Action {
	d.now, d.actions = max(now, d.now), nil
	for _, m := range slices.Clone(d.coolingDown) {
		d.evict(m)
	}
	var fresh []*message
	for _, e := range events {
		switch e := e.(type) {
		case Arrived:
			if m := d.accept(e); m != nil {
				fresh = append(fresh, m)
			}
		case AttemptEnded:
			d.attemptEnded(e)
		case DeadlineExceeded:
			if m := d.messages[e.ID]; m != nil && !m.over {
				d.giveUp(m)
			}
		case Acknowledged:
			d.acknowledge(e.ID)
		case Cancelled:
			d.cancelMessage(e.ID)
		case EndpointsChanged:
			d.applyEndpoints(e)
		case WatchFailed:
			if d.settings.WatchEndpoints {
				d.watchAt = d.now + watchRetryDelay
			}
		case HealthRecovered:
			d.recoverHealth(e)
		case SettingsChanged:
			d.applySettings(e.Settings)
		case SnapshotRestored:
			d.restoreSnapshot(e.Snapshot)
		case Quiesced:
			d.quiesced = true
		case Resumed:
			d.quiesced = false
		}
	}
	if d.now >= d.watchAt {
		d.watchAt = never
		d.emit(WatchEndpoints{})
	}
	for _, m := range fresh {
		if !m.over {
			d.admit(m)
		}
	}
	d.expireQueued()
	d.dispatch()
	d.closeIdleConns()
	d.cancelStuck()
	d.deactivateQueues()
	d.armTimer()
	return d.actions
}

func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }
