package handover

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"frostlink/internal/clock"
	"frostlink/internal/syserr"
)

const (
	// freezeTime bounds the freeze, and readyTime the other process's reading of the journal: clients wait 400 ms for
	// an answer, and all that is held meanwhile grows older.
	freezeTime, readyTime = 300 * time.Millisecond, time.Second
	// ackTime is how long a batch may take to be acknowledged before the rest counts as lost.
	ackTime = 2 * time.Second
)

// The kinds of connection.
const (
	ClientConn       = "client" // idle, or with a part of a request read
	AttemptConn      = "call"   // to a host, a call's answer is waited for
	IdleEndpointConn = "host"   // to a host, idle
)

// Conn is a connection that is passed.
type Conn struct {
	Kind string `json:"kind"`
	// Buffered is what was read of a request or an answer that is not whole yet.
	Buffered []byte `json:"read,omitempty"`
	// Unused: nothing has ever come on a client's connection.
	Unused bool `json:"fresh,omitempty"`
	// Endpoint and Addr are a host's, ID the message's on call.
	Endpoint string        `json:"host,omitempty"`
	Addr     string        `json:"addr,omitempty"`
	ID       string        `json:"id,omitempty"`
	Since    clock.Instant `json:"since,omitzero"` // when it became idle, or the call began

	Conn *net.TCPConn `json:"-"`
}

// Source is the old process's, as far as it can be handed over.
type Source interface {
	// Quiesce brings all to a stop, writes the state down and gives it with the connections that are parked.
	Quiesce(ctx context.Context) (state any, items []Conn, err error)
	// Resume goes on as before.
	Resume()
	// Released says that another process owns the relay now.
	Released()
}

// Owner is a process's hold on a folder, and where others ask it to hand over.
type Owner struct {
	dir      string
	lock     *lock
	mu       sync.Mutex
	l        *net.UnixListener // nil: it can't be listened yet
	released bool
	giver    Predecessor
	askers   chan *link // of other processes, once they have said hello
}

// leastListenPause and mostListenPause bound the pause before it is tried again to listen.
const leastListenPause, mostListenPause = 5 * time.Millisecond, 500 * time.Millisecond

// listen takes askers from now on. Where the folder or the machine does not let it for the moment the relay serves all the same, and Serve
// tries again: until then no other process can take over.
func (o *Owner) listen() error {
	o.askers = make(chan *link)
	err := o.listenOnce()
	if err != nil && passes(err) {
		slog.Warn("no other process can take over yet", "err", err)
		return nil
	}
	return err
}

// passes tells whether listening failed for what passes.
func passes(err error) bool {
	return syserr.Classify(syserr.Bind, err) == syserr.Local || syserr.Classify(syserr.File, err) == syserr.Local
}

// listenAgain tries to listen until it can, or until the process is told to end.
func (o *Owner) listenAgain(told <-chan struct{}) (listening bool) {
	pause := syserr.Backoff{Min: leastListenPause, Max: mostListenPause}
	for o.listener() == nil {
		select {
		case <-told:
			return false
		case <-time.After(pause.Next()):
		}
		if err := o.listenOnce(); err != nil && !passes(err) {
			slog.Error("no other process can take over", "err", err)
			return false
		}
	}
	return true
}

// listener is where askers come, or nil.
func (o *Owner) listener() *net.UnixListener {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.l
}

func (o *Owner) listenOnce() error {
	path, done, err := address(o.dir)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	defer done()
	// What an earlier process left there; nobody listens, since we hold the folder.
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("handover: %w", err)
	}
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	l.SetUnlinkOnClose(false) // by then it may be the next owner's
	if err := os.Chmod(path, 0o600); err != nil {
		_ = l.Close()
		return fmt.Errorf("handover: %w", err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.released {
		return l.Close()
	}
	o.l = l
	return nil
}

// Release gives the folder up at the end of the process.
func (o *Owner) Release() {
	o.stopListening()
	o.lock.close()
}

// stopListening takes no askers any more.
func (o *Owner) stopListening() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.released = true
	if o.l != nil {
		_ = o.l.Close()
	}
}

// Outcome says how serving as the owner came to its end.
type Outcome int

// The ends of ownership.
const (
	Ended         Outcome = iota // by the platform's signal: a planned end is due
	HandedOver                   // over, and the process has nothing left to do
	SuccessorDied                // handed over to a process that has died: begin anew from the journal
)

