package relay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

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
	"frostlink/internal/trace"
	"frostlink/internal/upstream/http1"
	"frostlink/policy"
)

// The stages of a planned end, from the signal on. Connections go on coming for up to 0.4 s, and the process
// may be killed after 3.7 s.
const (
	listenOn  = time.Second             // until then new connections are taken
	sendOn    = 2700 * time.Millisecond // until then calls begin
	callsOn   = 3300 * time.Millisecond // until then calls come to their end
	askIdle   = 50 * time.Millisecond   // between looks whether all is done
	lastWords = 250 * time.Millisecond  // for requests that are being read, and their answers
)

// journalShare of the memory is what the journal may take at most: files count as memory, and what the file
// holds is held in memory as well.
const journalShare = 0.15

// errOrphan says that the process which took over has died before this one was to end: it is to run again, from the
// journal.
var errOrphan = errors.New("the process that took over has died")

// node is one process's relay with all that it is wired of.
type node struct {
	cfg        *Config
	dir        string
	ownClasses []policy.Class // as the configuration has them
	stance     *servingmode.Mode
	book       *admin.Metrics
	violated   *invariant.Counts
	door       *door
	fleet      *fleettask.Fleet // its part of the fleet's tasks; nil: it has none
	endTasks   func()           // gives back what of them it holds; nil: it has none
	told       context.Context  // until the platform has told the process to end
	live       context.Context
	stop       context.CancelFunc
	work       sync.WaitGroup
	served     chan error

	from     *inheritance // of the process before; nil: there was none
	l        *loop
	srv      *front.Server
	listener net.Listener
	frozen   *frozen // nil: it is not
}

// Run runs a relay until ctx ends, and then brings it to an orderly end: it goes on serving for as long as
// clients may still come, and leaves what is not delivered by then to the journal in dir. Where another process runs on
// that folder, it takes over from that one, and it hands over to one that comes later. Configurations that come from
// reread change its settings and move it to another discovery; all else in them is for the next start.
func Run(ctx context.Context, cfg *Config, dir string, reread <-chan Reading) error {
	if err := cfg.checkOwn(); err != nil {
		return err
	}
	stance, book, violated := &servingmode.Mode{}, admin.NewMetrics(cfg.classNames()), &invariant.Counts{}
	door, err := openDoor(cfg, stance, book, violated)
	if err != nil {
		return err
	}
	defer door.close()
	for {
		n := &node{
			cfg: cfg, dir: dir, ownClasses: cfg.policy.Classes, stance: stance, book: book, violated: violated, door: door,
			served: make(chan error, 1),
		}
		if err := n.run(ctx, reread); !errors.Is(err, errOrphan) {
			return err
		}
		cfg = n.l.cfg // with the settings in force
	}
}

// run runs a relay to its end, or until it was handed over.
func (n *node) run(ctx context.Context, reread <-chan Reading) error {
	n.told = ctx
	n.live, n.stop = context.WithCancel(context.Background())
	defer n.stop()
	owner, err := handover.Acquire(ctx, n.dir, n)
	if ctx.Err() != nil && n.l == nil {
		return nil // told to end before it had anything
	}
	if err != nil {
		return err
	}
	defer owner.Release()
	n.door.open(n.srv)
	ends := make(chan handover.Outcome, 1)
	go func() { ends <- owner.Serve(ctx.Done(), n) }()
	discoveryAt := n.cfg.Discovery
	for {
		select {
		case err := <-n.served:
			if err != nil {
				return fmt.Errorf("serve: %w", err)
			}
			n.served = nil // the listener was closed by us
		case r := <-reread:
			if n.live.Err() != nil {
				continue // it is the next process's
			}
			n.l.put(reconfigured{r.Config})
			if r.Err != nil {
				continue
			}
			slog.Info("configuration read again", "discovery", r.Config.Discovery, "classes", r.Config.classNames())
			if r.Config.Discovery != discoveryAt {
				discoveryAt = r.Config.Discovery
				n.l.notices.SetAddress(discoveryAt) // first: who sees the watch move may rely on it
				n.l.watch.SetAddress(discoveryAt)
			}
		case end := <-ends:
			n.door.taking.Store(false)
			switch end {
			case handover.SuccessorDied:
				return errOrphan
			case handover.HandedOver:
				n.lastWords()
				return nil
			}
			n.drain()
			n.stop()
			n.work.Wait()
			return n.l.journal.Close()
		}
	}
}

