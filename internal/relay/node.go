package relay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"

	"golang.org/x/sys/unix"

	"frostlink/internal/admin"
	"frostlink/internal/clock"
	"frostlink/internal/discovery"
	"frostlink/internal/fleettask"
	"frostlink/internal/frontend"
	front "frostlink/internal/frontend/http1"
	"frostlink/internal/handover"
	"frostlink/internal/invariant"
	"frostlink/internal/journal"
	"frostlink/internal/notification"
	"frostlink/internal/servingmode"
	"frostlink/internal/settings"
	"frostlink/internal/socket"
	"frostlink/internal/trace"
	"frostlink/internal/upstream/http1"
	"frostlink/policy"
)

// openListener gives the clients' listening socket: the one that the platform holds and hands to every process, or one of our
// own. Closing it ends this process's hold alone.
func openListener(cfg *Config) (net.Listener, error) {
	if cfg.ListenFD <= 0 {
		return socket.Listen(cfg.Listen)
	}
	// The descriptor itself stays open: if a process that took over dies, this one listens again.
	fd, err := unix.FcntlInt(uintptr(cfg.ListenFD), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", cfg.ListenFD, err)
	}
	f := os.NewFile(uintptr(fd), "clients' socket")
	defer f.Close() // what follows has a descriptor of its own
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", cfg.ListenFD, err)
	}
	return l, nil
}

// journalMemoryFraction of the memory is what the journal may take at most: files count as memory, and what the file
// holds is held in memory as well.
const journalMemoryFraction = 0.15

// errSuccessorDied says that the process which took over has died before this one was to end: it is to run again, from the
// journal.
var errSuccessorDied = errors.New("the process that took over has died")

// node is one process's relay with all that it is wired of.
type node struct {
	cfg               *Config
	dir               string
	configuredClasses []policy.Class // as the configuration has them
	mode              *servingmode.Mode
	metrics           *admin.Metrics
	violations        *invariant.Counts
	admin             *adminEndpoint
	fleet             *fleettask.Fleet // its part of the fleet's tasks; nil: it has none
	stopTasks         func()           // gives back what of them it holds; nil: it has none
	shutdownRequested context.Context  // until the platform has told the process to end
	running           context.Context
	stop              context.CancelFunc
	goroutines        sync.WaitGroup
	serveErr          chan error

	predecessor *handoverState // of the process before; nil: there was none
	loop        *loop
	frontend    *front.Server
	listener    net.Listener
	quiesced    *quiescedNode // nil: it is not
}

// Run runs a relay until ctx ends, and then brings it to an orderly end: it goes on serving for as long as
// clients may still come, and leaves what is not delivered by then to the journal in dir. Where another process runs on
// that folder, it takes over from that one, and it hands over to one that comes later. Configurations that come from
// reread change its settings and move it to another discovery; all else in them is for the next start.
func Run(ctx context.Context, cfg *Config, dir string, reread <-chan Reading) error {
	if err := cfg.validateOperatorFile(); err != nil {
		return err
	}
	stance, book, violated := &servingmode.Mode{}, admin.NewMetrics(cfg.classNames()), &invariant.Counts{}
	door, err := openAdminEndpoint(cfg, stance, book, violated)
	if err != nil {
		return err
	}
	defer door.close()
	for {
		n := &node{
			cfg: cfg, dir: dir, configuredClasses: cfg.policy.Classes, mode: stance, metrics: book, violations: violated, admin: door,
			serveErr: make(chan error, 1),
		}
		if err := n.run(ctx, reread); !errors.Is(err, errSuccessorDied) {
			return err
		}
		cfg = n.loop.cfg // with the settings in force
	}
}

// run runs a relay to its end, or until it was handed over.
func (n *node) run(ctx context.Context, reread <-chan Reading) error {
	n.shutdownRequested = ctx
	n.running, n.stop = context.WithCancel(context.Background())
	defer n.stop()
	owner, err := handover.Acquire(ctx, n.dir, n)
	if ctx.Err() != nil && n.loop == nil {
		return nil // told to end before it had anything
	}
	if err != nil {
		return err
	}
	defer owner.Release()
	n.admin.startServing(n.frontend)
	ends := make(chan handover.Outcome, 1)
	go func() { ends <- owner.Serve(ctx.Done(), n) }()
	discoveryAt := n.cfg.Discovery
	for {
		select {
		case err := <-n.serveErr:
			if err != nil {
				return fmt.Errorf("serve: %w", err)
			}
			n.serveErr = nil // the listener was closed by us
		case r := <-reread:
			if n.running.Err() != nil {
				continue // it is the next process's
			}
			n.loop.send(reconfigured{r.Config})
			if r.Err != nil {
				continue
			}
			slog.Info("configuration read again", "discovery", r.Config.Discovery, "classes", r.Config.classNames())
			if r.Config.Discovery != discoveryAt {
				discoveryAt = r.Config.Discovery
				n.loop.notifier.SetAddress(discoveryAt) // first: who sees the watch move may rely on it
				n.loop.watch.SetAddress(discoveryAt)
			}
		case end := <-ends:
			n.admin.serving.Store(false)
			switch end {
			case handover.SuccessorDied:
				return errSuccessorDied
			case handover.HandedOver:
				n.flushResponses()
				return nil
			}
			n.drain()
			n.stop()
			n.goroutines.Wait()
			return n.loop.journal.Close()
		}
	}
}

