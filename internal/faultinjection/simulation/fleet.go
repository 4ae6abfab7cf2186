package simulation

import (
	"math/rand/v2"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/scenario"
)

const (
	// drainTime is how long after the last deadline a day ends, even if requests are still open.
	drainTime = 5 * time.Second
	// sampleInterval is the time between samples of the destinations' capacity.
	sampleInterval = time.Second
)

// fleet is the state of a run of a day.
type fleet struct {
	*Day
	virtualClock
	random       scenario.RandomStreams
	latency      *rand.Rand // random numbers for network latency
	destinations []*destinationNode
	endpoints    map[string]*endpoint // by id
	relays       []*relay
	discovery    *discoveryService
	log          []checker.Event
	result       *Result

	completed    map[int]bool                 // by message number: whether it has its terminal outcome
	submitted    map[string]*scenario.Message // by request id
	executions   map[int]int                  // by message number, for messages that must not be executed twice
	lastAttempt  int                          // the highest number of an attempt that reached an endpoint
	partition    int                          // number of the zone that is cut off, plus 1; 0: no partition
	unnoticed    []*endpoint                  // the endpoint of each connection that a relay closed during the partition; the endpoints notice the closes only after the partition
	harmShare    float64                      // share of attempts that a fault of the network affects
	copiedShare  float64                      // share of responses that endpoints write twice
	endedShare   float64                      // share of messages that are over at their first attempt
	endedEarly   map[string]bool              // by request id: the message is over, and endpoints answer each attempt so
	leavingShare float64                      // share of clients that disconnect before the response
}

// Play runs a day to its end and checks it. It returns an error if the scenario's settings are not valid for a relay.
func Play(day *Day) (*Result, error) { return newFleet(day).play() }

func newFleet(day *Day) *fleet {
	f := &fleet{
		Day: day, random: scenario.NewRandomStreams(day.Seed), endpoints: map[string]*endpoint{}, completed: map[int]bool{},
		endedEarly: map[string]bool{}, submitted: map[string]*scenario.Message{}, executions: map[int]int{}, result: &Result{Relays: day.Scenario.Relays},
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

// schedule schedules the submissions, the faults and the capacity samples.
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

// end returns the time at which the day ends.
func (f *fleet) end() time.Duration {
	length := scenario.Seconds(f.Scenario.Length)
	end := length
	for _, c := range f.Scenario.Classes {
		end = max(end, length+scenario.Seconds(c.Deadline)+drainTime)
	}
	return end
}

// relaysFrom returns consecutive relays. first, the position of the first one, and share, their number, are fractions of all relays.
func (f *fleet) relaysFrom(first, share float64) []*relay {
	const rounding = 1e-9 // makes up for floating-point errors: (0.7 + 0.1) * 10 is slightly below 8
	index := func(share float64) int { return min(len(f.relays), int(share*float64(len(f.relays))+rounding)) }
	return f.relays[index(first):index(first+share)]
}
