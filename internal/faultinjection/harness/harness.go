package harness

import (
	"context"
	"sync"

	"frostlink/internal/faultinjection/faults"
	"frostlink/internal/faultinjection/scenario"
)

// harness is the state of one run: its relays, and the stand-ins around them.
type harness struct {
	scenario *scenario.Scenario
	random   scenario.RandomStreams
	options  Options
	workDir  string          // deleted after the run
	ctx      context.Context // of the whole run; its end stops the faults and clients, which continue after the calls that start them return

	*recorder
	launcher       *faults.Launcher
	loopback       *faults.Loopback // assigns all addresses of the run; nil before open
	clockLibrary   string           // path of the library that steps relays' wall clocks; empty: the scenario steps none
	syscallLibrary string           // path of the library that makes relays' system calls fail; empty: the scenario makes none fail
	coordination   coordination
	ledger         *ledger
	destinations   []*destinationServer
	discovery      *discoveryServer
	relays         []*relay
	balancer       *loadBalancer
	clients        *clientPool
	network        *network
	extra          *extraResponses
	earlyEnds      *earlyEnds
	timeline       []string
	background     sync.WaitGroup // goroutines that must end before the run does
}

func newHarness(ctx context.Context, s *scenario.Scenario, o Options, workDir string) *harness {
	h := &harness{
		scenario: s, random: scenario.NewRandomStreams(o.Seed), options: o, workDir: workDir, ctx: ctx,
		recorder: newRecorder(), launcher: faults.NewLauncher(),
	}
	h.extra, h.earlyEnds = newExtraResponses(h.random), newEarlyEnds(h.random)
	return h
}