// assemble makes all parts of a relay, and starts none.
func (n *node) assemble(kept *journal.Journal) error {
	cfg := n.cfg
	cfg.addRetiredClasses(kept)
	d, err := policy.New(cfg.policy, cfg.seed)
	if err != nil {
		return err
	}
	s := cfg.Settings
	l := &loop{
		cfg: cfg, dispatcher: d, journal: kept, inbox: make(chan any, inboxSize), timeline: kept.Timeline(), clockSteps: clock.NewStepDetector(kept.Timeline()), attemptContext: n.running,
		metrics: n.metrics, violations: n.violations, mode: n.mode, detached: map[string]*net.TCPConn{},
		requests: map[string]*request{}, endpoints: map[string]discovery.Endpoint{}, destinations: map[int]bool{},
		pool: http1.New(settings.Seconds(s.Limits.ConnTimeoutS), cfg.policy.IdleConnTimeout, cfg.maxEndpointConns()),
	}
	l.pool.OnWritten = func() { l.metrics.AttemptsSent.Add(1) }
	l.watch = discovery.NewWatcher(cfg.Discovery, func(m discovery.EndpointList, from string) { l.send(told{m, from}) },
		func(lines int) { l.send(watchEnded{lines}) })
	share := s.NInstances
	if cfg.hasOwnEndpointList() {
		share = 1 // what is asked is this relay's own
	}
	l.watch.ShareWith(share, cfg.seed)
	l.trace = trace.New(cfg.traceSection(), os.Stderr)
	l.watch.OnSubscribe = func() { l.trace.Record(l.now(), trace.Event{Kind: trace.WatchRequested}) }
	l.notifier = notification.New(cfg.Discovery, func(ids []string) { l.send(received{ids}) })
	if cfg.deadLetterSection() != nil {
		l.lastArrival = kept.LastArrival()
		l.writer = newDeadLetterWriter(cfg, kept.Store(), kept.Timeline(), func(e any) {
			select {
			case l.inbox <- e:
			case <-n.running.Done(): // nobody takes events any more
			}
		})
	}
	if cfg.Own != nil && cfg.Own.Coordination != nil {
		if n.fleet, err = fleettask.New(cfg.Own.Coordination, cfg.Name, l.deadLetterStore); err != nil {
			return err
		}
		if gate := n.fleet.Resend(); gate != nil && l.writer != nil {
			l.writer.gate = gate
		}
	}
	n.loop = l
	n.frontend = front.New(front.Config{
		Validator: cfg.validator(), Mode: n.mode, MemoryMB: cfg.Limits.MemoryMB, MaxConns: cfg.maxClientConns(),
		MaxIdleConns: cfg.maxIdleClientConns(), OnClose: func(why string) { l.traceEvent(trace.Event{Kind: trace.ConnClosed, Reason: why}) },
	}, func(a *frontend.Submission) { l.send(a) }, func(class string) { l.send(refusedUnread{class}) })
	l.setValidator = n.frontend.SetValidator
	if n.listener, err = openListener(cfg); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return nil
}

// start starts all parts, with what the process before has handed over, if there was one.
func (n *node) start(from *handoverState) {
	l := n.loop
	l.restore(from) // clients wait to be served until this is done
	n.goroutines.Go(func() { l.run(n.running) })
	n.goroutines.Go(func() { l.watch.Run(n.running) })
	n.goroutines.Go(func() { l.notifier.Run(n.running) })
	if l.writer != nil {
		n.goroutines.Go(func() { l.writer.run(n.running) })
	}
	if n.fleet != nil {
		var ctx context.Context
		ctx, n.stopTasks = context.WithCancel(n.running)
		n.goroutines.Go(func() { n.fleet.Run(ctx) })
	}
	go func() { n.serveErr <- n.frontend.Serve(n.listener) }()
}
