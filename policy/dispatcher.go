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
	s         Settings
	now       time.Duration
	endpoints map[string]*endpoint
	dests     map[int]*destination
	active    []*queue // those with messages held or calls out
	queues    []*queue // in the order in which they were first seen
	messages  map[string]*message
	live      []*message // unfinished, in the order of arrival
	resting   []*message // over, but their keys rest
	keys      map[string][]*message
	out       int // calls out
	down      int // listed endpoints that are sick
	// unanswered is the share of calls out for stuckAfter mean latencies that had no success.
	unanswered float64
	seq        int
	turn       int
	meanWorth  float64
	resub      time.Duration // when to subscribe
	wakeAt     time.Duration // when the next timer is due; 0 for none
	stopping   bool          // send nothing more
	done       []*endpoint   // at which calls ended in this batch
	actions    []Action
	chance     *rand.Rand
	pools      map[int]*latencies // by kind of destination
}

// New returns a dispatcher that knows nothing yet. Settings that make no sense give an error.
func New(s Settings, seed int64) (*Dispatcher, error) {
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	d := &Dispatcher{
		s: s, endpoints: map[string]*endpoint{}, dests: map[int]*destination{},
		messages: map[string]*message{}, keys: map[string][]*message{},
		pools: map[int]*latencies{}, chance: rand.New(rand.NewPCG(uint64(seed), 0)), resub: never,
	}
	if s.WatchEndpoints {
		d.resub = 0 // at once
	}
	d.weighClasses()
	return d, nil
}

// UnhealthyEndpoints is how many listed endpoints are out: nothing goes there but trials.
func (d *Dispatcher) UnhealthyEndpoints() int { return d.down }

// Handle takes in the events of one batch and returns what is to be done, in order.
func (d *Dispatcher) Handle(now time.Duration, events []Event) []Action {
	d.now, d.actions = max(now, d.now), nil
	for _, m := range slices.Clone(d.resting) {
		d.retire(m)
	}
	var fresh []*message
	for _, e := range events {
		switch e := e.(type) {
		case Arrived:
			if m := d.take(e); m != nil {
				fresh = append(fresh, m)
			}
		case AttemptEnded:
			d.ended(e)
		case DeadlineExceeded:
			if m := d.messages[e.ID]; m != nil && !m.over {
				d.giveUp(m)
			}
		case Acknowledged:
			d.settle(e.ID)
		case Cancelled:
			d.withdraw(e.ID)
		case EndpointsChanged:
			d.listed(e)
		case WatchFailed:
			if d.s.WatchEndpoints {
				d.resub = d.now + subscribeAgain
			}
		case HealthRecovered:
			d.recall(e)
		case SettingsChanged:
			d.retune(e.Settings)
		case SnapshotRestored:
			d.inherit(e.Snapshot)
		case Quiesced:
			d.stopping = true
		case Resumed:
			d.stopping = false
		}
	}
	if d.now >= d.resub {
		d.resub = never
		d.act(WatchEndpoints{})
	}
	for _, m := range fresh {
		if !m.over {
			d.admit(m)
		}
	}
	d.expire()
	d.dispatch()
	d.closeIdle()
	d.reap()
	d.rest()
	d.arm()
	return d.actions
}

func (d *Dispatcher) act(a Action) { d.actions = append(d.actions, a) }