// Serve answers processes that ask, until told ends or the relay is handed over. It is to be called once.
func (o *Owner) Serve(told <-chan struct{}, relay Source) Outcome {
	go func() {
		if !o.listenAgain(told) {
			return
		}
		for listener := o.listener(); ; {
			c, err := listener.AcceptUnix()
			if err != nil {
				return
			}
			l := &link{c}
			if err := l.hello(); err != nil {
				slog.Warn("another process is not handed over to", "err", err)
				l.close()
				continue
			}
			select {
			case o.askers <- l:
			case <-told: // the asker finds the folder free soon
				l.close()
			}
		}
	}()
	for {
		select {
		case <-told:
			o.giver.Handle(Told)
			o.stopListening()
			return Ended
		case l := <-o.askers:
			if out, over := o.handOver(told, l, relay); over {
				o.stopListening()
				return out
			}
		}
	}
}

// handOver carries one hand-over through; over is false if this process owns the relay still. It does what the machine
// says, and tells it what came of that.
func (o *Owner) handOver(told <-chan struct{}, l *link, relay Source) (out Outcome, over bool) {
	defer l.close()
	begun := time.Now()
	h := &handing{owner: o, link: l, relay: relay}
	for actions := o.giver.Handle(Hello); ; {
		var next Event
		more := false
		for _, a := range actions {
			switch a {
			case Leave:
				return HandedOver, true
			case Drain:
				return Ended, true
			case Reclaim:
				slog.Warn("the process that took over has died")
				return SuccessorDied, true
			case Refuse:
				slog.Warn("not handed over", "err", h.err, "took", time.Since(begun))
				l.close()
			case Thaw:
				relay.Resume()
			default:
				next, more = h.do(a), true
			}
		}
		if !more && o.giver.Owns() {
			return 0, false
		}
		select {
		case <-told:
			told = nil
			if actions = o.giver.Handle(Told); len(actions) > 0 {
				continue
			}
		default:
		}
		if !more { // all is passed, until the platform ends this process or the new owner dies
			slog.Info("handed over", "took", time.Since(begun), "connections", h.passed, "of", len(h.items), "err", h.err)
			next = h.rest(told)
		}
		actions = o.giver.Handle(next)
	}
}

// handing is a hand-over under way.
type handing struct {
	owner  *Owner
	link   *link
	relay  Source
	state  any
	items  []Conn
	passed int
	err    error
}

// do carries out one step and says what came of it.
func (h *handing) do(a Action) (e Event) {
	switch a {
	case Freeze:
		ctx, cancel := context.WithTimeout(context.Background(), freezeTime)
		defer cancel()
		if h.state, h.items, h.err = h.relay.Quiesce(ctx); h.err != nil {
			return Unready
		}
		return Frozen
	case Offer:
		if h.err = h.link.sendLong(packState, packOffer, encode(h.state)); h.err != nil {
			return Gone
		}
		return h.await(packReady, readyTime, Ready)
	case Give:
		h.relay.Released()
		if h.err = h.link.send(packYours, nil, int(h.owner.lock.f.Fd())); h.err != nil {
			return Gone
		}
		return h.await(packAcked, ackTime, Acked)
	case Pass:
		if h.owner.lock != nil { // the other has it: if it dies, the folder is free
			h.owner.lock.close()
			h.owner.lock = nil
		}
		if h.passed == len(h.items) {
			h.err = h.link.send(packDone, nil)
			return Passed
		}
		batch := h.items[h.passed:min(h.passed+mostFiles, len(h.items))]
		if h.err = h.send(batch); h.err != nil {
			return Gone
		}
		e = h.await(packAcked, ackTime, Acked)
		if e == Acked {
			h.passed += len(batch)
			for _, item := range batch {
				_ = item.Conn.Close()
			}
		}
		return e
	}
	panic(fmt.Sprintf("handover: no step %d", a))
}

// await waits for one packet.
func (h *handing) await(kind byte, most time.Duration, good Event) Event {
	p, err := h.link.receive(time.Now().Add(most))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		h.err = err
		return Late
	case err != nil:
		h.err = err
		return Gone
	case p.kind != kind:
		h.err = fmt.Errorf("handover: packet %q instead of %q", p.kind, kind)
		return Gone
	}
	return good
}

// rest waits for what ends a process that has nothing left. What could not be passed is closed.
func (h *handing) rest(told <-chan struct{}) Event {
	for _, item := range h.items[h.passed:] {
		_ = item.Conn.Close()
	}
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		h.link.untilEnd()
	}()
	select {
	case <-told:
		return Told
	case <-gone:
		return Gone
	}
}

// send passes a batch of connections.
func (h *handing) send(batch []Conn) error {
	var fds []int
	defer func() {
		for _, fd := range fds {
			_ = unix.Close(fd)
		}
	}()
	for _, item := range batch {
		fd, err := duplicate(item.Conn)
		if err != nil {
			return err
		}
		fds = append(fds, fd)
	}
	return h.link.sendLong(packConns, packBatch, encode(batch), fds...)
}
