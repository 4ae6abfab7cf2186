package handover

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"frostlink/internal/wait"
)

// askAgain is the pause before the folder's owner is asked again, and offerTime how long it may take to freeze and offer.
const askAgain, offerTime = 20 * time.Millisecond, 3 * time.Second

// Recipient is the new process's relay, as far as it takes over.
type Recipient interface {
	// Start begins from the journal: nobody else holds the folder.
	Start() error
	// Prepare reads the journal, which it must not change, and makes ready to go on from a state.
	Prepare(state json.RawMessage) error
	// Discard forgets what was prepared: the other process did not hand over after all.
	Discard()
	// Acquire takes the journal. It is told at the moment at which this process comes to own the relay.
	Acquire() error
	// Serve begins, with the connections that came.
	Serve(items []Conn) error
}

// taking is a process that wants to own a folder.
type taking struct {
	ctx     context.Context
	dir     string
	heir    Recipient
	machine Successor
	owner   *Owner
	link    *link
	state   json.RawMessage
	items   []Conn
	batch   []Conn
	waiting bool   // said that it waits
	said    string // the error that the folder could not be taken for last
	err     error
}

// Acquire takes a folder that nobody holds, or takes over from the process that holds it, and returns once its heir serves. It
// asks until ctx ends.
func Acquire(ctx context.Context, dir string, heir Recipient) (*Owner, error) {
	t := &taking{ctx: ctx, dir: dir, heir: heir, owner: &Owner{dir: dir}}
	for actions := []Action{Ask}; ; {
		var next Event
		for _, a := range actions {
			switch a {
			case Fail:
				return nil, t.err
			case Start:
				return t.owner, t.heir.Start()
			case Discard:
				t.heir.Discard()
				t.hangUp()
			case Serve:
				go t.link.untilEnd() // by the end of ours the other process hears of it
				return t.owner, t.heir.Serve(t.items)
			default:
				next = t.do(a)
			}
		}
		if t.ctx.Err() != nil && !t.machine.Owns() {
			t.hangUp()
			return nil, t.ctx.Err()
		}
		actions = t.machine.Handle(next)
		if t.err != nil && t.machine.Owns() {
			return nil, t.err
		}
	}
}

func (t *taking) hangUp() {
	if t.link != nil {
		t.link.close()
		t.link = nil
	}
}

// do carries out one step and says what came of it.
func (t *taking) do(a Action) Event {
	switch a {
	case Ask:
		return t.ask()
	case Prepare:
		if t.err = t.heir.Prepare(t.state); t.err != nil {
			t.hangUp() // the other goes on
			return Unprepared
		}
		return Prepared
	case Tell:
		if t.link.send(packReady, nil) != nil {
			return Gone
		}
		p, err := t.link.receive(time.Time{}) // its word or its end, however late
		if err != nil || p.kind != packYours || len(p.files) != 1 {
			return Gone
		}
		t.owner.lock = &lock{p.files[0]}
		return Yours
	case Own:
		if t.err = errors.Join(t.owner.listen(), t.heir.Acquire()); t.err != nil {
			return Gone
		}
		return t.connections()
	case Take:
		t.items = append(t.items, t.batch...)
		t.batch = nil
		return t.connections()
	}
	panic(fmt.Sprintf("handover: no step %d", a))
}

// ask takes the folder if it is free, or has its owner offer its state.
func (t *taking) ask() Event {
	held, err := takeLock(t.dir)
	if err == nil {
		t.owner.lock = held
		t.err = t.owner.listen()
		return Free
	}
	if !errors.Is(err, errLocked) {
		if t.said != err.Error() {
			t.said = err.Error()
			slog.Error("the folder can't be taken yet", "err", err)
		}
	} else if !t.waiting {
		t.waiting = true
		slog.Info("another process holds the folder: it is asked to hand over")
	}
	if err := t.dial(); err == nil {
		return State
	}
	t.hangUp()
	wait.For(t.ctx, askAgain)
	return Gone
}

// dial asks the folder's owner once, and waits for its offer.
func (t *taking) dial() error {
	path, done, err := address(t.dir)
	if err != nil {
		return err
	}
	defer done()
	c, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return err
	}
	t.link = &link{c}
	if err := t.link.send(packHello, encode(greeting{Version})); err != nil {
		return err
	}
	state, last, err := t.link.receiveLong(packState, packOffer, time.Now().Add(offerTime))
	if err != nil {
		return err
	}
	if last.kind != packOffer {
		return fmt.Errorf("handover: packet %q instead of an offer", last.kind)
	}
	t.state = state
	return nil
}

// connections acknowledges what came so far and waits for the next batch.
func (t *taking) connections() Event {
	err := t.link.send(packAcked, nil)
	if err == nil {
		var body []byte
		var last packet
		body, last, err = t.link.receiveLong(packConns, packBatch, time.Now().Add(ackTime))
		if err == nil && last.kind == packDone {
			return Done
		}
		if err == nil {
			t.batch, err = unpack(body, last.files)
		}
	}
	if err == nil {
		return Conns
	}
	slog.Warn("not all connections were passed", "err", err, "passed", len(t.items))
	return Gone
}

// unpack joins a batch's items with their descriptors. A descriptor that is no connection costs its item alone.
func unpack(body []byte, files []*os.File) (items []Conn, err error) {
	var batch []Conn
	if err := json.Unmarshal(body, &batch); err != nil || len(batch) != len(files) {
		for _, f := range files {
			_ = f.Close()
		}
		return nil, fmt.Errorf("handover: %d connections with %d descriptors: %w", len(batch), len(files), err)
	}
	for i := range batch {
		c, err := tcp(files[i])
		if err != nil {
			slog.Warn("a connection could not be taken over", "err", err)
			continue
		}
		batch[i].Conn = c
		items = append(items, batch[i])
	}
	return items, nil
}