// assemble makes all parts of a relay, and starts none.
func (n *node) assemble(kept *journal.Journal) error {
	cfg := n.cfg
	cfg.retire(kept)
	d, err := policy.New(cfg.policy, cfg.seed)
	if err != nil {
		return err
	}
	s := cfg.Settings
	l := &loop{
		cfg: cfg, d: d, journal: kept, inbox: make(chan any, inboxSize), timeline: kept.Timeline(), steps: clock.NewStepDetector(kept.Timeline()), calls: n.live,
		book: n.book, violated: n.violated, stance: n.stance, parked: map[string]*net.TCPConn{},
		messages: map[string]*message{}, hosts: map[string]discovery.Endpoint{}, dests: map[int]bool{},
		pool: http1.New(settings.Seconds(s.Limits.ConnTimeoutS), cfg.policy.IdleConnTimeout, cfg.hostRoom()),
	}
	l.pool.OnWritten = func() { l.book.AttemptsSent.Add(1) }
	l.watch = discovery.NewWatcher(cfg.Discovery, func(m discovery.EndpointList, from string) { l.put(told{m, from}) },
		func(lines int) { l.put(watchEnded{lines}) })
	share := s.NInstances
	if cfg.pushed() {
		share = 1 // what is asked is this relay's own
	}
	l.watch.ShareWith(share, cfg.seed)
	l.trace = trace.New(cfg.tracing(), os.Stderr)
	l.watch.OnSubscribe = func() { l.trace.Record(l.now(), trace.Event{Kind: trace.WatchRequested}) }
	l.notices = notification.New(cfg.Discovery, func(ids []string) { l.put(received{ids}) })
	if cfg.keeping() != nil {
		l.arrivals = kept.LastArrival()
		l.keeper = newKeeper(cfg, kept.Store(), kept.Timeline(), func(e any) {
			select {
			case l.inbox <- e:
			case <-n.live.Done(): // nobody takes events any more
			}
		})
	}
	if cfg.Own != nil && cfg.Own.Coordination != nil {
		if n.fleet, err = fleettask.New(cfg.Own.Coordination, cfg.Name, l.keptIn); err != nil {
			return err
		}
		if gate := n.fleet.Resend(); gate != nil && l.keeper != nil {
			l.keeper.gate = gate
		}
	}
	n.l = l
	n.srv = front.New(front.Config{
		Validator: cfg.clientCheck(), Mode: n.stance, MemoryMB: cfg.Limits.MemoryMB, MaxConns: cfg.clientRoom(),
		MaxIdleConns: cfg.idleRoom(), OnClose: func(why string) { l.note(trace.Event{Kind: trace.ConnClosed, Reason: why}) },
	}, func(a *frontend.Submission) { l.put(a) }, func(class string) { l.put(refusedUnread{class}) })
	l.recheck = n.srv.SetValidator
	if n.listener, err = listen(cfg); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return nil
}

// begin starts all parts, with what the process before has handed over, if there was one.
func (n *node) begin(from *inheritance) {
	l := n.l
	l.restore(from) // clients wait to be served until this is done
	n.work.Go(func() { l.run(n.live) })
	n.work.Go(func() { l.watch.Run(n.live) })
	n.work.Go(func() { l.notices.Run(n.live) })
	if l.keeper != nil {
		n.work.Go(func() { l.keeper.run(n.live) })
	}
	if n.fleet != nil {
		var ctx context.Context
		ctx, n.endTasks = context.WithCancel(n.live)
		n.work.Go(func() { n.fleet.Run(ctx) })
	}
	go func() { n.served <- n.srv.Serve(n.listener) }()
}

// drain brings the relay to its end. No request that was read goes unanswered: answers close their
// connections, and those that stay unused are closed last.
func (n *node) drain() {
	l := n.l
	begun := time.Now()
	if n.endTasks != nil { // others need not wait for their leases to run out, nor the end of this relay for their giving back
		n.endTasks()
	}
	until := func(stage time.Duration) time.Duration { return time.Until(begun.Add(stage)) }
	l.trace.Record(l.now(), trace.Event{Kind: trace.ShutdownRequested})
	l.stance.Shutdown()
	time.Sleep(until(listenOn))
	_ = n.listener.Close()
	for until(sendOn) > 0 && !l.idle() {
		time.Sleep(askIdle)
	}
	l.put(stopSending{})
	for until(callsOn) > 0 && !l.idle() {
		time.Sleep(askIdle)
	}
	n.lastWords()
}

// lastWords lets answers that are being written arrive, and closes all clients' connections.
func (n *node) lastWords() {
	ctx, cancel := context.WithTimeout(context.Background(), lastWords)
	defer cancel()
	if err := n.srv.Shutdown(ctx); err != nil {
		slog.Warn("connections left", "err", err)
		for range n.srv.Unanswered() {
			n.violated.Record(invariant.ClosedUnanswered, "")
		}
	}
}

// idle tells whether nothing is held.
func (l *loop) idle() bool {
	q := question{make(chan bool, 1)}
	l.put(q)
	return <-q.idle
}
