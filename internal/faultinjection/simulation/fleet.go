package simulation

import (
	"math/rand/v2"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/scenario"
)

const (
	// drainTime after the last deadline a day ends, whatever is still open.
	drainTime = 5 * time.Second
	// sampleInterval is between samples of what destinations can execute.
	sampleInterval = time.Second
)

// fleet is a day that is being played.
type fleet struct {
	*Day
	virtualClock
	random       scenario.RandomStreams
	latency      *rand.Rand // of the network
	destinations []*destinationNode
	endpoints    map[string]*endpoint // by id
	relays       []*relay
	discovery    *discoveryService
	log          []checker.Event
	result       *Result

	completed    map[int]bool                 // by message number: it has its terminal outcome
	submitted    map[string]*scenario.Message // by request id
	executions   map[int]int                  // by message number, of those that must not be executed twice
	lastAttempt  int                          // the highest number of an attempt that reached an endpoint
	partition    int                          // the zone that is cut off, from 1; 0: none is
	unnoticed    []*endpoint                  // of connections that relays closed behind the partition
	harmShare    float64                      // of attempts
	leavingShare float64                      // of clients
}

// Play plays a day to its end. It fails where the scenario's settings are none that a relay accepts.
func Play(day *Day) (*Result, error) { return newFleet(day).play() }

func newFleet(day *Day) *fleet {
	f := &fleet{
		Day: day, random: scenario.NewRandomStreams(day.Seed), endpoints: map[string]*endpoint{}, completed: map[int]bool{},
		submitted: map[string]*scenario.Message{}, executions: map[int]int{}, result: &Result{Relays: day.Scenario.Relays},
	}
	f.latency = f.random.Stream("network")
	f.discovery = &discoveryService{fleet: f, Discovery: day.Discovery, watchers: map[*relay]int{}}
	for i := range day.Scenario.Destinations {
		f.addDestination(i)
	}
	for i := range day.Scenario.Relays {
		f.relays = append(f.relays, newRelay(f, i))
	}
	return f
}

func (f *fleet) play() (*Result, error) {
	for _, r := range f.relays {
		if err := r.start(); err != nil {
			return nil, err
		}
	}
	messages := f.Scenario.Messages(f.random)
	f.result.Messages = len(messages)
	f.schedule(messages)
	f.runUntil(f.end())
	f.summarize(messages)
	f.check()
	return f.result, nil
}

// schedule schedules all that is known ahead.
func (f *fleet) schedule(messages []*scenario.Message) {
	for _, m := range messages {
		f.at(m.At, func() { f.submit(m, 0) })
	}
	for _, fault := range f.Faults {
		f.at(fault.At, func() { f.apply(fault) })
	}
	for at := time.Duration(0); at < scenario.Seconds(f.Scenario.Length); at += sampleInterval {
		f.at(at, f.sampleCapacity)
	}
}

// end returns when the day ends.
func (f *fleet) end() time.Duration {
	length := scenario.Seconds(f.Scenario.Length)
	end := length
	for _, c := range f.Scenario.Classes {
		end = max(end, length+scenario.Seconds(c.Deadline)+drainTime)
	}
	return end
}

// relaysFrom returns a share of the relays, beginning at a share of them.
func (f *fleet) relaysFrom(first, share float64) []*relay {
	const rounding = 1e-9 // 0.3 + 0.1 of 10 is 4
	index := func(share float64) int { return min(len(f.relays), int(share*float64(len(f.relays))+rounding)) }
	return f.relays[index(first):index(first+share)]
}
