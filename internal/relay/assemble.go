package relay

import (
	"context"
	"fmt"
	"net"
	"os"

	"frostlink/internal/clock"
	"frostlink/internal/discovery"
	"frostlink/internal/fleettask"
	"frostlink/internal/frontend"
	front "frostlink/internal/frontend/http1"
	"frostlink/internal/journal"
	"frostlink/internal/notification"
	"frostlink/internal/settings"
	"frostlink/internal/trace"
	"frostlink/internal/upstream/http1"
	"frostlink/policy"
)

// assemble creates all parts of a relay without starting them.
func (n *node) assemble(j *journal.Journal) error {
	cfg := n.cfg
	cfg.addRetiredClasses(j)
	dispatcher, err := policy.New(cfg.policy, cfg.seed)
	if err != nil {
		return err
	}
	l := n.newLoop(dispatcher, j)
	l.watch = newWatcher(n.running, l)
	l.trace = trace.New(cfg.traceSection(), os.Stderr)
	l.watch.OnSubscribe = func() { l.trace.Record(l.now(), trace.Event{Kind: trace.WatchRequested}) }
	l.notifier = notification.New(cfg.Discovery, func(ids []string) { l.send(noticesAcknowledged{ids}) })
	n.deadLetters = newDeadLetterLink(n.running, l)
	l.subsystems = []subsystem{n.deadLetters}
	if err := n.joinFleet(); err != nil {
		return err
	}
	n.loop = l
	n.frontend = n.newFrontend(l)
	l.setValidator = n.frontend.SetValidator
	if n.listener, err = openListener(cfg); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return nil
}

func (n *node) newLoop(dispatcher *policy.Dispatcher, j *journal.Journal) *loop {
	l := &loop{
		cfg: n.cfg, dispatcher: dispatcher, journal: j, inbox: make(chan event, inboxSize),
		timeline: j.Timeline(), clockSteps: clock.NewStepDetector(j.Timeline()),
		metrics: n.metrics, violations: n.violations, extra: &n.admin.extra, doubtful: &n.admin.doubtful, mode: n.mode, detached: map[string]*net.TCPConn{},
		requests: map[string]*request{}, endpoints: map[string]discovery.Endpoint{}, destinations: map[int]bool{},
		listPending: make(chan struct{}, 1),
		pool:        http1.New(settings.Seconds(n.cfg.Settings.Limits.ConnectTimeoutS), n.cfg.policy.IdleConnTimeout, n.cfg.maxEndpointConns()),
	}
	l.pool.OnWritten = func() { l.metrics.AttemptsSent.Add(1) }
	l.pool.OnExtraResponse = func(e http1.ExtraResponse) { go l.send(extraResponseNoticed(e)) } // the loop may wait for the pool's lock
	return l
}

// newWatcher returns a watcher whose lists the loop gets one at a time, until ctx ends.
func newWatcher(ctx context.Context, l *loop) *discovery.Watcher {
	onList := func(list discovery.EndpointList, from string) {
		select {
		case l.listPending <- struct{}{}: // the loop has applied the list before
			l.send(endpointsUpdated{list, from})
		case <-ctx.Done():
		}
	}
	watch := discovery.NewWatcher(l.cfg.Discovery, onList, func(lists int) { l.send(watchEnded{lists}) })
	watch.MaxEndpoints = l.cfg.maxEndpoints()
	relays := l.cfg.Settings.Instances
	if l.cfg.hasOwnEndpointList() {
		relays = 1 // no other relay polls this list
	}
	watch.ShareWith(relays, l.cfg.seed)
	return watch
}

func (n *node) newFrontend(l *loop) *front.Server {
	cfg := front.Config{
		Validator: n.cfg.validator(), Mode: n.mode, MemoryMB: n.cfg.Limits.MemoryMB, MaxConns: n.cfg.maxClientConns(),
		MaxPending:   n.cfg.maxPendingClientConns(),
		MaxIdleConns: n.cfg.maxIdleClientConns(), HasSpace: l.hasJournalSpace,
		OnClose: func(why string) { l.traceEvent(trace.Event{Kind: trace.ConnClosed, Reason: why}) },
	}
	return front.New(cfg,
		func(s *frontend.Submission) { l.send(submissionReceived{s}) },
		func(s *frontend.Submission) { l.send(submissionShed{s}) })
}

// joinFleet makes the relay take part in the fleet tasks, if the operator's file has a section for them.
func (n *node) joinFleet() (err error) {
	if n.cfg.OperatorFile == nil || n.cfg.OperatorFile.Coordination == nil {
		return nil
	}
	n.fleet, err = fleettask.New(n.cfg.OperatorFile.Coordination, n.cfg.Name, n.deadLetters.openStore)
	if err != nil {
		return err
	}
	if gate := n.fleet.ResendGate(); gate != nil && n.deadLetters.writer != nil {
		n.deadLetters.writer.gate = gate
	}
	return nil
}

// start starts all parts. predecessor is the state that a predecessor has handed over, or nil.
func (n *node) start(predecessor *handoverState) {
	l := n.loop
	l.restore(n.running, predecessor) // before Serve, so that no submission arrives earlier
	l.publishJournalSpace()
	n.goroutines.Go(func() { l.run(n.running) })
	n.goroutines.Go(func() { l.watch.Run(n.running) })
	n.goroutines.Go(func() { l.notifier.Run(n.running) })
	for _, s := range l.subsystems {
		n.goroutines.Go(func() { s.run(n.running) })
	}
	if n.fleet != nil {
		var ctx context.Context
		ctx, n.stopTasks = context.WithCancel(n.running)
		n.goroutines.Go(func() { n.fleet.Run(ctx) })
	}
	go func() { n.serveErr <- n.frontend.Serve(n.listener) }()
}
