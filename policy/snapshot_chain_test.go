package policy

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	chainSeeds    = 60
	chainSteps    = 400
	chainKeys     = 4
	chainCooldown = 700 * ms
)

// handoverChain runs a sequence of processes that hand over to each other during cooldowns of order
// keys, and records until when each key is blocked.
type handoverChain struct {
	random       *rand.Rand
	settings     Settings
	dispatcher   *Dispatcher
	now          time.Duration
	arrived      int
	open         map[string]string        // order key of each message whose attempt is in flight
	unacked      map[string]string        // order key of each message whose outcome is not acknowledged
	queued       map[string]string        // order key of each accepted message without an attempt
	blockedUntil map[string]time.Duration // by order key
	handovers    int
}

// In a sequence of processes, each of which hands over before the cooldowns from its predecessor
// have ended, every cooldown is kept, even across new settings and timers, and no process panics.
func TestSnapshot_ChainOfHandoversKeepsCooldowns(t *testing.T) {
	handovers := 0
	for seed := range uint64(chainSeeds) {
		c := newHandoverChain(t, seed)
		for range chainSteps {
			c.step(t)
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
		handovers += c.handovers
	}
	if handovers < chainSeeds {
		t.Errorf("only %d hand-overs in all seeds, want at least one per seed", handovers)
	}
}

func newHandoverChain(t *testing.T, seed uint64) *handoverChain {
	t.Helper()
	s := testSettings()
	s.OrderKeyCooldown, s.AwaitAcknowledgement, s.MaxInFlight = chainCooldown, true, 50
	return &handoverChain{
		random: rand.New(rand.NewPCG(seed, 0)), settings: s, dispatcher: newDispatcher(t, s, Endpoint{ID: "a"}),
		open: map[string]string{}, unacked: map[string]string{}, queued: map[string]string{}, blockedUntil: map[string]time.Duration{},
	}
}

// step advances the time and applies a random event or a hand-over.
func (c *handoverChain) step(t *testing.T) {
	t.Helper()
	c.now += time.Duration(c.random.IntN(120)) * ms
	var events []Event
	switch c.random.IntN(12) {
	case 0, 1, 2, 3:
		c.arrived++
		id := fmt.Sprint("m", c.arrived)
		key := fmt.Sprint("k", c.random.IntN(chainKeys))
		c.queued[id] = key
		events = append(events, Arrived{ID: id, Class: 2, TimeLeft: time.Hour, OrderKey: key})
	case 4, 5, 6:
		if id, key, ok := c.take(c.open); ok {
			c.unacked[id] = key
			c.blockedUntil[key] = c.now + chainCooldown
			events = append(events, ended(id, ConnectionReset))
		}
	case 7, 8:
		if id, _, ok := c.take(c.unacked); ok {
			events = append(events, Acknowledged{ID: id})
		}
	case 9:
		c.settings.Classes = append(c.settings.Classes[:3:3], Class{Name: "later", Deadline: time.Second, PriorityWeight: 1})
		events = append(events, SettingsChanged{Settings: c.settings})
	case 10:
		events = append(events, TimerFired{})
	case 11:
		c.handOver(t)
		return
	}
	c.handle(t, events)
}

// take removes a random message from a set, and returns it with its order key.
func (c *handoverChain) take(messages map[string]string) (id, key string, ok bool) {
	if len(messages) == 0 {
		return "", "", false
	}
	id = slices.Sorted(maps.Keys(messages))[c.random.IntN(len(messages))]
	key = messages[id]
	delete(messages, id)
	return id, key, true
}

// handle applies events and checks that no attempt starts during the cooldown of its order key.
func (c *handoverChain) handle(t *testing.T, events []Event) {
	t.Helper()
	for _, a := range c.dispatcher.Handle(c.now, events) {
		send, ok := a.(Send)
		if !ok {
			continue
		}
		key := c.queued[send.ID]
		delete(c.queued, send.ID)
		c.open[send.ID] = key
		if c.now < c.blockedUntil[key] {
			t.Errorf("%v: %s sent during the cooldown of its order key, which ends at %v", c.now, send.ID, c.blockedUntil[key])
		}
	}
}

// handOver replaces the process. The snapshot is encoded to its stored form and decoded again.
func (c *handoverChain) handOver(t *testing.T) {
	t.Helper()
	raw, err := json.Marshal(c.dispatcher.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	snapshot := &Snapshot{}
	if err := json.Unmarshal(raw, snapshot); err != nil {
		t.Fatal(err)
	}
	c.handovers++
	next, err := New(c.settings, int64(c.handovers))
	if err != nil {
		t.Fatal(err)
	}
	c.dispatcher = next
	events := []Event{EndpointsChanged{Full: true, Endpoints: []Endpoint{{ID: "a"}}}, SnapshotRestored{Snapshot: snapshot}}
	for _, id := range slices.Sorted(maps.Keys(c.unacked)) {
		key := c.unacked[id]
		events = append(events, Arrived{ID: id, Class: 2, OrderKey: key, Recovered: true, OutcomeDecided: true})
	}
	for _, id := range slices.Sorted(maps.Keys(c.open)) {
		key := c.open[id]
		events = append(events, Arrived{
			ID: id, Class: 2, TimeLeft: time.Hour, OrderKey: key, Recovered: true,
			PriorAttempts: []PriorAttempt{{Endpoint: "a", SentAt: c.now, InFlight: true}},
		})
	}
	for _, id := range slices.Sorted(maps.Keys(c.queued)) {
		key := c.queued[id]
		events = append(events, Arrived{ID: id, Class: 2, TimeLeft: time.Hour, OrderKey: key, Recovered: true})
	}
	c.handle(t, events)
}
