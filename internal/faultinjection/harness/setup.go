package harness

import (
	"context"
	"errors"
	"slices"
	"sync"

	"frostlink/internal/faultinjection/faults"
	"frostlink/internal/faultinjection/scenario"
)

// setUp starts the stand-ins and the relays, fills the dead-letter stores, and returns the messages that clients submit.
func (h *harness) setUp(ctx context.Context) ([]*scenario.Message, error) {
	if err := h.open(); err != nil {
		return nil, err
	}
	messages := h.scenario.Messages(h.random)
	backlog := h.scenario.BacklogMessages(h.random, len(messages), h.scenario.Relays*h.scenario.Relay.DeadLetterBacklog)
	h.clients = newClientPool(h, append(slices.Clone(messages), backlog...))
	if err := h.fillStores(backlog); err != nil {
		return nil, err
	}
	if err := h.startRelays(ctx); err != nil {
		return nil, err
	}
	return messages, nil
}

// open prepares the relays, without starting their processes, and starts the stand-ins around them.
func (h *harness) open() error {
	h.ledger = newLedger()
	h.balancer = newLoadBalancer(h)
	var err error
	if h.loopback, err = faults.NewLoopback(); err != nil {
		return err
	}
	if err := h.buildFaultLibraries(); err != nil {
		return err
	}
	if err := h.openRelays(); err != nil {
		return err
	}
	if err := h.openDestinations(); err != nil {
		return err
	}
	if err := h.openCoordination(); err != nil {
		return err
	}
	if h.discovery, err = newDiscoveryServer(h); err != nil {
		return err
	}
	h.network, err = newNetwork(h)
	return err
}

// buildFaultLibraries builds the libraries that inject the scenario's faults into processes.
func (h *harness) buildFaultLibraries() (err error) {
	if h.scenario.StepsClocks() {
		if h.clockLibrary, err = faults.BuildWallClockLibrary(h.workDir); err != nil {
			return err
		}
	}
	if h.scenario.FailsSyscalls() {
		if h.syscallLibrary, err = faults.BuildSyscallLibrary(h.workDir); err != nil {
			return err
		}
	}
	return nil
}

func (h *harness) openRelays() error {
	for number := range h.scenario.Relays {
		relay, err := newRelay(h, number)
		if err != nil {
			return err
		}
		h.relays = append(h.relays, relay)
	}
	return nil
}

func (h *harness) openDestinations() error {
	for number := range h.scenario.Destinations {
		destination := newDestinationServer(h, number)
		h.destinations = append(h.destinations, destination)
		for index := range h.scenario.Destinations[number].Endpoints {
			endpoint, err := destination.newEndpoint(index, nil)
			if err != nil {
				return err
			}
			destination.endpoints = append(destination.endpoints, endpoint)
		}
	}
	return nil
}

// startRelays starts all relays at once, and waits until they are ready.
func (h *harness) startRelays(ctx context.Context) error {
	errs := make([]error, len(h.relays))
	var starting sync.WaitGroup
	for i, relay := range h.relays {
		starting.Go(func() { errs[i] = relay.start(ctx) })
	}
	starting.Wait()
	return errors.Join(errs...)
}

// close ends all processes, servers and goroutines that the run started.
func (h *harness) close(stop context.CancelFunc) {
	stop()
	h.finishRelays()
	if h.discovery != nil {
		h.discovery.close()
	}
	if h.network != nil {
		h.network.close()
	}
	for _, destination := range h.destinations {
		destination.close()
	}
	if h.clients != nil {
		h.clients.close()
	}
	h.background.Wait()
	h.finishRelays() // again, since a fault may have restarted a relay in the meantime
	for _, member := range h.coordination.members {
		if err := member.Kill(); err != nil {
			h.recordFailure("%v", err)
		}
	}
	h.launcher.Close()
	if h.loopback != nil {
		if err := h.loopback.Close(); err != nil {
			h.recordFailure("%v", err)
		}
	}
}

func (h *harness) finishRelays() {
	for _, relay := range h.relays {
		relay.finish()
	}
}
