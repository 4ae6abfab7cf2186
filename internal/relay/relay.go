package relay

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"mallowlead/internal/clients"
	front "mallowlead/internal/clients/http1"
	"mallowlead/internal/discovery"
	"mallowlead/internal/hosts/http1"
	"mallowlead/internal/journal"
	"mallowlead/internal/management"
	"mallowlead/internal/notices"
	"mallowlead/internal/settings"
	"mallowlead/internal/standby"
	"mallowlead/internal/undelivered"
	"mallowlead/policy"
)

// The stages of a planned end, from the signal on. Connections go on coming for up to 0.4 s, and the process
// may be killed after 3.7 s.
const (
	listenOn  = time.Second             // until then new connections are taken
	sendOn    = 2700 * time.Millisecond // until then calls begin
	callsOn   = 3300 * time.Millisecond // until then calls come to their end
	askIdle   = 50 * time.Millisecond   // between looks whether all is done
	lastWords = 100 * time.Millisecond  // for answers that are being written
)

// journalShare of the memory is what the journal may take at most: files count as memory, and what the file
// holds is held in memory as well.
const journalShare = 0.15

// Run runs a relay until ctx ends, and then brings it to an orderly end: it goes on serving for as long as
// clients may still come, and leaves what is not delivered by then to the journal in dir. Configurations that
// come from reread move it to another discovery; all else in them is for the next start.
func Run(ctx context.Context, cfg *Config, dir string, reread <-chan Reading) error {
	if err := cfg.checkOwn(); err != nil {
		return err
	}
	var keeping *undelivered.Section
	if cfg.Own != nil {
		keeping = cfg.Own.Undelivered
	}
	kept, err := journal.Open(dir, min(cfg.Limits.DiskMB, journalShare*cfg.Limits.MemoryMB), keeping != nil)
	if err != nil {
		return err
	}
	defer kept.Close()
	cfg.retire(kept)
	d, err := policy.New(cfg.policy, cfg.seed)
	if err != nil {
		return err
	}

	live, stop := context.WithCancel(context.Background())
	defer stop()
	s := cfg.Settings
	l := &loop{cfg: cfg, d: d, journal: kept, inbox: make(chan any, inboxSize), start: time.Now(), calls: live,
		book: management.NewBook(cfg.classNames()), stance: &standby.Stance{},
		messages: map[string]*message{}, hosts: map[string]discovery.Member{}, dests: map[int]bool{}, past: map[string]bool{},
		pool: http1.New(settings.Seconds(s.Limits.ConnTimeoutS), cfg.policy.ConnIdle, cfg.longest(),
			cfg.hostRoom())}
	l.pool.Written = func() { l.book.Calls.Add(1) }
	l.watch = discovery.NewWatcher(cfg.Discovery, func(m discovery.Members, from string) { l.put(told{m, from}) },
		func() { l.put(watchEnded{}) })
	l.notices = notices.New(cfg.Discovery, func(ids []string) { l.put(received{ids}) })
	if keeping != nil {
		l.arrivals = kept.Arrivals()
		l.keeper = newKeeper(cfg, kept.Store(), func(e any) {
			select {
			case l.inbox <- e:
			case <-live.Done(): // nobody takes events any more
			}
		})
	}
	srv := front.New(front.Config{Check: cfg.clientCheck(), Stance: l.stance, MemoryMB: cfg.Limits.MemoryMB, Room: cfg.clientRoom(), Keep: cfg.idleRoom()},
		func(a *clients.Arrival) { l.put(a) })
	l.recheck = srv.SetCheck
	listener, err := listen(cfg)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	door, err := openDoor(cfg, l, srv)
	if err != nil {
		return err
	}
	defer door.close()
	l.restore() // clients wait to be served until this is done
	var work sync.WaitGroup
	work.Go(func() { l.run(live) })
	work.Go(func() { l.watch.Run(live) })
	work.Go(func() { l.notices.Run(live) })
	if l.keeper != nil {
		work.Go(func() { l.keeper.run(live) })
	}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(listener) }()
	door.taking.Store(true)

	discoveryAt := cfg.Discovery
	for serving := true; serving; {
		select {
		case err = <-served:
			serving = false
		case r := <-reread:
			l.put(reconfigured{r.Config})
			if r.Err != nil {
				continue
			}
			slog.Info("configuration read again", "discovery", r.Config.Discovery, "classes", r.Config.classNames())
			if r.Config.Discovery != discoveryAt {
				discoveryAt = r.Config.Discovery
				l.watch.Move(discoveryAt)
				l.notices.Move(discoveryAt)
			}
		case <-ctx.Done():
			door.taking.Store(false)
			l.drain(srv, func() { _ = listener.Close() })
			serving = false
		}
	}
	stop()
	work.Wait()
	if err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// drain brings a relay to its end. No request that was read goes unanswered: answers close their
// connections, and those that stay unused are closed last.
func (l *loop) drain(srv *front.Server, closeListener func()) {
	begun := time.Now()
	until := func(stage time.Duration) time.Duration { return time.Until(begun.Add(stage)) }
	l.stance.End()
	time.Sleep(until(listenOn))
	closeListener()
	for until(sendOn) > 0 && !l.idle() {
		time.Sleep(askIdle)
	}
	l.put(stopSending{})
	for until(callsOn) > 0 && !l.idle() {
		time.Sleep(askIdle)
	}
	ctx, cancel := context.WithTimeout(context.Background(), lastWords)
	defer cancel()
	if err := srv.Shutdown(ctx); err != nil {
		slog.Warn("connections left", "err", err)
	}
}

// idle tells whether nothing is held.
func (l *loop) idle() bool {
	q := question{make(chan bool, 1)}
	l.put(q)
	return <-q.idle
}
