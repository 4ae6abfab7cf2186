package handover

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"mallowlead/internal/clock"
	"mallowlead/internal/syserr"
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
	FromClient = "client" // idle, or with a part of a request read
	OnCall     = "call"   // to a host, a call's answer is waited for
	ToHost     = "host"   // to a host, idle
)

// Item is a connection that is passed.
type Item struct {
	Kind string `json:"kind"`
	// Read is what was read of a request or an answer that is not whole yet.
	Read []byte `json:"read,omitempty"`
	// Fresh: nothing has ever come on a client's connection.
	Fresh bool `json:"fresh,omitempty"`
	// Host and Addr are a host's, ID the message's on call.
	Host  string        `json:"host,omitempty"`
	Addr  string        `json:"addr,omitempty"`
	ID    string        `json:"id,omitempty"`
	Since clock.Instant `json:"since,omitzero"` // when it became idle, or the call began

	Conn *net.TCPConn `json:"-"`
}

// Relay is the old process's, as far as it can be handed over.
type Relay interface {
	// Freeze brings all to a stop, writes the state down and gives it with the connections that are parked.
	Freeze(ctx context.Context) (state any, items []Item, err error)
	// Thaw goes on as before.
	Thaw()
	// Given says that another process owns the relay now.
	Given()
}

// Owner is a process's hold on a folder, and where others ask it to hand over.
type Owner struct {
	dir    string
	lock   *lock
	l      *net.UnixListener
	giver  Giver
	askers chan *link // of other processes, once they have said hello
}

// leastListenPause and mostListenPause bound the pause before it is tried again to listen, listenTries times: a start, or the taking
// over, is not to fail for what passes.
const (
	leastListenPause, mostListenPause = 5 * time.Millisecond, 50 * time.Millisecond
	listenTries                       = 100
)

// listen takes askers from now on.
func (o *Owner) listen() (err error) {
	pause := syserr.Backoff{Least: leastListenPause, Most: mostListenPause}
	for range listenTries {
		err = o.listenOnce()
		if err == nil || syserr.Of(syserr.Bind, err) != syserr.Local && syserr.Of(syserr.File, err) != syserr.Local {
			return err
		}
		time.Sleep(pause.Failed())
	}
	return err
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
	o.l, err = net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	o.l.SetUnlinkOnClose(false) // by then it may be the next owner's
	if err := os.Chmod(path, 0o600); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	o.askers = make(chan *link)
	return nil
}

// Release gives the folder up at the end of the process.
func (o *Owner) Release() {
	if o.l != nil {
		_ = o.l.Close()
	}
	o.lock.close()
}

// Outcome says how serving as the owner came to its end.
type Outcome int

// The ends of ownership.
const (
	Ended  Outcome = iota // by the platform's signal: a planned end is due
	Handed                // over, and the process has nothing left to do
	Orphan                // handed over to a process that has died: begin anew from the journal
)

// Serve answers processes that ask, until told ends or the relay is handed over. It is to be called once.
func (o *Owner) Serve(told <-chan struct{}, relay Relay) Outcome {
	go func() {
		for {
			c, err := o.l.AcceptUnix()
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
			_ = o.l.Close()
			return Ended
		case l := <-o.askers:
			if out, over := o.handOver(told, l, relay); over {
				_ = o.l.Close()
				return out
			}
		}
	}
}

// handOver carries one hand-over through; over is false if this process owns the relay still. It does what the machine
// says, and tells it what came of that.
func (o *Owner) handOver(told <-chan struct{}, l *link, relay Relay) (out Outcome, over bool) {
	defer l.close()
	begun := time.Now()
	h := &handing{owner: o, link: l, relay: relay}
	for actions := o.giver.Handle(Hello); ; {
		var next Event
		more := false
		for _, a := range actions {
			switch a {
			case Leave:
				return Handed, true
			case Drain:
				return Ended, true
			case Reclaim:
				slog.Warn("the process that took over has died")
				return Orphan, true
			case Refuse:
				slog.Warn("not handed over", "err", h.err, "took", time.Since(begun))
				l.close()
			case Thaw:
				relay.Thaw()
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
	relay  Relay
	state  any
	items  []Item
	passed int
	err    error
}

// do carries out one step and says what came of it.
func (h *handing) do(a Action) (e Event) {
	switch a {
	case Freeze:
		ctx, cancel := context.WithTimeout(context.Background(), freezeTime)
		defer cancel()
		if h.state, h.items, h.err = h.relay.Freeze(ctx); h.err != nil {
			return Unready
		}
		return Frozen
	case Offer:
		if h.err = h.link.sendLong(packState, packOffer, encode(h.state)); h.err != nil {
			return Gone
		}
		return h.await(packReady, readyTime, Ready)
	case Give:
		h.relay.Given()
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
func (h *handing) send(batch []Item) error {
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
